"""The base of all that is sent and stored among gateways, and what comes of a command to the state they share; pure."""

from __future__ import annotations

from typing import Annotated

import msgspec

Big = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record by places: short, and an unknown field is a fault."""


class Result(Record, frozen=True):
    """What came of a command: the index at which it was applied, or why the state refused it."""

    ok: bool
    index: Big
    version: Big = 0  # of the value, the settings, or the lease's token
    why: str = ""
