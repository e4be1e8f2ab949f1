"""What the faults of a trial were: each noted in the history, those that last with their end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealwing.lab.rig.history import History


class FaultLog:
    """Counts faults and notes them. A fault that lasts has a key, and ends by it."""

    def __init__(self, history: History, leader: Callable[[], str]) -> None:
        self.count = 0
        self._history, self._leader = history, leader
        self._open_intervals: dict[Any, bool] = {}

    def fault(self, what: str, **fields: Any) -> None:
        """A fault, with who led at that time."""
        self.count += 1
        self._history.add("fault", what=what, leader=self._leader(), **fields)

    def begin_interval(self, key: Any, what: str, **fields: Any) -> None:
        """A fault that lasts, from now on; one of the same key ends."""
        self.end_intervals(key)
        self._open_intervals[key] = True
        self.fault(what, span=str(key), **fields)

    def end_intervals(self, *keys: Any) -> None:
        """Those end, where they last."""
        for key in list(keys):
            if self._open_intervals.pop(key, None):
                self.count += 1
                self._history.add("fault", what="over", span=str(key), over=True)

    def end_link_intervals(self) -> None:
        """All cuts and bad links end."""
        self.end_intervals("cut", *(key for key in self._open_intervals if isinstance(key, tuple) and key[0] == "link"))

    def end_all_intervals(self) -> None:
        """Everything ends."""
        self.end_intervals(*list(self._open_intervals))
