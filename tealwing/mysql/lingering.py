"""What is left of a client's connection after its last answer: it is read for a short while, and nothing of it is used.

A close over unread bytes resets the connection, and what is still on its way to the client goes with it. So the
gateway ends its own side, drops what still comes until the client has ended too, and closes then: a lingering close.
Its bounds are in time, in bytes, and in the number of such connections, so that clients that are cut off by the
hundred hold no descriptors.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Generic, TypeVar

LINGER_TIME = 0.5  # s after its last answer: several round trips, so that an idle client's connection needs none
MAX_LINGER_BYTES = 256 * 1024  # that are dropped: two of the largest messages


class Linger:
    """One connection's bounds."""

    def __init__(self, until: float) -> None:
        """Set the monotonic time of its end."""
        self.until, self.left = until, MAX_LINGER_BYTES

    def drop(self, sock: socket.socket, buffer: memoryview, clock: Callable[[], float]) -> bool:
        """Read what has come; whether more is waited for. Never blocks."""
        if not buffer:  # a read of no bytes looks like the client's end
            return True
        while self.left > 0 and clock() < self.until:
            try:
                size = sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:  # reset: there is nobody to spare one
                return False
            if not size:
                return False
            self.left -= size
        return False


Item = TypeVar("Item")


class Lingering(Generic[Item]):
    """The connections that linger, by number, oldest first; bounded. Its owner's lock guards it."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._items: dict[int, tuple[Item, float]] = {}  # with the time of its end
        self._closing: set[int] = set()  # told to close, but not closed yet: their descriptors are still held

    def __len__(self) -> int:
        return len(self._items) + len(self._closing)

    def add(self, number: int, item: Item, until: float) -> Item | None:
        """Keep one more until then; the oldest, which is to close for it, where they are too many."""
        self._items[number] = item, until
        return self.oldest() if len(self._items) > self._max_items else None

    def remove(self, number: int) -> None:
        """It is closed."""
        self._items.pop(number, None)
        self._closing.discard(number)

    def oldest(self) -> Item | None:
        """The one that has lingered for longest, which is to close now."""
        number = next(iter(self._items), None)
        return None if number is None else self._take(number)

    def expired(self, now: float) -> list[Item]:
        """Those whose time is over, which are to close now."""
        return [self._take(number) for number, (_, until) in list(self._items.items()) if now >= until]

    def _take(self, number: int) -> Item:
        self._closing.add(number)
        return self._items.pop(number)[0]
