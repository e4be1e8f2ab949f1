"""The ceiling on bytes out: a token bucket, and what waits for it in order of urgency; pure.

A bucket of rate r and depth b lets through at most r + b bytes in any second. Both are half the ceiling, so no second
whatever passes it.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from tealwing.gossip.messages import OVERHEAD

RESERVE = (0.0, 0.1, 0.4, 0.4)  # of the depth that must be left after a datagram, by urgency: a storm of
# rumours must not starve the answers that tell who lives
DEPTH = 64  # datagrams that may wait of one urgency; past that the oldest goes
OLDEST = 1.0  # s that one may wait: an answer that late is taken for none

Address = tuple[str, int]


class Urgency(IntEnum):
    """What goes first."""

    ANSWER = 0
    PROBE = 1
    RUMOUR = 2
    BULK = 3


class Budget:
    """Datagrams out, no faster than the ceiling."""

    def __init__(self, ceiling: float, now: float) -> None:
        self._rate = self._depth = ceiling / 2
        self._tokens, self._at = self._depth, now
        self._waiting: tuple[deque[tuple[float, Address, bytes]], ...] = tuple(deque(maxlen=DEPTH) for _ in Urgency)
        self._turn = Urgency.RUMOUR
        self.sent = self.dropped = 0  # bytes; datagrams

    def add(self, urgency: Urgency, now: float, to: Address, data: bytes) -> None:
        """Let one wait."""
        line = self._waiting[urgency]
        self.dropped += len(line) == DEPTH
        line.append((now, to, data))

    def room(self, urgency: Urgency) -> bool:
        """Whether little waits that goes before, or with, this urgency."""
        return sum(len(line) for line in self._waiting[: urgency + 1]) < DEPTH // 2

    def plenty(self) -> bool:
        """Whether datagrams may be long: more than half of the bucket is left."""
        return self._tokens > self._depth / 2

    def ready(self, now: float) -> list[tuple[Address, bytes]]:
        """What may go now."""
        self._tokens = min(self._depth, self._tokens + self._rate * max(now - self._at, 0.0))
        self._at = max(now, self._at)
        out: list[tuple[Address, bytes]] = []
        for urgency in (Urgency.ANSWER, Urgency.PROBE):
            if not self._drain(urgency, now, out, DEPTH):
                return out  # what is more urgent goes first, and what is less waits for it
        going = True
        while going:  # the other two in turn: a storm of rumours must not starve the comparisons that end it
            self._turn = Urgency.BULK if self._turn is Urgency.RUMOUR else Urgency.RUMOUR
            before = len(out)
            self._drain(self._turn, now, out, 1)
            if len(out) == before:
                other = Urgency.BULK if self._turn is Urgency.RUMOUR else Urgency.RUMOUR
                self._drain(other, now, out, 1)
            going = len(out) > before
        return out

    def _drain(self, urgency: Urgency, now: float, out: list[tuple[Address, bytes]], most: int) -> bool:
        """Move up to so many of one urgency; whether none of it waits any more."""
        line, floor = self._waiting[urgency], RESERVE[urgency] * self._depth
        while line and line[0][0] < now - OLDEST:
            line.popleft()
            self.dropped += 1
        while line and most and self._tokens - floor >= len(line[0][2]) + OVERHEAD:
            _, to, data = line.popleft()
            self._tokens -= len(data) + OVERHEAD
            self.sent += len(data) + OVERHEAD
            out.append((to, data))
            most -= 1
        return not line
