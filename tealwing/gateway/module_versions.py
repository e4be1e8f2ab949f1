"""Which module of decisions holds which request, where settings change under load; under its owner's lock."""

from __future__ import annotations

import contextlib
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from tealwing import interface as api
from tealwing import log
from tealwing.coordinator import updates
from tealwing.coordinator.updates import Member
from tealwing.exchange import SettingsChangedError
from tealwing.policy import Gateway

if TYPE_CHECKING:  # what the operators' file does not switch on is not imported
    from tealwing.routing.table import Table

MAX_REPLACED_SETTINGS = (
    4  # changes of settings after which a request that is still being read under the first is turned back
)
REQUEST_EVENTS = (
    api.Request,
    api.AttemptOutcome,
    api.StreamStarted,
    api.AttemptProgress,
    api.ClientGone,
)  # events of one request: to its module


class Module(Protocol):
    """The decision module, or what stands before it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The actions on one event."""


@dataclass(frozen=True, slots=True)
class InForce:
    """What binds a new request, one version in whole: who reads this once can't mix two."""

    settings: api.Settings
    table: Table | None = None
    number: int = 0  # of the version of the rules; 0: none is in force


WrapModule = Callable[[Gateway], Module]  # what stands before a new module
Spent = deque[tuple[float, float]]  # times and work of what was sent to a cold engine


def innermost_module(module: Module) -> Gateway | None:
    """The module itself."""
    gateway = module if isinstance(module, Gateway) else getattr(module, "gateway", None)
    return gateway if isinstance(gateway, Gateway) else None


