"""One gateway's part in the federation's log: it speaks for its site where it leads that, decides where it leads all.

One thread, woken by entries of either log and by time. Nothing here waits: what is said goes to whoever leads, and is
said again, in its time, until the states show it.
"""

from __future__ import annotations

import threading
import traceback
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from tealwing import log, threads
from tealwing.federation.delegate import Delegate
from tealwing.federation.plan import Plan
from tealwing.peers.bounds import USUAL, Bounds
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.replica import commands as c
from tealwing.replica.service.node import Replica
from tealwing.rollout.conductor import Conductor
from tealwing.rollout.leading import HURRY
from tealwing.rollout.seen import TABLES, Seen, seen
from tealwing.rollout.witnesses import Witnesses
from tealwing.rules import records

TICK = 0.05  # s between two looks where no entry comes
SILENT_BEATS = 2.0  # beats of the link without a sign of life after which a gateway counts as silent
Tables = Mapping[str, Mapping[str, Any]]


class Federation:
    """Joins the site's log and the federation's."""

    def __init__(
        self, plan: Plan, site: Replica, all_: Replica, link: Link, clock: Clock, patience: float,
        bounds: Bounds = USUAL,
    ) -> None:  # fmt: skip
        """site and all_ are this process's members of the two logs; patience is s of a site's silence."""
        name = link.plan.name
        self.plan, self.site_name, self.replica = plan, plan.site_of(name), all_
        self._site, self._link, self._clock = site, link, clock
        self._delegate = Delegate(self.site_name, all_.incarnation)
        self._conductor = Conductor(self.site_name, plan.limit, patience, bounds, all_.incarnation)
        self._witnesses = Witnesses(self.site_name, bounds, all_.incarnation)
        self._woken, self._stopped = threading.Event(), threading.Event()
        self._speaks = self._decides = self._conducts = False
        self._lapses: list[tuple[int, records.Body]] = []  # applied and not yet told to the witnesses
        self._lock = threading.Lock()  # round the lapses
        self.seen: Seen = seen(all_.state, self.site_name)  # set on the replica's thread alone
        self._changed: Callable[[], None] = lambda: None
        site.on_applied(lambda index, command, result: self._woken.set())
        site.on_leadership(self._site_led)
        site.on_state_replaced(self._woken.set)
        all_.on_applied(self._applied)
        all_.on_leadership(self._all_led)
        all_.on_state_replaced(self._installed)

    def on_change(self, changed: Callable[[], None]) -> None:
        """Be told, on the replica's thread, when versions or sites have changed; before the start."""
        self._changed = changed

    def start(self) -> None:
        """Take part from now on."""
        threads.start(self._run, "federation")

    def stop(self) -> None:
        """Take part no more."""
        self._stopped.set()
        self._woken.set()

    def status(self) -> dict[str, Any]:
        """What operators ask for: the sites as the federation's log has them, and who speaks for ours."""
        seen_ = self.seen
        flight = seen_.me.flight
        said = {} if flight is None else {who: {"yes": w.yes, "reason": w.reason} for who, w in flight.said.items()}
        return {
            "site": self.site_name, "speaks": self._speaks, "decides": self._decides, "index": seen_.index,
            "leader": self.replica.core.leader, "active": seen_.facts.active, "last": seen_.facts.last,
            "flight": None if flight is None else {"number": flight.number, "phase": flight.phase, "said": said},
            "sites": {
                name: {"start": site.start, "lost_touch": site.lost_touch, "closed": site.closed,
                       "lapsed": site.lapsed, "over": site.over, "heard": self._hears(name)}
                for name, site in sorted(seen_.members.items())
            },
        }  # fmt: skip

    # The replicas' threads

    def _site_led(self, leads: bool) -> None:
        self._speaks = leads
        log.event("federation_delegate", site=self.site_name, speaks=leads)
        self._woken.set()

    def _all_led(self, leads: bool) -> None:
        self._decides = leads
        self._woken.set()

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        body = command.body if command is not None else None
        if not isinstance(body, records.Body):
            self.seen = replace(self.seen, index=index, me=replace(self.seen.me, index=index))
            return
        self.seen = seen(self.replica.state, self.site_name)
        if isinstance(body, records.Lapse | records.Forget):
            with self._lock:
                self._lapses.append((index, body))
        if self._decides and result is not None and result.ok and isinstance(body, HURRY):
            # each step waits for the one before: sites must not learn of it with the next beat
            self.replica.broadcast_commit()
        self._changed()
        self._woken.set()

    def _installed(self) -> None:
        self.seen = seen(self.replica.state, self.site_name)
        self._changed()
        self._woken.set()

    # Our thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._woken.wait(TICK)
            self._woken.clear()
            if self._stopped.is_set():
                return
            try:
                self._look()
            except Exception:  # one fault must not leave the site without a voice: the next look begins anew
                log.event("federation_failed", trace=traceback.format_exc(limit=-3))
                log.check_invariant(False, "a look at the federation's log goes through")

    def _look(self) -> None:
        now = self._clock.now()
        tables, index = self.seen.tables, self.seen.index
        with self._lock:
            lapses, self._lapses = self._lapses, []
        for at, body in lapses:
            self._witnesses.applied(now, at, body)
        if self._decides != self._conducts:
            self._conducts = self._decides
            self._conductor.lead(now, self._conducts)
        if self._conducts:
            silent = [name for name in tables["rule_members"] if not self._hears(name)]
            for body in self._conductor.look(now, tables, silent):
                log.event("federation_says", what=type(body).__name__.lower(), number=getattr(body, "number", None))
                self.replica.propose_if_leader(c.encode(c.Command("", 0, body)))
        found = self._witnesses.due(now, tables)
        if not self._speaks:
            return
        for witness in found:
            self.replica.forward(c.encode(c.Command("", 0, witness)))
        ours, theirs = self._delegate.look(now, _tables(self._site), tables, index)
        for body in ours:
            self._site.propose_if_leader(c.encode(c.Command("", 0, body)))
        for body in theirs:
            log.event("federation_site_says", site=self.site_name, what=type(body).__name__.lower(),
                      number=getattr(body, "number", None))  # fmt: skip
            self.replica.forward(c.encode(c.Command("", 0, body)))

    def _hears(self, site: str) -> bool:
        """Whether a gateway of the site is heard, or it is ours."""
        if site == self.site_name:
            return True
        limit = SILENT_BEATS * self._link.plan.times.beat
        heard = {peer["name"] for peer in self._link.status()
                 if peer["silence_s"] is not None and peer["silence_s"] <= limit}  # fmt: skip
        return any(name in heard for name in self.plan.gateways(site))


def _tables(replica: Replica) -> Tables:
    """The tables of the rules as they are applied here, for another thread."""
    with replica.lock:
        return {name: dict(replica.state.tables[name]) for name in TABLES}
