"""Reads that wait for a round of the leader: those that come together share one. The member's thread's own.

A round that is begun after a read was asked shows, once a quorum has answered it, that what was committed then is what
the read must see: so one round serves all reads that were asked before it. The first read after a pause begins one at
once; those that come within PACE of it wait for the next, so that rounds do not grow with those that ask.
"""

from __future__ import annotations

import itertools

from tealwing.replica.commands import CommandResult
from tealwing.replica.outcomes import Answering, Told
from tealwing.replica.raft import NotLeader, Raft, Role

PACE = 0.01  # s between two rounds that are begun for reads: a read waits so much longer at most, and only under load


class Reading:
    """The reads at one member."""

    def __init__(self, core: Raft) -> None:
        self._core = core
        self._numbers = itertools.count(1)
        self._gathered: list[Answering] = []  # no round is begun for them yet
        self._begun: dict[int, list[Answering]] = {}  # by the number of the read at the core
        self._last = float("-inf")  # when the last round was begun
        self.asked = self.rounds = 0

    def __len__(self) -> int:
        return len(self._gathered) + sum(map(len, self._begun.values()))

    def ask(self, pending: Answering) -> None:
        """It is to be answered with an index at which a read sees all. raft.NotLeader."""
        if self._core.role is not Role.LEADER:
            raise NotLeader(self._core.leader)
        self.asked += 1
        self._gathered.append(pending)

    def due(self) -> float:
        """When the next round is to begin; infinity: nothing waits for one."""
        return self._last + PACE if self._gathered else float("inf")

    def begin(self, now: float) -> None:
        """Begin one round for all that wait, if it is time."""
        # a clock that was stepped back must not hold them
        if not self._gathered or self._last <= now < self._last + PACE:
            return
        number, batch = next(self._numbers), self._gathered
        self._gathered = []
        self._begun[number] = batch
        try:
            self._core.read(now, number)
        except NotLeader:
            for pending in self._begun.pop(number):
                pending.answer(Told(pending.number, "not-leader", b"", 0))
            return
        self._last = now
        self.rounds += 1

    def done(self, number: int, index: int) -> None:
        """A quorum has confirmed the index."""
        for pending in self._begun.pop(number):
            pending.set((CommandResult(True, index), index))

    def failed(self, number: int) -> None:
        """We lead no more: they have to be asked again."""
        for pending in self._begun.pop(number):
            pending.set(None)

    def fail_all(self) -> None:
        """We take part no more."""
        for pending in [*self._gathered, *itertools.chain(*self._begun.values())]:
            pending.set(None)
        self._gathered.clear()
        self._begun.clear()
