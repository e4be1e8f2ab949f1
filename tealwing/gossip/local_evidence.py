"""What the decision module shows of its engines, as words for the peers and as our own evidence; pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tealwing.gossip.health_estimator import MAX_REPORTERS, MIN_SAMPLES, EngineHealth

Evidence = tuple[dict[tuple[int, int], EngineHealth], int]  # our own by start of engine, and how many engines are ready


class Estimate(Protocol):
    """One class at one engine."""

    success: float


class Pace(Protocol):
    """The last moments, faded: answers, and time that queries were out over the best of their class."""

    done: float
    exposed: float


class Engine(Protocol):
    """What is read of one engine."""

    id: int
    started: float
    slow: float

    @property
    def pace(self) -> Pace:
        """Its answers."""

    @property
    def success(self) -> float:
        """Its share of successes."""


class Fleet(Protocol):
    """What the decision module shows; tealwing.policy.Gateway has all of it."""

    slow: float

    @property
    def ready(self) -> Sequence[Engine]:
        """The engines that are ready."""


def observe_engines(fleet: Fleet) -> dict[tuple[int, int], EngineHealth]:
    """Our own evidence by start of engine: slowness over the fleet's, and failures beyond the common."""
    found = {}
    best = max((engine.success for engine in fleet.ready), default=1.0)
    for engine in fleet.ready:
        failed = max(0.0, 1 - engine.success / max(best, 0.05))
        slow = min(engine.slow / max(fleet.slow, 1.0), 1000.0)
        # what it rests on: as many answers as were due by now of an engine that is like the others
        due = max(engine.pace.done, engine.pace.exposed / max(fleet.slow, 1.0))
        word = EngineHealth(engine.id, round(engine.started * 1e3), slow, min(failed, 1.0), min(due, 1e6))
        found[word.key] = word
    return found


def select_reportable(
    own: Iterable[EngineHealth], accused: set[tuple[int, int]], lot: float, members: int
) -> list[EngineHealth]:
    """Words on engines that seem not well, and on those that another accuses: then all we saw helps to weigh it.

    lot, from 0 to 1, is drawn once a speaker: among many only some speak, so that the cost does not grow with them.
    """
    if lot * members >= MAX_REPORTERS:
        return []
    return [word for word in own if word.samples >= MIN_SAMPLES and (word.is_reportable or word.key in accused)]
