"""Admission gate in front of the decision module: open, closed for the requests that a change affects, or shut.

The gate has no thread. Admission through the open gate takes no lock: it reads each attribute once, and a request that
it admits just before a change counts as begun before that change. Denial reasons also name a metric of readiness: keep
their wording.
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
JITTER = (0.5, 1.0)  # random factor of Retry-After, so that rejected requests do not return together


class RequestFilter(Protocol):
    """Selects the requests that a change affects."""

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        """Return whether the change may affect requests of that class, tenant and table group."""


@dataclass(frozen=True, slots=True)
class GateMetrics:
    """Counts of requests held and rejected so far, and waiting now; the longest wait in s."""

    held: int
    rejected: int
    waiting: int
    max_wait: float


@dataclass(frozen=True, slots=True)
class _Open:
    """All requests pass."""


@dataclass(frozen=True, slots=True)
class _Closed:
    """Affected requests wait."""

    affected: RequestFilter


@dataclass(frozen=True, slots=True)
class _Shut:
    """All requests are rejected at once."""

    reason: str
    pushback: float


class Gate:
    """The gate of one gateway, initially shut. Thread-safe; only `admit` blocks."""

    def __init__(self, queue: int, pushback: float, clock: Callable[[], float] = time.monotonic, seed: int = 0) -> None:
        """Limit the waiting requests to `queue`; others are rejected with a Retry-After of about `pushback` s.

        `clock` measures only the permit; waits use time.monotonic.
        """
        self._queue, self._pushback, self._clock, self._random = queue, pushback, clock, Random(seed)
        self._changed = threading.Condition(threading.Lock())
        self._state: _Open | _Closed | _Shut = _Shut("the rules are not known here yet", pushback)
        self._is_open = False  # whether _state is _Open, read without the lock
        self._valid_until = inf
        self._held = self._rejected = self._waiting = 0
        self._max_wait = 0.0

    def open(self) -> None:
        """Admit all requests while the permit is valid, including those that wait."""
        self._set(_Open())

    def close(self, affected: RequestFilter) -> None:
        """Hold affected requests from now on, and admit others. Does not block."""
        self._set(_Closed(affected))

    def shut(self, reason: str, pushback: float | None = None) -> None:
        """Reject all requests, including those that wait; pushback in s, None: the default."""
        self._set(_Shut(reason, self._pushback if pushback is None else pushback))

    def permit(self, until: float) -> None:
        """Set the time by the gate's clock from which nothing is admitted; inf: no permit is needed."""
        self._valid_until = until

    @property
    def valid_until(self) -> float:
        """End of the permit by the gate's clock."""
        return self._valid_until

    @property
    def denial_reason(self) -> str:
        """Why no request is admitted; empty if some are."""
        state = self._state
        if isinstance(state, _Shut):
            return state.reason
        return "" if self._clock() < self._valid_until else "the permit to decide is over"

    def metrics(self) -> GateMetrics:
        """Return the counters."""
        with self._changed:
            return GateMetrics(self._held, self._rejected, self._waiting, self._max_wait)

    def admit(self, cls: str | None, tenant: str, group: int, until: float) -> Admitted | Deferred:
        """Admit a request, waiting until the monotonic time `until` at most; else reject it.

        cls is the name of its class, group its table group. A request that can't be parsed has no class (None): any
        change may make it parseable, so every change affects it.
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
            self._is_open = False  # no admission between the two assignments
            self._state = state
            self._is_open = isinstance(state, _Open)
            self._changed.notify_all()

    def _decide(self, cls: str | None, tenant: str, group: int, passed: Admitted) -> Admitted | Deferred | None:
        """Return the answer to a request in the present state; None: it waits."""
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
                return self._reject(self._pushback, "too many requests are waiting for the change")
            self._waiting, self._held = self._waiting + 1, self._held + 1
            try:
                while (found := self._decide(cls, tenant, group, ADMITTED_AFTER_WAIT)) is None:
                    left = until - time.monotonic()
                    if left <= 0:
                        found = self._reject(self._pushback, "the change took longer than the request could wait")
                        break
                    self._changed.wait(left)
            finally:
                self._waiting -= 1
                self._max_wait = max(self._max_wait, time.monotonic() - begun)
            self._rejected += isinstance(found, Deferred)
            return found

    def _reject(self, pushback: float, reason: str) -> Deferred:
        return Deferred(pushback * self._random.uniform(*JITTER), reason)
