"""One gateway's part in the federation's log.

The gateway is the site delegate while it leads the site's log, and the coordinator while it leads the federation's.
One thread does both, woken by entries of either log and by time. It never blocks: proposals are forwarded to the
leader, and repeated with backoff until the states show their effect.
"""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from tealwing import log, threads
from tealwing.federation.plan import Plan
from tealwing.federation.site_delegate import SiteDelegate
from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.replica import commands as c
from tealwing.replica.service.node import Replica
from tealwing.rollout.leader.coordinator import RolloutCoordinator
from tealwing.rollout.leader.duties import EXPEDITED
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rollout.observed_state import TABLES, ObservedState, observe
from tealwing.rules import records

TICK = 0.05  # s between two steps without an entry of either log
SILENT_HEARTBEATS = 2.0  # heartbeats of the link without a message, after which a gateway is unreachable
Tables = Mapping[str, Mapping[str, Any]]


class Federation:
    """Connects the site's log and the federation's."""

    def __init__(
        self, plan: Plan, site: Replica, federation: Replica, link: Link, clock: Clock, silence_timeout: float,
        bounds: LeaseBounds = DEFAULT_BOUNDS,
    ) -> None:  # fmt: skip
        """Site and federation are the replicas of the two logs; see `joining.join` for silence_timeout."""
        name = link.plan.name
        self.plan, self.site_name, self.replica = plan, plan.site_of(name), federation
        self._site, self._link, self._clock = site, link, clock
        self._delegate = SiteDelegate(self.site_name, federation.incarnation)
        self._coordinator = RolloutCoordinator(
            self.site_name, plan.agreement_timeout, silence_timeout, bounds, federation.incarnation
        )
        self._expiry_observer = ExpiryObserver(self.site_name, bounds, federation.incarnation)
        self._wake, self._stopped = threading.Event(), threading.Event()
        self._leads_site = self._leads_federation = self._coordinates = False
        # applied entries that expire permits, with their indexes; not yet passed to the expiry observer
        self._expiries: list[tuple[int, records.Body]] = []
        self._lock = threading.Lock()  # guards _expiries
        self.state: ObservedState = observe(federation.state, self.site_name)  # set only on the replica's thread
        self._changed: Callable[[], None] = lambda: None
        site.on_applied(lambda index, command, result: self._wake.set())
        site.on_leadership(self._site_leadership_changed)
        site.on_state_replaced(self._wake.set)
        federation.on_applied(self._applied)
        federation.on_leadership(self._federation_leadership_changed)
        federation.on_state_replaced(self._installed)

    def on_change(self, changed: Callable[[], None]) -> None:
        """Register a callback for changed versions or sites, called on the replica's thread; before the start."""
        self._changed = changed

    def start(self) -> None:
        """Start the thread."""
        threads.start(self._run, "federation")

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._wake.set()

    def status(self) -> dict[str, Any]:
        """Return the status for operators: versions and sites in the federation's log, and this gateway's roles."""
        state = self.state
        flight = state.view.in_flight
        verdicts = (
            {}
            if flight is None
            else {site: {"yes": v.accepted, "reason": v.reason} for site, v in flight.verdicts.items()}
        )
        return {
            "site": self.site_name, "speaks": self._leads_site, "decides": self._leads_federation, "index": state.index,
            "leader": self.replica.core.leader, "active": state.facts.active_number, "last": state.facts.last_number,
            "flight": None if flight is None else {"number": flight.number, "phase": flight.phase, "said": verdicts},
            "sites": {
                name: {"start": site.start, "lost_touch": site.partition_mode, "closed": site.closed_for,
                       "lapsed": site.expiry_index, "over": site.expiry_confirmed, "heard": self._is_reachable(name)}
                for name, site in sorted(state.members.items())
            },
        }  # fmt: skip

    # On the replicas' threads

    def _site_leadership_changed(self, leads: bool) -> None:
        self._leads_site = leads
        log.event("federation_delegate", site=self.site_name, speaks=leads)
        self._wake.set()

    def _federation_leadership_changed(self, leads: bool) -> None:
        self._leads_federation = leads
        self._wake.set()

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        body = command.body if command is not None else None
        if not isinstance(body, records.Body):
            self.state = replace(self.state, index=index, view=replace(self.state.view, index=index))
            return
        self.state = observe(self.replica.state, self.site_name)
        if isinstance(body, records.ExpirePermit | records.Forget):
            with self._lock:
                self._expiries.append((index, body))
        if self._leads_federation and result is not None and result.ok and isinstance(body, EXPEDITED):
            # all sites wait for these commands: followers learn the commit index before the next heartbeat
            self.replica.broadcast_commit()
        self._changed()
        self._wake.set()

    def _installed(self) -> None:
        self.state = observe(self.replica.state, self.site_name)
        self._changed()
        self._wake.set()

    # On the federation's thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(TICK)
            self._wake.clear()
            if self._stopped.is_set():
                return
            try:
                self._step()
            except Exception:  # a defect must not stop the delegate: the next step starts from the states again
                log.event("federation_failed", trace=traceback.format_exc(limit=-3))
                log.check_invariant(False, "a step of the federation's thread succeeds")

    def _step(self) -> None:
        now = self._clock.now()
        tables, index = self.state.tables, self.state.index
        with self._lock:
            expiries, self._expiries = self._expiries, []
        for expiry_index, body in expiries:
            self._expiry_observer.applied(now, expiry_index, body)
        if self._leads_federation != self._coordinates:
            self._coordinates = self._leads_federation
            self._coordinator.set_leading(now, self._coordinates)
        if self._coordinates:
            silent = [name for name in tables["rule_members"] if not self._is_reachable(name)]
            for body in self._coordinator.step(now, tables, silent):
                log.event(
                    "federation_command_proposed",
                    what=records.COMMAND_NAMES[type(body)],
                    number=getattr(body, "number", None),
                )
                self.replica.propose_if_leader(c.encode(c.Command("", 0, body)))
        confirmations = self._expiry_observer.due(now, tables)
        if not self._leads_site:
            return
        for confirmation in confirmations:
            self.replica.forward(c.encode(c.Command("", 0, confirmation)))
        site_proposals, federation_proposals = self._delegate.due_proposals(now, _tables(self._site), tables, index)
        for body in site_proposals:
            self._site.propose_if_leader(c.encode(c.Command("", 0, body)))
        for body in federation_proposals:
            log.event("federation_site_command_proposed", site=self.site_name, what=records.COMMAND_NAMES[type(body)],
                      number=getattr(body, "number", None))  # fmt: skip
            self.replica.forward(c.encode(c.Command("", 0, body)))

    def _is_reachable(self, site: str) -> bool:
        """Return whether the site is the local one, or any of its gateways has sent a message lately."""
        if site == self.site_name:
            return True
        limit = SILENT_HEARTBEATS * self._link.plan.times.heartbeat
        reachable = {peer["name"] for peer in self._link.status()
                 if peer["silence_s"] is not None and peer["silence_s"] <= limit}  # fmt: skip
        return any(name in reachable for name in self.plan.gateways(site))


def _tables(replica: Replica) -> Tables:
    """Return a copy of a replica's tables of the rules, for use without its lock."""
    with replica.lock:
        return {name: dict(replica.state.tables[name]) for name in TABLES}
