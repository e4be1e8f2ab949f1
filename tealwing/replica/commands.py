"""Commands of the replicated state machine, and their encoding; pure.

A command carries its client and an increasing sequence number, so that a retry is applied only once (Raft thesis,
section 6.3). It may be fenced: it is then applied only under the newest token of a lease (Chubby: sequencer).
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
Ms = UnsignedInt63  # Unix time in ms by the proposer's clock; the result of a command never depends on it
MAX_COMMAND_BYTES = 512 * 1024  # bytes of one command


class Put(Record, tag="put", frozen=True):
    """Put a value under a key if its version is the expected one (None: any version; 0: the key must be absent)."""

    key: Name
    value: bytes
    expect: UnsignedInt63 | None = None


class Delete(Record, tag="del", frozen=True):
    """Delete the value under a key."""

    key: Name


class Settings(Record, tag="settings", frozen=True):
    """Add a version of the operators' settings; rejected unless its number is the last one plus 1."""

    version: UnsignedInt63
    text: bytes
    valid: bool = True  # checked by the proposer; an invalid version is stored, but is never the last good one


class Drain(Record, tag="drain", frozen=True):
    """Record that an engine, given by number and start time, drains until a cut-off; `removed` deletes the record."""

    engine: UnsignedInt63
    started: Ms
    notified: Ms = 0
    cutoff: Ms = 0
    removed: bool = False


class Note(Record, tag="note", frozen=True):
    """Record a condition of an engine since a time, such as `cold` (slow start); `removed` deletes the record."""

    engine: UnsignedInt63
    started: Ms
    kind: Name
    since: Ms = 0
    removed: bool = False


class Level(Record, tag="level", frozen=True):
    """Record a service level in force and its reason; `removed` deletes the record."""

    name: Name
    reason: Text = ""
    since: Ms = 0
    removed: bool = False


class Acquire(Record, tag="acquire", frozen=True):
    """Grant a lease for `ttl` ms if no other client holds it; the fencing token is the index of the grant."""

    name: Name
    holder: Name
    ttl: Annotated[int, msgspec.Meta(ge=100, le=3_600_000)]


class Renew(Record, tag="renew", frozen=True):
    """Renew a lease, if the token is that of its current grant and the grant has not expired."""

    name: Name
    token: UnsignedInt63


class Release(Record, tag="release", frozen=True):
    """Release a lease, if the token is that of its current grant."""

    name: Name
    token: UnsignedInt63


class Expire(Record, tag="expire", frozen=True):
    """Expire a lease that has run out by the leader's clock, unless it was renewed after the entry at `renewed`."""

    name: Name
    token: UnsignedInt63
    renewed: UnsignedInt63


Body = Put | Delete | Settings | Drain | Note | Level | Acquire | Renew | Release | Expire | records.Body


class Fence(Record, frozen=True):
    """The lease that protects a command, and its fencing token."""

    name: Name
    token: UnsignedInt63


class Command(Record, frozen=True):
    """The data of a log entry of kind DATA: a command, its client and sequence number, and its fence."""

    client: Annotated[str, msgspec.Meta(max_length=100)]
    sequence: UnsignedInt63  # 0: the command has no session and is not retried
    body: Body
    fence: Fence | None = None


class NewerEntryError(ReplicaError, ValueError):
    """The log has an entry that only a newer build can decode; the message has the remedy.

    Refusing the entry would make the replicas diverge, as the newer build applies it.
    """

    remedy = (
        "install the build that the other gateways run and restart this gateway; the entry stays in the log, so"
        " nothing is lost"
    )

    def __init__(self, what: str) -> None:
        super().__init__(f"an entry of a newer build: {what}; {self.remedy}")


class _CommandOutline(msgspec.Struct, array_like=True):
    """A command with its body and fence undecoded; additional fields at the end are ignored."""

    client: str
    sequence: int
    body: list[Any]
    fence: list[Any] | None = None


_COMMAND_TYPES: dict[str, Any] = {kind.__struct_config__.tag: kind for kind in get_args(Body)}
_TAG = re.compile(r"[a-z][a-z0-9.-]{0,39}")
_PLACEHOLDER_BODY = [Delete.__struct_config__.tag, "x"]  # replaces an unknown body

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Command)
_outlines = msgspec.msgpack.Decoder(_CommandOutline)
_results = msgspec.msgpack.Decoder(CommandResult)


def encode(command: Command) -> bytes:
    """Return a command as the data of a log entry. Raises ValueError if it is too large."""
    data = _encode(command)
    if len(data) > MAX_COMMAND_BYTES:
        raise ValueError(f"the command has {len(data)} bytes; allowed: {MAX_COMMAND_BYTES} or fewer")
    return data


def decode(data: bytes) -> Command:
    """Return the command in the data of a log entry.

    Raises NewerEntryError if a newer build wrote it, ValueError if the data is not a valid command.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        newer = _newer_content(data)
        if newer:
            raise NewerEntryError(newer) from None
        raise ValueError(f"no command: {error}") from None


def _newer_content(data: bytes) -> str:
    """Return what this build does not know in a command of a newer build: its kind, or additional fields.

    Returns an empty string if the known parts are invalid too, as no build writes such a command.
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
        body, what = body[: 1 + len(kind.__struct_fields__)], f"a command {tag} with unknown fields in its body"
    if fence is not None and len(fence) > len(Fence.__struct_fields__):
        fence, more = fence[: len(Fence.__struct_fields__)], True
    if more:
        what = what or f"a command {tag} with unknown fields around its body"
    try:
        _decoder.decode(_encode((found.client, found.sequence, body, fence)))
    except msgspec.DecodeError:
        return ""
    return what


def encode_result(result: CommandResult) -> bytes:
    """Return an encoded result."""
    return _encode(result)


def decode_result(data: bytes) -> CommandResult:
    """Return a decoded result. Raises ValueError if the data is not a valid result."""
    try:
        return _results.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a valid command result: {error}") from None
