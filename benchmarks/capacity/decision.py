"""Processor time of the decision module alone for a request, a list change and a rebuild, by number of engines."""

from __future__ import annotations

from benchmarks import engines
from benchmarks.capacity.fitting import fit
from benchmarks.capacity.records import Measured, Options, Point, Series

NAME = "decision"
SUMMARY = "processor time of the decision module for a request, a list change and a rebuild, by engines"
SIZES = (8, 32, 128, 512, 1024, 2100, 4096)
SMALL = (8, 16, 32, 64, 128)
QUANTITIES = ("request", "list change", "rebuild")


def measure(options: Options) -> Measured:
    """Measure the decision module at each number of engines."""
    sizes = SMALL if options.small else SIZES
    found = [engines.measure(size, options.small) for size in sizes]
    series = []
    for column, name in enumerate(QUANTITIES):
        points = tuple(Point(size, row[column]) for size, row in zip(sizes, found, strict=True))
        series.append(Series(name, "us", points, fit(points)))
    return Measured(NAME, "engines", sizes, tuple(series))
