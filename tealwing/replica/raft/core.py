"""The core as its shell sees it: events in, what is to be done out."""

from __future__ import annotations

import copy

from tealwing.replica.messages import Append, AppendReply, Hand, Held, Hold, Message, Snap, Sure, VoteAsk, VoteReply
from tealwing.replica.raft.election import Electing
from tealwing.replica.raft.records import Ready, Role


class Raft(Electing):
    """One member."""

    def step(self, now: float, source: str, message: Message) -> None:
        """A message has come."""
        if isinstance(message, VoteAsk):
            self._vote(now, source, message)
            return
        if isinstance(message, Hold):  # no vote is asked for: its term moves nobody
            self._send(source, Held(self.term, self.start))
            return
        if message.term > self.term and not (isinstance(message, VoteReply) and message.pre):
            self._follow(now, message.term, "")
        if isinstance(message, VoteReply):
            self._hear_vote(now, source, message)
        elif isinstance(message, Held):
            self._hear_held(now, source, message)
        elif isinstance(message, Append):
            self._hear_append(now, source, message)
        elif isinstance(message, Snap):
            self._hear_snap(now, source, message)
        elif isinstance(message, Hand):
            if message.term == self.term and source == self.leader and self.me in self.members:
                self._stand(now, handed=True)
        elif isinstance(message, Sure):
            if message.term == self.term and message.start == self.start:
                self.unsure = False
        elif self.role is Role.LEADER and message.term == self.term:
            progress = self.progress.get(source)
            if progress is not None:
                self._hear_start(progress, now, message.start, message.unsure)
                if isinstance(message, AppendReply):
                    self._hear_reply(now, source, progress, message)
                else:
                    self._hear_snap_reply(now, source, progress, message)
                self._settle(source, progress)

    def tick(self, now: float) -> None:
        """Time has passed."""
        if self.role is Role.LEADER:
            self._lead(now)
        elif now >= self.deadline:
            self.campaign(now)

    def next_deadline(self) -> float:
        """When a tick has something to do."""
        return self.beaten + self.options.beat if self.role is Role.LEADER else self.deadline

    def ready(self) -> Ready:
        """What there is to do now; what it says is not said again."""
        hard = (self.term, self.vote) if self._hard else None
        entries = self.entries(self.stable + 1, self.last_index)
        out, self._out = self._out, []
        chunk, self._chunk = self._chunk, None
        committed = self.entries(self.applied + 1, min(self.commit, self.stable))
        if committed:
            self.applied = committed[-1].index
        reads, self._done_reads = self._done_reads, []
        failed, self._failed_reads = self._failed_reads, []
        self._hard = False
        return Ready(hard, entries, chunk, out, committed, reads, failed)

    def has_ready(self) -> bool:
        """Whether `ready` has something."""
        return bool(
            self._hard or self._out or self._chunk or self._done_reads or self._failed_reads
            or self.stable < self.last_index or self.applied < min(self.commit, self.stable)
        )  # fmt: skip

    def clone(self) -> Raft:
        """One like this that goes its own way: for the model check."""
        twin = copy.copy(self)
        for name in ("log", "_out", "_reads", "_done_reads", "_failed_reads"):
            setattr(twin, name, list(getattr(self, name)))
        twin.votes, twin.granted, twin.held = dict(self.votes), dict(self.granted), set(self.held)
        twin.progress = {name: progress.clone() for name, progress in self.progress.items()}
        return twin
