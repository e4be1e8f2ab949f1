"""The load of pings: what the link alone can show."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tealwing.lab.judges import echo, views
from tealwing.lab.rig.history import Event, operations
from tealwing.lab.rig.loads.base import PAUSE, Checker, Clients, ProcessConnection
from tealwing.lab.rig.loads.metrics import percentile
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PING_WAIT = 0.8  # s that a ping waits


def ping(trial: Trial, line: ProcessConnection, to: str, text: str, wait: float, **marks: Any) -> None:
    """One ping from the line's process, into the history."""
    number = trial.history.invoke("ping", line.name, to=to, text=text, **marks)
    try:
        answer = line.call("ping", wait + 1.0, to=to, text=text, wait_s=wait)
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    trial.history.complete(number, "ok", by=answer["by"], text=answer["text"], took_ms=answer["took_ms"])


class EchoLoad:
    """From every process pings to all others in turn: what the link alone can show."""

    checkers: Sequence[Checker] = (echo.check, views.check)

    def __init__(self) -> None:
        self._clients = Clients()

    def start(self, trial: Trial) -> None:
        """One client a process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._ping(trial, name), f"load-{name}")  # type: ignore[misc]

    def _ping(self, trial: Trial, name: str) -> None:
        line, turn = ProcessConnection(trial, name), 0
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
            line = ProcessConnection(trial, name)
            for to in trial.names:
                if to != name:
                    ping(trial, line, to, "last", 3.0, last=True)
            line.close()

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
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
