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

TIME = 0.5  # s after its last answer: several round trips, so that an idle client's connection needs none
BYTES = 256 * 1024  # that are dropped: two of the largest messages


class Linger:
    """One connection's bounds."""

    def __init__(self, until: float) -> None:
        """until is the monotonic time of its end."""
        self.until, self.left = until, BYTES

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


Kept = TypeVar("Kept")


class Lingering(Generic[Kept]):
    """The connections that linger, by number, oldest first; bounded. Its owner's lock guards it."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._kept: dict[int, tuple[Kept, float]] = {}  # with the time of its end
        self._closing: set[int] = set()  # told to close, but not closed yet: their descriptors are still held

    def __len__(self) -> int:
        return len(self._kept) + len(self._closing)

    def add(self, number: int, kept: Kept, until: float) -> Kept | None:
        """Keep one more until then; the oldest, which is to close for it, where they are too many."""
        self._kept[number] = kept, until
        return self.oldest() if len(self._kept) > self._most else None

    def remove(self, number: int) -> None:
        """It is closed."""
        self._kept.pop(number, None)
        self._closing.discard(number)

    def oldest(self) -> Kept | None:
        """The one that has lingered for longest, which is to close now."""
        number = next(iter(self._kept), None)
        return None if number is None else self._take(number)

    def over(self, now: float) -> list[Kept]:
        """Those whose time is over, which are to close now."""
        return [self._take(number) for number, (_, until) in list(self._kept.items()) if now >= until]

    def _take(self, number: int) -> Kept:
        self._closing.add(number)
        return self._kept.pop(number)[0]
