"""Virtual time: a queue of calls, in order of their time and then of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

Call = Callable[..., None]


class Clock:
    """Runs scheduled calls in virtual time; calls due at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, time: float, call: Call, *args: Any) -> None:
        """Schedule a call at a time; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(self._due, (max(time, self.now), self._sequence, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Schedule a call after some seconds."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Advance the time to `until`, running all calls that fall due."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(due)
            call(*args)
        self.now = max(self.now, until)
