"""The load of pings between processes, which tests the peer link alone."""

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

PING_WAIT = 0.8  # s that a ping waits for its reply


def ping(trial: Trial, connection: ProcessConnection, to: str, text: str, wait: float, **marks: Any) -> None:
    """Send one ping from the connection's process, and record it in the history."""
    number = trial.history.invoke("ping", connection.name, to=to, text=text, **marks)
    try:
        answer = connection.call("ping", wait + 1.0, to=to, text=text, wait_s=wait)
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    trial.history.complete(number, "ok", by=answer["by"], text=answer["text"], took_ms=answer["took_ms"])


class EchoLoad:
    """Every process pings all others in turn."""

    checkers: Sequence[Checker] = (echo.check, views.check)

    def __init__(self) -> None:
        self._clients = Clients()

    def start(self, trial: Trial) -> None:
        """Start one client per process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._ping(trial, name), f"load-{name}")  # type: ignore[misc]

    def _ping(self, trial: Trial, name: str) -> None:
        connection, turn = ProcessConnection(trial, name), 0
        others = [other for other in trial.names if other != name]
        while not self._clients.stopped.is_set():
            to, turn = others[turn % len(others)], turn + 1
            ping(trial, connection, to, f"{name}-{turn}", PING_WAIT)
            self._clients.stopped.wait(PAUSE)
        connection.close()

    def stop(self) -> None:
        """Begin no further pings, and wait for the open ones."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Ping between every pair of processes, which must succeed once all faults are healed."""
        for name in trial.names:
            connection = ProcessConnection(trial, name)
            for to in trial.names:
                if to != name:
                    ping(trial, connection, to, "last", 3.0, last=True)
            connection.close()

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return how many pings were sent, how many were answered, and how long they took."""
        pings = operations(events, "ping")
        took = sorted(ping.result["took_ms"] for ping in pings if ping.outcome == "ok")
        return {
            "operations": len(pings),
            "answered": len(took),
            "unreached_at_end": sum(1 for ping in pings if ping.fields.get("last") and ping.outcome != "ok"),
            "ping_ms_p50": percentile(took, 0.5),
            "ping_ms_p99": percentile(took, 0.99),
        }
