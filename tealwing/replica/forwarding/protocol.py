"""What callers wait for, what a follower asks its leader, and how either can fail."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import msgspec

from tealwing.replica import commands
from tealwing.replica.commands import CommandResult
from tealwing.replica.errors import ReplicaError

MAX_PENDING = 1024  # proposals and reads that wait for their outcome


class OutcomeUnknownError(ReplicaError):
    """No outcome in time: it may have been applied, or may yet be; sent again under its number it is applied once."""


class UnavailableError(ReplicaError):
    """It was surely not applied: no leader was reached, or this member is out of order."""


class Pending:
    """What a caller waits for."""

    __slots__ = ("done", "outcome", "term")

    def __init__(self) -> None:
        self.done = threading.Event()
        self.outcome: Any = None
        self.term = 0

    def set(self, outcome: Any) -> None:
        """It has come."""
        self.outcome = outcome
        self.done.set()


class ForwardRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A follower asks the leader: to propose this command, or, without one, at which index a read sees all."""

    number: int
    command: bytes
    voters: list[str] | None = None  # voters
    learners: list[str] | None = None  # None: as they are


class ForwardReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer: how it went, and a result or an index."""

    number: int
    status: str  # ok, not-leader, busy, lost, refused
    result: bytes
    index: int


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[ForwardRequest | ForwardReply] = msgspec.msgpack.Decoder(
    ForwardRequest | ForwardReply
)


def decode(body: bytes) -> ForwardRequest | ForwardReply:
    """What was forwarded; ValueError for anything else."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None


class CallbackPending(Pending):
    """A pending outcome whose caller hears it through a function."""

    __slots__ = ("number", "reply")

    def __init__(self, number: int, reply: Callable[[ForwardReply], None]) -> None:
        super().__init__()
        self.number, self.reply = number, reply

    def set(self, outcome: tuple[CommandResult, int] | None) -> None:
        """It has come; None: its place in the log is another's."""
        if outcome is None:
            self.reply(ForwardReply(self.number, "lost", b"", 0))
        else:
            self.reply(ForwardReply(self.number, "ok", commands.encode_result(outcome[0]), outcome[1]))
