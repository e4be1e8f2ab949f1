"""The laboratory's clock in real time: the same calls, run by one thread when they are due."""

from __future__ import annotations

import heapq
import threading
import time
import traceback
from typing import Any

from tealwing import log
from tealwing.lab.clock import Call


class RealClock:
    """Like `clock.Clock`, but time passes by itself. All calls run under one lock, which models share."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self._changed = threading.Condition(self.lock)
        self._due: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self._begun, self._sequence, self._stopped = time.monotonic(), 0, False
        threading.Thread(target=self._run, name="lab-clock", daemon=True).start()

    @property
    def now(self) -> float:
        """Seconds since it began."""
        return time.monotonic() - self._begun

    def at(self, due: float, call: Call, *args: Any) -> None:
        """Run a call at a time; one that has passed is now."""
        with self._changed:
            self._sequence += 1
            heapq.heappush(self._due, (due, self._sequence, call, args))
            if self._due[0][1] == self._sequence:
                self._changed.notify()

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Run a call after some seconds."""
        self.at(self.now + delay, call, *args)

    def stop(self) -> None:
        """Run nothing more."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def _run(self) -> None:
        with self._changed:
            while not self._stopped:
                if not self._due or self._due[0][0] > self.now:
                    self._changed.wait(max(self._due[0][0] - self.now, 0.0) if self._due else None)
                    continue
                _, _, call, args = heapq.heappop(self._due)
                try:
                    call(*args)
                except Exception:  # a fault of one call must not stop the clock of all
                    log.event("lab_call_failed", trace=traceback.format_exc(limit=-3))
