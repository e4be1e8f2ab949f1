"""The parts of a load: client threads that run until they are stopped, and their connections to the processes."""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event
from tealwing.peers.control import ControlClient

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PAUSE = 0.02  # s between two operations of one client

Checker = Callable[[Sequence[Event], float], list[Violation]]


class Load(Protocol):
    """The operations of a trial's clients, and the checkers of their history."""

    checkers: Sequence[Checker]

    def start(self, trial: Trial) -> None:
        """Start the clients."""

    def stop(self) -> None:
        """Begin no further operations, and wait for the open ones."""

    def finish(self, trial: Trial) -> None:
        """Record the final state that checkers need, once all faults are healed."""

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return the figures of the load."""


class Clients:
    """Client threads that do one operation after another until they are stopped."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []
        self.failed: list[str] = []  # exceptions of the threads, which are faults of the laboratory

    def spawn(self, run: Callable[[], None], name: str) -> None:
        """Start one more client thread."""

        def work() -> None:
            try:
                run()
            except Exception:
                self.failed.append(f"{name}: {traceback.format_exc(limit=-4)}")
                raise

        thread = threading.Thread(target=work, name=name, daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop the clients, and wait for their threads to end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(20.0)


class ProcessConnection:
    """A client's connection to the control address of one process, reopened after a failure."""

    def __init__(self, trial: Trial, name: str) -> None:
        self._trial, self.name = trial, name
        self._caller: ControlClient | None = None

    def call(self, call: str, limit: float, **fields: Any) -> dict[str, Any]:
        """Make one call and return its answer; raise RemoteCallError or OSError if there is none."""
        if self._caller is None:
            self._caller = self._trial.caller(self.name, 0.5)
        try:
            return self._caller.call(call, limit, **fields)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._caller is not None:
            self._caller.close()
            self._caller = None
