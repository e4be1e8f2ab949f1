"""Commit index, read-index reads, and confirmation of restarted members."""

from __future__ import annotations

from tealwing.replica.messages import ConfirmIncarnation
from tealwing.replica.raft.records import NotLeaderError, Progress, Role
from tealwing.replica.raft.replication import Replication


class Commitment(Replication):
    """Leader logic that depends on the progress of the followers."""

    def read(self, now: float, number: int) -> None:
        """Start a linearizable read (read-index); `ready` returns it under `number` once a quorum has confirmed it.

        Raises NotLeaderError if this member is not the leader.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self.commit < self.term_start_index:  # commit index unknown until an entry of this term is committed
            self._reads.append((number, 0))
            return
        self._begin_round(now)
        self._reads.append((number, self.round))
        self._answer_reads()

    def _answer_reads(self) -> None:
        if not self._reads:
            return
        unanswered = []
        for number, round_ in self._reads:
            acknowledged = [name for name, progress in self._voter_progress() if progress.acked_round >= round_]
            if round_ and self.is_quorum([self.local_id, *acknowledged]):
                self._done_reads.append((number, self.commit))
            else:
                unanswered.append((number, round_))
        self._reads = unanswered

    def entries_saved(self, now: float, index: int, term: int) -> None:
        """Record that the log is durable up to an index, whose entry had the given term when written."""
        if self.term_at(index) == term and index > self.stable:  # otherwise the entry was truncated during the write
            self.stable = index
            if self.role is Role.LEADER:
                self._advance_commit(now)

    def _advance_commit(self, now: float) -> None:
        """Advance the commit index to the highest entry of the current term that a quorum has on disk."""
        match_indexes = sorted({p.match for _, p in self._voter_progress()} | {self.stable}, reverse=True)
        for index in match_indexes:
            if index <= self.commit or not self._may_commit(index):
                continue
            if self._is_replicated(index):
                self.commit = index
                self._commit_advanced(now)
                return

    def _may_commit(self, index: int) -> bool:
        """Return whether the entry at an index is of the current term: a leader commits no other directly."""
        return self.term_at(index) == self.term

    def _is_replicated(self, index: int) -> bool:
        """Return whether a quorum has the entry at an index on disk."""
        holders = [name for name, progress in self._voter_progress() if progress.match >= index]
        return self.is_quorum([self.local_id, *holders] if self.stable >= index else holders)

    def _commit_advanced(self, now: float) -> None:
        if self.commit >= self.term_start_index:
            # a quorum elected this incarnation, so no committed entry can be missing here
            self.unconfirmed = False
        if self.local_id not in self.members and self.commit >= self._members_index():
            self._become_follower(now, self.term, "")  # this member's removal is committed
            return
        waiting = [number for number, round_ in self._reads if not round_]
        if waiting and self.commit >= self.term_start_index:
            self._reads = [read for read in self._reads if read[1]]
            for number in waiting:
                self.read(now, number)
        for name, progress in self.progress.items():
            self._confirm_incarnation(name, progress)
        self._replicate(now)

    def _confirm_incarnation(self, name: str, progress: Progress) -> None:
        """Send ConfirmIncarnation to a member that holds everything its disk may have lost."""
        if self.role is not Role.LEADER or not progress.unconfirmed or self.commit < self.term_start_index:
            return
        if progress.match < self.commit:
            return
        if self.voter_incarnations.get(name) != progress.incarnation:  # this incarnation did not vote for this leader
            acknowledged = [
                other
                for other, p in self._voter_progress()
                if other != name and p.acked_round > progress.incarnation_round
            ]
            if not self.is_quorum([self.local_id, *acknowledged]):
                return
        self._send(name, ConfirmIncarnation(self.term, progress.incarnation))
