"""One gateway's part in the federation's log, as federation/service.py has it on a thread."""

from __future__ import annotations

from collections.abc import Mapping

from tealwing.federation.service import TICK
from tealwing.federation.site_delegate import SiteDelegate
from tealwing.lab.rollout.copies import StateSnapshot
from tealwing.lab.rollout.logs import Log
from tealwing.lab.rollout.tasks import Signal, Step, Task
from tealwing.rollout.leader.coordinator import RolloutCoordinator
from tealwing.rollout.leader.duties import EXPEDITED
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rules.records import Body, ExpirePermit, Forget


class Federated:
    """Speaks for its site where it leads that, decides where it leads all."""

    def __init__(
        self, site: Log, all_: Log, name: str, gateways: Mapping[str, tuple[str, ...]], limit: float, patience: float
    ) -> None:
        """Act for the site of that name; `gateways` has those of each site."""
        self._site, self._all, self._name, self._gateways = site, all_, name, gateways
        self._clock = site.host.wires.clock
        number = all_.core.incarnation
        self._delegate = SiteDelegate(name, number)
        self._conductor = RolloutCoordinator(name, limit, patience, seed=number)
        self._witnesses = ExpiryObserver(name, seed=number)
        self._lapses: list[tuple[int, Body]] = []
        self._wake = Signal(self._clock)
        site.applied.append(lambda _: self._wake.set())
        site.led.append(lambda leads: self._wake.set())
        all_.applied.append(self._applied)
        all_.led.append(lambda leads: self._wake.set())
        Task(self._clock, self._run())

    def _applied(self, snapshot: StateSnapshot) -> None:
        if snapshot.command is not None and snapshot.result is not None:
            if isinstance(snapshot.command.body, ExpirePermit | Forget):
                self._lapses.append((snapshot.index, snapshot.command.body))
            if self._all.leads and snapshot.result.ok and isinstance(snapshot.command.body, EXPEDITED):
                self._all.flush_commit()
            self._wake.set()

    def _run(self) -> Step:
        while True:
            yield self._wake, TICK
            self._wake.clear()
            self._look()

    def _look(self) -> None:
        now, snapshot = self._clock.now, self._all.snapshot
        lapses, self._lapses = self._lapses, []
        for at, body in lapses:
            self._witnesses.applied(now, at, body)
        self._conductor.set_leading(now, self._all.leads)
        if self._all.leads:
            silent = [name for name in snapshot.tables["rule_members"] if not self._is_reachable(name)]
            for message in self._conductor.step(now, snapshot.tables, silent):
                self._all.propose_if_leader(message)
        found = self._witnesses.due(now, snapshot.tables)
        if not self._site.leads:
            return
        for witness in found:
            self._all.pass_on(witness)
        ours, theirs = self._delegate.due_proposals(now, self._site.snapshot.tables, snapshot.tables, snapshot.index)
        for published in ours:
            self._site.propose_if_leader(published)
        for published in theirs:
            self._all.pass_on(published)

    def _is_reachable(self, site: str) -> bool:
        silent = self._site.host.wires.silent(self._site.host.name)
        return site == self._name or any(name not in silent for name in self._gateways[site])
