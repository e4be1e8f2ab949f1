"""The monotonic clock of one process, with injected faults: steps of its offset, and drift of its rate.

A fault changes the readings of this process only, never the machine's clock.
"""

from __future__ import annotations

import threading
import time


class Clock:
    """A monotonic clock; `skew` changes its offset and rate from now on."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._real, self._shown, self._rate = 0.0, 0.0, 1.0  # it read `_shown` at `_real`, and runs at `_rate` since

    def now(self) -> float:
        """Return the clock's time in seconds."""
        with self._lock:
            return self._shown + (time.monotonic() - self._real) * self._rate

    def skew(self, step: float = 0.0, rate: float | None = None) -> None:
        """Step the clock by `step` seconds, and run it at `rate` times the real rate from now on."""
        with self._lock:
            real = time.monotonic()
            self._shown += (real - self._real) * self._rate + step
            self._real = real
            if rate is not None:
                self._rate = rate

    def real(self, seconds: float) -> float:
        """Return the real duration of `seconds` of this clock, for waits on the system's clock."""
        return seconds / self._rate
