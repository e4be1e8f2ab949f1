"""The gateway as a whole: what it consists of, and its start."""

from __future__ import annotations

import re
import threading
import time
import traceback
from collections.abc import Callable, Sequence
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

from tealwing import interface as api
from tealwing import log, wire
from tealwing.admin.metrics import Metrics
from tealwing.config import Config, ConfigError, ConfigRejectedError
from tealwing.coordinator.start_times import StartTimes
from tealwing.coordinator.updates import Member, Update
from tealwing.coordinator.watch import WatchClient, WatchEnd
from tealwing.exchange import Query, SettingsChangedError
from tealwing.gateway import service_levels
from tealwing.gateway.decisions import Decisions
from tealwing.gateway.host_load import HostLoadMonitor
from tealwing.gateway.module_versions import InForce
from tealwing.gateway.request_handler import RequestHandler, Signal
from tealwing.resp.engine_pool import EnginePool

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.federation.plan import Plan as FederationPlan
    from tealwing.fleet.peering import Peering
    from tealwing.gossip.config import GossipConfig
    from tealwing.gossip.service import GossipService
    from tealwing.levels.plan import Plan
    from tealwing.peers.plan import Plan as PeersPlan
    from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
    from tealwing.rollout.admission.gate import Gate
    from tealwing.rollout.plan import Plan as RulesPlan
    from tealwing.routing.table import Table


MAX_LIST_FAILURES = (
    3  # readings of one watch update that may fail: some tenths of a second apart, then it goes in parts
)


class EngineListError(RuntimeError):
    """A module could not take an update of the engine list in whole; it is told again."""


