"""Raft state of a member, and access to its log: entries, terms and configurations."""

from __future__ import annotations

import random
from collections.abc import Iterable

from tealwing import log
from tealwing.replica.messages import Entry, InstallSnapshot, Kind, Message, learners_of, voters_of
from tealwing.replica.raft.records import Options, Progress, Role, SnapshotMeta


class RaftState:
    """Persistent and volatile state of a member, with the operations on its log."""

    def __init__(  # noqa: PLR0913 - one parameter for each recovered value
        self,
        local_id: str,
        members: tuple[str, ...],
        now: float,
        seed: int = 0,
        incarnation: int = 1,
        options: Options = Options(),  # noqa: B008 - frozen
        term: int = 0,
        vote: str = "",
        snapshot: SnapshotMeta = SnapshotMeta(),  # noqa: B008 - frozen
        log: Iterable[Entry] = (),
        incoming_snapshot: tuple[int, int, int] = (0, 0, 0),
        commit: int = 0,
        learners: tuple[str, ...] = (),
    ) -> None:
        """Initialize the state from what storage recovered.

        `incarnation` must differ from that of every earlier start of this member. `members` (the voters) and `learners`
        apply if neither the snapshot nor the log has a configuration; both are empty for a member that joins an
        existing group. `incoming_snapshot` is index, term and bytes so far of a partly received snapshot.
        """
        self.local_id, self.options, self.incarnation = local_id, options, incarnation
        self._random = random.Random(seed)
        self.term, self.vote = term, vote
        self.snapshot = snapshot
        self.log_base = (snapshot.index, snapshot.term)  # index and term that precede the first log entry
        self.first_members, self.first_learners = members, learners
        self.log = list(log)  # entries after log_base
        self.members, self.learners = self.members_at(self.last_index)  # voters and learners
        self.applied = snapshot.index
        self.commit = max(snapshot.index, min(commit, self.last_index))
        # learners start unconfirmed too: they may have voted before, or may become voters
        self.unconfirmed = options.max_stale_disks > 0 and self.members != (local_id,)
        self.role, self.leader = Role.FOLLOWER, ""
        self.last_leader_contact = now - 2 * options.election_timeout  # time of the last message from the leader
        self.election_deadline = 0.0
        self.votes: dict[str, tuple[bool, int, bool]] = {}  # granted, incarnation and unconfirmed, by member
        # voters that confirmed their votes for this member; empty before confirmation is requested
        self.vote_confirmations: set[str] = set()
        self.voter_incarnations: dict[str, int] = {}  # incarnations of the voters that elected this member
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.last_round_at = 0.0  # start time of the last round
        self.learner_commit = 0  # commit index last announced to learners
        self.next_learner_round = 0.0  # earliest time of the next announcement to learners
        self.term_start_index = 0  # index of the first entry of this member's term as leader
        self.stable = self.last_index  # index of the last durable entry
        self._hard_state_changed = False  # term or vote not yet written to disk
        self._outgoing: list[tuple[str, Message]] = []
        self._pending_chunk: InstallSnapshot | None = None
        self._incoming_snapshot = incoming_snapshot
        self._reads: list[tuple[int, int]] = []  # read number and the round that confirms it; 0 if not started
        self._done_reads: list[tuple[int, int]] = []  # read number and read index
        self._failed_reads: list[int] = []
        self._reset_election_deadline(now)

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.log_base[0] + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last log entry."""
        return self.log[-1].term if self.log else self.log_base[1]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if the log has no entry there."""
        if index == self.log_base[0]:
            return self.log_base[1]
        position = index - self.log_base[0] - 1
        return self.log[position].term if 0 <= position < len(self.log) else None

    def entries(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last` inclusive that are in the log."""
        begin = self.log_base[0] + 1
        return self.log[max(first - begin, 0) : max(last - begin + 1, 0)]

    def members_at(self, index: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the voters and learners as of an index, which must not be before the snapshot."""
        for entry in reversed(self.entries(self.log_base[0] + 1, index)):
            if entry.kind is Kind.MEMBERS:
                return voters_of(entry), learners_of(entry)
        if self.snapshot.members:
            return self.snapshot.members, self.snapshot.learners
        return self.first_members, self.first_learners

    def _refresh_members(self) -> None:
        """Use the latest configuration in the log, committed or not."""
        self.members, self.learners = self.members_at(self.last_index)

    def _members_index(self) -> int:
        """Return the index of the latest configuration: its entry, or the snapshot."""
        for entry in reversed(self.log):
            if entry.kind is Kind.MEMBERS:
                return entry.index
        return self.snapshot.index

    def _append(self, kind: Kind, data: bytes) -> Entry:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        if kind is Kind.MEMBERS:
            self._refresh_members()
        return entry

    def _truncate(self, index: int) -> None:
        """Remove the entries from an index on, which must be uncommitted."""
        log.check_invariant(index > self.commit, "committed entries are never truncated")
        del self.log[index - self.log_base[0] - 1 :]
        self.stable = min(self.stable, index - 1)
        self._refresh_members()

    def compact(self, meta: SnapshotMeta, retained_entries: int = 0) -> None:
        """Discard the log up to a local snapshot that is durable, except its last `retained_entries` entries.

        With the retained entries a follower that is slightly behind needs no snapshot.
        """
        if meta.index <= self.snapshot.index:
            return
        self.snapshot = meta
        keep = max(self.log_base[0], meta.index - retained_entries)
        term = self.term_at(keep)
        if term is not None:
            self.log, self.log_base = self.entries(keep + 1, self.last_index), (keep, term)

    def _reset_to_snapshot(self, meta: SnapshotMeta) -> None:
        """Replace the log by a received snapshot, and retain later entries if the log matches the snapshot."""
        retained = self.entries(meta.index + 1, self.last_index) if self.term_at(meta.index) == meta.term else []
        self.snapshot, self.log_base, self.log = meta, (meta.index, meta.term), retained

    def _reset_election_deadline(self, now: float) -> None:
        self.election_deadline = now + self.options.election_timeout * (1.0 + self._random.random())

    def _send(self, name: str, message: Message) -> None:
        self._outgoing.append((name, message))
