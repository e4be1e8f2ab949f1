"""Forwarding protocol: messages between a member and the leader, pending calls, and the errors for callers."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import msgspec

from tealwing.replica import commands
from tealwing.replica.commands import CommandResult
from tealwing.replica.errors import ReplicaError

MAX_PENDING = 1024  # maximum pending proposals and reads of one member


class OutcomeUnknownError(ReplicaError):
    """The command may have been applied, or may still be; a retry with the same sequence is applied only once."""


class UnavailableError(ReplicaError):
    """The command was not applied: no leader could be reached, or this member is out of service."""


class Pending:
    """A pending call: an event that is set on completion, and the outcome."""

    __slots__ = ("done", "outcome", "term")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.outcome: Any = None
        self.term = 0

    def set(self, outcome: Any) -> None:
        """Set the outcome of the call and wake the caller."""
        self.outcome = outcome
        self.done.set()


class ForwardRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Request to the leader: propose a command or a membership change, or return the read index if neither is given."""

    number: int
    command: bytes
    voters: list[str] | None = None  # after a membership change; None: no change
    learners: list[str] | None = None  # None: unchanged


class ForwardReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Reply of the leader: a status, and the result and index if it is ok."""

    number: int
    status: str  # ok, not-leader, busy, lost, refused
    result: bytes
    index: int


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[ForwardRequest | ForwardReply] = msgspec.msgpack.Decoder(
    ForwardRequest | ForwardReply
)


def decode(body: bytes) -> ForwardRequest | ForwardReply:
    """Return the decoded request or reply. Raises ValueError if the body is neither."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ValueError(f"neither a request to the leader nor a reply from it: {error}") from None


class CallbackPending(Pending):
    """A pending call that passes its outcome to a callback as a ForwardReply."""

    __slots__ = ("number", "reply")

    def __init__(self, number: int, reply: Callable[[ForwardReply], None]) -> None:
        super().__init__()
        self.number, self.reply = number, reply

    def set(self, outcome: tuple[CommandResult, int] | None) -> None:
        """Pass the reply to the callback; an outcome of None means that the outcome is not known at this member."""
        if outcome is None:
            self.reply(ForwardReply(self.number, "lost", b"", 0))
        else:
            self.reply(ForwardReply(self.number, "ok", commands.encode_result(outcome[0]), outcome[1]))
