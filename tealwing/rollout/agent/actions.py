"""Actions that a member's state machine requests of the runtime, and the gate state that it sets; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from tealwing.rules.records import Body

Mode = Literal["open", "closed", "shut"]
# the marker in mode `hold`: it names no version, so that nothing is decided from this disk before the log is read
HOLD_MARKER = 2**63 - 1
FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class PersistMarker:
    """Write this number to disk with fsync, then call Machine.marker_written."""

    number: int


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """Propose a command in the site's log."""

    body: Body


@dataclass(frozen=True, slots=True)
class CheckBundle:
    """Check a version's bundle against this gateway, then call Machine.checked."""

    number: int


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Request a read index of the site's or the federation's log; call Machine.read_sent as it is sent."""

    federation: bool = False


@dataclass(frozen=True, slots=True)
class Restart:
    """Report that the machine has taken a new start number."""

    start: int


Action = PersistMarker | SubmitCommand | CheckBundle | ReadIndex | Restart


@dataclass(frozen=True, slots=True)
class ReadToken:
    """A read that was sent: when by the local clock, in which start of the member, and to which log."""

    serial: int
    sent_at: float
    start: int
    federation: bool = False


@dataclass(frozen=True, slots=True)
class GateState:
    """Which requests this gateway may decide now."""

    mode: Mode  # closed: all but those that the version `closing` affects; shut: none
    number: int  # the version under which requests are decided
    closing: int = 0  # 0: none
    reason: str = ""  # for readiness; empty when open
    until: float = FOREVER  # by the local clock: the state is invalid from then on
