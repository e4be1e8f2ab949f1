"""The load of registers: clients write and read keys of the replicated state through every process."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from tealwing.lab.judges import copies, register, views
from tealwing.lab.rig.history import Event, operations
from tealwing.lab.rig.loads.base import PAUSE, Checker, Clients, ProcessConnection
from tealwing.lab.rig.loads.metrics import catchup_ms, failover_ms, percentile
from tealwing.peers.control import RemoteCallError
from tealwing.replica import commands

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

KEYS = 4  # registers in use at one time
GENERATION = 2.0  # s that a set of registers is in use
DO_WAIT = 2.0  # s that an operation waits for its result
SETTLE_LIMIT = 10.0  # s at the end of the trial within which all copies must have applied the same index


class RegisterLoad:
    """Clients write and read registers through every process; each write has a unique value."""

    checkers: Sequence[Checker] = (register.check, copies.check, views.check)

    def __init__(self) -> None:
        self._clients = Clients()
        self._values = itertools.count(1)
        self.keys: set[str] = set()

    def start(self, trial: Trial) -> None:
        """Start one writing and one reading client per process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._run(trial, name, True), f"load-w-{name}")  # type: ignore[misc]
            self._clients.spawn(lambda name=name: self._run(trial, name, False), f"load-r-{name}")  # type: ignore[misc]

    def _run(self, trial: Trial, name: str, writes: bool) -> None:
        connection, rng = ProcessConnection(trial, name), random.Random(f"{trial.seed}/{name}/{writes}")
        client, sequence = f"{name}-{'w' if writes else 'r'}-{trial.seed}", 0
        began = trial.history.now()
        while not self._clients.stopped.is_set():
            generation = int((trial.history.now() - began) / GENERATION)
            key = f"k{generation}-{rng.randrange(KEYS)}"
            self.keys.add(key)
            if writes and rng.random() < 0.7:
                sequence += 1
                put(trial, connection, key, f"v{next(self._values)}", client, sequence)
            else:
                get(trial, connection, key)
            self._clients.stopped.wait(PAUSE)
        connection.close()

    def stop(self) -> None:
        """Begin no further operations, and wait for the open ones."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Read every register a last time, each through the next process, and record the digests of all copies."""
        connections = [ProcessConnection(trial, name) for name in trial.names]
        for number, key in enumerate(sorted(self.keys)):
            get(trial, connections[number % len(connections)], key, wait=5.0, last=True)
        digests(trial, connections)
        for connection in connections:
            status = connection.call("replica.status", 5.0)
            trial.history.add(
                "terms", process=connection.name, leaders=status["leaders"], refused=status["refused_stale"]
            )
            connection.close()

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return what was acknowledged, what of it is lost, stale or divergent, and how long failovers took."""
        ops = operations(events, "put", "get")
        writes = [op for op in ops if op.op == "put" and op.outcome == "ok"]
        rules = Counter(v.rule for checker in (register.check, copies.check) for v in checker(events, 0.0))
        took = sorted((op.end - op.begin) * 1e3 for op in writes)
        failovers, catchups = failover_ms(events), catchup_ms(events)
        return {
            "operations": len(ops),
            "acknowledged": len(writes),
            "lost": rules["lost"],
            "stale_reads": rules["stale"] + rules["invented"],
            "divergent": rules["divergent"],
            "two_leaders": rules["two-leaders"],
            "unknown": sum(1 for op in ops if op.outcome == "unknown"),
            "failovers": len(failovers),
            "failover_ms_p50": percentile(failovers, 0.5),
            "failover_ms_max": percentile(failovers, 1.0),
            "catchup_ms": percentile(catchups, 1.0),
            "write_ms_p50": percentile(took, 0.5),
            "write_ms_p99": percentile(took, 0.99),
        }


def digests(trial: Trial, connections: Sequence[ProcessConnection], **marks: Any) -> None:
    """Record the digests of all copies at a common applied index, or that they reached none within SETTLE_LIMIT."""
    end = trial.history.now() + SETTLE_LIMIT
    while trial.history.now() < end:
        try:
            replies = {connection.name: connection.call("replica.digest", 2.0) for connection in connections}
        except (RemoteCallError, OSError):
            continue
        if len({each["applied"] for each in replies.values()}) == 1:
            for name, each in replies.items():
                trial.history.add("digest", process=name, applied=each["applied"], digest=each["digest"], **marks)
            return
        trial.stopping.wait(0.05)
    trial.history.add("copies-differ", after=SETTLE_LIMIT)


def put(trial: Trial, connection: ProcessConnection, key: str, value: str, client: str, sequence: int) -> None:
    """Write once through the connection's process, and record it in the history."""
    number = trial.history.invoke("put", connection.name, key=key, value=value)
    body = msgspec.msgpack.encode(commands.Put(key, value.encode()))
    try:
        reply = connection.call(
            "replica.do", DO_WAIT + 1.0, body=body, client=client, sequence=sequence, wait_s=DO_WAIT
        )
    except ConnectionRefusedError as error:  # no process received the write
        trial.history.complete(number, "fail", why=str(error))
        return
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "unknown", why=str(error))
        return
    outcomes = {"ok": "ok", "unknown": "unknown"}
    why = {"why": reply["why"]} if reply.get("why") else {}
    trial.history.complete(number, outcomes.get(reply["word"], "fail"), index=reply.get("index"), **why)


def get(trial: Trial, connection: ProcessConnection, key: str, wait: float = DO_WAIT, **marks: Any) -> None:
    """Read once through the connection's process, and record it in the history."""
    number = trial.history.invoke("get", connection.name, key=key, **marks)
    try:
        reply = connection.call("replica.get", wait + 1.0, key=key, wait_s=wait)
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    if reply["word"] != "ok":
        trial.history.complete(number, "fail", why=reply.get("why"))
        return
    value = reply["value"][0].decode() if reply["found"] else None
    trial.history.complete(number, "ok", value=value, applied=reply["applied"])
