"""The gate that requests pass before they are decided: open, closed for what a change touches, or shut.

It has no thread of its own. Who passes while it is open takes no lock: what says so is read as single attributes, and
a request that has read them began before whatever changes them next.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Protocol

from tealwing.exchange import Admitted, Deferred

ADMITTED, ADMITTED_AFTER_WAIT = Admitted(False), Admitted(True)
JITTER = (0.5, 1.0)  # of the pushback, at random: those turned away together must not return together


class RequestFilter(Protocol):
    """What a change touches."""

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        """Whether requests of that class, account and group of tables may be decided otherwise after it."""


@dataclass(frozen=True, slots=True)
class GateMetrics:
    """What the gate has done: requests held so far, turned away, waiting now; s of the longest wait."""

    held: int
    rejected: int
    waiting: int
    max_wait: float


@dataclass(frozen=True, slots=True)
class _Open:
    """Anybody may pass."""


@dataclass(frozen=True, slots=True)
class _Closed:
    """Who the change touches waits."""

    affected: RequestFilter


@dataclass(frozen=True, slots=True)
class _Shut:
    """Nobody passes, and nobody waits."""

    reason: str
    pushback: float


class Gate:
    """One gateway's gate; it is made shut. All its calls may come from any thread, and only `enter` waits."""

    def __init__(self, queue: int, pushback: float, clock: Callable[[], float] = time.monotonic, seed: int = 0) -> None:
        """At most queue requests wait at once; others, and who waits too long, hear of pushback seconds.

        clock measures the permit alone: waits are measured by the system's own.
        """
        self._queue, self._pushback, self._clock, self._random = queue, pushback, clock, Random(seed)
        self._changed = threading.Condition(threading.Lock())
        self._state: _Open | _Closed | _Shut = _Shut("the rules are not known here yet", pushback)
        self._is_open = False  # whether _state is _Open, for who passes
        self._valid_until = inf
        self._held = self._rejected = self._waiting = 0
        self._max_wait = 0.0

    def open(self) -> None:
        """Let everybody pass, as far as the permit goes; who waits is let in."""
        self._set(_Open())

    def close(self, affected: RequestFilter) -> None:
        """Have who the change touches wait, from now on; others pass. It waits for nobody."""
        self._set(_Closed(affected))

    def shut(self, reason: str, pushback: float | None = None) -> None:
        """Turn everybody away, who waits too; pushback in seconds, the usual one where it is None."""
        self._set(_Shut(reason, self._pushback if pushback is None else pushback))

    def permit(self, until: float) -> None:
        """By the gate's clock, nobody passes from then on, whatever else holds; inf where no permit is needed."""
        self._valid_until = until

    @property
    def valid_until(self) -> float:
        """Until when it may be open, by its clock."""
        return self._valid_until

    @property
    def denial_reason(self) -> str:
        """Why nobody passes; nothing where somebody may."""
        state = self._state
        if isinstance(state, _Shut):
            return state.reason
        return "" if self._clock() < self._valid_until else "the permit to decide is over"

    def metrics(self) -> GateMetrics:
        """What it has done so far."""
        with self._changed:
            return GateMetrics(self._held, self._rejected, self._waiting, self._max_wait)

    def admit(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        """Let a request pass, now or when it may, by the monotonic time `until` at the latest; else turn it away.

        cls is the name of its class, tenant of its account, group its group of tables. A request that can't be read
        has no class (None): every change may be the one that makes it readable.
        """
        if self._is_open and self._clock() < self._valid_until:
            return ADMITTED
        found = self._decide(cls, tenant, group, ADMITTED)
        if found is None:
            return self._wait(cls, tenant, group, until)
        if isinstance(found, Deferred):
            with self._changed:
                self._rejected += 1
        return found

    def _set(self, state: _Open | _Closed | _Shut) -> None:
        with self._changed:
            self._is_open = False  # nobody passes between the two that belong together
            self._state = state
            self._is_open = isinstance(state, _Open)
            self._changed.notify_all()

    def _decide(self, cls: str | None, tenant: str, group: int, passed: Admitted) -> Admitted | Deferred | None:
        """What becomes of a request as things stand; None: it waits."""
        state = self._state
        if isinstance(state, _Shut):
            return self._reject(state.pushback, state.reason)
        if isinstance(state, _Closed) and (cls is None or state.affected.includes(cls, tenant, group)):
            return None
        if self._clock() >= self._valid_until:
            return self._reject(self._pushback, "the permit to decide is over")
        return passed

    def _wait(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        begun = time.monotonic()
        with self._changed:
            if self._waiting >= self._queue:
                self._rejected += 1
                return self._reject(self._pushback, "too many requests wait for the change")
            self._waiting, self._held = self._waiting + 1, self._held + 1
            try:
                while (found := self._decide(cls, tenant, group, ADMITTED_AFTER_WAIT)) is None:
                    left = until - time.monotonic()
                    if left <= 0:
                        found = self._reject(self._pushback, "the change took longer than the request had time")
                        break
                    self._changed.wait(left)
            finally:
                self._waiting -= 1
                self._max_wait = max(self._max_wait, time.monotonic() - begun)
            self._rejected += isinstance(found, Deferred)
            return found

    def _reject(self, pushback: float, reason: str) -> Deferred:
        return Deferred(pushback * self._random.uniform(*JITTER), reason)
