"""Assemble the parts of a gateway that work with its peers: link, control server, replica, leases and rules."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tealwing import log
from tealwing.leases import sweep
from tealwing.leases.manager import LeaseManager
from tealwing.leases.service import Service as LeaseService
from tealwing.peers.clock import Clock
from tealwing.peers.control import CallRejectedError, ControlServer, Fields, field
from tealwing.peers.errors import LinkError
from tealwing.peers.link import Link
from tealwing.peers.ping import PingService
from tealwing.peers.plan import Address, Plan
from tealwing.replica.commands import Command, CommandResult, Settings
from tealwing.replica.group import SITE, Group
from tealwing.replica.membership.promotion import Promotion
from tealwing.replica.membership.voter_plan import next_change
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.replica.service.control import ReplicaControl
from tealwing.replica.service.node import Replica
from tealwing.replica.service.recovery import Phase
from tealwing.replica.service.state_feed import StateFeed
from tealwing.replica.storage.records import StorageError

if TYPE_CHECKING:  # at run time only the parts that the operators' file switches on are imported
    from tealwing.federation.plan import Plan as FederationPlan
    from tealwing.federation.service import Federation
    from tealwing.rollout.admission.gate import Gate
    from tealwing.rollout.local_gateway import Gateway
    from tealwing.rollout.plan import Plan as RulesPlan
    from tealwing.rollout.runtime import Runtime

MAX_CLOCK_RATE, MIN_CLOCK_RATE = 2.0, 0.5  # bounds of an injected clock fault, as multiples of the real rate


class Peering:
    """The parts of one gateway that work with its peers."""

    def __init__(
        self,
        plan: Plan,
        replica: ReplicaPlan | None = None,
        on_settings: Callable[[int, bytes], None] = lambda version, text: None,
        federation: FederationPlan | None = None,
    ) -> None:
        """Assemble the parts that the plans enable, and load the replicated state from its disk.

        on_settings is called with the number and text of the last valid version of the settings on disk, and of each
        that the fleet agrees on later. Raises LinkError if an address is not available or a disk can't be trusted.
        """
        self.plan, self.replica_plan = plan, replica
        self.rules_plan: RulesPlan | None = None
        self.rules: Runtime | None = None
        self.federation_plan = federation
        self.federation: Federation | None = None
        self.clock = Clock()
        self.link = Link(plan)
        self.ping = PingService(self.link)
        self.replica: Replica | None = None
        if replica is not None:
            try:
                self.replica = Replica(replica, self.link, self.clock, group=self._group())
            except (StorageError, OSError, ValueError) as error:
                self.link.stop()
                raise LinkError(f"replica: folder {replica.directory}: {error}") from None
        self._on_settings = on_settings
        self.feed = StateFeed(self.replica, plan.name) if self.replica is not None else None
        if self.replica is not None:
            self.replica.on_applied(self._applied)
            self.replica.on_state_replaced(self._apply_last_good)
            self._apply_last_good()  # so that requests are decided before other members reply
        if self.replica is not None and replica is not None and replica.replace_after:
            Promotion(self.replica, next_change, replica.replace_after, len(SITE.initial_members(plan)[0]))
        self.lease_manager: LeaseManager | None = None
        if self.replica is not None and replica is not None and replica.leases:
            self.lease_manager = LeaseManager(self.replica, self.clock)
        self.control = self._control_server(plan.control) if plan.control is not None else None

    def _control_server(self, address: Address) -> ControlServer:
        """Return the control server, not yet started, with the calls of all parts."""
        try:
            control = ControlServer(address)
        except OSError as error:
            self.link.stop()
            host, port = address
            raise LinkError(f"peers: control {host}:{port}: {error.strerror}") from None
        control.serve("status", lambda _: self.status())
        self.ping.serve(control)
        if self.plan.faults:
            control.serve("fault.clock", self._skew_clock)
            control.serve("fault.echo", self._corrupt_replies)
            control.serve("fault.disk", self._fail_disk)
        if self.replica is not None:
            ReplicaControl(self.replica, control)
        if self.lease_manager is not None:
            LeaseService(self.lease_manager, control, self.plan.faults)
        return control

    def follow_rules(self, plan: RulesPlan, gateway: Gateway) -> Gate:
        """Take part in changes of the rules, and return the gate that requests must pass; call it before the start.

        Raises LinkError if the persisted marker can't be read or the federation can't be joined.
        """
        from tealwing.rollout import setup  # imported only if the section is present

        # the section `rules` requires the section `replica`
        assert self.replica is not None and self.replica_plan is not None
        self.rules_plan = plan
        if self.federation_plan is not None:
            from tealwing.federation import joining

            try:
                self.federation = joining.join(
                    self.federation_plan, self.replica, self.replica_plan, self.link, self.control, plan.patience
                )
            except (StorageError, OSError, ValueError) as error:
                self.stop()
                raise LinkError(f"federation: folder {self.federation_plan.directory}: {error}") from None
        try:
            self.rules = setup.join_rollout(plan, self.replica, self.link, gateway, self.control, self.federation)
        except OSError as error:
            self.stop()
            raise LinkError(f"rules: {error}; allowed: a readable folder in the section replica") from None
        return self.rules.gate

    @property
    def plans(self) -> tuple[Plan, ReplicaPlan | None, RulesPlan | None, FederationPlan | None]:
        """The plans that the parts were assembled from; a change of any needs a restart."""
        return self.plan, self.replica_plan, self.rules_plan, self.federation_plan

    def _group(self) -> Group:
        """Return the group of the site's log: all gateways of the section `peers`, or those of this site."""
        if self.federation_plan is None:
            return SITE
        site = self.federation_plan.site_of(self.plan.name)
        return dataclasses.replace(SITE, members=self.federation_plan.gateways(site))

    def start(self) -> None:
        """Start all parts."""
        if self.replica is not None:
            self.replica.start()
        if self.federation is not None:
            self.federation.replica.start()
        self.link.start()
        if self.federation is not None:
            self.federation.start()
        if self.rules is not None:
            self.rules.start()
        if self.lease_manager is not None and self.replica is not None:
            self.lease_manager.start()
            sweep.start_sweep(self.lease_manager, self.replica)
        if self.feed is not None:
            self.feed.start()
        if self.control is not None:
            self.control.start()
        if self.plan.faults:
            log.event(
                "fault_injection_enabled",
                why="the section peers of the operators' file has `faults on`: control calls can inject faults",
            )

    def stop(self) -> None:
        """Stop all parts."""
        if self.control is not None:
            self.control.stop()
        if self.feed is not None:
            self.feed.stop()
        if self.lease_manager is not None:
            self.lease_manager.stop()
        if self.rules is not None:
            self.rules.stop()
        if self.federation is not None:
            self.federation.stop()
            self.federation.replica.stop()
        if self.replica is not None:
            self.replica.stop()
        self.link.stop()

    def _apply_last_good(self) -> None:
        """Call on_settings with the last valid version of the settings in the replicated state."""
        if self.replica is not None and (version := self.replica.state.last_good()):
            self._on_settings(version, self.replica.state.tables["settings"][str(version)].text)

    def _applied(self, index: int, command: Command | None, result: CommandResult | None) -> None:
        body = command.body if command is not None else None
        if isinstance(body, Settings) and result is not None and result.ok and body.valid:
            self._on_settings(body.version, body.text)

    def readiness(self) -> tuple[bool, str, int]:
        """Return whether the gateway is ready for clients, why not, and the recovery phase as a number (0: no replica).

        The reason also names a metric.
        """
        if self.replica is None:
            return True, "", 0
        recovery = self.replica.recovery
        if recovery.ready and self.rules is not None and (why := self.rules.readiness()):
            return False, why, list(Phase).index(recovery.phase) + 1
        return recovery.ready, recovery.reason(self.replica.observe()), list(Phase).index(recovery.phase) + 1

    def status(self) -> dict[str, Any]:
        """Return the answer to the control call `status`: the peers, and the replica's status."""
        status = {
            "name": self.plan.name,
            "fleet": self.plan.fleet,
            "boot": self.link.incarnation,
            "peers": self.link.status(),
        }
        status["traffic"] = dataclasses.asdict(self.link.traffic())
        return status | (self.replica.status() if self.replica is not None else {})

    def _skew_clock(self, fields: Fields) -> Fields:
        """Inject a clock fault: a step in s, a rate relative to the real one, or both."""
        step, rate = float(field(fields, "step_s", float, 0.0)), float(field(fields, "rate", float, 1.0))
        if not MIN_CLOCK_RATE <= rate <= MAX_CLOCK_RATE:
            raise CallRejectedError(f"rate: {rate:g}; allowed: {MIN_CLOCK_RATE:g} to {MAX_CLOCK_RATE:g}")
        self.clock.skew(step, rate)
        log.event("clock_skewed", step_s=step, rate=rate)
        return {"now": self.clock.now()}

    def _corrupt_replies(self, fields: Fields) -> Fields:
        """Start or stop corrupting the replies to pings."""
        self.ping.corrupts_replies = bool(field(fields, "lie", bool, False))
        return {}

    def _fail_disk(self, fields: Fields) -> Fields:
        """Inject a fault into the next `count` writes of the replica's storage."""
        if self.replica is None:
            raise CallRejectedError(
                "fault.disk: this gateway has no replica; its operators' file needs a section replica"
            )
        fault, count = str(field(fields, "fault", str)), int(field(fields, "count", int, 1))
        if fault not in ("fsync", "short", "full", "none"):
            raise CallRejectedError(f"fault: {fault!r}; allowed: fsync, short, full or none")
        self.replica.disk.inject_fault(fault, count)
        log.event("disk_fault_injected", fault=fault, count=count)
        return {}
