"""What the core is told, keeps and says: roles, options, snapshots, progress, errors."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from tealwing.replica.errors import ReplicaError
from tealwing.replica.messages import Entry, InstallSnapshot, Message


class Role(Enum):
    """What a member is for now."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Mode(Enum):
    """How the leader sends to a follower."""

    PROBE = "probe"  # one message at a time, until it is known where the logs agree
    REPLICATE = "replicate"  # several under way
    SNAPSHOT = "snapshot"  # it needs what the log has no more


@dataclass(frozen=True, slots=True)
class Options:
    """Seconds, bytes and counts; the same at all members but for mutations of the model check."""

    heartbeat_interval: float = 0.1  # s between two rounds of a leader that has nothing else to say
    learner_heartbeat_interval: float = (
        0.5  # s between two words to a learner that has nothing new to hear: see Replication
    )
    learner_message_rate: float = (
        4000.0  # messages a second with news for learners, but for those of `broadcast_commit`: see Replication
    )
    election_timeout: float = 0.6  # s without a leader after which a member asks for votes, at least; up to twice that
    resend_timeout: float = 0.5  # s without an answer after which what is under way to a follower counts as lost
    max_batch_bytes: int = 64 * 1024  # bytes of entries in one message, but one entry at least
    max_batch_entries: int = 256  # of one message
    max_inflight: int = 8  # messages under way to one follower
    max_uncommitted: int = 4096  # entries beyond which a leader takes no more for now
    max_snapshot_transfers: int = 2  # snapshots under way at once, lest a fleet that returns takes them all together
    uncommitted_to_learners: bool = (
        False  # learners get entries before those are committed: for the model check, which then sees more
    )
    max_stale_disks: int = 0  # members that may at once have come back with an older disk
    pre_vote: bool = True
    check_quorum: bool = True


class NotLeaderError(ReplicaError):
    """Only the leader can do that; `leader` is who that may be, empty if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; {leader or 'nobody'} may be")
        self.leader = leader


class BusyError(ReplicaError):
    """Not now: too much is under way, or another change of members is, or a learner can't vote yet."""


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """A snapshot: the state up to an index, its term, the voters then, its size in bytes, the learners then."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    size: int = 0
    learners: tuple[str, ...] = ()


@dataclass(slots=True)
class Progress:
    """What the leader knows of one follower."""

    next: int
    match: int = 0
    mode: Mode = Mode.PROBE
    inflight: deque[int] = field(default_factory=deque)  # last index of each message under way
    unanswered_since: float = 0.0  # when the oldest that is unanswered was sent; 0: none is
    last_contact: float = 0.0
    acked_round: int = 0  # highest that it answered
    incarnation: int = 0  # of its process, as it said last
    unconfirmed: bool = False
    incarnation_round: int = 0  # our round when we heard of that start first
    snapshot_offset: int = 0  # of the snapshot that it has
    next_heartbeat: float = 0.0  # when the next beat to a learner is
    known_commit: int = 0  # the commit that it was told, if nothing was lost

    def clone(self) -> Progress:
        """One like this."""
        return Progress(
            self.next,
            self.match,
            self.mode,
            deque(self.inflight),
            self.unanswered_since,
            self.last_contact,
            self.acked_round,
            self.incarnation,
            self.unconfirmed,
            self.incarnation_round,
            self.snapshot_offset,
            self.next_heartbeat,
            self.known_commit,
        )


@dataclass(slots=True)
class Ready:
    """What the shell has to do, in this order: write, say `entries_saved`, send, apply, answer reads."""

    hard_state: tuple[int, str] | None  # term and vote, to be on disk before anything is sent
    entries: list[Entry]  # to be on disk; the first takes the place of all from its index on
    chunk: InstallSnapshot | None  # a piece of a snapshot, to be on disk; the last one of it then is to be installed
    messages: list[tuple[str, Message]]
    committed: list[Entry]
    reads: list[tuple[int, int]]  # number and index: once the state is at the index, the read may be answered
    failed_reads: list[int]
