"""A follower: what it makes of a leader's entries and snapshots."""

from __future__ import annotations

from tealwing import log
from tealwing.replica.messages import Append, AppendReply, Kind, Snap, SnapReply
from tealwing.replica.raft.quorum import Quorums
from tealwing.replica.raft.records import Meta, Role


class Following(Quorums):
    """What a member does that is led."""

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote, self._hard = term, "", True
        if self.role is Role.LEADER:
            self._failed_reads += [number for number, _ in self._reads]
            self._reads.clear()
            self.progress.clear()
            self._reset_deadline(now)
        # others keep theirs: whoever asks for votes that nobody gives must not keep the rest from asking
        self.role, self.leader = Role.FOLLOWER, leader
        self.votes, self.held = {}, set()

    def _hear_leader(self, now: float, source: str) -> None:
        log.check_invariant(self.role is not Role.LEADER, "one leader in a term")
        self._follow(now, self.term, source)
        self.heard = now
        self._reset_deadline(now)

    def _hear_append(self, now: float, source: str, append: Append) -> None:
        if append.term < self.term:
            self._refuse(source, append.round, 0)
            return
        self._hear_leader(now, source)
        last = append.prev_index + len(append.entries)
        if append.prev_index < self.commit and last >= self.commit:  # what is committed agrees: look at the rest only
            entries = append.entries[self.commit - append.prev_index :]
        elif append.prev_index < self.commit:
            self._send(source, self._reply(True, self.commit, append.round))
            return
        else:
            if self.term_at(append.prev_index) != append.prev_term:
                self._refuse(source, append.round, append.prev_index)
                return
            entries = append.entries
        for place, entry in enumerate(entries):
            mine = self.term_at(entry.index)
            if mine == entry.term:
                continue
            if mine is not None:  # the leader's log goes before ours from the first index where terms differ
                self._cut(entry.index)
            self.log += entries[place:]
            if any(later.kind is Kind.MEMBERS for later in entries[place:]):
                self._look_for_members()
            break
        self.commit = max(self.commit, min(append.commit, last))
        self._send(source, self._reply(True, last, append.round))

    def _reply(self, ok: bool, match: int, round_: int, hint: int = 0, hint_term: int = 0) -> AppendReply:
        return AppendReply(self.term, ok, match, hint, hint_term, round_, self.start, self.unsure)

    def _refuse(self, source: str, round_: int, prev: int) -> None:
        """Say where to look: the last of ours that can agree, past the whole term of a conflict."""
        hint = min(prev, self.last_index)
        conflict = self.term_at(hint)
        if hint == prev and conflict is not None:
            while hint > self.commit and self.term_at(hint) == conflict:
                hint -= 1
        self._send(source, self._reply(False, 0, round_, hint, self.term_at(hint) or 0))

    def _hear_snap(self, now: float, source: str, snap: Snap) -> None:
        if snap.term < self.term:
            self._send(source, SnapReply(self.term, snap.index, 0, False, snap.round, self.start, self.unsure))
            return
        self._hear_leader(now, source)
        if snap.index <= self.commit:
            self._snap_reply(source, snap, snap.total, True)
            return
        index, term, have = self._incoming
        if (index, term) != (snap.index, snap.index_term):
            have = 0
        if snap.offset != have or self._chunk is not None:
            self._snap_reply(source, snap, have, False)
            return
        have += len(snap.data)
        self._incoming = (snap.index, snap.index_term, have)
        self._chunk = snap
        self._snap_reply(source, snap, have, have >= snap.total)

    def _snap_reply(self, source: str, snap: Snap, offset: int, done: bool) -> None:
        self._send(source, SnapReply(self.term, snap.index, offset, done, snap.round, self.start, self.unsure))

    def installed(self, meta: Meta) -> None:
        """The received snapshot is the state now."""
        self._incoming = (0, 0, 0)
        self._take_snapshot(meta)
        self.commit, self.applied = max(self.commit, meta.index), max(self.applied, meta.index)
        self.stable = meta.index  # what is kept after it is written again, behind the word of the snapshot
        self._look_for_members()

    def not_installed(self) -> None:
        """The received snapshot was no good: it has to come anew."""
        self._incoming = (0, 0, 0)
