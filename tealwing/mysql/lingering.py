"""Lingering close: after the last answer, a connection's further input is read and dropped for a short time.

Closing a socket with unread input resets the connection, which destroys data still in flight to the client. The gateway
therefore shuts down its sending side, drops input until the client closes its side too, and only then closes the
socket. Lingering is bounded in time, in bytes and in the number of connections, so that hundreds of clients cut off at
once do not exhaust the descriptors.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Generic, TypeVar

LINGER_TIME = 0.5  # s after the last answer: several round trips
MAX_LINGER_BYTES = 256 * 1024  # dropped input: two of the largest messages


class Linger:
    """The remaining time and bytes of one lingering connection."""

    def __init__(self, until: float) -> None:
        """Linger until the given monotonic time at most."""
        self.until, self.bytes_left = until, MAX_LINGER_BYTES

    def drop(self, sock: socket.socket, buffer: memoryview, clock: Callable[[], float]) -> bool:
        """Read and drop the input that has arrived; return whether to wait for more. Never blocks."""
        if not buffer:  # recv into an empty buffer returns 0, as at the end of the input
            return True
        while self.bytes_left > 0 and clock() < self.until:
            try:
                size = sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:  # reset by the client
                return False
            if not size:
                return False
            self.bytes_left -= size
        return False


Item = TypeVar("Item")


class Lingering(Generic[Item]):
    """The lingering connections by number, oldest first; bounded in number. The caller must hold the owner's lock."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._items: dict[int, tuple[Item, float]] = {}  # with the monotonic time at which lingering ends
        self._closing: set[int] = set()  # handed out for closing; their descriptors are still open

    def __len__(self) -> int:
        return len(self._items) + len(self._closing)

    def __contains__(self, number: int) -> bool:
        return number in self._items or number in self._closing

    def add(self, number: int, item: Item, until: float) -> Item | None:
        """Add a connection; if that exceeds the bound, return the oldest one for the caller to close."""
        self._items[number] = item, until
        return self.oldest() if len(self._items) > self._max_items else None

    def remove(self, number: int) -> None:
        """Remove a closed connection."""
        self._items.pop(number, None)
        self._closing.discard(number)

    def oldest(self) -> Item | None:
        """Remove and return the oldest connection, which the caller must close; None if there is none."""
        number = next(iter(self._items), None)
        return None if number is None else self._take(number)

    def expired(self, now: float) -> list[Item]:
        """Remove and return the connections whose time is over; the caller must close them."""
        return [self._take(number) for number, (_, until) in list(self._items.items()) if now >= until]

    def _take(self, number: int) -> Item:
        self._closing.add(number)
        return self._items.pop(number)[0]
