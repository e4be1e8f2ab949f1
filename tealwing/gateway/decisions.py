"""Access to the decision modules under one lock: events go in, their actions go to the requests' mailboxes."""

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
from tealwing.gateway.sent_ids import SentIds
from tealwing.gateway.timers import Timers
from tealwing.resp.engine_pool import EnginePool

TIMER_GRANULARITY = 0.02  # s; timers fire at multiples of it, so that several fire together
Mailbox = SimpleQueue[Any]  # the decision module's actions and the engines' answers for one request


class Decisions:
    """Serializes calls of the decision modules. The lock is never held during socket I/O; mailboxes never block."""

    def __init__(self, settings: api.Settings, seed: int, engines: EnginePool) -> None:
        self._versions = ModuleVersions(settings, seed)
        self._engines = engines
        self._lock = threading.Lock()
        # s; added to the monotonic clock it gives a Unix time that steps of the wall clock don't change
        self.clock_offset = time.time() - time.monotonic()
        self._mailboxes: dict[int, Mailbox] = {}
        self._request_ids: set[bytes] = set()  # request ids that the clients gave, of the open requests
        self.sent_ids = SentIds()  # ids of the requests sent to engines, ended ones included
        self._ids = itertools.count(1)
        self._shutdown_signal: object | None = None  # set once open requests must end
        self._list_faults = 0  # engine list events that a module could not apply completely
        self._timers = Timers(max(settings.tick, TIMER_GRANULARITY), self._on_timers)

    def start(self) -> None:
        """Start the timer thread."""
        self._timers.start()

    @property
    def module(self) -> Module:
        """The decision module of new requests, for metrics that are read without the lock."""
        return self._versions.module

    @property
    def now(self) -> float:
        """The decision modules' time: Unix seconds that steps of the wall clock do not change."""
        return time.monotonic() + self.clock_offset

    @property
    def open_requests(self) -> int:
        """Number of open requests."""
        return len(self._mailboxes)

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The last engine list."""
        with self._lock:
            return self._versions.engine_list

    @property
    def settings(self) -> api.Settings:
        """The settings of the module that takes new requests."""
        return self._versions.settings

    @property
    def in_force(self) -> InForce:
        """The settings and the routing table that bind new requests, both of one version."""
        return self._versions.in_force

    @property
    def max_deadline(self) -> float:
        """The longest deadline in seconds of the settings in force and of those of open requests."""
        with self._lock:
            return self._versions.max_deadline

    @property
    def ready_zones(self) -> frozenset[int]:
        """Zones with a ready engine."""
        return self._versions.ready_zones

    def register(self, request_id: bytes, mailbox: Mailbox, settings: api.Settings | None = None) -> int:
        """Register a request parsed under `settings`, and return its number; its actions go to the mailbox.

        Engines distinguish requests by the clients' ids: a second request with the id of an open one would get the
        rows of the first. Raises InvalidRequestError for such an id, and SettingsChangedError if no module is left
        for the settings.
        """
        with self._lock:
            if request_id in self._request_ids:
                raise InvalidRequestError("call is that of an open request")
            version = self._versions.version
            if settings is not None and settings is not self._versions.settings:
                self._versions.restore(settings)
                version = self._versions.version_of(settings)
            self._request_ids.add(request_id)
            number = next(self._ids)
            self._mailboxes[number] = mailbox
            if self._shutdown_signal is not None:
                mailbox.put(self._shutdown_signal)
            self._versions.assign(number, version)
            return number

    def unregister(self, number: int, request_id: bytes) -> list[object]:
        """Close a request's mailbox after its final answer; return what is left in it. Events pass until `forget`."""
        with self._lock:
            self._request_ids.remove(request_id)
            mailbox = self._mailboxes.pop(number)
            return [mailbox.get_nowait() for _ in range(mailbox.qsize())]

    def forget(self, number: int) -> None:
        """Drop a request; a module of earlier settings is dropped with its last request."""
        with self._lock:
            self._versions.forget(number)

    def replace_settings(self, settings: api.Settings) -> int:
        """Route new requests to a new module of these settings; the old one keeps its open requests.

        Returns the new version's number.
        """
        return self.put_in_force(InForce(settings))

    def put_in_force(self, in_force: InForce, wrap: WrapModule | None = None) -> int:
        """Bind new requests to this version; changed settings get a new module, as in `replace_settings`.

        wrap wraps a new module. Returns the number of the module's version.
        """
        with self._lock:
            if in_force.settings is self._versions.settings:
                self._versions.in_force = in_force
            else:
                faults = self._list_faults
                for event in self._versions.replace_settings(in_force, wrap):
                    self._handle(event, (self._versions.version,))
                if self._list_faults != faults:  # apply the engines one by one: a failing one must not hide the others
                    for entry in self._versions.engine_list:
                        alone = api.EngineList(api.EngineListKind.DELTA, 0, (entry,))
                        self._handle(alone, (self._versions.version,))
            return self._versions.version

    def shut_down(self, signal: object) -> int:
        """Put the signal into the mailbox of every open request, and first into that of each one registered later.

        Returns the number of open requests.
        """
        with self._lock:
            self._shutdown_signal = signal
            for mailbox in self._mailboxes.values():
                mailbox.put(signal)
            return len(self._mailboxes)

    def change_module(self, change: Callable[[Module, float], Module]) -> None:
        """Replace the module of new requests by what `change` returns for it and the current time, under the lock."""
        with self._lock:
            self._versions.module = change(self._versions.module, time.monotonic() + self.clock_offset)

    def update_engine_list(self, kind: api.EngineListKind, number: int, members: tuple[Member, ...]) -> bool:
        """Pass a watch update to the module that holds the engines; return whether it applied it completely."""
        with self._lock:
            faults = self._list_faults
            event = self._versions.engine_list_event(kind, number, members)
            idle = self._handle(event, (self._versions.version,))
            is_complete = self._list_faults == faults
        for engine in idle:
            self._engines.close_idle(engine)
        return is_complete

    def submit(self, *events: api.Event) -> None:
        """Handle events in order; their actions are in the mailboxes when this returns."""
        idle: list[int] = []
        with self._lock:
            for event in events:
                idle += self._handle(event, self._versions.versions_for(event))
        for engine in idle:
            self._engines.close_idle(engine)

    def _on_timers(self, due: list[tuple[int, int]]) -> None:
        """Pass fired timers to the modules that set them; timers of dropped modules are ignored."""
        idle: list[int] = []
        with self._lock:
            for token, version in due:
                idle += self._handle(api.TimerFired(token), (version,))
        for engine in idle:
            self._engines.close_idle(engine)

    def _handle(self, event: api.Event, versions: tuple[int, ...]) -> list[int]:
        """Pass one event to those modules of the versions that still exist, and their actions to the mailboxes.

        Returns the engines whose idle connections are to be closed.
        """
        idle: list[int] = []
        for version in versions:
            module = self._versions.module_at(version)
            if module is not None:
                idle += self._decide(module, version, event)
        if event.__class__ is api.EngineList:  # costs a quarter of isinstance, and runs on each event
            self._versions.share_slow_start()
        return idle

    def _decide(self, module: Module, version: int, event: api.Event) -> list[int]:
        idle: list[int] = []
        now = time.monotonic()
        try:
            actions = module.handle(now + self.clock_offset, event)
        except Exception:  # an error in the module fails the request, not the gateway
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
                    log.check_invariant(mailbox is not None, "an action belongs to an open request")
                case _:
                    log.check_invariant(False, f"a gateway's decision module never returns {type(action).__name__}")
        return idle
