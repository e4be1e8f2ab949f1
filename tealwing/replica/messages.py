"""Raft messages, log entries and their encoding; no I/O."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from tealwing.record import Record as Record
from tealwing.record import UnsignedInt63 as UnsignedInt63

CHANNEL = 2  # channel number on the peer link
SNAPSHOT_CHUNK_BYTES = 256 * 1024  # maximum snapshot bytes in one message


class Kind(IntEnum):
    """Type of a log entry."""

    NOOP = 0  # first entry of a leader's term: committing it commits all earlier entries
    DATA = 1  # command for the state machine
    MEMBERS = 2  # cluster configuration that applies from this entry on: see `members_data`


class Entry(Record, frozen=True):
    """An entry of the replicated log."""

    index: UnsignedInt63
    term: UnsignedInt63
    kind: Kind
    data: bytes


class RequestVote(Record, tag=1, frozen=True):
    """RequestVote RPC; with `pre_vote` it changes neither the term nor the vote of sender or receiver."""

    term: UnsignedInt63
    last_index: UnsignedInt63
    last_term: UnsignedInt63
    pre_vote: bool
    leadership_transfer: bool = False  # requested by the leader: ignore recent contact with the leader


class RequestVoteReply(Record, tag=2, frozen=True):
    """Reply to RequestVote; `requested_term` is the term of the request."""

    term: UnsignedInt63
    requested_term: UnsignedInt63
    pre_vote: bool
    granted: bool
    incarnation: UnsignedInt63  # of the sender: see the raft package
    unconfirmed: bool  # whether the sender's incarnation is not yet confirmed by a leader


class AppendEntries(Record, tag=3, frozen=True):
    """AppendEntries RPC: entries after `prev_index`, and the commit index; empty as a heartbeat."""

    term: UnsignedInt63
    prev_index: UnsignedInt63
    prev_term: UnsignedInt63
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=1024)]
    commit: UnsignedInt63
    round: UnsignedInt63


class AppendEntriesReply(Record, tag=4, frozen=True):
    """Reply to AppendEntries: the match index if accepted, else a hint for the next `prev_index`."""

    term: UnsignedInt63
    ok: bool
    match: UnsignedInt63  # highest matching index, if ok
    hint_index: UnsignedInt63  # otherwise: the logs cannot match after this index
    hint_term: UnsignedInt63  # term of the entry at hint_index, 0 if there is none
    round: UnsignedInt63
    incarnation: UnsignedInt63
    unconfirmed: bool


class InstallSnapshot(Record, tag=5, frozen=True):
    """InstallSnapshot RPC: one chunk of the snapshot at `index`."""

    term: UnsignedInt63
    index: UnsignedInt63
    index_term: UnsignedInt63
    offset: UnsignedInt63
    total: UnsignedInt63
    data: Annotated[bytes, msgspec.Meta(max_length=SNAPSHOT_CHUNK_BYTES)]
    round: UnsignedInt63


class InstallSnapshotReply(Record, tag=6, frozen=True):
    """Reply to InstallSnapshot: bytes received so far; `done` if no further chunk is needed."""

    term: UnsignedInt63
    index: UnsignedInt63
    offset: UnsignedInt63
    done: bool
    round: UnsignedInt63
    incarnation: UnsignedInt63
    unconfirmed: bool


class ConfirmIncarnation(Record, tag=7, frozen=True):
    """Leader's confirmation that this incarnation of a member holds everything its disk may have lost."""

    term: UnsignedInt63
    incarnation: UnsignedInt63


class TimeoutNow(Record, tag=8, frozen=True):
    """TimeoutNow RPC: start an election at once, as the leader is transferring leadership."""

    term: UnsignedInt63


class ConfirmVote(Record, tag=9, frozen=True):
    """Request of a candidate with a quorum of votes that a voter confirm its vote; sent if `stale` is above 0."""

    term: UnsignedInt63


class VoteConfirmation(Record, tag=10, frozen=True):
    """Reply to ConfirmVote: the current term and the incarnation of the sender."""

    term: UnsignedInt63
    incarnation: UnsignedInt63


class MemberNames(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Data of a MEMBERS entry with learners: names of voters and learners."""

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
    """Return the encoded message."""
    return _encode(message)


def decode(data: bytes) -> Message:
    """Return the decoded message.

    Raises ValueError if the data is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a valid Raft message: {error}") from None


def members_data(voters: tuple[str, ...], learners: tuple[str, ...] = ()) -> bytes:
    """Return the data of a MEMBERS entry.

    Without learners it is a plain list of names, for compatibility with older logs.
    """
    return _encode(MemberNames(list(voters), list(learners)) if learners else list(voters))


def voters_of(entry: Entry) -> tuple[str, ...]:
    """Return the voters in a MEMBERS entry."""
    names = _members.decode(entry.data)
    return tuple(names.voters if isinstance(names, MemberNames) else names)


def learners_of(entry: Entry) -> tuple[str, ...]:
    """Return the learners in a MEMBERS entry."""
    names = _members.decode(entry.data)
    return tuple(names.learners) if isinstance(names, MemberNames) else ()
