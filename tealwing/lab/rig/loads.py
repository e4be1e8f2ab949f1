"""The loads of trials: what clients do meanwhile, which judges look at it, and the figures that come of it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from tealwing.lab.judges import echo, views
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, operations
from tealwing.peers.control import Caller, Turned

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PAUSE = 0.02  # s between two operations of one client
PING_WAIT = 0.8  # s that a ping waits

Judge = Callable[[Sequence[Event], float], list[Violation]]


class Load(Protocol):
    """What clients do during a trial."""

    judges: Sequence[Judge]

    def start(self, trial: Trial) -> None:
        """Begin."""

    def stop(self) -> None:
        """Begin nothing more, and let what is open end."""

    def finish(self, trial: Trial) -> None:
        """All is healed: look at what must hold in the end, into the history."""

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """What came of it."""


class Clients:
    """Some threads that do one thing after another until they are stopped."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []

    def spawn(self, run: Callable[[], None], name: str) -> None:
        """One more client."""
        thread = threading.Thread(target=run, name=name, daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Let them end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(20.0)


class Line:
    """A client's connection to one process, made anew where it broke."""

    def __init__(self, trial: Trial, name: str) -> None:
        self._trial, self.name = trial, name
        self._caller: Caller | None = None

    def ask(self, call: str, limit: float, **fields: Any) -> dict[str, Any]:
        """One call; Turned or OSError where it did not come to an answer."""
        if self._caller is None:
            self._caller = self._trial.caller(self.name, 0.5)
        try:
            return self._caller.ask(call, limit, **fields)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """End the connection."""
        if self._caller is not None:
            self._caller.close()
            self._caller = None


def ping(trial: Trial, line: Line, to: str, text: str, wait: float, **marks: Any) -> None:
    """One ping from the line's process, into the history."""
    number = trial.history.invoke("ping", line.name, to=to, text=text, **marks)
    try:
        answer = line.ask("ping", wait + 1.0, to=to, text=text, wait_s=wait)
    except (Turned, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    trial.history.complete(number, "ok", by=answer["by"], text=answer["text"], took_ms=answer["took_ms"])


class EchoLoad:
    """From every process pings to all others in turn: what the link alone can show."""

    judges: Sequence[Judge] = (echo.judge, views.judge)

    def __init__(self) -> None:
        self._clients = Clients()

    def start(self, trial: Trial) -> None:
        """One client a process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._ping(trial, name), f"load-{name}")  # type: ignore[misc]

    def _ping(self, trial: Trial, name: str) -> None:
        line, turn = Line(trial, name), 0
        others = [other for other in trial.names if other != name]
        while not self._clients.stopped.is_set():
            to, turn = others[turn % len(others)], turn + 1
            ping(trial, line, to, f"{name}-{turn}", PING_WAIT)
            self._clients.stopped.wait(PAUSE)
        line.close()

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Every pair must reach each other once all is healed."""
        for name in trial.names:
            line = Line(trial, name)
            for to in trial.names:
                if to != name:
                    ping(trial, line, to, "last", 3.0, last=True)
            line.close()

    def figures(self, events: Sequence[Event]) -> dict[str, Any]:
        """How many pings, how many were answered, in what time."""
        pings = operations(events, "ping")
        took = sorted(ping.result["took_ms"] for ping in pings if ping.word == "ok")
        return {
            "operations": len(pings),
            "answered": len(took),
            "unreached_at_end": sum(1 for ping in pings if ping.fields.get("last") and ping.word != "ok"),
            "ping_ms_p50": percentile(took, 0.5),
            "ping_ms_p99": percentile(took, 0.99),
        }


def percentile(values: Sequence[float], share: float) -> float | None:
    """The value that so large a share of the sorted values does not pass; None of none."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 3)
