"""Pending calls, the messages between follower and leader, and the errors of both."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import msgspec

from tealwing.replica import commands
from tealwing.replica.commands import CommandResult
from tealwing.replica.errors import ReplicaError

MAX_PENDING = 1024  # limit of pending proposals and reads


class OutcomeUnknownError(ReplicaError):
    """The command may have been applied, or may still be; a retry with the same sequence is applied only once."""


class UnavailableError(ReplicaError):
    """The command was not applied: no leader was reached, or this member is out of order."""


class Pending:
    """A pending call: an event and its outcome."""

    __slots__ = ("done", "outcome", "term")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.outcome: Any = None
        self.term = 0

    def set(self, outcome: Any) -> None:
        """Set the outcome and wake the caller."""
        self.outcome = outcome
        self.done.set()


class ForwardRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Request to the leader: a command or members to propose, or else a request for the read index."""

    number: int
    command: bytes
    voters: list[str] | None = None  # None: no membership change
    learners: list[str] | None = None  # None: unchanged


class ForwardReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Reply of the leader: a status, and a result or an index."""

    number: int
    status: str  # ok, not-leader, busy, lost, refused
    result: bytes
    index: int


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[ForwardRequest | ForwardReply] = msgspec.msgpack.Decoder(
    ForwardRequest | ForwardReply
)


def decode(body: bytes) -> ForwardRequest | ForwardReply:
    """Return a decoded request or reply. Raises ValueError if the body is neither."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None


class CallbackPending(Pending):
    """A pending call that passes its outcome to a callback."""

    __slots__ = ("number", "reply")

    def __init__(self, number: int, reply: Callable[[ForwardReply], None]) -> None:
        super().__init__()
        self.number, self.reply = number, reply

    def set(self, outcome: tuple[CommandResult, int] | None) -> None:
        """Send the reply; None means that another entry took the index in the log."""
        if outcome is None:
            self.reply(ForwardReply(self.number, "lost", b"", 0))
        else:
            self.reply(ForwardReply(self.number, "ok", commands.encode_result(outcome[0]), outcome[1]))
