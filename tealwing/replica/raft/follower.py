"""Follower: processing of AppendEntries and InstallSnapshot."""

from __future__ import annotations

from tealwing import log
from tealwing.replica.messages import AppendEntries, AppendEntriesReply, InstallSnapshot, InstallSnapshotReply, Kind
from tealwing.replica.raft.quorum import QuorumRules
from tealwing.replica.raft.records import Role, SnapshotMeta


class Follower(QuorumRules):
    """Follower logic of a member."""

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote, self._hard_state_changed = term, "", True
        if self.role is Role.LEADER:
            self._failed_reads += [number for number, _ in self._reads]
            self._reads.clear()
            self.progress.clear()
            self._reset_election_deadline(now)
        # a member that did not lead keeps its deadline: a candidate that cannot win must not delay other elections
        self.role, self.leader = Role.FOLLOWER, leader
        self.votes, self.vote_confirmations = {}, set()

    def _recognize_leader(self, now: float, source: str) -> None:
        log.check_invariant(self.role is not Role.LEADER, "a term has at most one leader")
        self._become_follower(now, self.term, source)
        self.last_leader_contact = now
        self._reset_election_deadline(now)

    def _handle_append_entries(self, now: float, source: str, append: AppendEntries) -> None:
        if append.term < self.term:
            self._reject_append(source, append.round, 0)
            return
        self._recognize_leader(now, source)
        last = append.prev_index + len(append.entries)
        if append.prev_index < self.commit and last >= self.commit:  # committed entries match: compare the rest
            entries = append.entries[self.commit - append.prev_index :]
        elif append.prev_index < self.commit:
            self._send(source, self._append_reply(True, self.commit, append.round))
            return
        else:
            if self.term_at(append.prev_index) != append.prev_term:
                self._reject_append(source, append.round, append.prev_index)
                return
            entries = append.entries
        for position, entry in enumerate(entries):
            local_term = self.term_at(entry.index)
            if local_term == entry.term:
                continue
            if local_term is not None:  # conflict: the leader's entries replace the local ones from here
                self._truncate(entry.index)
            self.log += entries[position:]
            if any(later.kind is Kind.MEMBERS for later in entries[position:]):
                self._refresh_members()
            break
        self.commit = max(self.commit, min(append.commit, last))
        self._send(source, self._append_reply(True, last, append.round))

    def _append_reply(self, ok: bool, match: int, round_: int, hint: int = 0, hint_term: int = 0) -> AppendEntriesReply:
        return AppendEntriesReply(self.term, ok, match, hint, hint_term, round_, self.incarnation, self.unconfirmed)

    def _reject_append(self, source: str, round_: int, prev: int) -> None:
        """Reject AppendEntries with a hint: the last index that can match, before any entry of the conflicting term."""
        hint = min(prev, self.last_index)
        conflict = self.term_at(hint)
        if hint == prev and conflict is not None:
            while hint > self.commit and self.term_at(hint) == conflict:
                hint -= 1
        self._send(source, self._append_reply(False, 0, round_, hint, self.term_at(hint) or 0))

    def _handle_install_snapshot(self, now: float, source: str, snap: InstallSnapshot) -> None:
        if snap.term < self.term:
            self._send(
                source,
                InstallSnapshotReply(self.term, snap.index, 0, False, snap.round, self.incarnation, self.unconfirmed),
            )
            return
        self._recognize_leader(now, source)
        if snap.index <= self.commit:
            self._send_snapshot_reply(source, snap, snap.total, True)
            return
        index, term, received = self._incoming_snapshot
        if (index, term) != (snap.index, snap.index_term):
            received = 0
        if snap.offset != received or self._pending_chunk is not None:
            self._send_snapshot_reply(source, snap, received, False)
            return
        received += len(snap.data)
        self._incoming_snapshot = (snap.index, snap.index_term, received)
        self._pending_chunk = snap
        self._send_snapshot_reply(source, snap, received, received >= snap.total)

    def _send_snapshot_reply(self, source: str, snap: InstallSnapshot, offset: int, done: bool) -> None:
        self._send(
            source,
            InstallSnapshotReply(self.term, snap.index, offset, done, snap.round, self.incarnation, self.unconfirmed),
        )

    def snapshot_installed(self, meta: SnapshotMeta) -> None:
        """Adopt a received snapshot that the shell has installed."""
        self._incoming_snapshot = (0, 0, 0)
        self._reset_to_snapshot(meta)
        self.commit, self.applied = max(self.commit, meta.index), max(self.applied, meta.index)
        self.stable = meta.index  # retained entries are written again, after the SnapshotInstalled record
        self._refresh_members()

    def snapshot_rejected(self) -> None:
        """Discard a received snapshot that was damaged; the leader transfers it again."""
        self._incoming_snapshot = (0, 0, 0)
