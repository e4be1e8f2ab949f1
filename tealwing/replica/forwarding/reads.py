"""Reads that wait for a round of the leader: those that come together share one. The member's thread's own.

A round that is begun after a read was asked shows, once a quorum has answered it, that what was committed then is what
the read must see: so one round serves all reads that were asked before it. The first read after a pause begins one at
once; those that come within PACE of it wait for the next, so that rounds do not grow with those that ask.
"""

from __future__ import annotations

import itertools

from tealwing.replica.commands import CommandResult
from tealwing.replica.forwarding.protocol import CallbackPending, ForwardReply
from tealwing.replica.raft import NotLeaderError, Raft, Role

MIN_ROUND_INTERVAL = (
    0.01  # s between two rounds that are begun for reads: a read waits so much longer at most, and only under load
)


class ReadBatcher:
    """The reads at one member."""

    def __init__(self, core: Raft) -> None:
        self._core = core
        self._numbers = itertools.count(1)
        self._waiting: list[CallbackPending] = []  # no round is begun for them yet
        self._begun: dict[int, list[CallbackPending]] = {}  # by the number of the read at the core
        self._last = float("-inf")  # when the last round was begun
        self.requested = self.rounds = 0

    def __len__(self) -> int:
        return len(self._waiting) + sum(map(len, self._begun.values()))

    def add(self, pending: CallbackPending) -> None:
        """It is to be answered with an index at which a read sees all. raft.NotLeader."""
        if self._core.role is not Role.LEADER:
            raise NotLeaderError(self._core.leader)
        self.requested += 1
        self._waiting.append(pending)

    def next_round_at(self) -> float:
        """When the next round is to begin; infinity: nothing waits for one."""
        return self._last + MIN_ROUND_INTERVAL if self._waiting else float("inf")

    def begin(self, now: float) -> None:
        """Begin one round for all that wait, if it is time."""
        # a clock that was stepped back must not hold them
        if not self._waiting or self._last <= now < self._last + MIN_ROUND_INTERVAL:
            return
        number, batch = next(self._numbers), self._waiting
        self._waiting = []
        self._begun[number] = batch
        try:
            self._core.read(now, number)
        except NotLeaderError:
            for pending in self._begun.pop(number):
                pending.reply(ForwardReply(pending.number, "not-leader", b"", 0))
            return
        self._last = now
        self.rounds += 1

    def confirmed(self, number: int, index: int) -> None:
        """A quorum has confirmed the index."""
        for pending in self._begun.pop(number):
            pending.set((CommandResult(True, index), index))

    def failed(self, number: int) -> None:
        """We lead no more: they have to be asked again."""
        for pending in self._begun.pop(number):
            pending.set(None)

    def fail_all(self) -> None:
        """We take part no more."""
        for pending in [*self._waiting, *itertools.chain(*self._begun.values())]:
            pending.set(None)
        self._waiting.clear()
        self._begun.clear()
