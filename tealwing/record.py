"""The base class of records that gateways send and store, and the result of a command on the replicated state."""

from __future__ import annotations

from typing import Annotated

import msgspec

UnsignedInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Record(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A record that is encoded as an array; decoding rejects unknown fields."""


class CommandResult(Record, frozen=True):
    """The result of a command: the index at which it was applied, or why the state rejected it."""

    ok: bool
    index: UnsignedInt63
    version: UnsignedInt63 = 0  # version of the value or the settings, or token of the lease
    reason: str = ""
