"""Our own evidence of engines, read from the decision module, and what of it is reported to the members; pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tealwing.gossip.health_estimator import MAX_REPORTERS, MIN_SAMPLES, EngineHealth, EngineKey

MIN_SUCCESS = 0.05  # that failures are measured against
MAX_REPORTED_SLOWNESS, MAX_REPORTED_SAMPLES = 1000.0, 1e6  # the bounds of the wire

Evidence = tuple[dict[EngineKey, EngineHealth], int]  # our own by start of engine, and how many engines are ready


class SlowdownEstimate(Protocol):
    """Decayed counts: answers, and time that queries were in flight, over the best of their class."""

    completed: float
    normalized_time: float


class Engine(Protocol):
    """What is read of one engine."""

    id: int
    started: float
    slowdown: float

    @property
    def slowdown_estimate(self) -> SlowdownEstimate:
        """Its answers."""

    @property
    def success(self) -> float:
        """Its share of successes."""


class Fleet(Protocol):
    """What is read of the decision module; tealwing.policy.Gateway implements it."""

    slowdown: float

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


def observe_engines(fleet: Fleet) -> dict[EngineKey, EngineHealth]:
    """Return our own evidence by start of engine: slowness over the fleet's, and failures beyond the common ones."""
    evidence = {}
    best_success = max((engine.success for engine in fleet.ready), default=1.0)
    for engine in fleet.ready:
        failure_ratio = max(0.0, 1 - engine.success / max(best_success, MIN_SUCCESS))
        slowness = min(engine.slowdown / max(fleet.slowdown, 1.0), MAX_REPORTED_SLOWNESS)
        # as many answers as were due by now of an engine like the others, so that one that hangs counts too
        samples = max(
            engine.slowdown_estimate.completed, engine.slowdown_estimate.normalized_time / max(fleet.slowdown, 1.0)
        )
        health = EngineHealth(
            engine.id,
            round(engine.started * 1e3),
            slowness,
            min(failure_ratio, 1.0),
            min(samples, MAX_REPORTED_SAMPLES),
        )
        evidence[health.key] = health
    return evidence


def select_reportable(
    own: Iterable[EngineHealth], reported_unhealthy: set[EngineKey], sampling_key: float, members: int
) -> list[EngineHealth]:
    """Return what to publish: engines that seem unhealthy, and those that another member reports so.

    Args:
        own: Our own evidence.
        reported_unhealthy: What other members report; all that was seen of these helps the estimate.
        sampling_key: From 0 to 1, drawn once an instance: of many only some report, so that the cost does not grow.
        members: How many are live.
    """
    if sampling_key * members >= MAX_REPORTERS:
        return []
    return [
        engine
        for engine in own
        if engine.samples >= MIN_SAMPLES and (engine.is_reportable or engine.key in reported_unhealthy)
    ]
