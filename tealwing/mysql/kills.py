"""The outcome of a KILL, and the interface to the other processes of the gateway; no I/O."""

from __future__ import annotations

import enum
from typing import Protocol

from tealwing.mysql.statements import Kill


class KillOutcome(enum.Enum):
    """The outcome of a KILL."""

    APPLIED = enum.auto()  # the connection's open request, if any, is cancelled
    UNKNOWN_CONNECTION = enum.auto()  # the connection has ended, or never existed
    UNCONFIRMED = enum.auto()  # the process that owns the connection has not confirmed it in time


class KillForwarder(Protocol):
    """Forwards KILLs to the other processes of the gateway."""

    def forward(self, kill: Kill) -> KillOutcome:
        """Have the process that owns the connection apply the KILL; waits for its confirmation for a bounded time."""
