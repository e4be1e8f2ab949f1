"""The base of records that gateways send and store, and the result of a command to their replicated state; pure."""

from __future__ import annotations

from typing import Annotated

import msgspec

UnsignedInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record encoded as an array; unknown fields are errors."""


class CommandResult(Record, frozen=True):
    """The result of a command: the index at which it was applied, or why the state rejected it."""

    ok: bool
    index: UnsignedInt63
    version: UnsignedInt63 = 0  # of the value, the settings, or the lease's token
    reason: str = ""
