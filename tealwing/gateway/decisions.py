"""The one lock round the decision module: events go in, its actions go to the mailboxes of the requests."""

from __future__ import annotations

import itertools
import threading
import time
import traceback
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from tealwing import interface as api
from tealwing import log
from tealwing.coordinator.updates import Member
from tealwing.exchange import InvalidRequestError
from tealwing.gateway.module_versions import InForce, Module, ModuleVersions, WrapModule
from tealwing.gateway.timers import Timers
from tealwing.resp.engine_pool import EnginePool

TIMER_GRANULARITY = 0.02  # s: timers fire at its multiples, some together; none is due more exactly
Mailbox = SimpleQueue[Any]  # of the module's actions and the engines' answers for one request


class Decisions:
    """Nothing here waits for a socket while it holds the lock; mailboxes and the timers' heap never block."""

    def __init__(self, settings: api.Settings, seed: int, engines: EnginePool) -> None:
        self._versions = ModuleVersions(settings, seed)
        self._engines = engines
        self._lock = threading.Lock()
        self.clock_offset = time.time() - time.monotonic()  # Unix time that a step of the clock can't turn back
        self._mailboxes: dict[int, Mailbox] = {}
        self._request_ids: set[bytes] = set()  # the clients' ids of the open requests
        self._ids = itertools.count(1)
        self._list_faults = 0  # engine lists that a module did not take in whole
        self._timers = Timers(max(settings.tick, TIMER_GRANULARITY), self._on_timers)

    def start(self) -> None:
        """Let timers fire from now on."""
        self._timers.start()

    @property
    def module(self) -> Module:
        """The module as it stands, for figures read without the lock."""
        return self._versions.module

    @property
    def now(self) -> float:
        """The modules' time: Unix seconds by the clock of the start, which no step changes."""
        return time.monotonic() + self.clock_offset

    @property
    def open_requests(self) -> int:
        """Requests taken and not yet ended."""
        return len(self._mailboxes)

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list as it was last heard."""
        with self._lock:
            return self._versions.engine_list

    @property
    def settings(self) -> api.Settings:
        """The settings of the module that takes new requests."""
        return self._versions.settings

    @property
    def in_force(self) -> InForce:
        """The settings and the routing table that bind a new request, of one version."""
        return self._versions.in_force

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds, of the settings in force and of those that open requests are under."""
        with self._lock:
            return self._versions.max_deadline

    @property
    def ready_zones(self) -> frozenset[int]:
        """The zones in which an engine is ready."""
        return self._versions.ready_zones

    def register(self, call: bytes, mailbox: Mailbox, settings: api.Settings | None = None) -> int:
        """A number for a new request, whose actions go to the mailbox; it was read under those settings.

        Engines tell requests apart by these ids: a second one of an open id would get the first's rows.
        Raises Unusable for an open call, and Outdated for settings of which no module is left.
        """
        with self._lock:
            if call in self._request_ids:
                raise InvalidRequestError("call is that of an open request")
            version = self._versions.version
            if settings is not None and settings is not self._versions.settings:
                self._restore_module(settings)
                version = self._versions.version_of(settings)
            self._request_ids.add(call)
            number = next(self._ids)
            self._mailboxes[number] = mailbox
            self._versions.assign(number, version)
            return number

    def unregister(self, number: int, call: bytes) -> list[object]:
        """The request has its final answer; what is left in its mailbox. Its module still hears of it until forget."""
        with self._lock:
            self._request_ids.remove(call)
            mailbox = self._mailboxes.pop(number)
            return [mailbox.get_nowait() for _ in range(mailbox.qsize())]

    def forget(self, number: int) -> None:
        """Nothing more comes of the request: a module of earlier settings goes with its last."""
        with self._lock:
            self._versions.forget(number)

    def replace_settings(self, settings: api.Settings) -> int:
        """New requests go to a new module of these settings, told the engine list; the old keeps what it holds.

        Gives the new version's number.
        """
        return self.put_in_force(InForce(settings))

    def put_in_force(self, force: InForce, wrap: WrapModule | None = None) -> int:
        """New requests are bound by this; settings that are others than before get a new module, as in `renew`.

        wrap puts something before a new module. Gives the number of the module's version.
        """
        with self._lock:
            if force.settings is self._versions.settings:
                self._versions.in_force = force
            else:
                faults = self._list_faults
                for event in self._versions.replace_settings(force, wrap):
                    self._handle(event, (self._versions.version,))
                if self._list_faults != faults:  # one engine that can't be taken must not hide the others
                    for entry in self._versions.engine_list:
                        alone = api.EngineList(api.EngineListKind.DELTA, 0, (entry,))
                        self._handle(alone, (self._versions.version,))
            return self._versions.version

    def _restore_module(self, settings: api.Settings) -> None:
        """Have a module of settings that were replaced as a request was read under them; under the lock."""
        if (recalled := self._versions.restore(settings)) is not None:
            version, initial_events = recalled
            for event in initial_events:
                self._handle(event, (version,))

    def broadcast(self, item: object) -> int:
        """Put a word into the mailbox of every open request; how many there are."""
        with self._lock:
            for mailbox in self._mailboxes.values():
                mailbox.put(item)
            return len(self._mailboxes)

    def change_module(self, how: Callable[[Module, float], Module]) -> None:
        """Put something before the module, or take it away; no event comes between."""
        with self._lock:
            self._versions.module = how(self._versions.module, time.monotonic() + self.clock_offset)

    def update_engine_list(self, kind: api.EngineListKind, number: int, members: tuple[Member, ...]) -> bool:
        """Tell the modules of a watch update, each as its settings number it; whether all took it in whole."""
        idle: list[int] = []
        with self._lock:
            faults = self._list_faults
            for version, event in self._versions.engine_list_events(kind, number, members):
                idle += self._handle(event, (version,))
            is_complete = self._list_faults == faults
        for engine in idle:
            self._engines.close_idle(engine)
        return is_complete

    def submit(self, *events: api.Event) -> None:
        """Some events in turn; their actions are in the mailboxes when this returns."""
        idle: list[int] = []
        with self._lock:
            for event in events:
                idle += self._handle(event, self._versions.versions_for(event))
        for engine in idle:
            self._engines.close_idle(engine)

    def _on_timers(self, due: list[tuple[int, int]]) -> None:
        """Timers, each to the module that set it; those of a module let go are dropped."""
        idle: list[int] = []
        with self._lock:
            for token, version in due:
                idle += self._handle(api.TimerFired(token), (version,))
        for engine in idle:
            self._engines.close_idle(engine)

    def _handle(self, event: api.Event, versions: tuple[int, ...]) -> list[int]:
        """Hand one event to the modules of the versions, where they are left, and their actions on.

        Gives the engines whose idle connections close.
        """
        idle: list[int] = []
        for version in versions:
            module = self._versions.module_at(version)
            if module is not None:
                idle += self._decide(module, version, event)
                if event.__class__ is api.EngineList:  # a quarter of isinstance's cost, on each event
                    self._versions.share_slow_start(version)
        return idle

    def _decide(self, module: Module, version: int, event: api.Event) -> list[int]:
        idle: list[int] = []
        now = time.monotonic()
        try:
            actions = module.handle(now + self.clock_offset, event)
        except Exception:  # a fault in a decision fails its request, not the gateway
            log.event("decision_failed", of=type(event).__name__, trace=traceback.format_exc(limit=-3))
            if isinstance(event, api.EngineList):
                self._list_faults += 1
            actions = [api.Fail(event.id)] if isinstance(event, api.Request | api.AttemptOutcome) else []
        for action in actions:
            match action:
                case api.SetTimer(delay, token):
                    self._timers.set(now + delay, token, version)
                case api.Log(text):
                    log.event("decision_log", text=text)
                case api.CloseIdleConnections(engine):
                    idle.append(engine)
                case api.Send() | api.SetResources() | api.CancelAttempt() | api.Reject() | api.Fail():
                    mailbox = self._mailboxes.get(action.id)
                    if mailbox is not None:
                        mailbox.put(action)
                    log.check_invariant(mailbox is not None, "an action names a request that is open")
                case _:
                    log.check_invariant(False, f"{type(action).__name__} is not allowed here")
        return idle