class ModuleVersions:
    """The module that takes new requests, and those of earlier settings that still hold some."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.module: Module = Gateway(settings, seed)  # of the settings below; it takes new requests
        self.in_force, self.version = InForce(settings), 0
        self.ready_zones: frozenset[int] = frozenset()  # zones with a ready engine
        self._seed = seed
        # What rules count over the gateway, whichever module made it, and nothing of it by class: the modules share it.
        self._taken, self._extra = deque[float](), deque[float]()
        self._spent: dict[tuple[int, float], Spent] = {}  # by engine and its start
        self._numbers = itertools.count(1)  # of versions
        self._replaced = deque[api.Settings](maxlen=MAX_REPLACED_SETTINGS)  # no longer in force, the last at the end
        self._older: dict[int, tuple[api.Settings, Module]] = {}  # by version: modules that still hold requests
        self._owners: dict[int, int] = {}  # request id: the version of the module that decides it
        self._held: dict[int, int] = {}  # version: its requests still open
        self._members: dict[int, Member] = {}  # the engine list by names, as settings number zones and kinds anew
        self._list_version = 0
        self._health_estimates: api.EngineHealthEstimates | None = None  # the last ones, for a new module
        self.share_slow_start(0)

    @property
    def settings(self) -> api.Settings:
        """Those of the module that takes new requests."""
        return self.in_force.settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list as it was last heard, numbered by the settings in force."""
        return _entries_for(self._members.values(), self.settings)

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds, of the settings in force and of those that open requests are under."""
        held = [self.settings, *(settings for settings, _ in self._older.values())]
        return max(cls.deadline for settings in held for cls in settings.classes)

    def version_of(self, settings: api.Settings) -> int:
        """The version of those very settings; Outdated where no module of them is left."""
        if settings is self.settings:
            return self.version
        for version, (older, _) in self._older.items():
            if older is settings:
                return version
        raise SettingsChangedError(self.settings)

    def module_at(self, version: int) -> Module | None:
        """The module of a version, while there is one."""
        if version == self.version:
            return self.module
        older = self._older.get(version)
        return older[1] if older is not None else None

    def assign(self, number: int, version: int) -> None:
        """The request is the version's from now on."""
        self._owners[number] = version
        self._held[version] = self._held.get(version, 0) + 1

    def forget(self, number: int) -> None:
        """Nothing more comes of the request: a module of earlier settings goes with its last."""
        version = self._owners.pop(number)
        self._held[version] -= 1
        if not self._held[version]:
            del self._held[version]
            if self._older.pop(version, None) is not None:
                log.event("settings_retired", version=version)

    def replace_settings(self, force: InForce, wrap: WrapModule | None = None) -> list[api.Event]:
        """A new module takes new requests, the old keeps what it holds; gives what the new one is to be told."""
        if self._held.get(self.version):
            self._older[self.version] = self.settings, self.module
        self._replaced.append(self.settings)
        self.version = next(self._numbers)
        gateway = Gateway(force.settings, self._seed + self.version)
        self.in_force, self.module = force, wrap(gateway) if wrap is not None else gateway
        self._update_ready_zones()
        return self._initial_events(force.settings)

    def restore(self, settings: api.Settings) -> tuple[int, list[api.Event]] | None:
        """A module anew for settings of which none is left; its version, and what it is to be told; None: no need.

        They were in force when a request was read, and a change has come between that and its being opened.
        """
        held = [self.settings, *(older for older, _ in self._older.values())]
        if any(one is settings for one in held) or not any(one is settings for one in self._replaced):
            return None
        version = next(self._numbers)
        self._older[version] = settings, Gateway(settings, self._seed + version)
        return version, self._initial_events(settings)

    def share_slow_start(self, version: int) -> None:
        """Have a version's module, which has heard of the engine list, count together with the others."""
        module = self.module_at(version)
        gateway = innermost_module(module) if module is not None else None
        if gateway is None:
            return
        gateway.request_times, gateway.retry_times = self._taken, self._extra
        for engine in gateway.engines.values():
            engine.slow_start_sends = self._spent.setdefault((engine.id, engine.started), engine.slow_start_sends)
        if version == self.version:  # what it no longer knows has left the list
            known = {(engine.id, engine.started) for engine in gateway.engines.values()}
            self._spent = {key: spent for key, spent in self._spent.items() if key in known}

    def _initial_events(self, settings: api.Settings) -> list[api.Event]:
        """What a new module of the settings is told before anything else, numbered as they do."""
        listed = _entries_for(self._members.values(), settings)
        events: list[api.Event] = [api.EngineList(api.EngineListKind.FULL, self._list_version, listed)]
        return events + ([self._health_estimates] if self._health_estimates is not None else [])

    def versions_for(self, event: api.Event) -> tuple[int, ...]:
        """The versions whose modules an event is for: a request's own to its module, else all."""
        if isinstance(event, REQUEST_EVENTS):
            return (self._owners.get(event.id, self.version),)
        if isinstance(event, api.EngineList):  # its entries are numbered by the settings in force
            if event.kind is not api.EngineListKind.FAILED:
                named = (_member_for(entry, self.settings) for entry in event.entries)
                self._store_list(event.kind, event.version, named)
        elif isinstance(event, api.EngineHealthEstimates):
            self._health_estimates = event
        return self.version, *self._older

    def engine_list_events(
        self, kind: api.EngineListKind, number: int, members: tuple[Member, ...]
    ) -> list[tuple[int, api.EngineList]]:
        """Keep a watch update; by version, what its module is told of it, numbered by the module's own settings."""
        self._store_list(kind, number, members)
        held = [(self.version, self.settings), *((version, older[0]) for version, older in self._older.items())]
        return [(version, api.EngineList(kind, number, _entries_for(members, settings))) for version, settings in held]

    def _store_list(self, kind: api.EngineListKind, number: int, members: Iterable[Member]) -> None:
        """Keep the list that a module made now would need."""
        if kind is not api.EngineListKind.DELTA:
            self._members.clear()
        for member in members:
            if member.entry.health is api.Health.GONE:
                self._members.pop(member.entry.engine, None)
            else:
                self._members[member.entry.engine] = member
        self._list_version = number
        self._update_ready_zones()

    def _update_ready_zones(self) -> None:
        self.ready_zones = frozenset(entry.zone for entry in self.engine_list if entry.health is api.Health.READY)


def _entries_for(members: Iterable[Member], settings: api.Settings) -> tuple[api.EngineListEntry, ...]:
    """Their entries as the settings number zones and kinds; those that they do not know are left out."""
    found = []
    for member in members:
        with contextlib.suppress(updates.UpdateError):
            found.append(updates.renumbered(member, settings).entry)
    return tuple(found)


def _member_for(entry: api.EngineListEntry, settings: api.Settings) -> Member:
    """The member of an entry that the settings number."""
    return Member("", "", 0, entry, settings.zones[entry.zone], settings.machine_kinds[entry.kind].name)
