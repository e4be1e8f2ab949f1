"""The timers that the modules of decisions set: a heap, and the thread that has them fire."""

from __future__ import annotations

import heapq
import threading
import time
from collections.abc import Callable
from math import ceil

MAX_FIRED_TOGETHER = 32  # timers handled before others may have the lock round the decisions


class Timers:
    """Nothing here is waited for while the lock of the heap is held, so `set` never blocks."""

    def __init__(self, granularity: float, fire: Callable[[list[tuple[int, int]]], None]) -> None:
        """Timers fire at multiples of grain seconds, some together; fire hears their tokens and versions."""
        self._granularity, self._fire = granularity, fire
        self._timers: list[tuple[float, int, int]] = []  # due (monotonic), token, version of the module
        self._changed = threading.Condition(threading.Lock())

    def start(self) -> None:
        """Let them fire from now on."""
        threading.Thread(target=self._run, name="timers", daemon=True).start()

    def set(self, due: float, token: int, version: int) -> None:
        """Have a timer fire at the monotonic time, or up to a grain later."""
        due = ceil(due / self._granularity) * self._granularity  # as the simulator's ticks do: one wake serves many
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
