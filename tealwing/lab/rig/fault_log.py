"""Records the faults of a trial in its history: instant faults once, lasting ones with their begin and end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealwing.lab.rig.history import History


class FaultLog:
    """Counts and records faults; a lasting fault is identified by a key."""

    def __init__(self, history: History, leader: Callable[[], str]) -> None:
        self.count = 0
        self._history, self._leader = history, leader
        self._open_intervals: dict[Any, bool] = {}

    def fault(self, what: str, **fields: Any) -> None:
        """Record a fault with the current leader."""
        self.count += 1
        self._history.add("fault", what=what, leader=self._leader(), **fields)

    def begin_interval(self, key: Any, what: str, **fields: Any) -> None:
        """Record the begin of a lasting fault; a fault open under the same key ends first."""
        self.end_intervals(key)
        self._open_intervals[key] = True
        self.fault(what, span=str(key), **fields)

    def end_intervals(self, *keys: Any) -> None:
        """Record the end of the lasting faults with these keys; keys that are not open are ignored."""
        for key in list(keys):
            if self._open_intervals.pop(key, None):
                self.count += 1
                self._history.add("fault", what="over", span=str(key), over=True)

    def end_link_intervals(self) -> None:
        """Record the end of all cuts and degraded links."""
        self.end_intervals("cut", *(key for key in self._open_intervals if isinstance(key, tuple) and key[0] == "link"))

    def end_all_intervals(self) -> None:
        """Record the end of all lasting faults."""
        self.end_intervals(*list(self._open_intervals))
