"""Replays a recorded trace of signals through the controller; pure.

A point's signals hold until the trace's next point; the controller steps at the plan's interval.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from math import isfinite
from typing import Any

import msgspec

from tealwing.levels import controller
from tealwing.levels.conditions import ConditionError, LevelsError, signal_kind
from tealwing.levels.controller import CHANGE_WINDOW
from tealwing.levels.plan import Plan, snapshots

MAX_EVALUATIONS = 10_000_000  # evaluations of one replay; bounds the run time on a trace with a long gap


class TraceError(LevelsError):
    """Raised for an invalid line of a trace, or a trace too long to replay; the message states the reason."""


class TracePoint(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a trace: a time in seconds and the signals' values from then on."""

    at: float
    signals: dict[str, float]


def read_trace(source: Iterable[bytes]) -> Iterator[TracePoint]:
    """Yield the points of a trace; raise TraceError unless times increase and all signals are known."""
    decoder, last = msgspec.json.Decoder(TracePoint), -float("inf")
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            line = decoder.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise TraceError(
                f'line {number}: {error}; allowed: {{"at": SECONDS, "signals": {{NAME: VALUE}}}}'
            ) from None
        if not isfinite(line.at) or line.at <= last:
            raise TraceError(f"line {number}: at: found {line.at:g}; allowed: a finite time greater than {last:g}")
        for name in line.signals:
            try:
                signal_kind(name)
            except ConditionError as error:
                raise TraceError(f"line {number}: unknown signal {name}; allowed: {error}") from None
        last = line.at
        yield line


def max_changes_in_window(times: Iterable[float], window: float = CHANGE_WINDOW) -> int:
    """Return the largest number of changes in any window of that many seconds."""
    recent: deque[float] = deque()
    maximum = 0
    for at in times:
        recent.append(at)
        while recent[0] <= at - window:
            recent.popleft()
        maximum = max(maximum, len(recent))
    return maximum


def replay(plan: Plan, trace: Iterable[TracePoint]) -> Iterator[dict[str, Any]]:
    """Yield one record for each change of level, then a summary."""
    state, changes = controller.initial_state(plan.timings), list[float]()
    time_in = dict.fromkeys(plan.names, 0.0)
    previous: TracePoint | None = None
    now, evaluations = 0.0, 0

    def evaluate(signals: dict[str, float]) -> Iterator[dict[str, Any]]:
        nonlocal state
        matches = plan.matches(signals)
        state, change = controller.step(plan.timings, state, now, snapshots(matches))
        if change is not None:
            changes.append(change.at)
            yield {"at": change.at, **plan.log_fields(change, matches, signals)}

    for point in trace:
        while previous is not None and now < point.at - 1e-9:
            evaluations += 1
            if evaluations > MAX_EVALUATIONS:
                raise TraceError(
                    f"the trace spans more than {MAX_EVALUATIONS * plan.interval:g} s, the limit of one replay;"
                    " split the trace"
                )
            yield from evaluate(previous.signals)
            until = min(now + plan.interval, point.at)
            time_in[plan.names[state.level]] += until - now
            now = until
        previous, now = point, point.at
    if previous is not None:
        yield from evaluate(previous.signals)
    yield {
        "summary": True,
        "changes": len(changes),
        "changes_per_minute_max": max_changes_in_window(changes),
        "time_in": {name: round(seconds, 6) for name, seconds in time_in.items()},
    }
