"""A leader: what it takes, and what it hears of its followers."""

from __future__ import annotations

from tealwing.replica.messages import AppendReply, Kind, SnapReply
from tealwing.replica.raft.membership import Changing
from tealwing.replica.raft.records import Busy, Mode, NotLeader, Progress, Role


class Leading(Changing):
    """What a leader does."""

    def propose(self, now: float, data: bytes, more: bool = False) -> tuple[int, int]:
        """A command for the state; its index and term, where it will be if it is committed. NotLeader or Busy.

        more: others may follow at once, and `send_new` sends them together, one message to each follower.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.last_index - self.commit >= self.options.uncommitted:
            raise Busy(f"{self.options.uncommitted} entries wait to be committed")
        entry = self._append(Kind.DATA, data)
        if not more:
            self._replicate(now)
        return entry.index, entry.term

    def send_new(self, now: float) -> None:
        """What was proposed with others to follow goes out now; nothing where we lead no more."""
        if self.role is Role.LEADER:
            self._replicate(now)

    def _lead(self, now: float) -> None:
        if self.options.check_quorum:
            recent = [name for name, p in self._voting() if now - p.heard < self.options.election]
            if not self.enough([self.me, *recent]):
                self._follow(now, self.term, "")  # another may lead already: ours is no word to act on
                return
        for progress in self.progress.values():
            if progress.sent and now - progress.sent >= self.options.resend:
                self._probe(progress)
        if now >= self.beaten + self.options.beat:
            self._begin_round(now)

    def _hear_start(self, progress: Progress, now: float, start: int, unsure: bool) -> None:
        progress.heard = now
        if start != progress.start:  # it has begun anew, and may have forgotten: no earlier word of it counts
            if progress.start:
                progress.match, progress.offset, progress.told = 0, 0, 0
                progress.inflight.clear()
                progress.sent, progress.mode = 0.0, Mode.PROBE
                progress.next = min(progress.next, self.last_index + 1)  # a guess: it says where it is
            progress.start, progress.round, progress.known_round = start, 0, self.round
        progress.unsure = unsure

    def _hear_reply(self, now: float, name: str, progress: Progress, reply: AppendReply) -> None:
        progress.round = max(progress.round, reply.round)
        if progress.mode is Mode.SNAPSHOT and not reply.ok:
            self._answer_reads()
            return
        if reply.ok:
            while progress.inflight and progress.inflight[0] <= reply.match:
                progress.inflight.popleft()
            progress.sent = now if progress.inflight else 0.0
            if reply.match > progress.match:
                progress.match = reply.match
            progress.next = max(progress.next, progress.match + 1)
            if progress.mode is Mode.PROBE:
                progress.mode, progress.next = Mode.REPLICATE, progress.match + 1
                progress.inflight.clear()
                progress.sent = 0.0
            self._advance_commit(now)
        elif not self._back_up(progress, reply):
            self._answer_reads()
            return  # nothing new to try: with the next beat
        self._answer_reads()
        self._send_to(now, name, progress)

    def _back_up(self, progress: Progress, reply: AppendReply) -> bool:
        """A refused append: go back to where the logs can agree, never before what is known to. Whether that is new."""
        before = progress.next
        progress.inflight.clear()
        progress.sent = 0.0
        progress.mode = Mode.PROBE
        place = min(reply.hint_index, self.last_index)
        while place > progress.match and (self.term_at(place) or 0) > reply.hint_term:
            place -= 1  # a term of ours that it does not have there can't agree
        progress.next = max(progress.match + 1, min(place + 1, progress.next))
        return progress.next != before

    def _hear_snap_reply(self, now: float, name: str, progress: Progress, reply: SnapReply) -> None:
        progress.round = max(progress.round, reply.round)
        progress.inflight.clear()
        progress.sent = 0.0
        if reply.done:
            progress.match = max(progress.match, reply.index)
            progress.next, progress.mode = max(progress.next, progress.match + 1), Mode.PROBE
            self._advance_commit(now)
        elif reply.index == self.snapshot.index:
            progress.offset = min(reply.offset, self.snapshot.size)
        else:
            progress.offset = 0  # of a snapshot that is no more
        self._answer_reads()
        self._send_to(now, name, progress)
