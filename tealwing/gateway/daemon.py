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
from tealwing.admin.figures import Figures
from tealwing.config import Config, ConfigError, ConfigRejected
from tealwing.coordinator.follower import End, Follower
from tealwing.coordinator.starts import StartTimes
from tealwing.coordinator.updates import Member, Update
from tealwing.exchange import Query, SettingsChangedError
from tealwing.gateway import standing
from tealwing.gateway.decisions import Decisions
from tealwing.gateway.life import Life, Signal
from tealwing.gateway.versions import InForce
from tealwing.gateway.vitals import Vitals
from tealwing.resp.engines import Engines

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.federation.plan import Plan as FederationPlan
    from tealwing.fleet.peering import Peering
    from tealwing.gossip.plan import Plan as GossipPlan
    from tealwing.gossip.transport import Link
    from tealwing.levels.plan import Plan
    from tealwing.peers.plan import Plan as PeersPlan
    from tealwing.replica.plan import Plan as ReplicaPlan
    from tealwing.rollout.gate import Gate
    from tealwing.rollout.plan import Plan as RulesPlan
    from tealwing.routing.table import Table


MOST_FAULTS = 3  # readings of one watch update that may fail: some tenths of a second apart, then it goes in parts


class ListFault(RuntimeError):
    """A module could not take an update of the engine list in whole; it is told again."""


