"""What the members of a replicated log say to one another, and its entries; pure."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from tealwing.record import Big as Big
from tealwing.record import Record as Record

CHANNEL = 2  # of the peer link
CHUNK = 256 * 1024  # bytes of a snapshot in one message


class Kind(IntEnum):
    """What an entry is for."""

    NOOP = 0  # a leader's first: with it what came before is committed too
    DATA = 1  # a command to the state
    MEMBERS = 2  # the members from here on: see `members_data`


class Entry(Record, frozen=True):
    """One entry of the log."""

    index: Big
    term: Big
    kind: Kind
    data: bytes


class VoteAsk(Record, tag=1, frozen=True):
    """Vote for me in this term; `pre`: would you, without a word that binds either of us."""

    term: Big
    last_index: Big
    last_term: Big
    pre: bool
    handed: bool = False  # the leader asked for it: it does not matter that it was heard just now


class VoteReply(Record, tag=2, frozen=True):
    """The answer; `asked` is the term that was asked for."""

    term: Big
    asked: Big
    pre: bool
    granted: bool
    start: Big  # of the sender: see Raft
    unsure: bool


class Append(Record, tag=3, frozen=True):
    """The leader's word: it leads, what comes after `prev`, and how far all is committed."""

    term: Big
    prev_index: Big
    prev_term: Big
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=1024)]
    commit: Big
    round: Big


class AppendReply(Record, tag=4, frozen=True):
    """Whether what was sent fits; up to where the logs agree, or where to look for that."""

    term: Big
    ok: bool
    match: Big  # if ok
    hint_index: Big  # else: the logs can't agree beyond this
    hint_term: Big  # of the entry there, 0 if there is none
    round: Big
    start: Big
    unsure: bool


class Snap(Record, tag=5, frozen=True):
    """A piece of a snapshot of the state up to an index."""

    term: Big
    index: Big
    index_term: Big
    offset: Big
    total: Big
    data: Annotated[bytes, msgspec.Meta(max_length=CHUNK)]
    round: Big


class SnapReply(Record, tag=6, frozen=True):
    """How much of that snapshot is on disk; `done`: it is the state now."""

    term: Big
    index: Big
    offset: Big
    done: bool
    round: Big
    start: Big
    unsure: bool


class Sure(Record, tag=7, frozen=True):
    """The leader's word that the member of that start has caught up with all that it may have forgotten."""

    term: Big
    start: Big


class Hand(Record, tag=8, frozen=True):
    """The leader goes: stand for election at once."""

    term: Big


class Hold(Record, tag=9, frozen=True):
    """A candidate that has its votes, where disks may come back older: are you still who gave me yours?"""

    term: Big


class Held(Record, tag=10, frozen=True):
    """The answer: the term that the sender is in, and its start."""

    term: Big
    start: Big


class Names(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Voters and learners in the data of an entry, where there are learners."""

    voters: list[str]
    learners: list[str]


Message = VoteAsk | VoteReply | Append | AppendReply | Snap | SnapReply | Sure | Hand | Hold | Held

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_members: msgspec.msgpack.Decoder[list[str] | Names] = msgspec.msgpack.Decoder(list[str] | Names)


def encode(message: Message) -> bytes:
    """A message as bytes."""
    return _encode(message)


def decode(data: bytes) -> Message:
    """The message of some bytes; ValueError for anything else."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"no message of the replicated log: {error}") from None


def members_data(voters: tuple[str, ...], learners: tuple[str, ...] = ()) -> bytes:
    """The data of an entry that says who the members are: without learners a plain list of names, as it always was."""
    return _encode(Names(list(voters), list(learners)) if learners else list(voters))


def members_of(entry: Entry) -> tuple[str, ...]:
    """The voters that an entry says."""
    names = _members.decode(entry.data)
    return tuple(names.voters if isinstance(names, Names) else names)


def learners_of(entry: Entry) -> tuple[str, ...]:
    """The learners that an entry says."""
    names = _members.decode(entry.data)
    return tuple(names.learners) if isinstance(names, Names) else ()
