"""Data types of the core: roles, options, snapshot metadata, progress, Ready and errors."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from tealwing.replica.errors import ReplicaError
from tealwing.replica.messages import Entry, InstallSnapshot, Message


class Role(Enum):
    """Current role of a member."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Mode(Enum):
    """Replication mode of a follower, as tracked by the leader."""

    PROBE = "probe"  # one message in flight, until the match index is known
    REPLICATE = "replicate"  # several messages in flight
    SNAPSHOT = "snapshot"  # it needs entries that were compacted


@dataclass(frozen=True, slots=True)
class Options:
    """Tuning options, identical at all members except in mutations of the model check."""

    heartbeat_interval: float = 0.1  # s between rounds of an idle leader
    learner_heartbeat_interval: float = 0.5  # s between heartbeats to an idle learner: see Replication
    # maximum update messages to learners per s, except those of `broadcast_commit`: see Replication
    learner_message_rate: float = 4000.0
    election_timeout: float = 0.6  # minimum s without a leader before an election; randomized up to twice as long
    resend_timeout: float = 0.5  # s without a reply after which messages in flight count as lost
    max_batch_bytes: int = 64 * 1024  # maximum bytes of entries in one message, which has at least one entry
    max_batch_entries: int = 256  # maximum entries in one message
    max_inflight: int = 8  # maximum messages in flight to one follower
    max_uncommitted: int = 4096  # uncommitted entries at which proposals are rejected
    max_snapshot_transfers: int = 2  # concurrent snapshot transfers, to bound the load when many members return
    # send uncommitted entries to learners: for the model check, which then covers more states
    uncommitted_to_learners: bool = False
    max_stale_disks: int = 0  # maximum members with a stale disk at one time
    pre_vote: bool = True
    check_quorum: bool = True


class NotLeaderError(ReplicaError):
    """This member is not the leader; `leader` is the presumed leader, empty if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"this member is not the leader; last known leader: {leader or 'none'}")
        self.leader = leader


class BusyError(ReplicaError):
    """Retry later: too many uncommitted entries, a pending membership change, or a learner not yet promotable."""


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """Snapshot metadata: last index and term included, voters, size in bytes, and learners."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    size: int = 0
    learners: tuple[str, ...] = ()


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower, as known to the leader."""

    next: int  # index of the next entry to send
    match: int = 0  # highest index known to be replicated
    mode: Mode = Mode.PROBE
    inflight: deque[int] = field(default_factory=deque)  # last index of each message in flight
    unanswered_since: float = 0.0  # time since which a reply is awaited, 0 if none is
    last_contact: float = 0.0  # time of the last reply, or of the start of replication to it
    acked_round: int = 0  # highest round acknowledged
    incarnation: int = 0  # last reported incarnation
    unconfirmed: bool = False  # whether that incarnation is not yet confirmed
    incarnation_round: int = 0  # the leader's round when this incarnation was first seen
    snapshot_offset: int = 0  # bytes of the snapshot already received
    next_heartbeat: float = 0.0  # time of the next heartbeat to a learner
    known_commit: int = 0  # highest commit index sent

    def clone(self) -> Progress:
        """Return an independent copy."""
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
    """Work for the shell, in this order: write, call `entries_saved`, send, apply, answer reads."""

    hard_state: tuple[int, str] | None  # term and vote, to be durable before any message is sent
    entries: list[Entry]  # to be made durable; the first replaces all entries from its index on
    chunk: InstallSnapshot | None  # snapshot chunk to be made durable; install the snapshot after its last chunk
    messages: list[tuple[str, Message]]
    committed: list[Entry]
    reads: list[tuple[int, int]]  # read number, and the index that must be applied before the read is answered
    failed_reads: list[int]
