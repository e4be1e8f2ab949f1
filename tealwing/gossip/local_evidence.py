"""This instance's own evidence on engines, read from the decision module, and its selection for reports; pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tealwing.gossip.health_estimator import MAX_REPORTERS, MIN_SAMPLES, EngineHealth, EngineKey

MIN_SUCCESS = 0.05  # minimum of the best success rate, to which the other engines are compared
MAX_REPORTED_SLOWNESS, MAX_REPORTED_SAMPLES = 1000.0, 1e6  # bounds of the wire format

Evidence = tuple[dict[EngineKey, EngineHealth], int]  # own evidence by engine start, and the number of ready engines


class SlowdownEstimate(Protocol):
    """Decayed counts: answers, and the queries' time in flight divided by the best time of their class."""

    completed: float
    normalized_time: float


class Engine(Protocol):
    """The fields that are read of one engine."""

    id: int
    started: float
    slowdown: float

    @property
    def slowdown_estimate(self) -> SlowdownEstimate:
        """The decayed counts of its answers."""

    @property
    def success(self) -> float:
        """The share of its attempts that succeed."""


class Fleet(Protocol):
    """The fields that are read of the decision module; tealwing.policy.Gateway implements them."""

    slowdown: float

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


def observe_engines(fleet: Fleet) -> dict[EngineKey, EngineHealth]:
    """Return own evidence by engine start: slowness relative to the fleet, failures relative to the best engine."""
    evidence = {}
    best_success = max((engine.success for engine in fleet.ready), default=1.0)
    for engine in fleet.ready:
        failure_ratio = max(0.0, 1 - engine.success / max(best_success, MIN_SUCCESS))
        slowness = min(engine.slowdown / max(fleet.slowdown, 1.0), MAX_REPORTED_SLOWNESS)
        # at least the answers due by now from an engine of the fleet's speed, so that one that hangs counts too
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
    """Return the evidence to publish: on engines that seem unhealthy, or that another member reports as unhealthy.

    Args:
        own: This instance's own evidence.
        reported_unhealthy: Engine starts that other members report as unhealthy; more evidence on them helps.
        sampling_key: From 0 to 1, drawn once per instance: of many only some report, so that the cost stays bounded.
        members: Number of live members.
    """
    if sampling_key * members >= MAX_REPORTERS:
        return []
    return [
        engine
        for engine in own
        if engine.samples >= MIN_SAMPLES and (engine.is_reportable or engine.key in reported_unhealthy)
    ]
