"""Replication: rounds, entries and snapshot chunks sent by a leader, with flow control."""

from __future__ import annotations

from tealwing import log
from tealwing.replica.messages import AppendEntries, Entry, InstallSnapshot
from tealwing.replica.raft.follower import Follower
from tealwing.replica.raft.records import Mode, Progress, Role


class Replication(Follower):
    """The sending of entries, heartbeats and snapshots by a leader.

    Voters get entries at once. As there may be many learners, an idle leader sends them few messages: each has its own
    heartbeats, `learner_heartbeat_interval` apart and spread evenly, so that of n learners n * heartbeat_interval /
    learner_heartbeat_interval get one in a round (40 of 200). Updates do not wait for a heartbeat: committed entries
    and the commit index go out together in the next round (started at once by `broadcast_commit`), so that a round
    costs one message and one reply per learner. Of the learners only unconfirmed ones get uncommitted entries. Rounds
    with updates for learners are spaced to stay within `learner_message_rate`: with 1,100 members acknowledgements
    arrive over many rounds, and a leader that announced commits in each round would have no time left to process them.
    A learner that has been silent for two of its heartbeat intervals gets heartbeats only, neither entries nor snapshot
    chunks, until it replies: otherwise failed learners would occupy the snapshot transfers that others wait for.
    """

    def _begin_round(self, now: float) -> None:
        """Start a numbered round of messages, whose replies show which members still follow this leader."""
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
        """Start a round at once to announce the commit index; return whether one was started.

        None is started if the commit index was already sent to learners, or this member is not the leader.
        """
        if self.role is not Role.LEADER or self.learner_commit >= self.commit:
            return False
        self.next_learner_round = now
        self._begin_round(now)
        return True

    def _heartbeat_due(self, now: float, progress: Progress) -> bool:
        """Return whether a learner gets a message in this round even without entries."""
        if now < progress.next_heartbeat:
            return progress.known_commit < self.learner_commit
        overdue = now - progress.next_heartbeat >= self.options.learner_heartbeat_interval
        progress.next_heartbeat = (
            now if overdue else progress.next_heartbeat
        ) + self.options.learner_heartbeat_interval
        return True

    def _is_unreachable_learner(self, now: float, name: str, progress: Progress) -> bool:
        """Return whether a member is a learner that has been silent for too long to get entries."""
        silence_limit = max(self.options.election_timeout, 2 * self.options.learner_heartbeat_interval)
        return now - progress.last_contact >= silence_limit and name not in self.members

    def _replicate(self, now: float) -> None:
        for name, progress in self.progress.items():
            self._send_to(now, name, progress)

    def _send_to(self, now: float, name: str, progress: Progress, heartbeat: bool = False) -> None:
        """Send the next entries or snapshot chunk within the in-flight limit, or else a heartbeat if one is due."""
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
        """Return the index of the last entry that may be sent to a follower."""
        if name in self.members or progress.unconfirmed or self.options.uncommitted_to_learners:
            return self.last_index
        return self.learner_commit

    def _send_entries(self, now: float, name: str, progress: Progress, entries: list[Entry]) -> None:
        prev = progress.next - 1
        term = self.term_at(prev)
        if term is None:
            log.check_invariant(
                False, "the entry before a follower's next index is in the log or is the last of the snapshot"
            )
            return
        self._send(name, AppendEntries(self.term, prev, term, tuple(entries), self.commit, self.round))
        progress.known_commit = max(progress.known_commit, min(self.commit, prev + len(entries)))
        if entries and not progress.unanswered_since:
            progress.unanswered_since = now

    def _send_heartbeat(self, name: str, progress: Progress) -> None:
        """Send a heartbeat; it may be rejected, but any reply shows that the member is reachable."""
        progress.known_commit = self.commit
        self._send(name, AppendEntries(self.term, self.last_index, self.last_term, (), self.commit, self.round))

    def _next_batch(self, first: int, last: int) -> list[Entry]:
        """Return the entries of one message, from `first` on and up to `last` at most."""
        batch: list[Entry] = []
        size = 0
        for entry in self.entries(first, min(last, first + self.options.max_batch_entries - 1)):
            if batch and size + len(entry.data) > self.options.max_batch_bytes:
                break
            batch.append(entry)
            size += len(entry.data)
        return batch

    def _send_snapshot_chunk(self, now: float, name: str, progress: Progress, heartbeat: bool) -> None:
        """Send the next snapshot chunk, one at a time and again after a timeout; the shell fills in the data."""
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
        """Treat the messages in flight to a follower as lost, and probe for its match index again."""
        progress.inflight.clear()
        progress.unanswered_since = 0.0
        if progress.mode is Mode.REPLICATE:  # in other modes `next` is an estimate already, which is kept
            progress.mode, progress.next = Mode.PROBE, progress.match + 1
