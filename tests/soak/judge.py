"""Checks the history of a soak run against the rules that are visible to engines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from math import sqrt

from tealwing.interface import CAPACITY_UTILIZATION
from tests.soak.book import Attempt, Drain, History, Request
from tests.soak.terms import (
    ARRIVAL_RESOLUTION,
    CORES,
    DEPARTURE_GRACE,
    DRAIN_GRACE,
    KEYED_WINDOW,
    MAX_ATTEMPTS,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    PROPAGATION_LIMIT,
    SLOW_START,
    SLOW_START_SHARE,
    SOCKET_ALLOWANCE,
    TIMING_TOLERANCE,
    TTL_TOLERANCE,
    WORK_PER_REQUEST,
)

RECONNECT = 2.0  # s after a watch outage in which a drain may still reach the gateway late
SMALL_BUDGET = 30  # requests; a smaller budget gets a wider tolerance for chance, as in the standing test


def check_history(history: History) -> None:
    """Add a finding for each broken rule."""
    drains = defaultdict(list)
    for drain in history.drains:
        drains[drain.engine].append((drain, announcement_delay(drain, history)))
    history.strict_drains = sum(not late for of_engine in drains.values() for _, late in of_engine)
    for call, attempts in history.attempts.items():
        request = history.requests[call]
        found = [*_check_attempts(request, attempts), *_check_consecutive(request, attempts)]
        for attempt in attempts:
            found += _check_drains(attempt, drains[attempt.engine])
        for text in found:
            history.add_finding(f"{call} ({request.class_name}): {text}")
    for engine, started in history.starts:
        for text in _check_slow_start(engine, started, history):
            history.add_finding(text)


def announcement_delay(drain: Drain, history: History) -> float:
    """Seconds until the gateway must know of a drain: 0 while the watch is connected, else PROPAGATION_LIMIT."""
    is_delayed = any(
        begin < drain.announced_at + DRAIN_GRACE and drain.announced_at < end + RECONNECT
        for begin, end in history.watch_outages
    )
    return PROPAGATION_LIMIT if is_delayed else 0.0


def _check_attempts(request: Request, attempts: list[Attempt]) -> Iterator[str]:
    if len(attempts) > MAX_ATTEMPTS:
        yield f"{len(attempts)} attempts, at most {MAX_ATTEMPTS} are allowed"
    for attempt in attempts:
        remaining = request.sent_at + request.ttl - attempt.arrived_at
        if attempt.ttl > remaining + TTL_TOLERANCE + TIMING_TOLERANCE:
            yield f"an attempt was sent with a ttl of {attempt.ttl:.3f} s, its request had {remaining:.3f} s left"
        if request.left_at is not None and attempt.arrived_at > request.left_at + DEPARTURE_GRACE + TIMING_TOLERANCE:
            yield f"an attempt began {attempt.arrived_at - request.left_at:.3f} s after its client left"


def _check_drains(attempt: Attempt, drains: list[tuple[Drain, float]]) -> Iterator[str]:
    for drain, late in drains:
        limit = drain.announced_at + late + DRAIN_GRACE + SOCKET_ALLOWANCE + TIMING_TOLERANCE
        has_returned = drain.returned_at is not None and attempt.arrived_at >= drain.returned_at - ARRIVAL_RESOLUTION
        if attempt.arrived_at > limit and not has_returned:
            yield f"sent to an engine that was drained {attempt.arrived_at - drain.announced_at:.3f} s before"


def _check_consecutive(request: Request, attempts: list[Attempt]) -> Iterator[str]:
    for one, other in pairwise(attempts):
        if one.ended_at is None or one.ended_at > other.arrived_at + TIMING_TOLERANCE:
            overlap = "no end" if one.ended_at is None else f"{one.ended_at - other.arrived_at:.3f} s of overlap"
            yield f"two attempts in flight at once, the first with {overlap}"
        if request.class_name == "note" and one.may_have_run:
            yield "an unsafe request repeated though it may have run"
        window_end = one.arrived_at + KEYED_WINDOW + TIMING_TOLERANCE
        if request.class_name == "load" and one.may_have_run and other.arrived_at > window_end:
            gap = other.arrived_at - one.arrived_at
            yield f"a keyed request repeated after {gap:.3f} s, outside its window of {KEYED_WINDOW:g} s"


def _check_slow_start(engine: str, started: float, history: History) -> Iterator[str]:
    """Report the first window of a slow start that holds more requests than the settings allow."""
    sent = sorted(
        attempt.arrived_at
        for attempts in history.attempts.values()
        for attempt in attempts
        if attempt.engine == engine and started <= attempt.arrived_at < started + SLOW_START
    )
    for index, end in enumerate(sent):
        held = sum(1 for at in sent[: index + 1] if at > end - OVERLOAD_WINDOW)
        most = upper_bound(budget(max(end - OVERLOAD_WINDOW - started, 0.0)))
        if held > most:
            yield (
                f"{engine}: {held} requests in {OVERLOAD_WINDOW:g} s, {end - started:.3f} s after its start, "
                f"at most {most:.1f} are allowed"
            )
            return


def budget(age: float) -> float:
    """Requests of mean work that an engine may get in a window that begins age seconds after its start."""
    ramp = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * min(age / SLOW_START, 1.0)
    return OVERLOAD_MULTIPLE * CAPACITY_UTILIZATION * CORES * OVERLOAD_WINDOW * ramp / WORK_PER_REQUEST


def upper_bound(allowed: float) -> float:
    """The number of requests that a window may hold, with a tolerance for chance."""
    return allowed + (3 * sqrt(allowed) + 3 if allowed < SMALL_BUDGET else 2 * sqrt(allowed) + 2)
