"""What a member has: its state, and the log with its entries, terms and members."""

from __future__ import annotations

import random
from collections.abc import Iterable

from tealwing import log
from tealwing.replica.messages import Entry, InstallSnapshot, Kind, Message, learners_of, voters_of
from tealwing.replica.raft.records import Options, Progress, Role, SnapshotMeta


class RaftState:
    """The state of a member, and what it does with its log."""

    def __init__(  # noqa: PLR0913 - all that a disk may have, each by its name
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
        """From what the disk has. start is a number that no earlier start of this member had.

        members (who vote) and learners hold where neither snapshot nor log says who they are; none: this one joins a
        fleet that has it added.
        incoming is index, term and size so far of a snapshot that was being received.
        """
        self.local_id, self.options, self.incarnation = local_id, options, incarnation
        self._random = random.Random(seed)
        self.term, self.vote = term, vote
        self.snapshot = snapshot
        self.log_base = (snapshot.index, snapshot.term)  # of what comes before the log: the snapshot's, or older
        self.first_members, self.first_learners = members, learners
        self.log = list(log)  # after the base
        self.members, self.learners = self.members_at(self.last_index)  # who vote, and who only follow
        self.applied = snapshot.index
        self.commit = max(snapshot.index, min(commit, self.last_index))
        self.unconfirmed = options.max_stale_disks > 0 and self.members != (
            local_id,
        )  # a learner too: it may have voted, or come to
        self.role, self.leader = Role.FOLLOWER, ""
        self.last_leader_contact = now - 2 * options.election_timeout  # when a leader was heard
        self.election_deadline = 0.0
        self.votes: dict[str, tuple[bool, int, bool]] = {}  # granted, start and unsure, by who answered
        self.vote_confirmations: set[str] = (
            set()
        )  # who has said again that it holds its vote for us; empty: nobody was asked to
        self.voter_incarnations: dict[str, int] = {}  # the starts that voted for us as we became leader
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.last_round_at = 0.0  # when the last round began
        self.learner_commit = 0  # what was committed when learners were last told of news
        self.next_learner_round = 0.0  # when they may be told of further news
        self.term_start_index = 0  # index of our first entry as leader
        self.stable = self.last_index  # written to disk up to here
        self._hard_state_changed = False  # term or vote is not on disk
        self._outgoing: list[tuple[str, Message]] = []
        self._pending_chunk: InstallSnapshot | None = None
        self._incoming_snapshot = incoming_snapshot
        self._reads: list[tuple[int, int]] = []  # number, round that must be answered; round 0: not begun
        self._done_reads: list[tuple[int, int]] = []
        self._failed_reads: list[int] = []
        self._reset_election_deadline(now)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.log_base[0] + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.log[-1].term if self.log else self.log_base[1]

    def term_at(self, index: int) -> int | None:
        """Term of the entry at an index; None where the log has none there."""
        if index == self.log_base[0]:
            return self.log_base[1]
        place = index - self.log_base[0] - 1
        return self.log[place].term if 0 <= place < len(self.log) else None

    def entries(self, first: int, last: int) -> list[Entry]:
        """The entries from first to last, as far as the log has them."""
        begin = self.log_base[0] + 1
        return self.log[max(first - begin, 0) : max(last - begin + 1, 0)]

    def members_at(self, index: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Voters and learners as of an index, which is not before the snapshot's."""
        for entry in reversed(self.entries(self.log_base[0] + 1, index)):
            if entry.kind is Kind.MEMBERS:
                return voters_of(entry), learners_of(entry)
        if self.snapshot.members:
            return self.snapshot.members, self.snapshot.learners
        return self.first_members, self.first_learners

    def _refresh_members(self) -> None:
        """The log has changed: the members are those of its last word on them, committed or not."""
        self.members, self.learners = self.members_at(self.last_index)

    def _members_index(self) -> int:
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
        """Drop the entries from an index on; none of them was committed."""
        log.check_invariant(index > self.commit, "what is committed is never cut")
        del self.log[index - self.log_base[0] - 1 :]
        self.stable = min(self.stable, index - 1)
        self._refresh_members()

    def compact(self, meta: SnapshotMeta, retained_entries: int = 0) -> None:
        """A snapshot of our own state is on disk: the log up to it can go, but for so many entries.

        Who is a little behind takes those, and not the whole state.
        """
        if meta.index <= self.snapshot.index:
            return
        self.snapshot = meta
        keep = max(self.log_base[0], meta.index - retained_entries)
        term = self.term_at(keep)
        if term is not None:
            self.log, self.log_base = self.entries(keep + 1, self.last_index), (keep, term)

    def _reset_to_snapshot(self, meta: SnapshotMeta) -> None:
        """A snapshot of another takes the place of the log, but for what comes after it and agrees."""
        retained = self.entries(meta.index + 1, self.last_index) if self.term_at(meta.index) == meta.term else []
        self.snapshot, self.log_base, self.log = meta, (meta.index, meta.term), retained

    def _reset_election_deadline(self, now: float) -> None:
        self.election_deadline = now + self.options.election_timeout * (1.0 + self._random.random())

    def _send(self, name: str, message: Message) -> None:
        self._outgoing.append((name, message))
