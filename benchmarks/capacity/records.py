"""What a scale test measures, and how it is written: typed records, encoded as JSON by msgspec."""

from __future__ import annotations

import msgspec

BENT_OVER = 0.15  # relative error at the size left out of the fit, beyond which a slope is not extrapolated


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size."""

    size: int
    value: float


class Fit(msgspec.Struct, frozen=True):
    """Least squares of `constant + factor * term(size)` over all sizes but the last."""

    term: str  # constant, linear, n log n, n squared
    constant: float
    factor: float
    residual: float  # root of the mean squared relative error over the sizes of the fit
    held_out_size: int
    held_out_measured: float
    held_out_foretold: float

    @property
    def held_out_error(self) -> float:
        """Relative error of what the fit foretells at the size that was left out; absolute where that measured 0."""
        if not self.held_out_measured:
            return self.held_out_foretold
        return (self.held_out_foretold - self.held_out_measured) / self.held_out_measured

    @property
    def bent(self) -> bool:
        """Whether the slope misses the size left out by more than it may: it is not extrapolated."""
        return abs(self.held_out_error) > BENT_OVER


class Series(msgspec.Struct, frozen=True):
    """One quantity over the sizes of a slope."""

    name: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit | None  # None where there are too few sizes for one


class Measured(msgspec.Struct, frozen=True):
    """One slope as it was measured by one run."""

    slope: str
    of: str  # what the sizes count: engines, members, connections
    sizes: tuple[int, ...]
    series: tuple[Series, ...]
    notes: tuple[str, ...] = ()


class Run(msgspec.Struct, frozen=True):
    """One run of the command."""

    commit: str
    dirty: bool
    seed: int
    small: bool
    processors: int
    reference_us: float  # processor time of the reference loop on this machine, at the start
    reference_us_after: float  # the same at the end: how far the machine's speed moved meanwhile
    slopes: tuple[Measured, ...]


class Options(msgspec.Struct, frozen=True):
    """What a slope is told by the command."""

    seed: int = 1
    small: bool = False


class CapacityError(Exception):
    """A scale test can't run as it was asked to; the text says what to do."""
