"""The descriptors that connections to engines may hold, over all engines: see `tealwing.descriptors`."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

UNBOUNDED = 1 << 16  # where no budget is told: more than a process has local ports


class Quota:
    """Places for connections; each is taken before the connect and given back once the connection is at its end."""

    def __init__(self, most: int = UNBOUNDED, reclaim: Callable[[], object] = lambda: None) -> None:
        """reclaim has a connection closed that nobody uses, if there is one; it is called under no lock."""
        self._most, self._reclaim = most, reclaim
        self._changed = threading.Condition()
        self._taken = 0

    @property
    def taken(self) -> int:
        """Places that are taken."""
        return self._taken

    def take(self, until: float) -> bool:
        """Take a place, waiting for one until that monotonic time at most; whether there was one."""
        if self._take_now():
            return True
        self._reclaim()
        with self._changed:
            if not self._changed.wait_for(self._free, max(0.0, until - time.monotonic())):
                return False
            self._taken += 1
            return True

    def give(self) -> None:
        """Give a place back."""
        with self._changed:
            self._taken -= 1
            self._changed.notify()

    def _take_now(self) -> bool:
        with self._changed:
            free = self._free()
            self._taken += free
            return free

    def _free(self) -> bool:
        return self._taken < self._most
