"""What the operators' section `levels` says, as one record; pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from tealwing import interface as api
from tealwing.levels.conditions import Condition, Product, figures
from tealwing.levels.controller import Change, Seen, Terms
from tealwing.levels.measures import Measure, Pace

FULL = "full"  # the name of full service
WHYS = ("enter", "strong", "exit")  # a level's conditions, in the order of Fired
Fired = tuple[Product | None, Product | None, Product | None]  # what held of each


class PlanError(ValueError):
    """A plan that does not fit the settings; the text names what is unknown."""


@dataclass(frozen=True, slots=True)
class Level:
    """One level as the file has it; classes and accounts by name."""

    terms: Terms
    enter: Condition
    exit: Condition
    strong: Condition | None
    admit: dict[str, tuple[float, float]]
    accounts: dict[str, float]
    attempts: dict[str, int]
    pushback: tuple[float, float]

    def signals(self) -> set[str]:
        """All signals that its conditions read."""
        found = self.enter.signals() | self.exit.signals()
        return found | self.strong.signals() if self.strong else found


@dataclass(frozen=True, slots=True)
class Plan:
    """All levels, from the mildest on, and what they share; times in seconds."""

    levels: tuple[Level, ...]
    window: float
    every: float
    pace: Pace

    @property
    def terms(self) -> tuple[Terms, ...]:
        """What the controller needs of the levels."""
        return tuple(level.terms for level in self.levels)

    @property
    def names(self) -> list[str]:
        """Full service, and the levels."""
        return [FULL, *(level.terms.name for level in self.levels)]

    def fired(self, signals: Mapping[str, float]) -> list[Fired]:
        """Which products of each level's conditions hold."""
        return [
            (
                level.enter.fired(signals),
                level.strong.fired(signals) if level.strong else None,
                level.exit.fired(signals),
            )
            for level in self.levels
        ]

    def told(self, change: Change, fired: Sequence[Fired], signals: Mapping[str, float]) -> dict[str, Any]:
        """A change as operators see it: from, to, and the condition that made it with its figures."""
        level, place = self.levels[change.of - 1], WHYS.index(change.why)
        condition = (level.enter, level.strong, level.exit)[place]
        return {
            "from": self.names[change.from_level],
            "to": self.names[change.to_level],
            "why": change.why,
            "level": level.terms.name,
            "condition": condition.text if condition else "",
            "figures": figures(fired[change.of - 1][place] or (), signals),
        }

    def measures(self, settings: api.Settings) -> tuple[Measure, ...]:
        """The measures by level, in the places of the settings. PlanError names what the settings have not."""
        classes = [cls.name for cls in settings.classes]
        for level in self.levels:
            for name in (*level.admit, *level.attempts):
                if name not in classes:
                    raise PlanError(f"level {level.terms.name}: no class {name}, but {', '.join(classes)}")
            for name in level.accounts:
                if name not in settings.tenants:
                    raise PlanError(f"level {level.terms.name}: no account {name}, but {settings.tenants}")
            for signal in level.signals():
                head, _, rest = signal.partition(".")
                name = rest.rpartition(".")[0]
                if head in ("class", "account") and name not in (classes, settings.tenants)[head == "account"]:
                    raise PlanError(f"level {level.terms.name}: {signal} names no {head} of the settings")
        whole = (1.0, 1.0)  # of a class that a level does not name
        return tuple(
            Measure(
                tuple(level.admit.get(name, whole)[0] for name in classes),
                tuple(level.admit.get(name, whole)[1] for name in classes),
                tuple(level.attempts.get(name, 0) for name in classes),
                tuple(level.accounts.get(name, 1.0) for name in settings.tenants or ("",)),
                level.pushback,
            )
            for level in self.levels
        )


def seen(fired: Sequence[Fired]) -> list[Seen]:
    """The same as the controller takes it."""
    return [Seen(*(product is not None for product in products)) for products in fired]
