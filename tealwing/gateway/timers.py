"""The timers of the decision modules: a heap of due times, and the thread that fires them."""

from __future__ import annotations

import heapq
import threading
import time
from collections.abc import Callable
from math import ceil

MAX_FIRED_TOGETHER = 32  # timers fired in one call, so that other threads get the lock of the decisions in between


class Timers:
    """Fires timers on a thread of its own; nothing waits while it holds the lock of the heap, so `set` never blocks."""

    def __init__(self, granularity: float, fire: Callable[[list[tuple[int, int]]], None]) -> None:
        """Fire timers at multiples of granularity seconds; `fire` gets the (token, version) pairs that are due."""
        self._granularity, self._fire = granularity, fire
        self._timers: list[tuple[float, int, int]] = []  # due time (monotonic), token, version of the module
        self._changed = threading.Condition(threading.Lock())

    def start(self) -> None:
        """Start the timer thread."""
        threading.Thread(target=self._run, name="timers", daemon=True).start()

    def set(self, due: float, token: int, version: int) -> None:
        """Set a timer that fires at the monotonic time, or up to one granularity later."""
        due = ceil(due / self._granularity) * self._granularity  # as in the simulator; one wake-up serves many timers
        with self._changed:
            heapq.heappush(self._timers, (due, token, version))
            if self._timers[0] == (due, token, version):
                self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._timers or self._timers[0][0] > time.monotonic():
                    self._changed.wait(self._timers[0][0] - time.monotonic() if self._timers else None)
                now, due = time.monotonic(), list[tuple[int, int]]()
                while self._timers and self._timers[0][0] <= now and len(due) < MAX_FIRED_TOGETHER:
                    _, token, version = heapq.heappop(self._timers)
                    due.append((token, version))
            self._fire(due)
