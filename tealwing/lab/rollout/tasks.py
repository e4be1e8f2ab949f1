"""Threads in virtual time: generators that say what they wait for."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from tealwing.lab.clock import Clock

Step = Generator[Any, Any, Any]  # yields seconds to sleep, or (Signal, seconds) to wait for it


class Signal:
    """An event that tasks wait for; it stays set until it is cleared."""

    def __init__(self, clock: Clock) -> None:
        self._clock, self.is_set = clock, False
        self._waiting: list[_Waiter] = []

    def set(self) -> None:
        """Wake all that wait."""
        self.is_set = True
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.wake(True)

    def clear(self) -> None:
        """As if it had not been."""
        self.is_set = False

    def add(self, waiter: _Waiter) -> None:
        """It waits from now on."""
        self._waiting.append(waiter)

    def drop(self, waiter: _Waiter) -> None:
        """It waits no more."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)


class _Waiter:
    """One wait of one task."""

    __slots__ = ("_done", "_signal", "_task")

    def __init__(self, task: Task, signal: Signal | None) -> None:
        self._task, self._signal, self._done = task, signal, False

    def wake(self, found: bool) -> None:
        """Go on, once."""
        if not self._done:
            self._done = True
            if self._signal is not None and not found:
                self._signal.drop(self)
            self._task.go_on(found)


class Task:
    """Runs a generator; what it waits for it is told as True, a time that is over as False."""

    def __init__(self, clock: Clock, steps: Step) -> None:
        self._clock, self._steps = clock, steps
        clock.after(0.0, self.go_on, None)

    def go_on(self, found: bool | None) -> None:
        """Run to the next wait."""
        try:
            awaited = self._steps.send(found)
        except StopIteration:
            return
        signal, seconds = awaited if isinstance(awaited, tuple) else (None, awaited)
        waiter = _Waiter(self, signal)
        if signal is not None and signal.is_set:
            self._clock.after(0.0, waiter.wake, True)
            return
        if signal is not None:
            signal.add(waiter)
        if seconds is not None:
            self._clock.after(seconds, waiter.wake, False)
