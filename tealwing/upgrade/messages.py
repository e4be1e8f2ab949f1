"""The messages between the processes of one gateway: records of one fixed size; no I/O.

A record is smaller than PIPE_BUF, so the kernel writes it to a FIFO as a whole or not at all (pipe(7)).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

_MAGIC = b"TWK1"  # the version of the format: a process of another build drops what it cannot read
_REQUEST, _REPLY = 1, 2  # kinds of message
_RECORD = struct.Struct("=4sBBIIBd")  # magic, kind, sender, token, connection, flag, expiry

SIZE = _RECORD.size  # bytes of each message


class MalformedMessageError(ValueError):
    """The bytes are not a sequence of messages of this build."""


@dataclass(frozen=True, slots=True)
class KillRequest:
    """Requests that the process that owns a connection apply a KILL."""

    sender: int  # number of the process that waits for the reply
    token: int  # 32 bits; identifies the request at its sender
    connection: int  # connection id
    query_only: bool
    expires_at: float  # CLOCK_MONOTONIC, which all processes of a machine share: later, the KILL is not applied


@dataclass(frozen=True, slots=True)
class KillReply:
    """Confirms to the sender of a KillRequest that it was handled."""

    sender: int  # number of the process that replies
    token: int  # of the request
    found: bool  # whether the connection existed


def encode(message: KillRequest | KillReply) -> bytes:
    """Encode a message in SIZE bytes."""
    match message:
        case KillRequest(sender, token, connection, query_only, expires_at):
            return _RECORD.pack(_MAGIC, _REQUEST, sender, token, connection, query_only, expires_at)
        case KillReply(sender, token, found):
            return _RECORD.pack(_MAGIC, _REPLY, sender, token, 0, found, 0.0)


def decode(data: bytes) -> list[KillRequest | KillReply]:
    """Decode a sequence of messages. Raises MalformedMessageError if any part of it is no message."""
    if len(data) % SIZE:
        raise MalformedMessageError(f"{len(data)} bytes are no multiple of {SIZE}, the size of a message")
    return [_decode_one(data[start : start + SIZE]) for start in range(0, len(data), SIZE)]


def _decode_one(record: bytes) -> KillRequest | KillReply:
    magic, kind, sender, token, connection, flag, expires_at = _RECORD.unpack(record)
    if magic != _MAGIC or kind not in (_REQUEST, _REPLY) or flag > 1:
        raise MalformedMessageError(f"expected a KILL request or reply, got {record!r}")
    if kind == _REQUEST:
        return KillRequest(sender, token, connection, bool(flag), expires_at)
    return KillReply(sender, token, bool(flag))
