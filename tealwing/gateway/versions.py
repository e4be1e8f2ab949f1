"""Which module of decisions holds which request, where settings change under load; under its owner's lock."""

from __future__ import annotations

from typing import Protocol

from tealwing import interface as api
from tealwing import log
from tealwing.exchange import Unusable
from tealwing.policy import Gateway

OWN = (api.Request, api.Outcome, api.StreamStarted, api.Note, api.HungUp)  # events of one request: to its module


class Module(Protocol):
    """The decision module, or what stands before it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The actions on one event."""


class Versions:
    """The module that takes new requests, and those of earlier settings that still hold some."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.module: Module = Gateway(settings, seed)  # of the settings below; it takes new requests
        self.settings, self.version = settings, 0
        self._seed = seed
        self._older: dict[int, tuple[api.Settings, Module]] = {}  # by version: modules that still hold requests
        self._owners: dict[int, int] = {}  # request id: the version of the module that decides it
        self._held: dict[int, int] = {}  # version: its requests still open
        self._listed: dict[int, api.ListEntry] = {}  # the engine list as the modules know it, for a new one
        self._list_version = 0

    @property
    def listed(self) -> tuple[api.ListEntry, ...]:
        """The engine list as it was last heard."""
        return tuple(self._listed.values())

    def of(self, settings: api.Settings) -> int:
        """The version of those very settings; Unusable where no module of them is left."""
        if settings is self.settings:
            return self.version
        for version, (older, _) in self._older.items():
            if older is settings:
                return version
        raise Unusable("the settings changed while the request was read; send it again")

    def at(self, version: int) -> Module | None:
        """The module of a version, while there is one."""
        if version == self.version:
            return self.module
        older = self._older.get(version)
        return older[1] if older is not None else None

    def take(self, number: int, version: int) -> None:
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

    def renew(self, settings: api.Settings) -> api.EngineList:
        """A new module takes new requests, the old keeps what it holds; gives the list that the new one needs."""
        if self._held.get(self.version):
            self._older[self.version] = self.settings, self.module
        self.version += 1
        self.settings, self.module = settings, Gateway(settings, self._seed + self.version)
        return api.EngineList(api.ListKind.FULL, self._list_version, self.listed)

    def concerned(self, event: api.Event) -> tuple[int, ...]:
        """The versions whose modules an event is for: a request's own to its module, else all."""
        if isinstance(event, OWN):
            return (self._owners.get(event.id, self.version),)
        if isinstance(event, api.EngineList):
            self._note_list(event)
        return self.version, *self._older

    def _note_list(self, event: api.EngineList) -> None:
        """Keep the list that a module made now would need."""
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            self._listed.clear()
        for entry in event.entries:
            if entry.health is api.Health.GONE:
                self._listed.pop(entry.engine, None)
            else:
                self._listed[entry.engine] = entry
        self._list_version = event.version
