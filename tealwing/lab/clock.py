"""Virtual time: what is due next, in order of time and then of asking."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

Call = Callable[..., None]


class Clock:
    """Runs calls at their times. Two at one time run in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Call, tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, time: float, call: Call, *args: Any) -> None:
        """Run a call at a time; one that has passed is now."""
        self._sequence += 1
        heapq.heappush(self._due, (max(time, self.now), self._sequence, call, args))

    def after(self, delay: float, call: Call, *args: Any) -> None:
        """Run a call after some seconds."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Let time pass."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(due)
            call(*args)
        self.now = max(self.now, until)
