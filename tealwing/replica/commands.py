"""What can be done to the replicated state, and what comes of it; pure.

Every command has its client and a number that only grows with it, so that one that was sent again is applied once; and
it may be fenced: it then counts only under the newest grant of a lease.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, get_args

import msgspec

from tealwing.record import CommandResult as CommandResult
from tealwing.record import Record, UnsignedInt63
from tealwing.replica.errors import ReplicaError
from tealwing.rules import records

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Text = Annotated[str, msgspec.Meta(max_length=4096)]
Ms = UnsignedInt63  # milliseconds of the Unix clock, told by whoever saw it; nothing is decided by it
MAX_COMMAND_BYTES = 512 * 1024  # bytes of one command


class Put(Record, tag="put", frozen=True):
    """A value under a key, where its version is the one expected (any if None; 0: there is none)."""

    key: Name
    value: bytes
    expect: UnsignedInt63 | None = None


class Delete(Record, tag="del", frozen=True):
    """No value under a key."""

    key: Name


class Settings(Record, tag="settings", frozen=True):
    """A version of the operators' settings: one more than the last, or it is refused."""

    version: UnsignedInt63
    text: bytes
    valid: bool = True  # checked by whoever proposes it; a bad one is kept for the record and never the last good


class Drain(Record, tag="drain", frozen=True):
    """An engine's start drains, as told at a time, with its cut-off; over: it is forgotten."""

    engine: UnsignedInt63
    started: Ms
    notified: Ms = 0
    cutoff: Ms = 0
    removed: bool = False


class Note(Record, tag="note", frozen=True):
    """Something about an engine's start: `cold` or `aside` since then; over: it is forgotten."""

    engine: UnsignedInt63
    started: Ms
    kind: Name
    since: Ms = 0
    removed: bool = False


class Level(Record, tag="level", frozen=True):
    """A service level that is in force, and why; over: it is not."""

    name: Name
    reason: Text = ""
    since: Ms = 0
    removed: bool = False


class Acquire(Record, tag="acquire", frozen=True):
    """Grant a lease for so many milliseconds, where nobody holds it; the fencing token is the grant's index."""

    name: Name
    holder: Name
    ttl: Annotated[int, msgspec.Meta(ge=100, le=3_600_000)]


class Renew(Record, tag="renew", frozen=True):
    """The holder goes on, where the grant is still the newest and was not found expired."""

    name: Name
    token: UnsignedInt63


class Release(Record, tag="release", frozen=True):
    """The holder gives it back."""

    name: Name
    token: UnsignedInt63


class Expire(Record, tag="expire", frozen=True):
    """The leader found that a grant, as last renewed by the entry at an index, has run out by its clock."""

    name: Name
    token: UnsignedInt63
    renewed: UnsignedInt63


Body = Put | Delete | Settings | Drain | Note | Level | Acquire | Renew | Release | Expire | records.Body


class Fence(Record, frozen=True):
    """The lease under which something is done, and its token."""

    name: Name
    token: UnsignedInt63


class Command(Record, frozen=True):
    """An entry's data."""

    client: Annotated[str, msgspec.Meta(max_length=100)]
    sequence: UnsignedInt63  # 0: sent once, never again
    body: Body
    fence: Fence | None = None


class NewerEntryError(ReplicaError, ValueError):
    """Something in the log that a newer build wrote; the text says what, and what to do.

    To refuse it would be wrong: the newer build applies it, and the copies of the state would differ from here on.
    """

    remedy = (
        "install the build that the other gateways run, and start this one again; nothing is lost: the entry stays"
        " in the log"
    )

    def __init__(self, what: str) -> None:
        super().__init__(f"an entry of a newer build: {what}; {self.remedy}")


class _CommandOutline(msgspec.Struct, array_like=True):
    """A command's outline, whatever is in it; more at its end is passed over."""

    client: str
    sequence: int
    body: list[Any]
    fence: list[Any] | None = None


_COMMAND_TYPES: dict[str, Any] = {kind.__struct_config__.tag: kind for kind in get_args(Body)}
_TAG = re.compile(r"[a-z][a-z0-9.-]{0,39}")
_PLACEHOLDER_BODY = [Delete.__struct_config__.tag, "x"]  # stands for a body that is not known

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Command)
_outlines = msgspec.msgpack.Decoder(_CommandOutline)
_results = msgspec.msgpack.Decoder(CommandResult)


def encode(command: Command) -> bytes:
    """A command as an entry's data; ValueError where it is too large."""
    data = _encode(command)
    if len(data) > MAX_COMMAND_BYTES:
        raise ValueError(f"a command of {len(data)} bytes; allowed: {MAX_COMMAND_BYTES}")
    return data


def decode(data: bytes) -> Command:
    """The command of an entry's data; NewerEntry for a newer build's, ValueError for anything else."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        newer = _newer_content(data)
        if newer:
            raise NewerEntryError(newer) from None
        raise ValueError(f"no command: {error}") from None


def _newer_content(data: bytes) -> str:
    """What a newer build says in some bytes: a command of a kind that is not known, or with more to it than is known.

    Empty where even what is known of it does not hold: such bytes are nobody's command.
    """
    try:
        found = _outlines.decode(data)
        more = len(msgspec.msgpack.decode(data)) > len(Command.__struct_fields__)
    except (msgspec.DecodeError, RecursionError):
        return ""
    tag = found.body[0] if found.body else None
    if not isinstance(tag, str) or not _TAG.fullmatch(tag):
        return ""
    kind, body, fence, what = _COMMAND_TYPES.get(tag), found.body, found.fence, ""
    if kind is None:
        body, what = _PLACEHOLDER_BODY, f"a command {tag}"
    elif len(body) > 1 + len(kind.__struct_fields__):
        body, what = body[: 1 + len(kind.__struct_fields__)], f"more in {tag} than is known here"
    if fence is not None and len(fence) > len(Fence.__struct_fields__):
        fence, more = fence[: len(Fence.__struct_fields__)], True
    if more:
        what = what or f"more round {tag} than is known here"
    try:
        _decoder.decode(_encode((found.client, found.sequence, body, fence)))
    except msgspec.DecodeError:
        return ""
    return what


def encode_result(result: CommandResult) -> bytes:
    """A result as bytes."""
    return _encode(result)


def decode_result(data: bytes) -> CommandResult:
    """The result of some bytes; ValueError for anything else."""
    try:
        return _results.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"no result: {error}") from None
