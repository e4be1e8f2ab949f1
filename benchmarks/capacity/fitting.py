"""Fits measured costs to common growth terms by least squares and selects the best fit; no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import numpy as np

from benchmarks.capacity.records import Fit, Point

LEAST_SIZES = 4  # of points for a fit, the held-out one included
NEAR_BEST = 1.1  # the slowest growth within this factor of the least residual is taken

TERMS: dict[str, Callable[[float], float]] = {  # from the slowest to the fastest growth
    "constant": lambda size: 0.0,
    "linear": lambda size: size,
    "n log n": lambda size: size * math.log2(max(size, 2.0)),
    "n squared": lambda size: size * size,
}


def fit(points: Sequence[Point]) -> Fit | None:
    """The best fit of all points except that of the largest size, which is held out to check the fit.

    Minimizes relative errors, as values span orders of magnitude. None for fewer than LEAST_SIZES points.
    """
    if len(points) < LEAST_SIZES:
        return None
    ordered = sorted(points, key=lambda point: point.size)
    inside, last = ordered[:-1], ordered[-1]
    found = [_fit_term(term, inside, last) for term in TERMS]
    least = min(one.residual for one in found)
    return next(one for one in found if one.residual <= NEAR_BEST * least + 1e-12)


def predict(found: Fit, size: float) -> float:
    """The value that a fit predicts at a size."""
    return found.constant + found.factor * TERMS[found.term](size)


def _fit_term(term: str, points: Sequence[Point], last: Point) -> Fit:
    values = np.array([point.value for point in points])
    weights = 1.0 / np.maximum(np.abs(values), 1e-12)
    columns = [np.ones(len(points))]
    if term != "constant":
        columns.append(np.array([TERMS[term](point.size) for point in points]))
    matrix = np.column_stack(columns)
    solution, *_ = np.linalg.lstsq(matrix * weights[:, None], values * weights, rcond=None)
    constant, factor = float(solution[0]), float(solution[1]) if term != "constant" else 0.0
    errors = (matrix @ solution - values) * weights
    residual = float(np.sqrt(np.mean(errors**2)))
    predicted = constant + factor * TERMS[term](last.size)
    return Fit(term, constant, factor, residual, last.size, last.value, predicted)
