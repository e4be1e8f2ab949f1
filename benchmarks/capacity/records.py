"""Records of the scale tests' measurements, encoded as JSON by msgspec."""

from __future__ import annotations

import msgspec

BENT_OVER = 0.15  # relative error at the held-out size beyond which a slope is not extrapolated


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size."""

    size: int
    value: float


class Fit(msgspec.Struct, frozen=True):
    """A least-squares fit of `constant + factor * term(size)` over all sizes except the largest."""

    term: str  # constant, linear, n log n, n squared
    constant: float
    factor: float
    residual: float  # root mean square of the relative errors over the fitted sizes
    held_out_size: int
    held_out_measured: float
    held_out_foretold: float

    @property
    def held_out_error(self) -> float:
        """Relative error of the prediction at the held-out size; the absolute error if the measured value is 0."""
        if not self.held_out_measured:
            return self.held_out_foretold
        return (self.held_out_foretold - self.held_out_measured) / self.held_out_measured

    @property
    def bent(self) -> bool:
        """Whether the error at the held-out size exceeds BENT_OVER, so that the slope must not be extrapolated."""
        return abs(self.held_out_error) > BENT_OVER


class Series(msgspec.Struct, frozen=True):
    """One measured quantity over the sizes of a slope."""

    name: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit | None  # None if the points are not fitted, for example because they are too few


class Measured(msgspec.Struct, frozen=True):
    """One slope as measured by one run."""

    slope: str
    of: str  # unit of the sizes: engines, members, connections
    sizes: tuple[int, ...]
    series: tuple[Series, ...]
    notes: tuple[str, ...] = ()


class Run(msgspec.Struct, frozen=True):
    """One run of `python -m benchmarks.capacity`."""

    commit: str
    dirty: bool
    seed: int
    small: bool
    processors: int
    reference_us: float  # processor time of the reference loop on this machine, at the start
    reference_us_after: float  # the same at the end, to show a change of the machine's speed during the run
    slopes: tuple[Measured, ...]


class Options(msgspec.Struct, frozen=True):
    """Command-line options that a slope's measurement takes."""

    seed: int = 1
    small: bool = False


class CapacityError(Exception):
    """A scale test can't run as requested; the text names the cause."""
