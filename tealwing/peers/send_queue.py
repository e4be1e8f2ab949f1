"""The bounded queue of payloads to one peer, which drops and counts the oldest when it is full."""

from __future__ import annotations

import threading
from collections import deque


class SendQueue:
    """The queue from the sending threads to the thread that writes to the peer.

    When full it drops the oldest payload: protocols that repeat their messages mostly need the newest one.
    """

    def __init__(self, max_items: int, max_bytes: int) -> None:
        self._max_items, self._max_bytes = max_items, max_bytes
        self._changed = threading.Condition(threading.Lock())
        self._payloads: deque[bytes] = deque()
        self._bytes = 0
        self._closed = False
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._payloads)

    def put(self, payload: bytes) -> None:
        """Queue a payload; if the queue is full, drop the oldest."""
        with self._changed:
            if self._closed:
                return
            self._payloads.append(payload)
            self._bytes += len(payload)
            while len(self._payloads) > self._max_items or (self._bytes > self._max_bytes and len(self._payloads) > 1):
                self._bytes -= len(self._payloads.popleft())
                self.dropped += 1
            self._changed.notify()

    def get(self, seconds: float, max_bytes: int) -> list[bytes] | None:
        """Return the oldest payloads, of up to max_bytes in total but at least one; wait up to `seconds` for it.

        The list is empty if none arrived in time; None means that the queue is closed.
        """
        with self._changed:
            if not self._payloads and not self._closed:
                self._changed.wait(seconds)
            if self._closed:
                return None
            batch: list[bytes] = []
            remaining = max_bytes
            while self._payloads and (not batch or len(self._payloads[0]) <= remaining):
                batch.append(self._payloads.popleft())
                remaining -= len(batch[-1])
                self._bytes -= len(batch[-1])
            return batch

    def clear(self) -> None:
        """Drop and count all payloads: the peer could not be reached, so they are stale."""
        with self._changed:
            self.dropped += len(self._payloads)
            self._payloads.clear()
            self._bytes = 0

    def close(self) -> None:
        """Close the queue; `get` returns None from now on."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
