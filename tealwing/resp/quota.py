"""Quota of descriptors for connections to all engines together; see `tealwing.descriptors`."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

UNBOUNDED = 1 << 16  # without a budget: more than a process has local ports


class ConnectionQuota:
    """Places for connections; acquired before the connect and released after the close."""

    def __init__(self, max_connections: int = UNBOUNDED, reclaim: Callable[[], object] = lambda: None) -> None:
        """Set the bound; `reclaim`, called under no lock, closes a connection that is not in use, if there is one."""
        self._max_connections, self._reclaim = max_connections, reclaim
        self._changed = threading.Condition()
        self._taken = 0

    @property
    def in_use(self) -> int:
        """Number of acquired places."""
        return self._taken

    def acquire(self, until: float) -> bool:
        """Acquire a place, waiting until that monotonic time at most; return whether there was one."""
        if self._try_acquire():
            return True
        self._reclaim()
        with self._changed:
            if not self._changed.wait_for(self._free, max(0.0, until - time.monotonic())):
                return False
            self._taken += 1
            return True

    def release(self) -> None:
        """Release a place."""
        with self._changed:
            self._taken -= 1
            self._changed.notify()

    def _try_acquire(self) -> bool:
        with self._changed:
            free = self._free()
            self._taken += free
            return free

    def _free(self) -> bool:
        return self._taken < self._max_connections