class Daemon:
    """Owns the decisions, the engines' connections and the coordinator's thread."""

    def __init__(self, config: Config) -> None:
        self._settings, self._cores = config.settings, config.cores
        self._from_file = config.settings  # what the configuration said last
        self.on_settings: Callable[[api.Settings], None] = lambda settings: None  # the server's side of a change
        self._link: GossipService | None = None  # where gossip is on
        self._peering: Peering | None = None  # where the section `peers` is
        self.gate: Gate | None = None  # where the section `rules` is: what requests pass first
        self.sections: frozenset[str] = frozenset()  # of the operators' file, that are on
        self._host_load: HostLoadMonitor | None = None  # measured where service levels are on
        self._levels_file: Plan | None = None  # of the operators' file, and of the rules: the second goes before
        self._levels_rules: Plan | None = None
        self._allowed: Callable[..., frozenset[int] | None] = lambda *_: None  # routing's, once there is a table
        self._changing = threading.RLock()  # one change of settings or levels at a time, whoever brings it
        self._engines = EnginePool(config.settings.limits, config.descriptors.engines)
        self._decisions = Decisions(config.settings, config.seed, self._engines)
        self.metrics = Metrics((cls.name for cls in config.settings.classes), (end.value for end in WatchEnd))
        self.metrics.gauges = self._gauges
        self._starts, self._reads_cached_list = StartTimes(), True  # known: the events of the configuration
        self._list_failures = (
            0,
            0,
        )  # the index of the last watch update that could not be taken in whole, and how often
        self._follower = WatchClient(
            config.coordinator, config.index, config.settings, self._on_watch_update, self.metrics.count_watch_end
        )
        for number, update in enumerate(config.known):
            self._apply_cached_update(update, cached=number == 0)
        self._reads_cached_list = False

    def start(self) -> None:
        """Follow the coordinator and let timers fire."""
        self._engines.start()
        self._decisions.start()
        self._follower.start()

    def open(self, query: Query, settings: api.Settings | None = None) -> RequestHandler:
        """The life of a request that has come, read under the settings (the ones in force if None).

        Raises Unusable, and Outdated where settings and a routing table of different versions would bind it.
        """
        force, zones = self._decisions.in_force, None
        if force.number and settings is not None and settings is not force.settings:
            raise SettingsChangedError(force.settings)
        if force.table is not None:
            zones = self._allowed(force.table, query.tables, force.settings.zones, self._decisions.ready_zones)
        settings = settings or force.settings
        return RequestHandler(query, settings, self._decisions, self._engines, self._host_load, self.metrics, zones)

    def _gauges(self) -> dict[str, int]:
        """Requests open, engines listed, those of them that the module does not send to now, and threads.

        Read without the module's lock: lengths of its tables are whole at any moment.
        """
        gateway = service_levels.innermost_module(self._decisions.module)
        listed = len(gateway.engines) if gateway is not None else 0
        ready = len(gateway.ready) if gateway is not None else 0
        found = {
            "active": self._decisions.open_requests,
            "pool_size": listed,
            "pool_ejected": max(0, listed - ready),
            "threads": threading.active_count(),
            "list_index": self._follower.index,
            "list_age_ms": round(self._follower.age * 1e3),
        }
        if self._peering is not None:
            is_ready, reason, phase = self._peering.readiness()
            name = re.sub(r"[^a-z0-9]+", "_", reason.partition(";")[0].lower()).strip("_")
            found |= {"recovery_phase": phase, f"ready_{'yes' if is_ready else 'no'}.{name or 'no_replica'}": 1}
        return found

    def readiness(self) -> tuple[bool, str]:
        """Whether clients may be sent here as far as the peers go, and why."""
        if self._peering is None:
            return True, ""
        is_ready, reason, _ = self._peering.readiness()
        return is_ready, reason

    def record_unread_age(self, seconds: float) -> None:
        """What a client sent was read so long after it had come."""
        if self._host_load is not None:
            self._host_load.record_unread_age(seconds)

    @property
    def agreed_version(self) -> int:
        """Number of the version of the rules that the fleet agreed on and that is in force here; 0: none."""
        return self._decisions.in_force.number

    @property
    def platform_settings(self) -> api.Settings:
        """What the configuration says, before any version of the rules."""
        return self._from_file

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list as it was last heard."""
        return self._decisions.engine_list

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Put a version of the rules in force for new requests; what it leaves as it is, is not touched.

        settings None are those in force; a table None lets any engine serve; levels None are the operators' file's.
        Raises ValueError, with nothing changed, where the levels do not fit the settings.
        """
        with self._changing:
            settings = self._settings if settings is None or settings == self._settings else settings
            plan = levels if levels is not None else self._levels_file
            if plan is not None:
                plan.admission_limits(settings)
            if table is not None:
                from tealwing.routing.serving import serving_zones  # only where a table is

                self._allowed = serving_zones
            self._levels_rules = levels
            renewed = settings is not self._settings
            wrap = None if plan is None else service_levels.level_wrapper(settings, plan, self._on_level_change)
            number = self._decisions.put_in_force(InForce(settings, table, version), wrap)
            if renewed:
                self._on_settings_changed(settings, number)
            self._apply_levels(plan)
        log.event("rules_in_force", version=version, settings=renewed, routes=len(table.routes) if table else 0)

    def reconfigure(self, config: Config) -> api.Settings:
        """Take what may change under load: the coordinator, and the settings. Its events' numbers go on.

        New settings bind new requests; open ones keep theirs. Gives the settings in force. Raises ConfigError,
        with nothing changed, where the settings change and service levels or gossip are on, or forbid the link to the
        peers that is on; and ConfigRejected, with the coordinator taken, where they change and the fleet has agreed
        on rules.
        """
        with self._changing:
            changed = config.settings not in (self._settings, self._from_file)
            if changed and self.agreed_version:
                self._follower.move_to(config.coordinator)
                raise ConfigRejectedError(
                    f"settings: version {self.agreed_version} of the rules is in force, as the fleet has agreed",
                    "propose them: tealwing rules propose FILE --control HOST:PORT --why TEXT",
                )
            if changed and (self._host_load is not None or self._link is not None):
                raise ConfigError("settings: a change of settings needs a restart where levels or gossip are on")
            if changed and self._peering is not None and not config.settings.limits.peer_messages:
                raise ConfigError("settings: Allowed.Peers forbids the link to the peers, which is on: restart")
            self._follower.move_to(config.coordinator)
            if changed:  # else the file says what it said, and the fleet's version may be in force
                self._apply_settings(config.settings)
                self._from_file = config.settings
        log.event("reconfigured", coordinator=config.coordinator)
        return self._settings

    def _apply_settings(self, settings: api.Settings) -> None:
        """Put settings in force for new requests."""
        self._on_settings_changed(settings, self._decisions.replace_settings(settings))

    def _on_settings_changed(self, settings: api.Settings, version: int) -> None:
        self._settings = self._follower.settings = settings
        self._engines.set_limits(settings.limits)
        self.metrics.set_classes(cls.name for cls in settings.classes)
        self.on_settings(settings)
        classes = {cls.name: cls.idempotency.name for cls in settings.classes}
        log.event("settings_changed", version=version, classes=classes)

    def _fleet_settings(self, version: int, text: bytes) -> None:
        """A version of the replicated settings that is good, from the disk or as the fleet has agreed on it."""
        try:
            settings = wire.parse_settings(text)
        except (ValueError, wire.WireError) as error:  # checked by whoever proposed it, by another version of us
            log.event("fleet_settings_unusable", version=version, error=str(error))
            return
        with self._changing:
            if self.agreed_version or self._host_load is not None or self._link is not None:
                why = (
                    "rules are in force: propose it as rules"
                    if self.agreed_version
                    else "levels or gossip are on: restart"
                )
                log.event("fleet_settings_unusable", version=version, error=why)
                return
            log.event("fleet_settings", version=version)
            if settings != self._settings:
                self._apply_settings(settings)

    def apply_operators_file(self, records: dict[str, Any]) -> None:
        """Take the operators' file in whole: its records by section. A ValueError leaves all as it is."""
        levels: Plan | None = records.get("levels")
        if levels is not None:
            levels.admission_limits(self._settings)  # may not fit; what comes after it can't fail on the levels
        self._apply_gossip(records.get("gossip"))
        self.sections = frozenset(records)
        self._apply_peers(*(records.get(name) for name in ("peers", "replica", "rules", "federation")))
        with self._changing:
            self._levels_file = levels
            if self._levels_rules is None:  # else those of the rules go before it
                self._apply_levels(levels)

    def stop(self) -> None:
        """The gateway ends: the other instances need not find out."""
        if self._link is not None:
            self._link.stop()
        if self._peering is not None:
            self._peering.stop()

    def _apply_peers(
        self, plan: PeersPlan | None, replica: ReplicaPlan | None, rules: RulesPlan | None,
        federation: FederationPlan | None,
    ) -> None:  # fmt: skip
        """Begin the link to the peers, and the replicated state; a LinkError leaves it as it is."""
        if plan is None and self._peering is None:
            if replica is not None:
                raise ValueError("replica: needs the section peers, whose members take part")
            if federation is not None:
                raise ValueError("federation: needs the sections peers, replica and rules")
            return
        if federation is not None and (replica is None or rules is None):
            raise ValueError("federation: needs the sections replica and rules: what the sites agree on is a version")
        from tealwing.fleet.peering import Peering
        from tealwing.peers.errors import LinkError  # only where it is on

        if self._peering is not None:
            if (plan, replica, rules, federation) != self._peering.plans:
                raise LinkError("peers, replica, rules, federation: a section changed; allowed: a restart")
            return
        assert plan is not None
        if not self._settings.limits.peer_messages:
            raise LinkError("peers: the platform's settings forbid talk among gateways (Allowed.Peers)")
        peering = Peering(plan, replica, self._fleet_settings, federation)
        if rules is not None:
            self.gate = peering.follow_rules(rules, self)
        self._peering = peering
        self._peering.start()
        if self._peering.feed is not None:
            self._peering.feed.engine_list_changed(self._decisions.engine_list, self._settings.rules)

    def _apply_gossip(self, plan: GossipConfig | None) -> None:
        """Begin, change or end gossip; a GossipConfigError leaves it as it is."""
        link = self._link
        if plan is None and link is None:
            return
        from tealwing.gossip.errors import GossipConfigError  # only where gossip is on, or was
        from tealwing.gossip.service import GossipService

        if plan is not None and not self._settings.limits.peer_messages:
            raise GossipConfigError("gossip: the platform's settings forbid talk among gateways (Allowed.Peers)")
        if plan is not None and link is not None:
            link.change(plan)
        elif plan is not None:
            self._link = GossipService(
                plan, partial(service_levels.fleet_evidence, self._decisions.change_module), self._decisions.submit
            )
            self._link.start()
        elif link is not None:
            self._link = None
            link.stop()
            self._decisions.submit(api.EngineHealthEstimates({}))

    def _apply_levels(self, plan: Plan | None) -> None:
        """Begin, change or end service levels."""
        if plan is None and self._host_load is None:
            return
        self._decisions.change_module(service_levels.level_changer(self._settings, plan, self._on_level_change))
        if plan is None and self._host_load is not None:
            self._host_load.stop()
            self._host_load = None
        elif plan is not None and self._host_load is None:
            self._host_load = HostLoadMonitor(self._decisions, self._cores)
            self._host_load.start()

    def fail_open_requests(self) -> int:
        """Fail all that is still open, as the gateway ends; how many there were."""
        return self._decisions.broadcast(Signal.SHUTDOWN)

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds, of the settings in force and of those that open requests are under."""
        return self._decisions.max_deadline

    @property
    def open_requests(self) -> int:
        """Requests taken and not yet ended."""
        return self._decisions.open_requests

    def _apply_cached_update(self, update: Update, cached: bool) -> None:
        """An event of the configuration, which is not asked for again."""
        try:
            self._apply_update(update, cached)
        except Exception:
            self._apply_member_by_member(update)

    def _on_watch_update(self, update: Update) -> None:
        """An event of the watch: a fault ends the watch, and the next one tells it again, whole.

        One that can't be taken at the third time is taken member by member: it must not hide what comes after it.
        """
        try:
            self._apply_update(update)
        except Exception:
            index, faults = self._list_failures
            self._list_failures = update.index, faults + 1 if index == update.index else 1
            if self._list_failures[1] < MAX_LIST_FAILURES:
                raise
            self._apply_member_by_member(update)

    def _apply_update(self, update: Update, cached: bool = False) -> None:
        """The connections first: the module may choose a new engine as soon as it knows of it.

        A second time it changes nothing that the first did.
        """
        members = update.members + update.unplaced  # the second for settings that are still to come
        self._engines.update(members, update.complete)
        kind = api.EngineListKind.FULL if update.complete else api.EngineListKind.DELTA
        if cached:
            kind = api.EngineListKind.CACHED
        if not self._decisions.update_engine_list(kind, update.revision, self._with_start_times(members)):
            raise EngineListError(f"event {update.index} could not be decided on")
        self._publish_update(update, update.members)

    def _with_start_times(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """The members with their starts on the clock of the decisions, for them alone: see `StartTimes`."""
        now, wall = self._decisions.now, time.time()
        unknown = inf if self._reads_cached_list else self._follower.age
        return tuple(self._starts.with_start_time(member, now, wall, unknown) for member in members)

    def _publish_update(self, update: Update, taken: Sequence[Member]) -> None:
        """Tell the fleet, and the log."""
        entries = tuple(member.entry for member in taken)
        if self._peering is not None and self._peering.feed is not None:
            self._peering.feed.engine_list_changed(entries, self._settings.rules)
        states = {member.name: member.entry.health.name for member in taken}
        log.event("engine_list", index=update.index, complete=update.complete, members=states)
        for why in update.unusable:
            log.event("engine_unusable", why=why)

    def _apply_member_by_member(self, update: Update) -> None:
        """Take the members that can be taken, one by one."""
        log.event("watch_update_in_parts", index=update.index, trace=traceback.format_exc(limit=-3))
        taken = []
        for member in update.members + update.unplaced:
            try:
                self._engines.update((member,), False)
                if not self._decisions.update_engine_list(
                    api.EngineListKind.DELTA, update.revision, self._with_start_times((member,))
                ):
                    raise EngineListError("it could not be decided on")
            except Exception as error:
                log.event("engine_unusable", why=f"{member.name}: {error!r}")
            else:
                taken.append(member)
        try:
            self._publish_update(update, taken)
        except Exception:  # nothing here may end the watch once more
            log.check_invariant(False, f"a watch update is passed on: {traceback.format_exc(limit=-3)}")

    def _on_level_change(self, name: str, fields: dict[str, Any]) -> None:
        """What the governor tells: to the log, and a level that changes to the fleet too."""
        log.event(name, **fields)
        if name == "service_level" and self._peering is not None and self._peering.feed is not None:
            self._peering.feed.service_level_changed(
                str(fields["from"]), str(fields["to"]), str(fields.get("why", "")), "full"
            )
