"""Tasks, the threads of virtual time: generators that yield what they wait for."""

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
        """Set the event and wake all tasks that wait for it."""
        self.is_set = True
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.wake(True)

    def clear(self) -> None:
        """Reset the event."""
        self.is_set = False

    def add(self, waiter: _Waiter) -> None:
        """Add a waiter."""
        self._waiting.append(waiter)

    def drop(self, waiter: _Waiter) -> None:
        """Remove a waiter, if it is still there."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)


class _Waiter:
    """One wait of a task, for a signal or a time; only its first wake-up counts."""

    __slots__ = ("_done", "_signal", "_task")

    def __init__(self, task: Task, signal: Signal | None) -> None:
        self._task, self._signal, self._done = task, signal, False

    def wake(self, found: bool) -> None:
        """Resume the task unless this wait has ended already."""
        if not self._done:
            self._done = True
            if self._signal is not None and not found:
                self._signal.drop(self)
            self._task.resume(found)


class Task:
    """Runs a generator; each yield returns True if the signal was set, False if the time ran out."""

    def __init__(self, clock: Clock, steps: Step) -> None:
        self._clock, self._steps = clock, steps
        clock.after(0.0, self.resume, None)

    def resume(self, found: bool | None) -> None:
        """Run the generator to its next wait."""
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
