"""Leader: proposals, and processing of the replies of followers."""

from __future__ import annotations

from tealwing.replica.messages import AppendEntriesReply, InstallSnapshotReply, Kind
from tealwing.replica.raft.membership import Membership
from tealwing.replica.raft.records import BusyError, Mode, NotLeaderError, Progress, Role


class Leader(Membership):
    """Leader logic of a member."""

    def propose(self, now: float, data: bytes, defer_send: bool = False) -> tuple[int, int]:
        """Append a command and return its index and term, which identify it if it is committed.

        With `defer_send` it is not sent before `send_deferred`, which batches several proposals.

        Raises NotLeaderError if this member is not the leader, BusyError if too many entries are uncommitted.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self.last_index - self.commit >= self.options.max_uncommitted:
            raise BusyError(
                f"{self.options.max_uncommitted} entries are uncommitted, which is the maximum; retry later"
            )
        entry = self._append(Kind.DATA, data)
        if not defer_send:
            self._replicate(now)
        return entry.index, entry.term

    def send_deferred(self, now: float) -> None:
        """Send deferred proposals; do nothing if this member no longer leads."""
        if self.role is Role.LEADER:
            self._replicate(now)

    def _leader_tick(self, now: float) -> None:
        if self.options.check_quorum:
            recent = [
                name for name, p in self._voter_progress() if now - p.last_contact < self.options.election_timeout
            ]
            if not self.is_quorum([self.local_id, *recent]):
                self._become_follower(now, self.term, "")  # another leader may have been elected
                return
        for progress in self.progress.values():
            if progress.unanswered_since and now - progress.unanswered_since >= self.options.resend_timeout:
                self._restart_probing(progress)
        if now >= self.last_round_at + self.options.heartbeat_interval:
            self._begin_round(now)

    def _observe_incarnation(self, progress: Progress, now: float, incarnation: int, unconfirmed: bool) -> None:
        """Record contact with a follower; after its restart discard what it acknowledged, which may be lost."""
        progress.last_contact = now
        if incarnation != progress.incarnation:
            if progress.incarnation:
                progress.match, progress.snapshot_offset, progress.known_commit = 0, 0, 0
                progress.inflight.clear()
                progress.unanswered_since, progress.mode = 0.0, Mode.PROBE
                progress.next = min(progress.next, self.last_index + 1)  # an estimate, corrected by its reply
            progress.incarnation, progress.acked_round, progress.incarnation_round = incarnation, 0, self.round
        progress.unconfirmed = unconfirmed

    def _handle_append_reply(self, now: float, name: str, progress: Progress, reply: AppendEntriesReply) -> None:
        progress.acked_round = max(progress.acked_round, reply.round)
        if progress.mode is Mode.SNAPSHOT and not reply.ok:
            self._answer_reads()
            return
        if reply.ok:
            while progress.inflight and progress.inflight[0] <= reply.match:
                progress.inflight.popleft()
            progress.unanswered_since = now if progress.inflight else 0.0
            if reply.match > progress.match:
                progress.match = reply.match
            progress.next = max(progress.next, progress.match + 1)
            if progress.mode is Mode.PROBE:
                progress.mode, progress.next = Mode.REPLICATE, progress.match + 1
                progress.inflight.clear()
                progress.unanswered_since = 0.0
            self._advance_commit(now)
        elif not self._back_off_next(progress, reply):
            self._answer_reads()
            return  # `next` is unchanged: retried with the next heartbeat
        self._answer_reads()
        self._send_to(now, name, progress)

    def _back_off_next(self, progress: Progress, reply: AppendEntriesReply) -> bool:
        """Move `next` back after a rejected append, never below the match index; return whether it changed."""
        before = progress.next
        progress.inflight.clear()
        progress.unanswered_since = 0.0
        progress.mode = Mode.PROBE
        index = min(reply.hint_index, self.last_index)
        while index > progress.match and (self.term_at(index) or 0) > reply.hint_term:
            index -= 1  # the local term here is above that of the hint, so the entry cannot match
        progress.next = max(progress.match + 1, min(index + 1, progress.next))
        return progress.next != before

    def _handle_snapshot_reply(self, now: float, name: str, progress: Progress, reply: InstallSnapshotReply) -> None:
        progress.acked_round = max(progress.acked_round, reply.round)
        progress.inflight.clear()
        progress.unanswered_since = 0.0
        if reply.done:
            progress.match = max(progress.match, reply.index)
            progress.next, progress.mode = max(progress.next, progress.match + 1), Mode.PROBE
            self._advance_commit(now)
        elif reply.index == self.snapshot.index:
            progress.snapshot_offset = min(reply.offset, self.snapshot.size)
        else:
            progress.snapshot_offset = 0  # the reply is for an older snapshot
        self._answer_reads()
        self._send_to(now, name, progress)
