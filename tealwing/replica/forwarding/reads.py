"""Batching of read index requests: reads that arrive together share one heartbeat round; not thread-safe.

Once a quorum has acknowledged a round, the commit index at its start is a valid read index for every read requested
before it (Raft thesis, section 6.4). The first read after a pause starts a round at once; reads within
MIN_ROUND_INTERVAL of it wait for the next, so that the number of rounds does not grow with the number of reads.
"""

from __future__ import annotations

import itertools

from tealwing.replica.commands import CommandResult
from tealwing.replica.forwarding.protocol import CallbackPending, ForwardReply
from tealwing.replica.raft import NotLeaderError, Raft, Role

MIN_ROUND_INTERVAL = 0.01  # s between two rounds: the maximum wait of a read for its round, and only under load


class ReadBatcher:
    """Pending read index requests of one member; confined to its thread."""

    def __init__(self, core: Raft) -> None:
        self._core = core
        self._numbers = itertools.count(1)
        self._waiting: list[CallbackPending] = []  # reads whose round is not started yet
        self._begun: dict[int, list[CallbackPending]] = {}  # reads of each started round, by its number at the core
        self._last = float("-inf")  # start time of the last round
        self.requested = self.rounds = 0

    def __len__(self) -> int:
        return len(self._waiting) + sum(map(len, self._begun.values()))

    def add(self, pending: CallbackPending) -> None:
        """Queue a read for the next round. Raises raft.NotLeaderError if this member is not the leader."""
        if self._core.role is not Role.LEADER:
            raise NotLeaderError(self._core.leader)
        self.requested += 1
        self._waiting.append(pending)

    def next_round_at(self) -> float:
        """Return the time at which the next round is due, infinity if no read waits."""
        return self._last + MIN_ROUND_INTERVAL if self._waiting else float("inf")

    def begin(self, now: float) -> None:
        """Start one round for all waiting reads, if it is due."""
        # a backward step of the clock must not delay reads
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
        """Complete the reads of a round that a quorum has confirmed."""
        for pending in self._begun.pop(number):
            pending.set((CommandResult(True, index), index))

    def failed(self, number: int) -> None:
        """Fail the reads of a round, because leadership was lost; the callers may retry."""
        for pending in self._begun.pop(number):
            pending.set(None)

    def fail_all(self) -> None:
        """Fail all reads, because the member stops or goes out of service."""
        for pending in [*self._waiting, *itertools.chain(*self._begun.values())]:
            pending.set(None)
        self._waiting.clear()
        self._begun.clear()
