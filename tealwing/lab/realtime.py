"""The laboratory's clock in real time: one thread runs scheduled calls when they are due."""

from __future__ import annotations

import heapq
import threading
import time
import traceback
from typing import Any

from tealwing import log
from tealwing.lab.clock import Call


class RealClock:
    """Like `clock.Clock`, but in real time. All calls run under one lock, which the models share."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self._changed = threading.Condition(self.lock)
        self._due: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self._begun, self._sequence, self._stopped = time.monotonic(), 0, False
        threading.Thread(target=self._run, name="lab-clock", daemon=True).start()

    @property
    def now(self) -> float:
        """Seconds since the clock was created."""
        return time.monotonic() - self._begun

    def at(self, due: float, call: Call, *args: Any) -> None:
        """Schedule a call at a time; a time in the past means now."""
        with self._changed:
            self._sequence += 1
            heapq.heappush(self._due, (due, self._sequence, call, args))
            if self._due[0][1] == self._sequence:
                self._changed.notify()

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Schedule a call after some seconds."""
        self.at(self.now + delay, call, *args)

    def stop(self) -> None:
        """Stop the thread; calls not yet due never run."""
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
                except Exception:  # an exception in one call must not stop the clock
                    log.event("lab_call_failed", trace=traceback.format_exc(limit=-3))
