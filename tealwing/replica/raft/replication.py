"""A leader's messages: rounds, entries and snapshots, as far as they may be under way."""

from __future__ import annotations

from tealwing import log
from tealwing.replica.messages import AppendEntries, Entry, InstallSnapshot
from tealwing.replica.raft.follower import Follower
from tealwing.replica.raft.records import Mode, Progress, Role


class Replication(Follower):
    """What a leader says.

    Learners may be many, so a leader that has nothing new to say costs little for them: each has a beat of its own,
    `learner_heartbeat_interval` apart and spread evenly, so that of n learners n * heartbeat_interval /
    learner_heartbeat_interval hear something in a round (40 of 200). What is new does not wait for that: entries go out
    with the next round (that of `broadcast_commit`, where it must be now) once they are committed, as before that a
    learner has no use for them, and with the word that they are: one message, and one answer, for all that a round has
    of news. Rounds with news for learners are so far apart that these messages stay within `learner_message_rate`:
    acknowledgements of 1,100 members come in over many rounds, and a leader that told all of each round had no time
    left to take them in. Who votes gets entries at once, as ever. A learner that was not heard for two of its beats
    gets no entries and no pieces of a snapshot, only its beat, until it is heard again: else those that are gone would
    take the places of those that wait for a snapshot.
    """

    def _begin_round(self, now: float) -> None:
        """One message to everyone, numbered: its answers show who still follows us."""
        self.round += 1
        self.last_round_at = now
        if now >= self.next_learner_round:
            self.learner_commit, self.next_learner_round = (
                self.commit,
                now + len(self.learners) / self.options.learner_message_rate,
            )
        for name, progress in self.progress.items():
            self._send_to(now, name, progress, heartbeat=name in self.members or self._heartbeat_due(now, progress))

    def broadcast_commit(self, now: float) -> bool:
        """Begin a round at once, so that all learn now how far the log is committed; whether one was begun.

        None is where nothing was committed since the last one began, or where we don't lead.
        """
        if self.role is not Role.LEADER or self.learner_commit >= self.commit:
            return False
        self.next_learner_round = now
        self._begin_round(now)
        return True

    def _heartbeat_due(self, now: float, progress: Progress) -> bool:
        """Whether a learner is to hear something in this round though there are no entries for it."""
        if now < progress.next_heartbeat:
            return progress.known_commit < self.learner_commit
        overdue = now - progress.next_heartbeat >= self.options.learner_heartbeat_interval
        progress.next_heartbeat = (
            now if overdue else progress.next_heartbeat
        ) + self.options.learner_heartbeat_interval
        return True

    def _is_unreachable_learner(self, now: float, name: str, progress: Progress) -> bool:
        silent = max(self.options.election_timeout, 2 * self.options.learner_heartbeat_interval)
        return now - progress.last_contact >= silent and name not in self.members

    def _replicate(self, now: float) -> None:
        for name, progress in self.progress.items():
            self._send_to(now, name, progress)

    def _send_to(self, now: float, name: str, progress: Progress, heartbeat: bool = False) -> None:
        """What a follower needs next, as far as it may be under way; a beat at least, where one is due."""
        if self._is_unreachable_learner(now, name, progress):
            if heartbeat:
                self._send_heartbeat(name, progress)
            return
        if progress.next <= self.log_base[0]:
            self._send_snapshot_chunk(now, name, progress, heartbeat)
            return
        progress.mode = Mode.PROBE if progress.mode is Mode.SNAPSHOT else progress.mode
        max_inflight = self.options.max_inflight if progress.mode is Mode.REPLICATE else 1
        sent = False
        last = self._last_index_for(name, progress)
        while len(progress.inflight) < max_inflight and progress.next <= last:
            entries = self._next_batch(progress.next, last)
            self._send_entries(now, name, progress, entries)
            sent = True
            progress.inflight.append(entries[-1].index)
            if progress.mode is not Mode.REPLICATE:
                break
            progress.next = entries[-1].index + 1
        if heartbeat and not sent:
            self._send_entries(now, name, progress, [])

    def _last_index_for(self, name: str, progress: Progress) -> int:
        """Index of the last entry that a follower is to have now."""
        if name in self.members or progress.unconfirmed or self.options.uncommitted_to_learners:
            return self.last_index
        return self.learner_commit

    def _send_entries(self, now: float, name: str, progress: Progress, entries: list[Entry]) -> None:
        prev = progress.next - 1
        term = self.term_at(prev)
        if term is None:
            log.check_invariant(False, "what a follower needs is in the log, or in the snapshot")
            return
        self._send(name, AppendEntries(self.term, prev, term, tuple(entries), self.commit, self.round))
        progress.known_commit = max(progress.known_commit, min(self.commit, prev + len(entries)))
        if entries and not progress.unanswered_since:
            progress.unanswered_since = now

    def _send_heartbeat(self, name: str, progress: Progress) -> None:
        """A sign of life: it may well be refused, and its answer says that the member hears us."""
        progress.known_commit = self.commit
        self._send(name, AppendEntries(self.term, self.last_index, self.last_term, (), self.commit, self.round))

    def _next_batch(self, first: int, last: int) -> list[Entry]:
        found: list[Entry] = []
        size = 0
        for entry in self.entries(first, min(last, first + self.options.max_batch_entries - 1)):
            if found and size + len(entry.data) > self.options.max_batch_bytes:
                break
            found.append(entry)
            size += len(entry.data)
        return found

    def _send_snapshot_chunk(self, now: float, name: str, progress: Progress, heartbeat: bool) -> None:
        """One piece at a time, sent again where no answer came; the shell puts the bytes in."""
        transfers = sum(1 for other in self.progress.values() if other.mode is Mode.SNAPSHOT and other.inflight)
        if progress.mode is not Mode.SNAPSHOT:
            progress.mode, progress.snapshot_offset = Mode.SNAPSHOT, 0
            progress.inflight.clear()
        if progress.inflight or transfers >= self.options.max_snapshot_transfers:
            if heartbeat:
                self._send_heartbeat(name, progress)
            return
        meta = self.snapshot
        progress.inflight.append(meta.index)
        progress.unanswered_since = now
        self._send(
            name,
            InstallSnapshot(self.term, meta.index, meta.term, progress.snapshot_offset, meta.size, b"", self.round),
        )

    def _restart_probing(self, progress: Progress) -> None:
        """What is under way counts as lost: find out anew where the logs agree."""
        progress.inflight.clear()
        progress.unanswered_since = 0.0
        if progress.mode is Mode.REPLICATE:  # else where they agree is not known, and `next` is our guess at it
            progress.mode, progress.next = Mode.PROBE, progress.match + 1
