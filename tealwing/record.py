"""The base of all that is sent and stored among gateways, and what comes of a command to the state they share; pure."""

from __future__ import annotations

from typing import Annotated

import msgspec

UnsignedInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record by places: short, and an unknown field is a fault."""


class CommandResult(Record, frozen=True):
    """What came of a command: the index at which it was applied, or why the state refused it."""

    ok: bool
    index: UnsignedInt63
    version: UnsignedInt63 = 0  # of the value, the settings, or the lease's token
    reason: str = ""
