"""One gateway's part in the federation's log: the work of the thread of federation/service.py, as a task."""

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
    """The site's delegate while the gateway leads the site's log; the coordinator while it leads the federation's."""

    def __init__(
        self,
        site: Log,
        federation: Log,
        name: str,
        gateways: Mapping[str, tuple[str, ...]],
        limit: float,
        patience: float,
    ) -> None:
        """Act for the site of that name; `gateways` has the names of the gateways of each site."""
        self._site, self._federation, self._name, self._gateways = site, federation, name, gateways
        self._clock = site.host.network.clock
        number = federation.core.incarnation
        self._delegate = SiteDelegate(name, number)
        self._coordinator = RolloutCoordinator(name, limit, patience, seed=number)
        self._expiry_observer = ExpiryObserver(name, seed=number)
        self._expiries: list[tuple[int, Body]] = []
        self._wake = Signal(self._clock)
        site.applied.append(lambda _: self._wake.set())
        site.led.append(lambda leads: self._wake.set())
        federation.applied.append(self._applied)
        federation.led.append(lambda leads: self._wake.set())
        Task(self._clock, self._run())

    def _applied(self, snapshot: StateSnapshot) -> None:
        if snapshot.command is not None and snapshot.result is not None:
            if isinstance(snapshot.command.body, ExpirePermit | Forget):
                self._expiries.append((snapshot.index, snapshot.command.body))
            if self._federation.leads and snapshot.result.ok and isinstance(snapshot.command.body, EXPEDITED):
                self._federation.flush_commit()
            self._wake.set()

    def _run(self) -> Step:
        while True:
            yield self._wake, TICK
            self._wake.clear()
            self._step()

    def _step(self) -> None:
        now, snapshot = self._clock.now, self._federation.snapshot
        expiries, self._expiries = self._expiries, []
        for at, body in expiries:
            self._expiry_observer.applied(now, at, body)
        self._coordinator.set_leading(now, self._federation.leads)
        if self._federation.leads:
            silent = [name for name in snapshot.tables["rule_members"] if not self._is_reachable(name)]
            for message in self._coordinator.step(now, snapshot.tables, silent):
                self._federation.propose_if_leader(message)
        found = self._expiry_observer.due(now, snapshot.tables)
        if not self._site.leads:
            return
        for confirmation in found:
            self._federation.forward(confirmation)
        site_bodies, federation_bodies = self._delegate.due_proposals(
            now, self._site.snapshot.tables, snapshot.tables, snapshot.index
        )
        for body in site_bodies:
            self._site.propose_if_leader(body)
        for body in federation_bodies:
            self._federation.forward(body)

    def _is_reachable(self, site: str) -> bool:
        silent = self._site.host.network.silent(self._site.host.name)
        return site == self._name or any(name not in silent for name in self._gateways[site])
