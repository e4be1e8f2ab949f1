"""What loads are made of: clients that go on until they are stopped, and their lines to the processes."""

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
    """What clients do during a trial."""

    checkers: Sequence[Checker]

    def start(self, trial: Trial) -> None:
        """Begin."""

    def stop(self) -> None:
        """Begin nothing more, and let what is open end."""

    def finish(self, trial: Trial) -> None:
        """All is healed: look at what must hold in the end, into the history."""

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """What came of it."""


class Clients:
    """Some threads that do one thing after another until they are stopped."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []
        self.failed: list[str] = []  # what they raised: a fault of the laboratory

    def spawn(self, run: Callable[[], None], name: str) -> None:
        """One more client."""

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
        """Let them end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(20.0)


class ProcessConnection:
    """A client's connection to one process, made anew where it broke."""

    def __init__(self, trial: Trial, name: str) -> None:
        self._trial, self.name = trial, name
        self._caller: ControlClient | None = None

    def call(self, call: str, limit: float, **fields: Any) -> dict[str, Any]:
        """One call; Turned or OSError where it did not come to an answer."""
        if self._caller is None:
            self._caller = self._trial.caller(self.name, 0.5)
        try:
            return self._caller.call(call, limit, **fields)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """End the connection."""
        if self._caller is not None:
            self._caller.close()
            self._caller = None
