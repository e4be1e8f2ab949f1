"""A leader's messages: rounds, entries and snapshots, as far as they may be under way."""

from __future__ import annotations

from tealwing import log
from tealwing.replica.messages import Append, Entry, Snap
from tealwing.replica.raft.following import Following
from tealwing.replica.raft.records import Mode, Progress, Role


class Sending(Following):
    """What a leader says.

    Learners may be many, so a leader that has nothing new to say costs little for them: each has a beat of its own,
    `learner_beat` apart and spread evenly, so that of n learners n * beat / learner_beat hear something in a round (40
    of 200). What is new does not wait for that: entries go out with the next round (that of `hurry`, where it must be
    now) once they are committed, as before that a learner has no use for them, and with the word that they are: one
    message, and one answer, for all that a round has of news. Rounds with news for learners are so far apart that
    these messages stay within `news_rate`: acknowledgements of 1,100 members come in over many rounds, and a leader
    that told all of each round had no time left to take them in. Who votes gets entries at once, as ever. A learner
    that was not heard for two of its beats gets no entries and no pieces of a snapshot, only its beat, until it is
    heard again: else those that are gone would take the places of those that wait for a snapshot.
    """

    def _begin_round(self, now: float) -> None:
        """One message to everyone, numbered: its answers show who still follows us."""
        self.round += 1
        self.beaten = now
        if now >= self.news_due:
            self.told, self.news_due = self.commit, now + len(self.learners) / self.options.news_rate
        for name, progress in self.progress.items():
            self._send_to(now, name, progress, beat=name in self.members or self._beat_due(now, progress))

    def hurry(self, now: float) -> bool:
        """Begin a round at once, so that all learn now how far the log is committed; whether one was begun.

        None is where nothing was committed since the last one began, or where we don't lead.
        """
        if self.role is not Role.LEADER or self.told >= self.commit:
            return False
        self.news_due = now
        self._begin_round(now)
        return True

    def _beat_due(self, now: float, progress: Progress) -> bool:
        """Whether a learner is to hear something in this round though there are no entries for it."""
        if now < progress.due:
            return progress.told < self.told
        late = now - progress.due >= self.options.learner_beat
        progress.due = (now if late else progress.due) + self.options.learner_beat
        return True

    def _is_lost(self, now: float, name: str, progress: Progress) -> bool:
        silent = max(self.options.election, 2 * self.options.learner_beat)
        return now - progress.heard >= silent and name not in self.members

    def _replicate(self, now: float) -> None:
        for name, progress in self.progress.items():
            self._send_to(now, name, progress)

    def _send_to(self, now: float, name: str, progress: Progress, beat: bool = False) -> None:
        """What a follower needs next, as far as it may be under way; a beat at least, where one is due."""
        if self._is_lost(now, name, progress):
            if beat:
                self._send_life(name, progress)
            return
        if progress.next <= self.base[0]:
            self._send_snap(now, name, progress, beat)
            return
        progress.mode = Mode.PROBE if progress.mode is Mode.SNAPSHOT else progress.mode
        room = self.options.inflight if progress.mode is Mode.REPLICATE else 1
        sent = False
        last = self._up_to(name, progress)
        while len(progress.inflight) < room and progress.next <= last:
            entries = self._batch(progress.next, last)
            self._send_append(now, name, progress, entries)
            sent = True
            progress.inflight.append(entries[-1].index)
            if progress.mode is not Mode.REPLICATE:
                break
            progress.next = entries[-1].index + 1
        if beat and not sent:
            self._send_append(now, name, progress, [])

    def _up_to(self, name: str, progress: Progress) -> int:
        """Index of the last entry that a follower is to have now."""
        if name in self.members or progress.unsure or self.options.early:
            return self.last_index
        return self.told

    def _send_append(self, now: float, name: str, progress: Progress, entries: list[Entry]) -> None:
        prev = progress.next - 1
        term = self.term_at(prev)
        if term is None:
            log.check_invariant(False, "what a follower needs is in the log, or in the snapshot")
            return
        self._send(name, Append(self.term, prev, term, tuple(entries), self.commit, self.round))
        progress.told = max(progress.told, min(self.commit, prev + len(entries)))
        if entries and not progress.sent:
            progress.sent = now

    def _send_life(self, name: str, progress: Progress) -> None:
        """A sign of life: it may well be refused, and its answer says that the member hears us."""
        progress.told = self.commit
        self._send(name, Append(self.term, self.last_index, self.last_term, (), self.commit, self.round))

    def _batch(self, first: int, last: int) -> list[Entry]:
        found: list[Entry] = []
        size = 0
        for entry in self.entries(first, min(last, first + self.options.entries - 1)):
            if found and size + len(entry.data) > self.options.batch:
                break
            found.append(entry)
            size += len(entry.data)
        return found

    def _send_snap(self, now: float, name: str, progress: Progress, beat: bool) -> None:
        """One piece at a time, sent again where no answer came; the shell puts the bytes in."""
        taking = sum(1 for other in self.progress.values() if other.mode is Mode.SNAPSHOT and other.inflight)
        if progress.mode is not Mode.SNAPSHOT:
            progress.mode, progress.offset = Mode.SNAPSHOT, 0
            progress.inflight.clear()
        if progress.inflight or taking >= self.options.sending:
            if beat:
                self._send_life(name, progress)
            return
        meta = self.snapshot
        progress.inflight.append(meta.index)
        progress.sent = now
        self._send(name, Snap(self.term, meta.index, meta.term, progress.offset, meta.size, b"", self.round))

    def _probe(self, progress: Progress) -> None:
        """What is under way counts as lost: find out anew where the logs agree."""
        progress.inflight.clear()
        progress.sent = 0.0
        if progress.mode is Mode.REPLICATE:  # else where they agree is not known, and `next` is our guess at it
            progress.mode, progress.next = Mode.PROBE, progress.match + 1
