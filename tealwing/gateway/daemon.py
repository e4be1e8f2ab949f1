"""The gateway as a whole: what it consists of, and its start."""

from __future__ import annotations

import re
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tealwing import interface as api
from tealwing import log, wire
from tealwing.admin.figures import Figures
from tealwing.config import Config, ConfigError
from tealwing.coordinator.follower import Follower
from tealwing.coordinator.news import Update
from tealwing.exchange import Query
from tealwing.gateway.decisions import Decisions, Module
from tealwing.gateway.life import Life, Word
from tealwing.gateway.vitals import Vitals
from tealwing.policy import Gateway
from tealwing.resp.fleet import Fleet

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.fleet.peering import Peering
    from tealwing.gossip.observe import Evidence
    from tealwing.gossip.plan import Plan as GossipPlan
    from tealwing.gossip.transport import Link
    from tealwing.levels.plan import Plan
    from tealwing.peers.plan import Plan as PeersPlan
    from tealwing.replica.plan import Plan as ReplicaPlan


class Daemon:
    """Owns the decisions, the engines' connections and the coordinator's thread."""

    def __init__(self, config: Config) -> None:
        self._settings, self._cores = config.settings, config.cores
        self._from_file = config.settings  # what the configuration said last
        self.on_settings: Callable[[api.Settings], None] = lambda settings: None  # the server's side of a change
        self._link: Link | None = None  # where gossip is on
        self._peering: Peering | None = None  # where the section `peers` is
        self._vitals: Vitals | None = None  # measured where service levels are on
        self._fleet = Fleet(config.settings.limits)
        self._decisions = Decisions(config.settings, config.seed, self._fleet)
        self.figures = Figures(cls.name for cls in config.settings.classes)
        self.figures.gauges = self._gauges
        self._follower = Follower(config.coordinator, config.index, config.settings, self._news)
        for number, update in enumerate(config.known):
            self._news(update, cached=number == 0)

    def start(self) -> None:
        """Follow the coordinator and let timers fire."""
        self._fleet.start()
        self._decisions.start()
        self._follower.start()

    def open(self, query: Query, settings: api.Settings | None = None) -> Life:
        """The life of a request that has come, read under the settings (the ones in force if None)."""
        return Life(query, settings or self._settings, self._decisions, self._fleet, self._vitals, self.figures)

    def _gauges(self) -> dict[str, int]:
        """Requests open, engines listed, those of them that the module does not send to now, and threads.

        Read without the module's lock: lengths of its tables are whole at any moment.
        """
        module = self._decisions.module
        gateway = module if isinstance(module, Gateway) else getattr(module, "gateway", None)
        listed = len(gateway.engines) if isinstance(gateway, Gateway) else 0
        ready = len(gateway.ready) if isinstance(gateway, Gateway) else 0
        found = {
            "active": self._decisions.open,
            "pool_size": listed,
            "pool_ejected": max(0, listed - ready),
            "threads": threading.active_count(),
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

    def reconfigure(self, config: Config) -> api.Settings:
        """Take what may change under load: the coordinator, and the settings. Its events' numbers go on.

        New settings bind new requests; open ones keep theirs. Gives the settings in force. Raises ConfigError,
        with nothing changed, where the settings change and service levels or gossip are on.
        """
        changed = config.settings not in (self._settings, self._from_file)
        if changed and (self._vitals is not None or self._link is not None):
            raise ConfigError("settings: a change of settings needs a restart where levels or gossip are on")
        self._follower.move(config.coordinator)
        if changed:  # else the file says what it said, and the fleet's version may be in force
            self._take(config.settings)
            self._from_file = config.settings
        log.event("reconfigured", coordinator=config.coordinator)
        return self._settings

    def _take(self, settings: api.Settings) -> None:
        """Put settings in force for new requests."""
        version = self._decisions.renew(settings)
        self._settings = settings
        self.figures.keep(cls.name for cls in settings.classes)
        classes = {cls.name: cls.effect.name for cls in settings.classes}
        log.event("settings_changed", version=version, classes=classes)

    def _fleet_settings(self, version: int, text: bytes) -> None:
        """A version of the replicated settings that is good, from the disk or as the fleet has agreed on it."""
        try:
            settings = wire.settings(text)
        except (ValueError, wire.WireError) as error:  # checked by whoever proposed it, by another version of us
            log.event("fleet_settings_unusable", version=version, error=str(error))
            return
        if self._vitals is not None or self._link is not None:
            log.event("fleet_settings_unusable", version=version, error="levels or gossip are on: restart")
            return
        log.event("fleet_settings", version=version)
        if settings != self._settings:
            self._take(settings)
            self.on_settings(settings)

    def operate(self, records: dict[str, Any]) -> None:
        """Take the operators' file in whole: its records by section. A ValueError leaves all as it is."""
        levels: Plan | None = records.get("levels")
        if levels is not None:
            levels.measures(self._settings)  # may not fit; what comes after it can't fail on the levels
        self._gossip(records.get("gossip"))
        self._peers(records.get("peers"), records.get("replica"))
        self._levels(levels)

    def leave(self) -> None:
        """The gateway ends: the other instances need not find out."""
        if self._link is not None:
            self._link.stop()
        if self._peering is not None:
            self._peering.stop()

    def _peers(self, plan: PeersPlan | None, replica: ReplicaPlan | None) -> None:
        """Begin the link to the peers, and the replicated state; a LinkFault leaves it as it is."""
        if plan is None and self._peering is None:
            if replica is not None:
                raise ValueError("replica: needs the section peers, whose members take part")
            return
        from tealwing.fleet.peering import Peering
        from tealwing.peers.link import LinkFault  # only where it is on

        if self._peering is not None:
            if (plan, replica) != (self._peering.plan, self._peering.replica_plan):
                raise LinkFault("peers, replica: a section changed; allowed: a restart")
            return
        assert plan is not None
        if not self._settings.limits.peers:
            raise LinkFault("peers: the platform's settings forbid talk among gateways (Allowed.Peers)")
        self._peering = Peering(plan, replica, self._fleet_settings)
        self._peering.start()
        if self._peering.feed is not None:
            self._peering.feed.engines(self._decisions.listed, self._settings.rules)

    def _gossip(self, plan: GossipPlan | None) -> None:
        """Begin, change or end gossip; a GossipFault leaves it as it is."""
        link = self._link
        if plan is None and link is None:
            return
        from tealwing.gossip.transport import GossipFault, Link  # only where gossip is on, or was

        if plan is not None and not self._settings.limits.peers:
            raise GossipFault("gossip: the platform's settings forbid talk among gateways (Allowed.Peers)")
        if plan is not None and link is not None:
            link.change(plan)
        elif plan is not None:
            self._link = Link(plan, self._evidence, self._decisions.submit)
            self._link.start()
        elif link is not None:
            self._link = None
            link.stop()
            self._decisions.submit(api.Beliefs({}))

    def _evidence(self) -> Evidence:
        """What the module shows of its engines, and how many are ready."""
        from tealwing.gossip import observe

        found: list[Evidence] = []

        def look(module: Module, _: float) -> Module:
            gateway = module if isinstance(module, Gateway) else getattr(module, "gateway", None)
            assert isinstance(gateway, Gateway)
            found.append((observe.words(gateway), len(gateway.ready)))
            return module

        self._decisions.change(look)
        return found[0]

    def _levels(self, plan: Plan | None) -> None:
        if plan is None and self._vitals is None:
            return
        from tealwing.levels.governor import Governor  # only where levels are on, or were

        def change(module: Module, now: float) -> Module:
            if plan is None:
                return module.end(now) if isinstance(module, Governor) else module
            if isinstance(module, Governor):
                module.adopt(plan, now)
                return module
            assert isinstance(module, Gateway)
            return Governor(self._settings, module, plan, self._say)

        self._decisions.change(change)
        if plan is None and self._vitals is not None:
            self._vitals.stop()
            self._vitals = None
        elif plan is not None and self._vitals is None:
            self._vitals = Vitals(self._decisions, self._cores)
            self._vitals.start()

    def fail_open(self) -> int:
        """Fail all that is still open, as the gateway ends; how many there were."""
        return self._decisions.tell_all(Word.SHUTDOWN)

    def _news(self, update: Update, cached: bool = False) -> None:
        """The connections first: the module may choose a new engine as soon as it knows of it."""
        self._fleet.update(update.members, update.complete)
        kind = api.ListKind.FULL if update.complete else api.ListKind.DELTA
        if cached:
            kind = api.ListKind.CACHED
        entries = tuple(member.entry for member in update.members)
        self._decisions.submit(api.EngineList(kind, update.revision, entries))
        if self._peering is not None and self._peering.feed is not None:
            self._peering.feed.engines(entries, self._settings.rules)
        states = {member.name: member.entry.health.name for member in update.members}
        log.event("engine_list", index=update.index, complete=update.complete, members=states)
        for why in update.unusable:
            log.event("engine_unusable", why=why)

    def _say(self, name: str, fields: dict[str, Any]) -> None:
        """What the governor tells: to the log, and a level that changes to the fleet too."""
        log.event(name, **fields)
        if name == "service_level" and self._peering is not None and self._peering.feed is not None:
            self._peering.feed.level(str(fields["from"]), str(fields["to"]), str(fields.get("why", "")), "full")
