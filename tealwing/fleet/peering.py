"""What a gateway runs among its peers, put together: the link, the control address, the replicated state."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tealwing import log
from tealwing.leases import sweep
from tealwing.leases.keeper import Keeper
from tealwing.leases.service import Service as LeaseService
from tealwing.peers.clock import Clock
from tealwing.peers.control import Control, Denied, Fields, field
from tealwing.peers.echo import Echo
from tealwing.peers.link import Link, LinkFault
from tealwing.peers.plan import Plan
from tealwing.replica.commands import Command, CommandResult, Settings
from tealwing.replica.group import SITE, Group
from tealwing.replica.membership.promotion import Promotion
from tealwing.replica.membership.voter_plan import next_change
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.replica.service.control import ReplicaControl
from tealwing.replica.service.node import Replica
from tealwing.replica.service.recovery import Phase
from tealwing.replica.service.state_feed import StateFeed
from tealwing.replica.storage.store import StorageError

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.federation.plan import Plan as FederationPlan
    from tealwing.federation.shell import Federation
    from tealwing.rollout.gate import Gate
    from tealwing.rollout.here import Gateway
    from tealwing.rollout.plan import Plan as RulesPlan
    from tealwing.rollout.shell import Shell

MOST_RATE, LEAST_RATE = 2.0, 0.5  # of a clock that the laboratory skews


class Peering:
    """One gateway's side of the fleet."""

    def __init__(
        self, plan: Plan, replica: ReplicaPlan | None = None,
        take: Callable[[int, bytes], None] = lambda version, text: None, federation: FederationPlan | None = None,
    ) -> None:  # fmt: skip
        """take hears good versions of the settings: the last one on the disk, and those that the fleet agrees on.

        LinkFault where an address can't be had, or a disk can't be trusted.
        """
        self.plan, self.replica_plan = plan, replica
        self.rules_plan: RulesPlan | None = None
        self.rules: Shell | None = None
        self.federation_plan = federation
        self.federation: Federation | None = None
        self.clock = Clock()
        self.link = Link(plan)
        self.echo = Echo(self.link)
        self.replica: Replica | None = None
        if replica is not None:
            try:
                self.replica = Replica(replica, self.link, self.clock, group=self._group())
            except (StorageError, OSError, ValueError) as error:
                self.link.stop()
                raise LinkFault(f"replica: folder {replica.directory}: {error}") from None
        self._take = take
        self.feed = StateFeed(self.replica, plan.name) if self.replica is not None else None
        if self.replica is not None:
            self.replica.on_applied(self._applied)
            self.replica.on_state_replaced(self._take_best)
            self._take_best()  # it serves at once, before anybody is asked
        if self.replica is not None and replica is not None and replica.replace_after:
            Promotion(self.replica, next_change, replica.replace_after, len(SITE.initial_members(plan)[0]))
        self.keeper: Keeper | None = None
        if self.replica is not None and replica is not None and replica.leases:
            self.keeper = Keeper(self.replica, self.clock)
        self.control: Control | None = None
        if plan.control is not None:
            try:
                self.control = Control(plan.control)
            except OSError as error:
                self.link.stop()
                host, port = plan.control
                raise LinkFault(f"peers: control {host}:{port}: {error.strerror}") from None
            self.control.serve("status", lambda _: self.status())
            self.echo.serve(self.control)
            if plan.faults:
                self.control.serve("fault.clock", self._skew)
                self.control.serve("fault.echo", self._lie)
                self.control.serve("fault.disk", self._disk)
            if self.replica is not None:
                ReplicaControl(self.replica, self.control)
            if self.keeper is not None:
                LeaseService(self.keeper, self.control, plan.faults)

    def follow_rules(self, plan: RulesPlan, gateway: Gateway) -> Gate:
        """Take part in changes of the rules; before the start. What requests pass from now on.

        LinkFault where the mark of changes can't be read.
        """
        from tealwing.rollout import joining  # only where it is on

        assert self.replica is not None and self.replica_plan is not None  # the section needs it
        self.rules_plan = plan
        if self.federation_plan is not None:
            from tealwing.federation import joining as outside

            try:
                self.federation = outside.join(
                    self.federation_plan, self.replica, self.replica_plan, self.link, self.control, plan.patience
                )
            except (StorageError, OSError, ValueError) as error:
                self.stop()
                raise LinkFault(f"federation: folder {self.federation_plan.folder}: {error}") from None
        try:
            self.rules = joining.join(plan, self.replica, self.link, gateway, self.control, self.federation)
        except OSError as error:
            self.stop()
            raise LinkFault(f"rules: {error}; allowed: a folder of the section replica that can be read") from None
        return self.rules.gate

    @property
    def plans(self) -> tuple[Plan, ReplicaPlan | None, RulesPlan | None, FederationPlan | None]:
        """The sections that this was put together by: a change of one needs a restart."""
        return self.plan, self.replica_plan, self.rules_plan, self.federation_plan

    def _group(self) -> Group:
        """The site's log: of all gateways of the section `peers`, or of those of this site."""
        if self.federation_plan is None:
            return SITE
        site = self.federation_plan.site_of(self.plan.name)
        return dataclasses.replace(SITE, members=self.federation_plan.gateways(site))

    def start(self) -> None:
        """Speak, listen and answer from now on."""
        if self.replica is not None:
            self.replica.start()
        if self.federation is not None:
            self.federation.replica.start()
        self.link.start()
        if self.federation is not None:
            self.federation.start()
        if self.rules is not None:
            self.rules.start()
        if self.keeper is not None and self.replica is not None:
            self.keeper.start()
            sweep.begin(self.keeper, self.replica)
        if self.feed is not None:
            self.feed.start()
        if self.control is not None:
            self.control.start()
        if self.plan.faults:
            log.event("faults_taken", why="the operators' file lets the control address take the laboratory's faults")

    def stop(self) -> None:
        """The gateway ends."""
        if self.control is not None:
            self.control.stop()
        if self.feed is not None:
            self.feed.stop()
        if self.keeper is not None:
            self.keeper.stop()
        if self.rules is not None:
            self.rules.stop()
        if self.federation is not None:
            self.federation.stop()
            self.federation.replica.stop()
        if self.replica is not None:
            self.replica.stop()
        self.link.stop()

    def _take_best(self) -> None:
        """The last good version of the settings that the state has."""
        if self.replica is not None and (best := self.replica.state.last_good()):
            self._take(best, self.replica.state.tables["settings"][str(best)].text)

    def _applied(self, index: int, command: Command | None, result: CommandResult | None) -> None:
        body = command.body if command is not None else None
        if isinstance(body, Settings) and result is not None and result.ok and body.valid:
            self._take(body.version, body.text)

    def readiness(self) -> tuple[bool, str, int]:
        """Whether clients may be sent here, why, and the phase of the return as a number (0 where there is none)."""
        if self.replica is None:
            return True, "", 0
        back = self.replica.recovery
        if back.ready and self.rules is not None and (why := self.rules.readiness()):
            return False, why, list(Phase).index(back.phase) + 1
        return back.ready, back.reason(self.replica.observe()), list(Phase).index(back.phase) + 1

    def status(self) -> dict[str, Any]:
        """What operators ask for: who is heard, and what each further part says of itself."""
        told = {"name": self.plan.name, "fleet": self.plan.fleet, "boot": self.link.boot, "peers": self.link.status()}
        told["traffic"] = dataclasses.asdict(self.link.traffic())
        return told | (self.replica.status() if self.replica is not None else {})

    def _skew(self, fields: Fields) -> Fields:
        """The laboratory steps our clock, or changes its rate."""
        step, rate = float(field(fields, "step_s", float, 0.0)), float(field(fields, "rate", float, 1.0))
        if not LEAST_RATE <= rate <= MOST_RATE:
            raise Denied(f"rate: {rate:g}; allowed: {LEAST_RATE:g} to {MOST_RATE:g}")
        self.clock.skew(step, rate)
        log.event("clock_skewed", step_s=step, rate=rate)
        return {"now": self.clock.now()}

    def _lie(self, fields: Fields) -> Fields:
        """The laboratory has us answer asks wrongly."""
        self.echo.lies = bool(field(fields, "lie", bool, False))
        return {}

    def _disk(self, fields: Fields) -> Fields:
        """The laboratory has the next writes of our storage fail."""
        if self.replica is None:
            raise Denied("there is no replicated state here, and no disk")
        fault, count = str(field(fields, "fault", str)), int(field(fields, "count", int, 1))
        if fault not in ("fsync", "short", "full", "none"):
            raise Denied(f"fault: {fault!r}; allowed: fsync, short, full or none")
        self.replica.disk.inject_fault(fault, count)
        log.event("disk_fails_next", fault=fault, count=count)
        return {}
