"""What waits to be sent to one peer: bounded, the oldest dropped first and counted."""

from __future__ import annotations

import threading
from collections import deque


class Outbox:
    """A queue of payloads between any threads that send and the one that writes to the peer.

    The newest word of a protocol that repeats itself is worth more than the oldest: so those go first.
    """

    def __init__(self, most: int, most_bytes: int) -> None:
        self._most, self._most_bytes = most, most_bytes
        self._changed = threading.Condition(threading.Lock())
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._closed = False
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, payload: bytes) -> None:
        """Have it sent, if need be in place of the oldest."""
        with self._changed:
            if self._closed:
                return
            self._waiting.append(payload)
            self._bytes += len(payload)
            while len(self._waiting) > self._most or (self._bytes > self._most_bytes and len(self._waiting) > 1):
                self._bytes -= len(self._waiting.popleft())
                self.dropped += 1
            self._changed.notify()

    def get(self, seconds: float, most_bytes: int) -> list[bytes] | None:
        """Some of what waits, at least one if that is not more than so many bytes; empty when none came in time.

        None once it is closed.
        """
        with self._changed:
            if not self._waiting and not self._closed:
                self._changed.wait(seconds)
            if self._closed:
                return None
            found: list[bytes] = []
            room = most_bytes
            while self._waiting and (not found or len(self._waiting[0]) <= room):
                found.append(self._waiting.popleft())
                room -= len(found[-1])
                self._bytes -= len(found[-1])
            return found

    def clear(self) -> None:
        """Drop what waits: its time is over, as the peer could not be reached for long."""
        with self._changed:
            self.dropped += len(self._waiting)
            self._waiting.clear()
            self._bytes = 0

    def close(self) -> None:
        """Nothing more is sent."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
