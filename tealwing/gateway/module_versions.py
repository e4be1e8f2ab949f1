"""Decision modules by version of the settings, and the requests of each; changed under the lock of `Decisions` only."""

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

if TYPE_CHECKING:  # at run time, imported only if the operators' file enables it
    from tealwing.routing.table import Table

MAX_REPLACED_SETTINGS = 4  # replaced settings that are kept: a request that was parsed under older ones is rejected
# events of one request, which go to its module only
REQUEST_EVENTS = (
    api.Request,
    api.AttemptOutcome,
    api.StreamStarted,
    api.AttemptProgress,
    api.ClientGone,
)


class Module(Protocol):
    """The decision module, or a wrapper of it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Return the actions that follow from one event."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The settings and routing table that bind a new request. Immutable, so that a reader never mixes two versions."""

    settings: api.Settings
    table: Table | None = None
    number: int = 0  # of the version of the rules; 0: none


WrapModule = Callable[[Gateway], Module]  # wraps a new module
SlowStartSends = deque[tuple[float, float]]  # time and work of each attempt sent to an engine in slow start


def innermost_module(module: Module) -> Gateway | None:
    """Return the module inside all wrappers."""
    gateway = module if isinstance(module, Gateway) else getattr(module, "gateway", None)
    return gateway if isinstance(gateway, Gateway) else None


