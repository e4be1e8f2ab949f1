"""One gateway's part in the federation's log, as federation/shell.py has it on a thread."""

from __future__ import annotations

from collections.abc import Mapping

from tealwing.federation.delegate import Delegate
from tealwing.federation.shell import TICK
from tealwing.lab.rollout.copies import Shot
from tealwing.lab.rollout.logs import Log
from tealwing.lab.rollout.tasks import Signal, Step, Task
from tealwing.rollout.conductor import Conductor
from tealwing.rollout.leading import HURRY
from tealwing.rollout.witnesses import Witnesses
from tealwing.rules.records import Body, Forget, Lapse


class Federated:
    """Speaks for its site where it leads that, decides where it leads all."""

    def __init__(
        self, site: Log, all_: Log, name: str, gateways: Mapping[str, tuple[str, ...]], limit: float, patience: float
    ) -> None:
        """name is the site's; gateways are those of each site."""
        self._site, self._all, self._name, self._gateways = site, all_, name, gateways
        self._clock = site.host.wires.clock
        number = all_.core.incarnation
        self._delegate = Delegate(name, number)
        self._conductor = Conductor(name, limit, patience, seed=number)
        self._witnesses = Witnesses(name, seed=number)
        self._lapses: list[tuple[int, Body]] = []
        self._wake = Signal(self._clock)
        site.applied.append(lambda shot: self._wake.set())
        site.led.append(lambda leads: self._wake.set())
        all_.applied.append(self._applied)
        all_.led.append(lambda leads: self._wake.set())
        Task(self._clock, self._run())

    def _applied(self, shot: Shot) -> None:
        if shot.command is not None and shot.result is not None:
            if isinstance(shot.command.body, Lapse | Forget):
                self._lapses.append((shot.index, shot.command.body))
            if self._all.leads and shot.result.ok and isinstance(shot.command.body, HURRY):
                self._all.hurry()
            self._wake.set()

    def _run(self) -> Step:
        while True:
            yield self._wake, TICK
            self._wake.clear()
            self._look()

    def _look(self) -> None:
        now, shot = self._clock.now, self._all.shot
        lapses, self._lapses = self._lapses, []
        for at, body in lapses:
            self._witnesses.applied(now, at, body)
        self._conductor.lead(now, self._all.leads)
        if self._all.leads:
            silent = [name for name in shot.tables["rule_members"] if not self._hears(name)]
            for word in self._conductor.look(now, shot.tables, silent):
                self._all.propose_here(word)
        found = self._witnesses.due(now, shot.tables)
        if not self._site.leads:
            return
        for witness in found:
            self._all.pass_on(witness)
        ours, theirs = self._delegate.look(now, self._site.shot.tables, shot.tables, shot.index)
        for said in ours:
            self._site.propose_here(said)
        for said in theirs:
            self._all.pass_on(said)

    def _hears(self, site: str) -> bool:
        silent = self._site.host.wires.silent(self._site.host.name)
        return site == self._name or any(name not in silent for name in self._gateways[site])
