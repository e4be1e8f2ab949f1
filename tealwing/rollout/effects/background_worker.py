"""Calls that may wait, done one after another on a thread of their own."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from queue import SimpleQueue

from tealwing import log, threads

MAX_QUEUED = 16  # errands that wait: more are turned away, and asked for again when they are due


class BackgroundWorker:
    """One thread; what waits for it is bounded."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._queue: SimpleQueue[Callable[[], None] | None] = SimpleQueue()

    def start(self) -> None:
        """Begin; threads.NoThread where the system has none."""
        threads.start(self._run, self._name)

    def stop(self) -> None:
        """End after the errand that is being done."""
        self._queue.put(None)

    def submit(self, task: Callable[[], None]) -> bool:
        """Have it done once those before it are; False where too many wait."""
        if self._queue.qsize() >= MAX_QUEUED:
            return False
        self._queue.put(task)
        return True

    def _run(self) -> None:
        while (task := self._queue.get()) is not None:
            try:
                task()
            except Exception:  # one errand's fault must not silence the gateway: the machine asks again
                log.event("rules_task_failed", thread=self._name, trace=traceback.format_exc(limit=-3))
