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
from tealwing.policy.engines import SlowStartSends

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


def innermost_module(module: Module) -> Gateway | None:
    """Return the module inside all wrappers."""
    gateway = module if isinstance(module, Gateway) else getattr(module, "gateway", None)
    return gateway if isinstance(gateway, Gateway) else None


class ModuleVersions:
    """The module of new requests, which holds the state of the engines, and those of earlier settings.

    An earlier module stays while it has open requests, and sees the engines through `_HeldEngines`.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._seed = seed
        # The limits of slow start and of retries apply to the whole gateway, so all modules share these.
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
        self.in_force, self.version = InForce(settings), 0
        self.ready_zones: frozenset[int] = frozenset()  # zones with a ready engine
        self.holder = self._new_gateway(settings, 0)  # holds the state of the engines
        self.module: Module = self.holder  # decides new requests

    def _new_gateway(self, settings: api.Settings, version: int) -> Gateway:
        gateway = Gateway(settings, self._seed + version)
        gateway.request_times, gateway.retry_times = self._request_times, self._retry_times
        return gateway

    @property
    def settings(self) -> api.Settings:
        """The settings of new requests."""
        return self.in_force.settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The last engine list, numbered by the settings in force."""
        return self.entries_for(self.settings)

    def entries_for(self, settings: api.Settings) -> tuple[api.EngineListEntry, ...]:
        """Return the last engine list numbered by the settings, without engines whose zone or kind they don't name."""
        return _entries_for(self._members.values(), settings)

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
        replaced, earlier = self.settings, self.holder
        if self._open_requests.get(self.version):
            # without a governor, which admits new requests and would step by engines that are no longer held
            module = earlier if innermost_module(self.module) is earlier else self.module
            self._older[self.version] = replaced, module
        self._replaced.append(replaced)
        self.version = next(self._numbers)
        self.holder = self._new_gateway(in_force.settings, self.version)
        self.in_force, self.module = in_force, wrap(self.holder) if wrap is not None else self.holder
        self.holder.take_engines(earlier, self.engine_list)
        earlier.retire(_HeldEngines(self, replaced))
        self._update_ready_zones()
        return self._initial_events()

    def restore(self, settings: api.Settings) -> None:
        """Restore a module of replaced settings, unless one exists or they were replaced too long ago.

        Needed when the settings change between the parsing of a request and its opening.
        """
        in_use = [self.settings, *(older for older, _ in self._older.values())]
        if any(one is settings for one in in_use) or not any(one is settings for one in self._replaced):
            return
        version = next(self._numbers)
        gateway = self._new_gateway(settings, version)
        gateway.retire(_HeldEngines(self, settings))
        self._older[version] = settings, gateway

    def share_slow_start(self) -> None:
        """Keep one record of what was sent to an engine since its start, also if the list names it anew."""
        for engine in self.holder.engines.values():
            engine.slow_start_sends = self._slow_start_sends.setdefault(
                (engine.id, engine.started), engine.slow_start_sends
            )
        known = {(engine.id, engine.started) for engine in self.holder.engines.values()}
        known.update((member.entry.engine, member.entry.started) for member in self._members.values())
        self._slow_start_sends = {key: sends for key, sends in self._slow_start_sends.items() if key in known}

    def slow_start_sends(self, entry: api.EngineListEntry) -> SlowStartSends:
        """Return the record of what was sent to an engine since its start."""
        return self._slow_start_sends.setdefault((entry.engine, entry.started), SlowStartSends())

    def _initial_events(self) -> list[api.Event]:
        """Return the first events of the module in force, with zones and kinds numbered by its settings."""
        events: list[api.Event] = [api.EngineList(api.EngineListKind.FULL, self._list_version, self.engine_list)]
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

    def engine_list_event(self, kind: api.EngineListKind, number: int, members: tuple[Member, ...]) -> api.EngineList:
        """Store a watch update; return its event for the module in force, which holds the engines."""
        self._store_list(kind, number, members)
        return api.EngineList(kind, number, _entries_for(members, self.settings))

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


class _HeldEngines:
    """The engines in the numbering of replaced settings; an `EngineSource` of the decision module."""

    def __init__(self, versions: ModuleVersions, settings: api.Settings) -> None:
        self._versions, self._settings = versions, settings

    @property
    def holder(self) -> Gateway:
        """The module that holds the state of the engines."""
        return self._versions.holder

    def entries(self) -> tuple[api.EngineListEntry, ...]:
        """Return the engine list, numbered by the replaced settings."""
        return self._versions.entries_for(self._settings)

    def slow_start_sends(self, entry: api.EngineListEntry) -> SlowStartSends:
        """Return the record of what was sent to an engine since its start."""
        return self._versions.slow_start_sends(entry)


def _entries_for(members: Iterable[Member], settings: api.Settings) -> tuple[api.EngineListEntry, ...]:
    """Return the members' entries numbered by the settings, without members whose zone or kind these don't name."""
    found = []
    for member in members:
        if _is_numbered_by(member, settings):
            found.append(member.entry)
            continue
        with contextlib.suppress(updates.UpdateError):
            found.append(updates.renumbered(member, settings).entry)
    return tuple(found)


def _is_numbered_by(member: Member, settings: api.Settings) -> bool:
    """Whether the settings give the member's zone and kind the numbers of its entry."""
    zone, kind, kinds = member.entry.zone, member.entry.kind, settings.machine_kinds
    is_zone = 0 <= zone < len(settings.zones) and settings.zones[zone] == member.zone
    return is_zone and 0 <= kind < len(kinds) and kinds[kind].name == member.kind


def _member_for(entry: api.EngineListEntry, settings: api.Settings) -> Member:
    """Return the member of an entry that is numbered by the settings."""
    return Member("", "", 0, entry, settings.zones[entry.zone], settings.machine_kinds[entry.kind].name)
