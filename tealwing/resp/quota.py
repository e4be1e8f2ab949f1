"""The quota of descriptors for the connections to all engines together; see `tealwing.descriptors`."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

UNBOUNDED = 1 << 16  # the limit without a descriptor budget: more than there are local ports


class ConnectionQuota:
    """Counts open connections against a limit; acquired before the connect and released after the close."""

    def __init__(self, max_connections: int = UNBOUNDED, reclaim: Callable[[], object] = lambda: None) -> None:
        """Set the limit; `reclaim`, called without a lock held, closes an idle connection if there is one."""
        self._max_connections, self._reclaim = max_connections, reclaim
        self._changed = threading.Condition()
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Number of connections that hold a part of the quota."""
        return self._in_use

    def acquire(self, until: float) -> bool:
        """Acquire quota for a connection, waiting until that monotonic time at most; return whether there was any."""
        if self._try_acquire():
            return True
        self._reclaim()
        with self._changed:
            if not self._changed.wait_for(self._has_free, max(0.0, until - time.monotonic())):
                return False
            self._in_use += 1
            return True

    def release(self) -> None:
        """Release the quota of a connection."""
        with self._changed:
            self._in_use -= 1
            self._changed.notify()

    def _try_acquire(self) -> bool:
        with self._changed:
            free = self._has_free()
            self._in_use += free
            return free

    def _has_free(self) -> bool:
        return self._in_use < self._max_connections
