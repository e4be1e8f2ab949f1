"""What the members of a replicated log say to one another, and its entries; pure."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from tealwing.record import Record as Record
from tealwing.record import UnsignedInt63 as UnsignedInt63

CHANNEL = 2  # of the peer link
SNAPSHOT_CHUNK_BYTES = 256 * 1024  # bytes of a snapshot in one message


class Kind(IntEnum):
    """What an entry is for."""

    NOOP = 0  # a leader's first: with it what came before is committed too
    DATA = 1  # a command to the state
    MEMBERS = 2  # the members from here on: see `members_data`


class Entry(Record, frozen=True):
    """One entry of the log."""

    index: UnsignedInt63
    term: UnsignedInt63
    kind: Kind
    data: bytes


class RequestVote(Record, tag=1, frozen=True):
    """Vote for me in this term; `pre`: would you, without a word that binds either of us."""

    term: UnsignedInt63
    last_index: UnsignedInt63
    last_term: UnsignedInt63
    pre_vote: bool
    leadership_transfer: bool = False  # the leader asked for it: it does not matter that it was heard just now


class RequestVoteReply(Record, tag=2, frozen=True):
    """The answer; `asked` is the term that was asked for."""

    term: UnsignedInt63
    requested_term: UnsignedInt63
    pre_vote: bool
    granted: bool
    incarnation: UnsignedInt63  # of the sender: see Raft
    unconfirmed: bool


class AppendEntries(Record, tag=3, frozen=True):
    """The leader's word: it leads, what comes after `prev`, and how far all is committed."""

    term: UnsignedInt63
    prev_index: UnsignedInt63
    prev_term: UnsignedInt63
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=1024)]
    commit: UnsignedInt63
    round: UnsignedInt63


class AppendEntriesReply(Record, tag=4, frozen=True):
    """Whether what was sent fits; up to where the logs agree, or where to look for that."""

    term: UnsignedInt63
    ok: bool
    match: UnsignedInt63  # if ok
    hint_index: UnsignedInt63  # else: the logs can't agree beyond this
    hint_term: UnsignedInt63  # of the entry there, 0 if there is none
    round: UnsignedInt63
    incarnation: UnsignedInt63
    unconfirmed: bool


class InstallSnapshot(Record, tag=5, frozen=True):
    """A piece of a snapshot of the state up to an index."""

    term: UnsignedInt63
    index: UnsignedInt63
    index_term: UnsignedInt63
    offset: UnsignedInt63
    total: UnsignedInt63
    data: Annotated[bytes, msgspec.Meta(max_length=SNAPSHOT_CHUNK_BYTES)]
    round: UnsignedInt63


class InstallSnapshotReply(Record, tag=6, frozen=True):
    """How much of that snapshot is on disk; `done`: it is the state now."""

    term: UnsignedInt63
    index: UnsignedInt63
    offset: UnsignedInt63
    done: bool
    round: UnsignedInt63
    incarnation: UnsignedInt63
    unconfirmed: bool


class ConfirmIncarnation(Record, tag=7, frozen=True):
    """The leader's word that the member of that start has caught up with all that it may have forgotten."""

    term: UnsignedInt63
    incarnation: UnsignedInt63


class TimeoutNow(Record, tag=8, frozen=True):
    """The leader goes: stand for election at once."""

    term: UnsignedInt63


class ConfirmVote(Record, tag=9, frozen=True):
    """A candidate that has its votes, where disks may come back older: are you still who gave me yours?"""

    term: UnsignedInt63


class VoteConfirmation(Record, tag=10, frozen=True):
    """The answer: the term that the sender is in, and its start."""

    term: UnsignedInt63
    incarnation: UnsignedInt63


class MemberNames(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Voters and learners in the data of an entry, where there are learners."""

    voters: list[str]
    learners: list[str]


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | ConfirmIncarnation
    | TimeoutNow
    | ConfirmVote
    | VoteConfirmation
)

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_members: msgspec.msgpack.Decoder[list[str] | MemberNames] = msgspec.msgpack.Decoder(list[str] | MemberNames)


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
    return _encode(MemberNames(list(voters), list(learners)) if learners else list(voters))


def voters_of(entry: Entry) -> tuple[str, ...]:
    """The voters that an entry says."""
    names = _members.decode(entry.data)
    return tuple(names.voters if isinstance(names, MemberNames) else names)


def learners_of(entry: Entry) -> tuple[str, ...]:
    """The learners that an entry says."""
    names = _members.decode(entry.data)
    return tuple(names.learners) if isinstance(names, MemberNames) else ()
