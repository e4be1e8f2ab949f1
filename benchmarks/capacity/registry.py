"""All scale tests (slopes) by name, in the order in which they run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity import calibration, change, clients, control, day, decision, statement
from benchmarks.capacity.records import CapacityError, Measured, Options


@dataclass(frozen=True, slots=True)
class Slope:
    """One scale test: its name, its summary for `--list` and its measurement."""

    name: str
    summary: str
    measure: Callable[[Options], Measured]


_ALL = (
    Slope(decision.NAME, decision.SUMMARY, decision.measure),
    Slope(statement.NAME, statement.SUMMARY, statement.measure),
    Slope(clients.NAME, clients.SUMMARY, clients.measure),
    Slope(calibration.NAME, calibration.SUMMARY, calibration.measure),
    Slope(control.NAME, control.SUMMARY, control.measure),
    Slope(change.NAME, change.SUMMARY, change.measure),
    Slope(day.NAMES["serve"], day.SUMMARY.format("serve"), day.measure_serve),
    Slope(day.NAMES["hold"], day.SUMMARY.format("hold"), day.measure_hold),
    Slope(change.VIRTUAL_NAMES["serve"], change.VIRTUAL_SUMMARY.format("serve"), change.measure_serve),
    Slope(change.VIRTUAL_NAMES["hold"], change.VIRTUAL_SUMMARY.format("hold"), change.measure_hold),
)
SLOPES = {slope.name: slope for slope in _ALL}


def named(names: list[str]) -> list[Slope]:
    """The slopes of these names, or all if `names` is empty; raises CapacityError if one is unknown."""
    unknown = [name for name in names if name not in SLOPES]
    if unknown:
        raise CapacityError(f"no slope {', '.join(unknown)}; there are: {', '.join(SLOPES)}")
    return [SLOPES[name] for name in names] if names else list(SLOPES.values())
