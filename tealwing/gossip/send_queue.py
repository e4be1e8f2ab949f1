"""The ceiling on bytes out: a token bucket, and what waits for it in order of urgency; pure.

A bucket of rate r and depth b lets through at most r + b bytes in any second. Both are half the ceiling, so no second
whatever passes it.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from tealwing.gossip.messages import HEADERS_BYTES, Address

RESERVED_SHARES = (0.0, 0.1, 0.4, 0.4)  # of the depth that must be left after a datagram, by urgency: a storm of
# rumours must not starve the answers that tell who lives
QUEUE_LIMIT = 64  # datagrams that may wait of one urgency; past that the oldest goes
MAX_QUEUE_DELAY = 1.0  # s that one may wait: an answer that late is taken for none


class Priority(IntEnum):
    """What goes first."""

    ANSWER = 0
    PROBE = 1
    RUMOUR = 2
    BULK = 3


class SendQueue:
    """Datagrams out, no faster than the ceiling."""

    def __init__(self, ceiling: float, now: float) -> None:
        self._rate = self._depth = ceiling / 2
        self._tokens, self._at = self._depth, now
        self._waiting: tuple[deque[tuple[float, Address, bytes]], ...] = tuple(
            deque(maxlen=QUEUE_LIMIT) for _ in Priority
        )
        self._turn = Priority.RUMOUR
        self.sent_bytes = self.dropped_datagrams = 0  # bytes; datagrams

    def enqueue(self, urgency: Priority, now: float, to: Address, data: bytes) -> None:
        """Let one wait."""
        line = self._waiting[urgency]
        self.dropped_datagrams += len(line) == QUEUE_LIMIT
        line.append((now, to, data))

    def has_capacity(self, urgency: Priority) -> bool:
        """Whether little waits that goes before, or with, this urgency."""
        return sum(len(line) for line in self._waiting[: urgency + 1]) < QUEUE_LIMIT // 2

    def has_spare_tokens(self) -> bool:
        """Whether datagrams may be long: more than half of the bucket is left."""
        return self._tokens > self._depth / 2

    def take_due(self, now: float) -> list[tuple[Address, bytes]]:
        """What may go now."""
        self._tokens = min(self._depth, self._tokens + self._rate * max(now - self._at, 0.0))
        self._at = max(now, self._at)
        out: list[tuple[Address, bytes]] = []
        for urgency in (Priority.ANSWER, Priority.PROBE):
            if not self._drain(urgency, now, out, QUEUE_LIMIT):
                return out  # what is more urgent goes first, and what is less waits for it
        going = True
        while going:  # the other two in turn: a storm of rumours must not starve the comparisons that end it
            self._turn = Priority.BULK if self._turn is Priority.RUMOUR else Priority.RUMOUR
            before = len(out)
            self._drain(self._turn, now, out, 1)
            if len(out) == before:
                other = Priority.BULK if self._turn is Priority.RUMOUR else Priority.RUMOUR
                self._drain(other, now, out, 1)
            going = len(out) > before
        return out

    def _drain(self, urgency: Priority, now: float, out: list[tuple[Address, bytes]], most: int) -> bool:
        """Move up to so many of one urgency; whether none of it waits any more."""
        line, floor = self._waiting[urgency], RESERVED_SHARES[urgency] * self._depth
        while line and line[0][0] < now - MAX_QUEUE_DELAY:
            line.popleft()
            self.dropped_datagrams += 1
        while line and most and self._tokens - floor >= len(line[0][2]) + HEADERS_BYTES:
            _, to, data = line.popleft()
            self._tokens -= len(data) + HEADERS_BYTES
            self.sent_bytes += len(data) + HEADERS_BYTES
            out.append((to, data))
            most -= 1
        return not line