class ModuleVersions:
    """The module of new requests, and those of earlier settings with open requests."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.module: Module = Gateway(settings, seed)  # decides new requests
        self.in_force, self.version = InForce(settings), 0
        self.ready_zones: frozenset[int] = frozenset()  # zones with a ready engine
        self._seed = seed
        # The limits of slow start apply to the whole gateway, so all modules share these.
        self._request_times, self._retry_times = deque[float](), deque[float]()
        self._slow_start_sends: dict[tuple[int, float], SlowStartSends] = {}  # by engine number and start time
        self._numbers = itertools.count(1)  # of versions
        self._replaced = deque[api.Settings](maxlen=MAX_REPLACED_SETTINGS)  # replaced settings, the latest last
        # earlier versions with open requests: the settings and module of each
        self._older: dict[int, tuple[api.Settings, Module]] = {}
        self._owners: dict[int, int] = {}  # request id: version of its module
        self._open_requests: dict[int, int] = {}  # version: number of its open requests
        # the engine list by engine number, with names of zones and kinds, as settings number these differently
        self._members: dict[int, Member] = {}
        self._list_version = 0
        self._health_estimates: api.EngineHealthEstimates | None = None  # the latest, passed to each new module
        self.share_slow_start(0)

    @property
    def settings(self) -> api.Settings:
        """The settings of new requests."""
        return self.in_force.settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The last engine list, numbered by the settings in force."""
        return _entries_for(self._members.values(), self.settings)

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds of the settings in force and of those of open requests."""
        in_use = [self.settings, *(settings for settings, _ in self._older.values())]
        return max(cls.deadline for settings in in_use for cls in settings.classes)

    def version_of(self, settings: api.Settings) -> int:
        """Return the version of these settings, by identity. Raises SettingsChangedError if they have no module."""
        if settings is self.settings:
            return self.version
        for version, (older, _) in self._older.items():
            if older is settings:
                return version
        raise SettingsChangedError(self.settings)

    def module_at(self, version: int) -> Module | None:
        """Return the module of a version, or None if it was dropped."""
        if version == self.version:
            return self.module
        older = self._older.get(version)
        return older[1] if older is not None else None

    def assign(self, number: int, version: int) -> None:
        """Assign a request to the module of a version."""
        self._owners[number] = version
        self._open_requests[version] = self._open_requests.get(version, 0) + 1

    def forget(self, number: int) -> None:
        """Drop a request; a module of earlier settings is dropped with its last request."""
        version = self._owners.pop(number)
        self._open_requests[version] -= 1
        if not self._open_requests[version]:
            del self._open_requests[version]
            if self._older.pop(version, None) is not None:
                log.event("settings_retired", version=version)

    def replace_settings(self, in_force: InForce, wrap: WrapModule | None = None) -> list[api.Event]:
        """Replace the module of new requests, and return the initial events of the new one."""
        if self._open_requests.get(self.version):
            self._older[self.version] = self.settings, self.module
        self._replaced.append(self.settings)
        self.version = next(self._numbers)
        gateway = Gateway(in_force.settings, self._seed + self.version)
        self.in_force, self.module = in_force, wrap(gateway) if wrap is not None else gateway
        self._update_ready_zones()
        return self._initial_events(in_force.settings)

    def restore(self, settings: api.Settings) -> tuple[int, list[api.Event]] | None:
        """Restore a module of replaced settings; return its version and initial events.

        Needed when the settings change between the parsing of a request and its opening. Returns None if a module of
        these settings exists, or if they were replaced too long ago.
        """
        in_use = [self.settings, *(older for older, _ in self._older.values())]
        if any(one is settings for one in in_use) or not any(one is settings for one in self._replaced):
            return None
        version = next(self._numbers)
        self._older[version] = settings, Gateway(settings, self._seed + version)
        return version, self._initial_events(settings)

    def share_slow_start(self, version: int) -> None:
        """Let a version's module, which knows the engine list, share the slow-start accounting."""
        module = self.module_at(version)
        gateway = innermost_module(module) if module is not None else None
        if gateway is None:
            return
        gateway.request_times, gateway.retry_times = self._request_times, self._retry_times
        for engine in gateway.engines.values():
            engine.slow_start_sends = self._slow_start_sends.setdefault(
                (engine.id, engine.started), engine.slow_start_sends
            )
        if version == self.version:  # engines that the current module does not know have left the list
            known = {(engine.id, engine.started) for engine in gateway.engines.values()}
            self._slow_start_sends = {key: sends for key, sends in self._slow_start_sends.items() if key in known}

    def _initial_events(self, settings: api.Settings) -> list[api.Event]:
        """Return the first events of a new module, with zones and kinds numbered by its settings."""
        listed = _entries_for(self._members.values(), settings)
        events: list[api.Event] = [api.EngineList(api.EngineListKind.FULL, self._list_version, listed)]
        return events + ([self._health_estimates] if self._health_estimates is not None else [])

    def versions_for(self, event: api.Event) -> tuple[int, ...]:
        """Return the versions whose modules get an event: that of the event's request, or all."""
        if isinstance(event, REQUEST_EVENTS):
            return (self._owners.get(event.id, self.version),)
        if isinstance(event, api.EngineList):  # numbered by the settings in force
            if event.kind is not api.EngineListKind.FAILED:
                named = (_member_for(entry, self.settings) for entry in event.entries)
                self._store_list(event.kind, event.version, named)
        elif isinstance(event, api.EngineHealthEstimates):
            self._health_estimates = event
        return self.version, *self._older

    def engine_list_events(
        self, kind: api.EngineListKind, number: int, members: tuple[Member, ...]
    ) -> list[tuple[int, api.EngineList]]:
        """Store a watch update; return its event for each version, numbered by that version's settings."""
        self._store_list(kind, number, members)
        in_use = [(self.version, self.settings), *((version, older[0]) for version, older in self._older.items())]
        return [
            (version, api.EngineList(kind, number, _entries_for(members, settings))) for version, settings in in_use
        ]

    def _store_list(self, kind: api.EngineListKind, number: int, members: Iterable[Member]) -> None:
        """Store the engine list for modules that are created later."""
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
    """Return the members' entries numbered by the settings, without members whose zone or kind these don't name."""
    found = []
    for member in members:
        with contextlib.suppress(updates.UpdateError):
            found.append(updates.renumbered(member, settings).entry)
    return tuple(found)


def _member_for(entry: api.EngineListEntry, settings: api.Settings) -> Member:
    """Return the member of an entry that is numbered by the settings."""
    return Member("", "", 0, entry, settings.zones[entry.zone], settings.machine_kinds[entry.kind].name)
