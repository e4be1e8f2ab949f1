"""The load of changes: operators change the rules continuously, and clients observe which version decides."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tealwing.lab.judges import copies, rules_agreement, rules_order, rules_versions, views
from tealwing.lab.rig.history import Event
from tealwing.lab.rig.loads.base import Checker, Clients, ProcessConnection
from tealwing.lab.rig.loads.register import digests
from tealwing.lab.rig.loads.rules import metrics
from tealwing.lab.rig.loads.rules.operators import Operators
from tealwing.lab.rig.loads.rules.traffic import Traffic
from tealwing.lab.rig.loads.rules.watch import VersionWatcher
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

MOVED_CLIENTS, FIXED_CLIENTS = 2, 1  # clients per gateway that query groups which changes move, and other groups
WATCH_INTERVAL = 0.2  # s between two checks of a process's versions
SETUP_LIMIT = 20.0  # s for the first version to come into force
SETTLE_LIMIT = 20.0  # s at the end of the trial for changes in flight to be decided
GATE = {"rules_closed": "closed", "rules_opened": "opened", "started": "started"}  # gate states by log event


class RulesLoad:
    """Operators change the rules while clients query the gateways."""

    checkers: Sequence[Checker] = (
        rules_order.check, rules_versions.check, rules_agreement.check, copies.check, views.check,
    )  # fmt: skip

    def __init__(self, partition_mode: str = "serve", limit: float = 3.0) -> None:
        """limit: s after which the processes abort a change that is not agreed to."""
        self._partition_mode, self._limit = partition_mode, limit
        self._clients = Clients()
        self._watch: VersionWatcher | None = None
        self._operators: Operators | None = None
        self._only_plain = False

    def start(self, trial: Trial) -> None:
        """Bring a first version into force, then start all clients and operators."""
        trial.history.add("rules", lost_touch=self._partition_mode, sites=list(trial.layout.zones))
        self._watch = watch = VersionWatcher(trial)
        self._operators = operators = Operators(trial, watch, trial.layout.zones, self._limit)
        operators.only_plain = self._only_plain
        end, rng = time.monotonic() + SETUP_LIMIT, random.Random(trial.seed)
        while operators.change(operators.random_running_process(rng), "move", "first", rng, None) != "active":
            if time.monotonic() > end:
                trial.problems.append(f"no version of the rules came into force within {SETUP_LIMIT:g} s")
                return
            time.sleep(WATCH_INTERVAL)
        traffic = Traffic(trial, self._clients.stopped)
        for name in trial.names:
            for place in range(MOVED_CLIENTS + FIXED_CLIENTS):
                self._clients.spawn(
                    lambda name=name, place=place: traffic.run(name, place, place < MOVED_CLIENTS), f"load-q-{name}"  # type: ignore[misc]
                )  # fmt: skip
            self._clients.spawn(lambda name=name: self._watch_versions(trial, watch, name), f"load-v-{name}")  # type: ignore[misc]
        self._clients.spawn(lambda: operators.run(self._clients), "load-operators")

    def set_only_plain(self, only: bool) -> None:
        """Set whether operators make only plain changes, which come into force unless a fault prevents it."""
        self._only_plain = only
        if self._operators is not None:
            self._operators.only_plain = only

    def hold_changes(self, hold: bool) -> None:
        """Have operators begin no further changes, or resume."""
        if self._operators is not None:
            self._operators.held = hold

    def _watch_versions(self, trial: Trial, watch: VersionWatcher, name: str) -> None:
        connection = ProcessConnection(trial, name)
        while not self._clients.stopped.wait(WATCH_INTERVAL):
            if not trial.processes[name].running or trial.processes[name].stopped:
                continue
            try:
                watch.poll(connection)
            except (RemoteCallError, OSError):
                connection.close()
        connection.close()

    def stop(self) -> None:
        """Begin no further changes or queries, and wait for the open ones."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Wait until no change is in flight; record each process's versions, its gate's log events and all digests."""
        trial.problems += self._clients.failed
        connections = [ProcessConnection(trial, name) for name in trial.names]
        if self._watch is not None and self._operators is not None:
            self._wait_until_settled(trial, self._watch, connections)
            self._make_last_change(trial, self._operators)
            self._wait_until_settled(trial, self._watch, connections)
            for connection in connections:
                self._watch.record_final_state(connection)
        for name in trial.names:
            for event in trial.processes[name].events():
                if (what := GATE.get(event.get("event", ""))) is not None:
                    at = round(event["at"] - trial.history.wall, 6)
                    trial.history.add("gate", process=name, what=what, number=event.get("number", 0), at=at)
        self._record_copies(trial, connections)
        for connection in connections:
            connection.close()
        if self._operators is not None:
            self._operators.close()

    def _make_last_change(self, trial: Trial, operators: Operators) -> None:
        """Make a change that must come into force now that all faults are healed.

        It also supersedes the previous version, and so frees a process that could not apply that one.
        """
        end, rng, phase = time.monotonic() + SETTLE_LIMIT, random.Random(trial.seed), ""
        while phase != "active":
            if time.monotonic() > end:
                trial.history.add(
                    "rules-stuck",
                    why=f"no change came into force within {SETTLE_LIMIT:g} s; the last one was"
                    f" {phase or 'not decided'}",
                )
                return
            phase = operators.change(operators.random_running_process(rng), "move", "last", rng, None)

    def _wait_until_settled(
        self, trial: Trial, watch: VersionWatcher, connections: Sequence[ProcessConnection]
    ) -> None:
        """Wait, at most SETTLE_LIMIT, until all processes have one version in force and no change is in flight."""
        end = time.monotonic() + SETTLE_LIMIT
        while time.monotonic() < end:
            try:
                found = [watch.poll(connection) for connection in connections]
            except (RemoteCallError, OSError):
                found = []
            versions = {(status["active"], status["in_force"]) for status in found}
            if found and len(versions) == 1 and not any(status["in_flight"] for status in found):
                return
            trial.stopping.wait(0.1)

    def _record_copies(self, trial: Trial, connections: Sequence[ProcessConnection]) -> None:
        """Record the digests of the copies of each log, and the leaders of its terms."""
        logs = trial.layout.sites or {"": tuple(trial.names)}
        for site, members in logs.items():
            marks = {"log": site} if site else {}
            digests(trial, [connection for connection in connections if connection.name in members], **marks)
            for connection in connections:
                if connection.name in members:
                    found = connection.call("replica.status", 5.0)
                    fields = {"leaders": found["leaders"], "refused": found["refused_stale"], **marks}
                    trial.history.add("terms", process=connection.name, **fields)

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return the outcomes of the changes, what clients saw of them, and the counts of violations."""
        return metrics.summary(events)