class Daemon:
    """Owns the decisions, the engines' connections and the coordinator's thread."""

    def __init__(self, config: Config) -> None:
        self._settings, self._cores = config.settings, config.cores
        self._from_file = config.settings  # what the configuration said last
        self.on_settings: Callable[[api.Settings], None] = lambda settings: None  # the server's side of a change
        self._link: Link | None = None  # where gossip is on
        self._peering: Peering | None = None  # where the section `peers` is
        self.gate: Gate | None = None  # where the section `rules` is: what requests pass first
        self.sections: frozenset[str] = frozenset()  # of the operators' file, that are on
        self._vitals: Vitals | None = None  # measured where service levels are on
        self._levels_file: Plan | None = None  # of the operators' file, and of the rules: the second goes before
        self._levels_rules: Plan | None = None
        self._allowed: Callable[..., frozenset[int] | None] = lambda *_: None  # routing's, once there is a table
        self._changing = threading.RLock()  # one change of settings or levels at a time, whoever brings it
        self._engines = Engines(config.settings.limits, config.descriptors.engines)
        self._decisions = Decisions(config.settings, config.seed, self._engines)
        self.figures = Figures((cls.name for cls in config.settings.classes), (end.value for end in End))
        self.figures.gauges = self._gauges
        self._starts, self._reads_known = StartTimes(), True  # known: the events of the configuration
        self._faults = (0, 0)  # the index of the last watch update that could not be taken in whole, and how often
        self._follower = Follower(
            config.coordinator, config.index, config.settings, self._watch_update, self.figures.watch_ended
        )
        for number, update in enumerate(config.known):
            self._known(update, cached=number == 0)
        self._reads_known = False

    def start(self) -> None:
        """Follow the coordinator and let timers fire."""
        self._engines.start()
        self._decisions.start()
        self._follower.start()

    def open(self, query: Query, settings: api.Settings | None = None) -> Life:
        """The life of a request that has come, read under the settings (the ones in force if None).

        Raises Unusable, and Outdated where settings and a routing table of different versions would bind it.
        """
        force, zones = self._decisions.force, None
        if force.number and settings is not None and settings is not force.settings:
            raise SettingsChangedError(force.settings)
        if force.table is not None:
            zones = self._allowed(force.table, query.tables, force.settings.zones, self._decisions.ready)
        settings = settings or force.settings
        return Life(query, settings, self._decisions, self._engines, self._vitals, self.figures, zones)

    def _gauges(self) -> dict[str, int]:
        """Requests open, engines listed, those of them that the module does not send to now, and threads.

        Read without the module's lock: lengths of its tables are whole at any moment.
        """
        gateway = standing.behind(self._decisions.module)
        listed = len(gateway.engines) if gateway is not None else 0
        ready = len(gateway.ready) if gateway is not None else 0
        found = {
            "active": self._decisions.open,
            "pool_size": listed,
            "pool_ejected": max(0, listed - ready),
            "threads": threading.active_count(),
            "list_index": self._follower.index,
            "list_age_ms": round(self._follower.age * 1e3),
        }
        if self._peering is not None:
            is_ready, reason, phase = self._peering.readiness()
            word = re.sub(r"[^a-z0-9]+", "_", reason.partition(";")[0].lower()).strip("_")
            found |= {"recovery_phase": phase, f"ready_{'yes' if is_ready else 'no'}.{word or 'no_replica'}": 1}
        return found

    def readiness(self) -> tuple[bool, str]:
        """Whether clients may be sent here as far as the peers go, and why."""
        if self._peering is None:
            return True, ""
        is_ready, reason, _ = self._peering.readiness()
        return is_ready, reason

    def unread(self, seconds: float) -> None:
        """What a client sent was read so long after it had come."""
        if self._vitals is not None:
            self._vitals.waited(seconds)

    @property
    def agreed(self) -> int:
        """Number of the version of the rules that the fleet agreed on and that is in force here; 0: none."""
        return self._decisions.force.number

    @property
    def platform(self) -> api.Settings:
        """What the configuration says, before any version of the rules."""
        return self._from_file

    @property
    def listed(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list as it was last heard."""
        return self._decisions.listed

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
                plan.measures(settings)
            if table is not None:
                from tealwing.routing.serving import allowed  # only where a table is

                self._allowed = allowed
            self._levels_rules = levels
            renewed = settings is not self._settings
            wrap = None if plan is None else standing.wrapper(settings, plan, self._say)
            number = self._decisions.put_in_force(InForce(settings, table, version), wrap)
            if renewed:
                self._tell_settings(settings, number)
            self._levels_now(plan)
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
            if changed and self.agreed:
                self._follower.move(config.coordinator)
                raise ConfigRejected(
                    f"settings: version {self.agreed} of the rules is in force, as the fleet has agreed",
                    "propose them: tealwing rules propose FILE --control HOST:PORT --why TEXT",
                )
            if changed and (self._vitals is not None or self._link is not None):
                raise ConfigError("settings: a change of settings needs a restart where levels or gossip are on")
            if changed and self._peering is not None and not config.settings.limits.peer_messages:
                raise ConfigError("settings: Allowed.Peers forbids the link to the peers, which is on: restart")
            self._follower.move(config.coordinator)
            if changed:  # else the file says what it said, and the fleet's version may be in force
                self._take(config.settings)
                self._from_file = config.settings
        log.event("reconfigured", coordinator=config.coordinator)
        return self._settings

    def _take(self, settings: api.Settings) -> None:
        """Put settings in force for new requests."""
        self._tell_settings(settings, self._decisions.renew(settings))

    def _tell_settings(self, settings: api.Settings, version: int) -> None:
        self._settings = self._follower.settings = settings
        self._engines.limit(settings.limits)
        self.figures.keep(cls.name for cls in settings.classes)
        self.on_settings(settings)
        classes = {cls.name: cls.idempotency.name for cls in settings.classes}
        log.event("settings_changed", version=version, classes=classes)

    def _fleet_settings(self, version: int, text: bytes) -> None:
        """A version of the replicated settings that is good, from the disk or as the fleet has agreed on it."""
        try:
            settings = wire.settings(text)
        except (ValueError, wire.WireError) as error:  # checked by whoever proposed it, by another version of us
            log.event("fleet_settings_unusable", version=version, error=str(error))
            return
        with self._changing:
            if self.agreed or self._vitals is not None or self._link is not None:
                why = "rules are in force: propose it as rules" if self.agreed else "levels or gossip are on: restart"
                log.event("fleet_settings_unusable", version=version, error=why)
                return
            log.event("fleet_settings", version=version)
            if settings != self._settings:
                self._take(settings)

    def operate(self, records: dict[str, Any]) -> None:
        """Take the operators' file in whole: its records by section. A ValueError leaves all as it is."""
        levels: Plan | None = records.get("levels")
        if levels is not None:
            levels.measures(self._settings)  # may not fit; what comes after it can't fail on the levels
        self._gossip(records.get("gossip"))
        self.sections = frozenset(records)
        self._peers(*(records.get(name) for name in ("peers", "replica", "rules", "federation")))
        with self._changing:
            self._levels_file = levels
            if self._levels_rules is None:  # else those of the rules go before it
                self._levels_now(levels)

    def leave(self) -> None:
        """The gateway ends: the other instances need not find out."""
        if self._link is not None:
            self._link.stop()
        if self._peering is not None:
            self._peering.stop()

    def _peers(
        self, plan: PeersPlan | None, replica: ReplicaPlan | None, rules: RulesPlan | None,
        federation: FederationPlan | None,
    ) -> None:  # fmt: skip
        """Begin the link to the peers, and the replicated state; a LinkFault leaves it as it is."""
        if plan is None and self._peering is None:
            if replica is not None:
                raise ValueError("replica: needs the section peers, whose members take part")
            if federation is not None:
                raise ValueError("federation: needs the sections peers, replica and rules")
            return
        if federation is not None and (replica is None or rules is None):
            raise ValueError("federation: needs the sections replica and rules: what the sites agree on is a version")
        from tealwing.fleet.peering import Peering
        from tealwing.peers.link import LinkFault  # only where it is on

        if self._peering is not None:
            if (plan, replica, rules, federation) != self._peering.plans:
                raise LinkFault("peers, replica, rules, federation: a section changed; allowed: a restart")
            return
        assert plan is not None
        if not self._settings.limits.peer_messages:
            raise LinkFault("peers: the platform's settings forbid talk among gateways (Allowed.Peers)")
        peering = Peering(plan, replica, self._fleet_settings, federation)
        if rules is not None:
            self.gate = peering.follow_rules(rules, self)
        self._peering = peering
        self._peering.start()
        if self._peering.feed is not None:
            self._peering.feed.engines(self._decisions.listed, self._settings.rules)

    def _gossip(self, plan: GossipPlan | None) -> None:
        """Begin, change or end gossip; a GossipFault leaves it as it is."""
        link = self._link
        if plan is None and link is None:
            return
        from tealwing.gossip.transport import GossipFault, Link  # only where gossip is on, or was

        if plan is not None and not self._settings.limits.peer_messages:
            raise GossipFault("gossip: the platform's settings forbid talk among gateways (Allowed.Peers)")
        if plan is not None and link is not None:
            link.change(plan)
        elif plan is not None:
            self._link = Link(plan, partial(standing.evidence, self._decisions.change), self._decisions.submit)
            self._link.start()
        elif link is not None:
            self._link = None
            link.stop()
            self._decisions.submit(api.EngineHealthEstimates({}))

    def _levels_now(self, plan: Plan | None) -> None:
        """Begin, change or end service levels."""
        if plan is None and self._vitals is None:
            return
        self._decisions.change(standing.changer(self._settings, plan, self._say))
        if plan is None and self._vitals is not None:
            self._vitals.stop()
            self._vitals = None
        elif plan is not None and self._vitals is None:
            self._vitals = Vitals(self._decisions, self._cores)
            self._vitals.start()

    def fail_open(self) -> int:
        """Fail all that is still open, as the gateway ends; how many there were."""
        return self._decisions.tell_all(Signal.SHUTDOWN)

    @property
    def deadline(self) -> float:
        """The longest deadline in seconds, of the settings in force and of those that open requests are under."""
        return self._decisions.deadline

    @property
    def open_requests(self) -> int:
        """Requests taken and not yet ended."""
        return self._decisions.open

    def _known(self, update: Update, cached: bool) -> None:
        """An event of the configuration, which is not asked for again."""
        try:
            self._take_list(update, cached)
        except Exception:
            self._take_apart(update)

    def _watch_update(self, update: Update) -> None:
        """An event of the watch: a fault ends the watch, and the next one tells it again, whole.

        One that can't be taken at the third time is taken member by member: it must not hide what comes after it.
        """
        try:
            self._take_list(update)
        except Exception:
            index, faults = self._faults
            self._faults = update.index, faults + 1 if index == update.index else 1
            if self._faults[1] < MOST_FAULTS:
                raise
            self._take_apart(update)

    def _take_list(self, update: Update, cached: bool = False) -> None:
        """The connections first: the module may choose a new engine as soon as it knows of it.

        A second time it changes nothing that the first did.
        """
        members = update.members + update.unplaced  # the second for settings that are still to come
        self._engines.update(members, update.complete)
        kind = api.EngineListKind.FULL if update.complete else api.EngineListKind.DELTA
        if cached:
            kind = api.EngineListKind.CACHED
        if not self._decisions.tell_list(kind, update.revision, self._dated(members)):
            raise ListFault(f"event {update.index} could not be decided on")
        self._pass_on(update, update.members)

    def _dated(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """The members with their starts on the clock of the decisions, for them alone: see `StartTimes`."""
        now, wall = self._decisions.now, time.time()
        unknown = inf if self._reads_known else self._follower.age
        return tuple(self._starts.dated(member, now, wall, unknown) for member in members)

    def _pass_on(self, update: Update, taken: Sequence[Member]) -> None:
        """Tell the fleet, and the log."""
        entries = tuple(member.entry for member in taken)
        if self._peering is not None and self._peering.feed is not None:
            self._peering.feed.engines(entries, self._settings.rules)
        states = {member.name: member.entry.health.name for member in taken}
        log.event("engine_list", index=update.index, complete=update.complete, members=states)
        for why in update.unusable:
            log.event("engine_unusable", why=why)

    def _take_apart(self, update: Update) -> None:
        """Take the members that can be taken, one by one."""
        log.event("watch_update_in_parts", index=update.index, trace=traceback.format_exc(limit=-3))
        taken = []
        for member in update.members + update.unplaced:
            try:
                self._engines.update((member,), False)
                if not self._decisions.tell_list(api.EngineListKind.DELTA, update.revision, self._dated((member,))):
                    raise ListFault("it could not be decided on")
            except Exception as error:
                log.event("engine_unusable", why=f"{member.name}: {error!r}")
            else:
                taken.append(member)
        try:
            self._pass_on(update, taken)
        except Exception:  # nothing here may end the watch once more
            log.check_invariant(False, f"a watch update is passed on: {traceback.format_exc(limit=-3)}")

    def _say(self, name: str, fields: dict[str, Any]) -> None:
        """What the governor tells: to the log, and a level that changes to the fleet too."""
        log.event(name, **fields)
        if name == "service_level" and self._peering is not None and self._peering.feed is not None:
            self._peering.feed.level(str(fields["from"]), str(fields["to"]), str(fields.get("why", "")), "full")
