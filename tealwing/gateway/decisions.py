"""The one lock round the decision module: events go in, its actions go to the mailboxes of the requests."""

from __future__ import annotations

import heapq
import itertools
import threading
import time
import traceback
from collections.abc import Callable
from math import ceil
from queue import SimpleQueue
from typing import Any, Protocol

from tealwing import interface as api
from tealwing import log
from tealwing.exchange import Unusable
from tealwing.policy import Gateway
from tealwing.resp.fleet import Fleet

GRAIN = 0.02  # s: timers fire at its multiples, some together; none is due more exactly
MOST_AT_ONCE = 32  # timers handled before others may have the lock
Mailbox = SimpleQueue[Any]  # of the module's actions and the engines' answers for one request
OWN = (api.Request, api.Outcome, api.StreamStarted, api.Note, api.HungUp)  # events of one request: to its module


class Module(Protocol):
    """The decision module, or what stands before it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The actions on one event."""


class Decisions:
    """Nothing here waits for a socket while it holds the lock; mailboxes and the timers' heap never block."""

    def __init__(self, settings: api.Settings, seed: int, fleet: Fleet) -> None:
        self._gateway: Module = Gateway(settings, seed)
        self._settings, self._seed, self._version = settings, seed, 0  # of the module that takes new requests
        self._older: dict[int, tuple[api.Settings, Module]] = {}  # by version: modules that still hold requests
        self._owners: dict[int, int] = {}  # request id: the version of the module that decides it
        self._held: dict[int, int] = {}  # version: its requests still open
        self._listed: dict[int, api.ListEntry] = {}  # the engine list as the modules know it, for a new one
        self._list_version = 0
        self._fleet = fleet
        self._lock = threading.Lock()
        self._grain = max(settings.tick, GRAIN)
        self._offset = time.time() - time.monotonic()  # Unix time that a step of the clock can't turn back
        self._mailboxes: dict[int, Mailbox] = {}
        self._calls: set[bytes] = set()  # the clients' ids of the open requests
        self._ids = itertools.count(1)
        self._timers: list[tuple[float, int, int]] = []  # due (monotonic), token, version of the module
        self._changed = threading.Condition(threading.Lock())

    def start(self) -> None:
        """Let timers fire from now on."""
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    @property
    def module(self) -> Module:
        """The module as it stands, for figures read without the lock."""
        return self._gateway

    @property
    def open(self) -> int:
        """Requests taken and not yet ended."""
        return len(self._mailboxes)

    @property
    def listed(self) -> tuple[api.ListEntry, ...]:
        """The engine list as it was last heard."""
        with self._lock:
            return tuple(self._listed.values())

    @property
    def settings(self) -> api.Settings:
        """The settings of the module that takes new requests."""
        return self._settings

    def enter(self, call: bytes, mailbox: Mailbox, settings: api.Settings | None = None) -> int:
        """A number for a new request, whose actions go to the mailbox; it was read under those settings.

        Engines tell requests apart by these ids: a second one of an open id would get the first's rows.
        Raises Unusable for an open call, or for settings of which no module is left.
        """
        with self._lock:
            if call in self._calls:
                raise Unusable("call is that of an open request")
            version = self._version_of(settings or self._settings)
            self._calls.add(call)
            number = next(self._ids)
            self._mailboxes[number] = mailbox
            self._owners[number] = version
            self._held[version] = self._held.get(version, 0) + 1
            return number

    def leave(self, number: int, call: bytes) -> list[object]:
        """The request has its final answer; what is left in its mailbox. Its module still hears of it until forget."""
        with self._lock:
            self._calls.remove(call)
            mailbox = self._mailboxes.pop(number)
            return [mailbox.get_nowait() for _ in range(mailbox.qsize())]

    def forget(self, number: int) -> None:
        """Nothing more comes of the request: a module of earlier settings goes with its last."""
        with self._lock:
            version = self._owners.pop(number)
            self._held[version] -= 1
            if not self._held[version]:
                del self._held[version]
                if self._older.pop(version, None) is not None:
                    log.event("settings_retired", version=version)

    def renew(self, settings: api.Settings) -> int:
        """New requests go to a new module of these settings, told the engine list; the old keeps what it holds.

        Gives the new version's number.
        """
        with self._lock:
            if self._held.get(self._version):
                self._older[self._version] = self._settings, self._gateway
            self._version += 1
            self._settings, self._gateway = settings, Gateway(settings, self._seed + self._version)
            listed = api.EngineList(api.ListKind.FULL, self._list_version, tuple(self._listed.values()))
            self._handle(listed, (self._version,))
            return self._version

    def _version_of(self, settings: api.Settings) -> int:
        if settings is self._settings:
            return self._version
        for version, (older, _) in self._older.items():
            if older is settings:
                return version
        raise Unusable("the settings changed while the request was read; send it again")

    def _module(self, version: int) -> Module | None:
        if version == self._version:
            return self._gateway
        older = self._older.get(version)
        return older[1] if older is not None else None

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

    def tell_all(self, word: object) -> int:
        """Put a word into the mailbox of every open request; how many there are."""
        with self._lock:
            for mailbox in self._mailboxes.values():
                mailbox.put(word)
            return len(self._mailboxes)

    def change(self, how: Callable[[Module, float], Module]) -> None:
        """Put something before the module, or take it away; no event comes between."""
        with self._lock:
            self._gateway = how(self._gateway, time.monotonic() + self._offset)

    def submit(self, *events: api.Event) -> None:
        """Some events in turn; their actions are in the mailboxes when this returns."""
        idle: list[int] = []
        with self._lock:
            for event in events:
                idle += self._handle(event)
        for engine in idle:
            self._fleet.close_idle(engine)

    def _fire(self, due: list[tuple[int, int]]) -> None:
        """Timers, each to the module that set it; those of a module let go are dropped."""
        idle: list[int] = []
        with self._lock:
            for token, version in due:
                if self._module(version) is not None:
                    idle += self._handle(api.TimerFired(token), (version,))
        for engine in idle:
            self._fleet.close_idle(engine)

    def _handle(self, event: api.Event, versions: tuple[int, ...] = ()) -> list[int]:
        """Hand one event to its module (a request's own, else all) and its actions on.

        Gives the engines whose idle connections close.
        """
        if not versions:
            if isinstance(event, OWN):
                versions = (self._owners.get(event.id, self._version),)
            else:
                versions = (self._version, *self._older)
                if isinstance(event, api.EngineList):
                    self._note_list(event)
        idle: list[int] = []
        for version in versions:
            module = self._module(version)
            if module is not None:
                idle += self._decide(module, version, event)
        return idle

    def _decide(self, module: Module, version: int, event: api.Event) -> list[int]:
        idle: list[int] = []
        now = time.monotonic()
        try:
            actions = module.handle(now + self._offset, event)
        except Exception:  # a fault in a decision fails its request, not the gateway
            log.event("decision_failed", of=type(event).__name__, trace=traceback.format_exc(limit=-3))
            actions = [api.Fail(event.id)] if isinstance(event, api.Request | api.Outcome) else []
        for action in actions:
            match action:
                case api.SetTimer(delay, token):
                    self._set(now + delay, token, version)
                case api.Log(text):
                    log.event("decision_log", text=text)
                case api.CloseIdle(engine):
                    idle.append(engine)
                case api.Send() | api.Tune() | api.Cancel() | api.Refuse() | api.Fail():
                    mailbox = self._mailboxes.get(action.id)
                    if mailbox is not None:
                        mailbox.put(action)
                    log.must_hold(mailbox is not None, "an action names a request that is open")
                case _:
                    log.must_hold(False, f"{type(action).__name__} is not allowed here")
        return idle

    def _set(self, due: float, token: int, version: int) -> None:
        due = ceil(due / self._grain) * self._grain  # as the simulator's ticks do: one wake serves many
        with self._changed:
            heapq.heappush(self._timers, (due, token, version))
            if self._timers[0] == (due, token, version):
                self._changed.notify()

    def _run_timers(self) -> None:
        while True:
            with self._changed:
                while not self._timers or self._timers[0][0] > time.monotonic():
                    self._changed.wait(self._timers[0][0] - time.monotonic() if self._timers else None)
                now, due = time.monotonic(), list[tuple[int, int]]()
                while self._timers and self._timers[0][0] <= now and len(due) < MOST_AT_ONCE:
                    _, token, version = heapq.heappop(self._timers)
                    due.append((token, version))
            self._fire(due)
