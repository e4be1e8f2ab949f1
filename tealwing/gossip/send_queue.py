"""The limit on bytes sent: a token bucket, and a queue of datagrams by priority; pure.

A token bucket of rate r and depth b passes at most r + b bytes in any second. Both are half the limit, so no second
exceeds it.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum

from tealwing.gossip.messages import HEADERS_BYTES, Address

# Share of the bucket's depth that must be left after a datagram, by priority: a storm of rumours must not starve
# failure detection.
RESERVED_SHARES = (0.0, 0.1, 0.4, 0.4)
QUEUE_LIMIT = 64  # datagrams of one priority; beyond that the oldest is dropped
MAX_QUEUE_DELAY = 1.0  # s that a datagram may wait: a later answer is too late for its probe


class Priority(IntEnum):
    """The order in which datagrams are sent, the lowest value first."""

    ANSWER = 0
    PROBE = 1
    RUMOUR = 2
    BULK = 3


class SendQueue:
    """Queues datagrams, and releases them no faster than the limit."""

    def __init__(self, max_bytes_per_s: float, now: float) -> None:
        self._rate = self._depth = max_bytes_per_s / 2
        self._tokens, self._refilled_at = self._depth, now
        self._queues: tuple[deque[tuple[float, Address, bytes]], ...] = tuple(
            deque(maxlen=QUEUE_LIMIT) for _ in Priority
        )
        self._last_served = Priority.RUMOUR  # of the two priorities that take turns
        self.sent_bytes = self.dropped_datagrams = 0

    def enqueue(self, priority: Priority, now: float, to: Address, data: bytes) -> None:
        """Queue a datagram, if need be in place of the oldest of its priority."""
        queue = self._queues[priority]
        self.dropped_datagrams += len(queue) == QUEUE_LIMIT
        queue.append((now, to, data))

    def has_capacity(self, priority: Priority) -> bool:
        """Return whether few datagrams of this priority and higher ones wait."""
        return sum(len(queue) for queue in self._queues[: priority + 1]) < QUEUE_LIMIT // 2

    def has_spare_tokens(self) -> bool:
        """Return whether more than half of the bucket is left, so that datagrams may be long."""
        return self._tokens > self._depth / 2

    def take_due(self, now: float) -> list[tuple[Address, bytes]]:
        """Return the datagrams that may be sent now."""
        self._tokens = min(self._depth, self._tokens + self._rate * max(now - self._refilled_at, 0.0))
        self._refilled_at = max(now, self._refilled_at)
        due: list[tuple[Address, bytes]] = []
        for priority in (Priority.ANSWER, Priority.PROBE):
            if not self._drain(priority, now, due, QUEUE_LIMIT):
                return due  # the lower priorities wait for this one
        progress = True
        while progress:  # RUMOUR and BULK take turns: a storm of rumours must not starve the anti-entropy that ends it
            self._last_served = _other(self._last_served)
            before = len(due)
            self._drain(self._last_served, now, due, 1)
            if len(due) == before:
                self._drain(_other(self._last_served), now, due, 1)
            progress = len(due) > before
        return due

    def _drain(self, priority: Priority, now: float, due: list[tuple[Address, bytes]], limit: int) -> bool:
        """Move up to `limit` datagrams of one priority to `due`; return whether its queue is empty."""
        queue, reserved = self._queues[priority], RESERVED_SHARES[priority] * self._depth
        while queue and queue[0][0] < now - MAX_QUEUE_DELAY:
            queue.popleft()
            self.dropped_datagrams += 1
        while queue and limit and self._tokens - reserved >= len(queue[0][2]) + HEADERS_BYTES:
            _, to, data = queue.popleft()
            self._tokens -= len(data) + HEADERS_BYTES
            self.sent_bytes += len(data) + HEADERS_BYTES
            due.append((to, data))
            limit -= 1
        return not queue


def _other(priority: Priority) -> Priority:
    return Priority.BULK if priority is Priority.RUMOUR else Priority.RUMOUR
