"""The clock of one process among its peers: the system's, with the laboratory's faults on top.

Monotonic time alone counts among peers. What the laboratory changes is this process's reading of it, never the
machine's clock: an offset that steps, and a rate that drifts.
"""

from __future__ import annotations

import threading
import time


class Clock:
    """Seconds that never go back by themselves; `skew` changes offset and rate from now on."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._real, self._shown, self._rate = 0.0, 0.0, 1.0  # from that real moment on, at that rate

    def now(self) -> float:
        """The time here, s."""
        with self._lock:
            return self._shown + (time.monotonic() - self._real) * self._rate

    def skew(self, step: float = 0.0, rate: float | None = None) -> None:
        """Step by so many seconds, and run at that rate of the real clock's, from now on."""
        with self._lock:
            real = time.monotonic()
            self._shown += (real - self._real) * self._rate + step
            self._real = real
            if rate is not None:
                self._rate = rate

    def real(self, seconds: float) -> float:
        """How long that many seconds here last really: for waits, which the system's clock measures."""
        return seconds / self._rate
