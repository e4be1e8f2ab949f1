"""The load of registers: writes and reads through every process."""

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

KEYS = 4  # registers that are in use at one time
DO_WAIT = 2.0  # s that an operation waits
QUIET = 10.0  # s in the end in which all copies must have applied the same


class RegisterLoad:
    """Writes and reads of registers through every process, each write of a value of its own."""

    checkers: Sequence[Checker] = (register.check, copies.check, views.check)

    def __init__(self) -> None:
        self._clients = Clients()
        self._values = itertools.count(1)
        self.keys: set[str] = set()

    def start(self, trial: Trial) -> None:
        """One client that writes and one that reads a process."""
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._run(trial, name, True), f"load-w-{name}")  # type: ignore[misc]
            self._clients.spawn(lambda name=name: self._run(trial, name, False), f"load-r-{name}")  # type: ignore[misc]

    def _run(self, trial: Trial, name: str, writes: bool) -> None:
        line, rng = ProcessConnection(trial, name), random.Random(f"{trial.seed}/{name}/{writes}")
        client, sequence = f"{name}-{'w' if writes else 'r'}-{trial.seed}", 0
        began = trial.history.now()
        while not self._clients.stopped.is_set():
            generation = int((trial.history.now() - began) / 2.0)  # s that a set of registers is in use
            key = f"k{generation}-{rng.randrange(KEYS)}"
            self.keys.add(key)
            if writes and rng.random() < 0.7:
                sequence += 1
                put(trial, line, key, f"v{next(self._values)}", client, sequence)
            else:
                get(trial, line, key)
            self._clients.stopped.wait(PAUSE)
        line.close()

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """The last read of every register, at another process each; then all copies' hashes."""
        lines = [ProcessConnection(trial, name) for name in trial.names]
        for number, key in enumerate(sorted(self.keys)):
            get(trial, lines[number % len(lines)], key, wait=5.0, last=True)
        digests(trial, lines)
        for line in lines:
            status = line.call("replica.status", 5.0)
            trial.history.add("terms", process=line.name, leaders=status["leaders"], refused=status["refused_stale"])
            line.close()

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """What was acknowledged and what of it is lost, stale or divergent; how long a leader was missed."""
        ops = operations(events, "put", "get")
        writes = [op for op in ops if op.op == "put" and op.word == "ok"]
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
            "unknown": sum(1 for op in ops if op.word == "unknown"),
            "failovers": len(failovers),
            "failover_ms_p50": percentile(failovers, 0.5),
            "failover_ms_max": percentile(failovers, 1.0),
            "catchup_ms": percentile(catchups, 1.0),
            "write_ms_p50": percentile(took, 0.5),
            "write_ms_p99": percentile(took, 0.99),
        }


def digests(trial: Trial, lines: Sequence[ProcessConnection], **marks: Any) -> None:
    """The hashes of all copies at one index, which all must have applied at some moment; else that they never had."""
    end = trial.history.now() + QUIET
    while trial.history.now() < end:
        try:
            replies = {line.name: line.call("replica.digest", 2.0) for line in lines}
        except (RemoteCallError, OSError):
            continue
        if len({each["applied"] for each in replies.values()}) == 1:
            for name, each in replies.items():
                trial.history.add("digest", process=name, applied=each["applied"], digest=each["digest"], **marks)
            return
        trial.stopping.wait(0.05)
    trial.history.add("copies-differ", after=QUIET)


def put(trial: Trial, line: ProcessConnection, key: str, value: str, client: str, sequence: int) -> None:
    """One write from the line's process, into the history."""
    number = trial.history.invoke("put", line.name, key=key, value=value)
    body = msgspec.msgpack.encode(commands.Put(key, value.encode()))
    try:
        reply = line.call("replica.do", DO_WAIT + 1.0, body=body, client=client, sequence=sequence, wait_s=DO_WAIT)
    except ConnectionRefusedError as error:  # nobody heard it
        trial.history.complete(number, "fail", why=str(error))
        return
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "unknown", why=str(error))
        return
    outcomes = {"ok": "ok", "unknown": "unknown"}
    why = {"why": reply["why"]} if reply.get("why") else {}
    trial.history.complete(number, outcomes.get(reply["word"], "fail"), index=reply.get("index"), **why)


def get(trial: Trial, line: ProcessConnection, key: str, wait: float = DO_WAIT, **marks: Any) -> None:
    """One read from the line's process, into the history."""
    number = trial.history.invoke("get", line.name, key=key, **marks)
    try:
        reply = line.call("replica.get", wait + 1.0, key=key, wait_s=wait)
    except (RemoteCallError, OSError) as error:
        trial.history.complete(number, "fail", why=str(error))
        return
    if reply["word"] != "ok":
        trial.history.complete(number, "fail", why=reply.get("why"))
        return
    value = reply["value"][0].decode() if reply["found"] else None
    trial.history.complete(number, "ok", value=value, applied=reply["applied"])
