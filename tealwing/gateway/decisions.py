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


class Module(Protocol):
    """The decision module, or what stands before it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The actions on one event."""


class Decisions:
    """Nothing here waits for a socket while it holds the lock; mailboxes and the timers' heap never block."""

    def __init__(self, settings: api.Settings, seed: int, fleet: Fleet) -> None:
        self._gateway: Module = Gateway(settings, seed)
        self._fleet = fleet
        self._lock = threading.Lock()
        self._grain = max(settings.tick, GRAIN)
        self._offset = time.time() - time.monotonic()  # Unix time that a step of the clock can't turn back
        self._mailboxes: dict[int, Mailbox] = {}
        self._calls: set[bytes] = set()  # the clients' ids of the open requests
        self._ids = itertools.count(1)
        self._timers: list[tuple[float, int]] = []  # due (monotonic) and token
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

    def enter(self, call: bytes, mailbox: Mailbox) -> int:
        """A number for a new request, whose actions go to the mailbox.

        Engines tell requests apart by these ids: a second one of an open id would get the first's rows.
        """
        with self._lock:
            if call in self._calls:
                raise Unusable("call is that of an open request")
            self._calls.add(call)
            number = next(self._ids)
            self._mailboxes[number] = mailbox
            return number

    def leave(self, number: int, call: bytes) -> list[object]:
        """The request has its final answer; what is left in its mailbox."""
        with self._lock:
            self._calls.remove(call)
            mailbox = self._mailboxes.pop(number)
            return [mailbox.get_nowait() for _ in range(mailbox.qsize())]

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

    def _handle(self, event: api.Event) -> list[int]:
        """Hand one event to the module and its actions on; gives the engines whose idle connections close."""
        idle: list[int] = []
        now = time.monotonic()
        try:
            actions = self._gateway.handle(now + self._offset, event)
        except Exception:  # a fault in a decision fails its request, not the gateway
            log.event("decision_failed", of=type(event).__name__, trace=traceback.format_exc(limit=-3))
            actions = [api.Fail(event.id)] if isinstance(event, api.Request | api.Outcome) else []
        for action in actions:
            match action:
                case api.SetTimer(delay, token):
                    self._set(now + delay, token)
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

    def _set(self, due: float, token: int) -> None:
        due = ceil(due / self._grain) * self._grain  # as the simulator's ticks do: one wake serves many
        with self._changed:
            heapq.heappush(self._timers, (due, token))
            if self._timers[0] == (due, token):
                self._changed.notify()

    def _run_timers(self) -> None:
        while True:
            with self._changed:
                while not self._timers or self._timers[0][0] > time.monotonic():
                    self._changed.wait(self._timers[0][0] - time.monotonic() if self._timers else None)
                now, due = time.monotonic(), list[api.Event]()
                while self._timers and self._timers[0][0] <= now and len(due) < MOST_AT_ONCE:
                    due.append(api.TimerFired(heapq.heappop(self._timers)[1]))
            self.submit(*due)
