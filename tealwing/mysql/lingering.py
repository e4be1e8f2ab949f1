"""Lingering close: after its last answer a client's connection is read, and the input dropped, for a short time.

A close over unread bytes resets the connection, and what is still on its way to the client goes with it. So the
gateway ends its own side, drops what still comes until the client has ended too, and closes then: a lingering close.
Its bounds are in time, in bytes, and in the number of such connections, so that clients that are cut off by the
hundred hold no descriptors.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Generic, TypeVar

LINGER_TIME = 0.5  # s after the last answer: several round trips
MAX_LINGER_BYTES = 256 * 1024  # dropped input: two of the largest messages


class Linger:
    """The bounds of one connection."""

    def __init__(self, until: float) -> None:
        """Set the monotonic time of the end."""
        self.until, self.left = until, MAX_LINGER_BYTES

    def drop(self, sock: socket.socket, buffer: memoryview, clock: Callable[[], float]) -> bool:
        """Read and drop what has arrived; return whether to wait for more. Never blocks."""
        if not buffer:  # reading into no buffer looks like the client's end
            return True
        while self.left > 0 and clock() < self.until:
            try:
                size = sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:  # reset by the client
                return False
            if not size:
                return False
            self.left -= size
        return False


Item = TypeVar("Item")


class Lingering(Generic[Item]):
    """The lingering connections by number, oldest first; bounded. Guarded by its owner's lock."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._items: dict[int, tuple[Item, float]] = {}  # with the monotonic time of the end
        self._closing: set[int] = set()  # being closed: their descriptors are still open

    def __len__(self) -> int:
        return len(self._items) + len(self._closing)

    def add(self, number: int, item: Item, until: float) -> Item | None:
        """Add a connection; return the oldest one to close if there are too many."""
        self._items[number] = item, until
        return self.oldest() if len(self._items) > self._max_items else None

    def remove(self, number: int) -> None:
        """Remove a closed connection."""
        self._items.pop(number, None)
        self._closing.discard(number)

    def oldest(self) -> Item | None:
        """Return the oldest one, to be closed now."""
        number = next(iter(self._items), None)
        return None if number is None else self._take(number)

    def expired(self, now: float) -> list[Item]:
        """Return those whose time is over, to be closed now."""
        return [self._take(number) for number, (_, until) in list(self._items.items()) if now >= until]

    def _take(self, number: int) -> Item:
        self._closing.add(number)
        return self._items.pop(number)[0]
