"""The section `levels` of the operators' file as records, and the admission limits derived from it; pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from tealwing import interface as api
from tealwing.levels.admission import AdmissionLimits, RecoveryRamp
from tealwing.levels.conditions import Condition, LevelsError, Product, format_values
from tealwing.levels.controller import Change, ConditionSnapshot, LevelTimings

FULL_SERVICE = "full"  # name of level 0
CAUSES = ("enter", "strong", "exit")  # names of a level's conditions, in the order of Matches
Matches = tuple[Product | None, Product | None, Product | None]  # the product of each condition that holds


class PlanError(LevelsError):
    """Raised for a plan that does not fit the settings; the message names what is unknown."""


@dataclass(frozen=True, slots=True)
class Level:
    """One level as configured; classes and accounts by name, retry_after_range in seconds."""

    timings: LevelTimings
    enter: Condition
    exit: Condition
    strong: Condition | None
    admitted_shares: dict[str, tuple[float, float]]
    account_caps: dict[str, float]
    max_attempts: dict[str, int]
    retry_after_range: tuple[float, float]

    def signals(self) -> set[str]:
        """Return the names of all signals that the level's conditions read."""
        names = self.enter.signals() | self.exit.signals()
        return names | self.strong.signals() if self.strong else names


@dataclass(frozen=True, slots=True)
class Plan:
    """All levels, the mildest first, and their common settings; window and interval in seconds."""

    levels: tuple[Level, ...]
    window: float
    interval: float
    ramp: RecoveryRamp

    @property
    def timings(self) -> tuple[LevelTimings, ...]:
        """The levels' timings, for the controller."""
        return tuple(level.timings for level in self.levels)

    @property
    def names(self) -> list[str]:
        """The names of full service and of the levels, indexed by level number."""
        return [FULL_SERVICE, *(level.timings.name for level in self.levels)]

    def matches(self, signals: Mapping[str, float]) -> list[Matches]:
        """Return, for each level, which product of each condition holds."""
        return [
            (
                level.enter.first_match(signals),
                level.strong.first_match(signals) if level.strong else None,
                level.exit.first_match(signals),
            )
            for level in self.levels
        ]

    def log_fields(self, change: Change, matches: Sequence[Matches], signals: Mapping[str, float]) -> dict[str, Any]:
        """Return the log fields of a change: both levels, the condition that caused it, and its signals' values."""
        level, place = self.levels[change.cause_level - 1], CAUSES.index(change.cause)
        condition = (level.enter, level.strong, level.exit)[place]
        return {
            "from": self.names[change.from_level],
            "to": self.names[change.to_level],
            "why": change.cause,
            "level": level.timings.name,
            "condition": condition.text if condition else "",
            "figures": format_values(matches[change.cause_level - 1][place] or (), signals),
        }

    def admission_limits(self, settings: api.Settings) -> tuple[AdmissionLimits, ...]:
        """Return the limits by level, in the settings' order of classes and accounts; raise PlanError."""
        classes = [cls.name for cls in settings.classes]
        for level in self.levels:
            for name in (*level.admitted_shares, *level.max_attempts):
                if name not in classes:
                    raise PlanError(
                        f"level {level.timings.name}: no class {name} in the settings; allowed: {', '.join(classes)}"
                    )
            for name in level.account_caps:
                if name not in settings.tenants:
                    allowed = ", ".join(settings.tenants) or "none"
                    raise PlanError(
                        f"level {level.timings.name}: no account {name} in the settings; allowed: {allowed}"
                    )
            for signal in level.signals():
                head, _, rest = signal.partition(".")
                name = rest.rpartition(".")[0]
                known = (classes, settings.tenants)[head == "account"]
                if head in ("class", "account") and name not in known:
                    raise PlanError(
                        f"level {level.timings.name}: signal {signal}: no {head} {name} in the settings;"
                        f" allowed: {', '.join(known) or 'none'}"
                    )
        all_admitted = (1.0, 1.0)  # floor and ceiling of a class that the level does not name
        return tuple(
            AdmissionLimits(
                tuple(level.admitted_shares.get(name, all_admitted)[0] for name in classes),
                tuple(level.admitted_shares.get(name, all_admitted)[1] for name in classes),
                tuple(level.max_attempts.get(name, 0) for name in classes),
                tuple(level.account_caps.get(name, 1.0) for name in settings.tenants or ("",)),
                level.retry_after_range,
            )
            for level in self.levels
        )


def snapshots(matches: Sequence[Matches]) -> list[ConditionSnapshot]:
    """Return, for each level, which of its conditions hold, in the form that the controller takes."""
    return [ConditionSnapshot(*(product is not None for product in products)) for products in matches]
