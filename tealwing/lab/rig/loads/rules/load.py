"""The load of changes: operators who change the rules all the time, and clients who see which version decides."""

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

MOVING, RESTING = 2, 1  # clients of each gateway, of groups that changes move and of others
LOOK = 0.2  # s between two looks at each process's versions
BEGIN = 20.0  # s for the first version to be in force
QUIET = 20.0  # s in the end in which what is under way must be decided
GATE = {"rules_closed": "closed", "rules_opened": "opened", "started": "started"}  # of a log's events


class RulesLoad:
    """Changes of the rules under traffic."""

    checkers: Sequence[Checker] = (
        rules_order.check, rules_versions.check, rules_agreement.check, copies.check, views.check,
    )  # fmt: skip

    def __init__(self, lost_touch: str = "serve", limit: float = 3.0) -> None:
        """limit: s after which a change that is not agreed to is aborted, as the processes are told."""
        self._lost_touch, self._limit = lost_touch, limit
        self._clients = Clients()
        self._watch: VersionWatcher | None = None
        self._operators: Operators | None = None
        self._only_plain = False

    def start(self, trial: Trial) -> None:
        """A first version, and then all clients and operators."""
        trial.history.add("rules", lost_touch=self._lost_touch, sites=list(trial.layout.zones))
        self._watch = watch = VersionWatcher(trial)
        self._operators = operators = Operators(trial, watch, trial.layout.zones, self._limit)
        operators.only_plain = self._only_plain
        end, rng = time.monotonic() + BEGIN, random.Random(trial.seed)
        while operators.change(operators.anyone(rng), "move", "first", rng, None) != "active":
            if time.monotonic() > end:
                trial.problems.append(f"no version was in force within {BEGIN:g} s")
                return
            time.sleep(LOOK)
        traffic = Traffic(trial, self._clients.stopped)
        for name in trial.names:
            for place in range(MOVING + RESTING):
                self._clients.spawn(
                    lambda name=name, place=place: traffic.run(name, place, place < MOVING), f"load-q-{name}"  # type: ignore[misc]
                )  # fmt: skip
            self._clients.spawn(lambda name=name: self._look(trial, watch, name), f"load-v-{name}")  # type: ignore[misc]
        self._clients.spawn(lambda: operators.run(self._clients), "load-operators")

    def keep_plain(self, only: bool) -> None:
        """Whether operators make only changes that nothing but a fault keeps from coming into force."""
        self._only_plain = only
        if self._operators is not None:
            self._operators.only_plain = only

    def hold_changes(self, hold: bool) -> None:
        """Have operators begin no change, or go on."""
        if self._operators is not None:
            self._operators.held = hold

    def _look(self, trial: Trial, watch: VersionWatcher, name: str) -> None:
        line = ProcessConnection(trial, name)
        while not self._clients.stopped.wait(LOOK):
            if not trial.processes[name].running or trial.processes[name].stopped:
                continue
            try:
                watch.look(line)
            except (RemoteCallError, OSError):
                line.close()
        line.close()

    def stop(self) -> None:
        """Begin nothing more."""
        self._clients.stop()

    def finish(self, trial: Trial) -> None:
        """Wait until nothing is under way; then what every process holds, its gate's log, and all copies' hashes."""
        trial.problems += self._clients.failed
        lines = [ProcessConnection(trial, name) for name in trial.names]
        if self._watch is not None and self._operators is not None:
            self._settle(trial, self._watch, lines)
            self._last(trial, self._operators)
            self._settle(trial, self._watch, lines)
            for line in lines:
                self._watch.end(line)
        for name in trial.names:
            for event in trial.processes[name].events():
                if (what := GATE.get(event.get("event", ""))) is not None:
                    at = round(event["at"] - trial.history.wall, 6)
                    trial.history.add("gate", process=name, what=what, number=event.get("number", 0), at=at)
        self._copies(trial, lines)
        for line in lines:
            line.close()
        if self._operators is not None:
            self._operators.close()

    def _last(self, trial: Trial, operators: Operators) -> None:
        """A change that must come into force, as all is healed; it frees who could not do the one before, too."""
        end, rng, phase = time.monotonic() + QUIET, random.Random(trial.seed), ""
        while phase != "active":
            if time.monotonic() > end:
                trial.history.add("rules-stuck", why=f"not within {QUIET:g} s; the last was {phase or 'not decided'}")
                return
            phase = operators.change(operators.anyone(rng), "move", "last", rng, None)

    def _settle(self, trial: Trial, watch: VersionWatcher, lines: Sequence[ProcessConnection]) -> None:
        """Until all hold the same and nothing is under way, or the time for that is over."""
        end = time.monotonic() + QUIET
        while time.monotonic() < end:
            try:
                found = [watch.look(line) for line in lines]
            except (RemoteCallError, OSError):
                found = []
            still = {(status["active"], status["in_force"]) for status in found}
            if found and len(still) == 1 and not any(status["in_flight"] for status in found):
                return
            trial.stopping.wait(0.1)

    def _copies(self, trial: Trial, lines: Sequence[ProcessConnection]) -> None:
        """The hashes of the copies of each log, and who led its terms."""
        logs = trial.layout.sites or {"": tuple(trial.names)}
        for site, members in logs.items():
            marks = {"log": site} if site else {}
            digests(trial, [line for line in lines if line.name in members], **marks)
            for line in lines:
                if line.name in members:
                    found = line.call("replica.status", 5.0)
                    fields = {"leaders": found["leaders"], "refused": found["refused_stale"], **marks}
                    trial.history.add("terms", process=line.name, **fields)

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """What became of the changes, what clients saw of them, and what must be none."""
        return metrics.summary(events)
