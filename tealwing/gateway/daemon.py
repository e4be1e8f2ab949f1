"""The daemon: assembles the gateway, starts it, and applies configuration changes and engine list updates."""

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
from tealwing.gateway.sent_ids import SentIds
from tealwing.resp.engine_pool import EnginePool

if TYPE_CHECKING:  # at run time, imported only if the operators' file enables it
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


MAX_LIST_FAILURES = 3  # of one watch update, some tenths of a second apart; it is then applied member by member


class EngineListError(RuntimeError):
    """A decision module could not apply an engine list update completely; the next watch requests it again."""


class Daemon:
    """Owns the decision modules, the engine pool and the coordinator watch."""

    def __init__(self, config: Config) -> None:
        self._settings, self._cores = config.settings, config.cores
        self._configured_settings = config.settings  # the settings of the last configuration file
        self._configured_keys = config.setting_keys  # its keys
        self.on_settings: Callable[[api.Settings], None] = lambda settings: None  # applies new settings to the server
        self.server_gauges: Callable[[], dict[str, int]] = dict  # returns the gauges of clients and memory by name
        self._gossip: GossipService | None = None  # if gossip is on
        self._peering: Peering | None = None  # if the section `peers` is on
        self.gate: Gate | None = None  # if the section `rules` is on
        self.sections: frozenset[str] = frozenset()  # the sections present in the operators' file
        self._host_load: HostLoadMonitor | None = None  # if service levels are on
        self._levels_file: Plan | None = None  # from the operators' file; the levels of the rules take precedence
        self._levels_rules: Plan | None = None
        # looks up a request's zones in the routing table, once a table is in force
        self._allowed_zones: Callable[..., frozenset[int] | None] = lambda *_: None
        self._changing = threading.RLock()  # serializes changes of settings and levels
        self._engines = EnginePool(config.settings.limits, config.descriptors.engines)
        self._decisions = Decisions(config.settings, config.seed, self._engines)
        self.metrics = Metrics((cls.name for cls in config.settings.classes), (end.value for end in WatchEnd))
        self.metrics.gauges = self._gauges
        self._start_times = StartTimes()
        self._reads_cached_list = True  # while the configuration's cached events are applied
        # index of the last watch update that could not be applied completely, and its number of failures
        self._list_failures = (0, 0)
        self._watch = WatchClient(
            config.coordinator, config.index, config.settings, self._on_watch_update, self.metrics.count_watch_end
        )
        for number, update in enumerate(config.known):
            self._apply_cached_update(update, cached=number == 0)
        self._reads_cached_list = False

    def start(self) -> None:
        """Start the watch and the timers."""
        self._engines.start()
        self._decisions.start()
        self._watch.start()

    def open(self, query: Query, settings: api.Settings | None = None) -> RequestHandler:
        """Return the handler of a request that was parsed under the settings (None: those in force).

        Raises InvalidRequestError, and SettingsChangedError if its settings and the routing table would be of
        different versions.
        """
        in_force, zones = self._decisions.in_force, None
        if in_force.number and settings is not None and settings is not in_force.settings:
            raise SettingsChangedError(in_force.settings)
        if in_force.table is not None:
            zones = self._allowed_zones(
                in_force.table, query.tables, in_force.settings.zones, self._decisions.ready_zones
            )
        settings = settings or in_force.settings
        return RequestHandler(query, settings, self._decisions, self._engines, self._host_load, self.metrics, zones)

    def _gauges(self) -> dict[str, int]:
        """Return the gauges of requests, engines, threads and the engine list, and the readiness of the peer link.

        Read without the lock of the decisions: the length of a table is consistent at any moment.
        """
        gateway = service_levels.innermost_module(self._decisions.module)
        listed = len(gateway.engines) if gateway is not None else 0
        ready = len(gateway.ready) if gateway is not None else 0
        found = {
            "active": self._decisions.open_requests,
            "pool_size": listed,
            "pool_ejected": max(0, listed - ready),
            "threads": threading.active_count(),
            "list_index": self._watch.index,
            "list_age_ms": round(self._watch.age * 1e3),
        } | self.server_gauges()
        if self._peering is not None:
            is_ready, reason, phase = self._peering.readiness()
            name = re.sub(r"[^a-z0-9]+", "_", reason.partition(";")[0].lower()).strip("_")
            found |= {"recovery_phase": phase, f"ready_{'yes' if is_ready else 'no'}.{name or 'no_replica'}": 1}
        return found

    def share_sent_ids(self, sent_ids: SentIds) -> None:
        """Share the record of sent request ids with other processes of this gateway. Call before `start`."""
        self._decisions.sent_ids = sent_ids

    def readiness(self) -> tuple[bool, str]:
        """Return whether this gateway is ready for clients as far as the peer link is concerned, and the reason."""
        if self._peering is None:
            return True, ""
        is_ready, reason, _ = self._peering.readiness()
        return is_ready, reason

    def record_unread_age(self, seconds: float) -> None:
        """Record how many seconds a client's bytes had waited in the socket when they were read."""
        if self._host_load is not None:
            self._host_load.record_unread_age(seconds)

    @property
    def agreed_version(self) -> int:
        """Number of the version of the rules in force at this gateway; 0: none."""
        return self._decisions.in_force.number

    @property
    def platform_settings(self) -> api.Settings:
        """The configured settings, without any version of the rules."""
        return self._configured_settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The last engine list."""
        return self._decisions.engine_list

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Put a version of the rules in force for new requests.

        settings None keeps those in force; table None lets any engine serve; levels None selects those of the
        operators' file. Raises ValueError, with nothing changed, if the levels do not fit the settings.
        """
        with self._changing:
            settings = self._settings if settings is None or settings == self._settings else settings
            plan = levels if levels is not None else self._levels_file
            if plan is not None:
                plan.admission_limits(settings)
            if table is not None:
                from tealwing.routing.serving import serving_zones  # imported only with a table

                self._allowed_zones = serving_zones
            self._levels_rules = levels
            changed = settings is not self._settings
            wrap = None if plan is None else service_levels.level_wrapper(settings, plan, self._on_level_change)
            number = self._decisions.put_in_force(InForce(settings, table, version), wrap)
            if changed:
                self._on_settings_changed(settings, number)
            self._apply_levels(plan)
        log.event("rules_in_force", version=version, settings=changed, routes=len(table.routes) if table else 0)

    def reconfigure(self, config: Config) -> api.Settings:
        """Apply a changed configuration: the coordinator, whose event numbers continue, and the settings.

        New settings bind new requests; open ones keep theirs. Returns the settings in force. Raises ConfigError,
        with nothing changed, if the configuration lacks a key that the one before has, if the settings change while
        service levels or gossip are on, or if they forbid the peer link that is on. Raises ConfigRejectedError, with
        the new coordinator in use, if the settings change while a version of the rules is in force.
        """
        with self._changing:
            if lacking := wire.lacking_keys(config.setting_keys, self._configured_keys):
                where = "limits" if all(key.startswith("limits.") for key in lacking) else "settings"
                raise ConfigError(f"{where}: lacks what the configuration in force has, {', '.join(lacking)}; add it")
            changed = config.settings not in (self._settings, self._configured_settings)
            if changed and self.agreed_version:
                self._watch.move_to(config.coordinator)
                raise ConfigRejectedError(
                    f"settings: version {self.agreed_version} of the rules is in force, as the fleet has agreed",
                    "propose them: tealwing rules propose FILE --control HOST:PORT --why TEXT",
                )
            if changed and (self._host_load is not None or self._gossip is not None):
                raise ConfigError("settings: they can't change while levels or gossip are on; restart to apply them")
            if changed and self._peering is not None and not config.settings.limits.peer_messages:
                raise ConfigError("settings: Allowed.Peers forbids the peer link, which is on; restart to apply them")
            self._watch.move_to(config.coordinator)
            if changed:  # unchanged settings must not replace a version that the fleet agreed on
                self._apply_settings(config.settings)
                self._configured_settings = config.settings
            self._configured_keys = config.setting_keys
        log.event("reconfigured", coordinator=config.coordinator)
        return self._settings

    def _apply_settings(self, settings: api.Settings) -> None:
        """Put new settings in force for new requests, and apply them to the other parts of the gateway."""
        self._on_settings_changed(settings, self._decisions.replace_settings(settings))

    def _on_settings_changed(self, settings: api.Settings, version: int) -> None:
        self._settings = self._watch.settings = settings
        self._engines.set_limits(settings.limits)
        self.metrics.set_classes(cls.name for cls in settings.classes)
        self.on_settings(settings)
        classes = {cls.name: cls.idempotency.name for cls in settings.classes}
        log.event("settings_changed", version=version, classes=classes)

    def _fleet_settings(self, version: int, text: bytes) -> None:
        """Apply a valid version of the replicated settings, from disk or newly committed."""
        try:
            settings = wire.parse_settings(text)
        except (ValueError, wire.WireError) as error:  # checked by its proposer, perhaps in another version
            log.event("fleet_settings_unusable", version=version, error=str(error))
            return
        with self._changing:
            if self.agreed_version or self._host_load is not None or self._gossip is not None:
                why = (
                    "rules are in force: propose it as rules"
                    if self.agreed_version
                    else "levels or gossip are on: restart to apply it"
                )
                log.event("fleet_settings_unusable", version=version, error=why)
                return
            log.event("fleet_settings", version=version)
            if settings != self._settings:
                self._apply_settings(settings)

    def apply_operators_file(self, records: dict[str, Any]) -> None:
        """Apply the operators' file, given as records by section. Raises ValueError, with nothing changed."""
        levels: Plan | None = records.get("levels")
        if levels is not None:
            levels.admission_limits(self._settings)  # raises for levels that don't fit, before anything has changed
        self._apply_gossip(records.get("gossip"))
        self.sections = frozenset(records)
        self._apply_peers(*(records.get(name) for name in ("peers", "replica", "rules", "federation")))
        with self._changing:
            self._levels_file = levels
            if self._levels_rules is None:  # otherwise the levels of the rules take precedence
                self._apply_levels(levels)

    def stop(self) -> None:
        """Stop gossip, which notifies the other gateways, and the peer link."""
        if self._gossip is not None:
            self._gossip.stop()
        if self._peering is not None:
            self._peering.stop()

    def _apply_peers(
        self, plan: PeersPlan | None, replica: ReplicaPlan | None, rules: RulesPlan | None,
        federation: FederationPlan | None,
    ) -> None:  # fmt: skip
        """Start the peer link and the replicated state. Raises ValueError (LinkError is one), with nothing changed."""
        if plan is None and self._peering is None:
            if replica is not None:
                raise ValueError("replica: needs the section peers, whose members hold the replicated state")
            if federation is not None:
                raise ValueError("federation: needs the sections peers, replica and rules")
            return
        if federation is not None and (replica is None or rules is None):
            raise ValueError(
                "federation: needs the sections replica and rules: the sites agree on a version of the rules"
            )
        from tealwing.fleet.peering import Peering
        from tealwing.peers.errors import LinkError  # imported only if it is on

        if self._peering is not None:
            if (plan, replica, rules, federation) != self._peering.plans:
                raise LinkError("peers, replica, rules, federation: a section changed; restart to apply it")
            return
        assert plan is not None
        if not self._settings.limits.peer_messages:
            raise LinkError("peers: the platform's settings forbid messages between gateways (Allowed.Peers)")
        peering = Peering(plan, replica, self._fleet_settings, federation)
        if rules is not None:
            self.gate = peering.follow_rules(rules, self)
        self._peering = peering
        self._peering.start()
        if self._peering.feed is not None:
            self._peering.feed.engine_list_changed(self._decisions.engine_list, self._settings.rules)

    def _apply_gossip(self, config: GossipConfig | None) -> None:
        """Start, reconfigure or stop gossip. Raises GossipConfigError, with nothing changed."""
        gossip = self._gossip
        if config is None and gossip is None:
            return
        from tealwing.gossip.errors import GossipConfigError  # imported only if gossip is or was on
        from tealwing.gossip.service import GossipService

        if config is not None and not self._settings.limits.peer_messages:
            raise GossipConfigError("gossip: the platform's settings forbid messages between gateways (Allowed.Peers)")
        if config is not None and gossip is not None:
            gossip.reconfigure(config)
        elif config is not None:
            self._gossip = GossipService(
                config, partial(service_levels.fleet_evidence, self._decisions.change_module), self._decisions.submit
            )
            self._gossip.start()
        elif gossip is not None:
            self._gossip = None
            gossip.stop()
            self._decisions.submit(api.EngineHealthEstimates({}))

    def _apply_levels(self, plan: Plan | None) -> None:
        """Start, change or stop service levels."""
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
        """End all open requests because the gateway shuts down; return their number. Later ones are refused unsent."""
        return self._decisions.shut_down(Signal.SHUTDOWN)

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds of the settings in force and of those of open requests."""
        return self._decisions.max_deadline

    @property
    def open_requests(self) -> int:
        """Number of open requests."""
        return self._decisions.open_requests

    def _apply_cached_update(self, update: Update, cached: bool) -> None:
        """Apply a cached event of the configuration, which can't be requested again."""
        try:
            self._apply_update(update, cached)
        except Exception:
            self._apply_member_by_member(update)

    def _on_watch_update(self, update: Update) -> None:
        """Apply a watch event; an error ends the watch, and the next watch requests the event again.

        After MAX_LIST_FAILURES failures the event is applied member by member: it must not block later events.
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
        """Update the engine pool, then the decision module, which may choose a new engine at once.

        Idempotent: applying the same update again changes nothing.
        """
        members = update.members + update.unplaced  # later settings may name the zone and kind of the unplaced ones
        self._engines.update(members, update.complete)
        kind = api.EngineListKind.FULL if update.complete else api.EngineListKind.DELTA
        if cached:
            kind = api.EngineListKind.CACHED
        if not self._decisions.update_engine_list(kind, update.revision, self._with_start_times(members)):
            raise EngineListError(f"a decision module could not apply engine list event {update.index}")
        self._publish_update(update, update.members)

    def _with_start_times(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """Return the members with start times on the clock of the decision modules; see `StartTimes`."""
        now, wall = self._decisions.now, time.time()
        list_age = inf if self._reads_cached_list else self._watch.age
        return tuple(self._start_times.with_start_time(member, now, wall, list_age) for member in members)

    def _publish_update(self, update: Update, applied: Sequence[Member]) -> None:
        """Publish an update to the fleet and the log, with the members of it that were applied."""
        entries = tuple(member.entry for member in applied)
        if self._peering is not None and self._peering.feed is not None:
            self._peering.feed.engine_list_changed(entries, self._settings.rules)
        states = {member.name: member.entry.health.name for member in applied}
        log.event("engine_list", index=update.index, complete=update.complete, members=states)
        for why in update.unusable:
            log.event("engine_unusable", why=why)

    def _apply_member_by_member(self, update: Update) -> None:
        """Apply the members one by one, skipping those that fail."""
        log.event("watch_update_in_parts", index=update.index, trace=traceback.format_exc(limit=-3))
        applied = []
        for member in update.members + update.unplaced:
            try:
                self._engines.update((member,), False)
                if not self._decisions.update_engine_list(
                    api.EngineListKind.DELTA, update.revision, self._with_start_times((member,))
                ):
                    raise EngineListError("a decision module could not apply the engine")
            except Exception as error:
                log.event("engine_unusable", why=f"{member.name}: {error!r}")
            else:
                applied.append(member)
        try:
            self._publish_update(update, applied)
        except Exception:  # an error here must not end the watch
            log.check_invariant(False, f"a watch update is published: {traceback.format_exc(limit=-3)}")

    def _on_level_change(self, name: str, fields: dict[str, Any]) -> None:
        """Log an event of the service-level governor, and publish a change of level to the fleet."""
        log.event(name, **fields)
        if name == "service_level" and self._peering is not None and self._peering.feed is not None:
            self._peering.feed.service_level_changed(
                str(fields["from"]), str(fields["to"]), str(fields.get("why", "")), "full"
            )
