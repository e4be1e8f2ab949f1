"""The command: runs slopes, prints their fits, and writes all raw points as JSON."""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from benchmarks.capacity.records import CapacityError, Measured, Options, Run, Series
from benchmarks.capacity.reference import reference_us
from benchmarks.capacity.registry import SLOPES, named

ROOT = Path(__file__).parent.parent.parent


def run(names: list[str], options: Options) -> Run:
    """Measure the slopes of these names, or all; CapacityError where one is unknown or can't run."""
    chosen = named(names)
    before = reference_us()
    found = []
    for slope in chosen:
        begun = time.monotonic()
        measured = slope.measure(options)
        print(f"{slope.name}: {time.monotonic() - begun:.1f} s", file=sys.stderr)
        print("\n".join(lines(measured)), flush=True)
        found.append(measured)
    commit, dirty = _commit()
    return Run(commit, dirty, options.seed, options.small, os.cpu_count() or 1, before, reference_us(), tuple(found))


def lines(measured: Measured) -> list[str]:
    """One slope as text."""
    found = [f"{measured.slope} (by {measured.of})"]
    for series in measured.series:
        points = ", ".join(f"{point.size}: {point.value:.4g}" for point in series.points)
        found.append(f"  {series.name}, {series.unit}: {points}")
        found.append(f"    {_fitted(series)}")
    return found + [f"  {note}" for note in measured.notes]


def _fitted(series: Series) -> str:
    fit = series.fit
    if fit is None:
        return "no fit"
    said = (
        f"{fit.term}: {fit.constant:.4g} + {fit.factor:.4g} per unit, residual {fit.residual:.1%};"
        f" at {fit.held_out_size} foretold {fit.held_out_foretold:.4g}, measured {fit.held_out_measured:.4g}"
        f" ({fit.held_out_error:+.1%})"
    )
    return said + (" BENT: not extrapolated" if fit.bent else "")


def _commit() -> tuple[str, bool]:
    """The commit of the tree, and whether it differs from that."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False).stdout.strip()

    return git("rev-parse", "--short", "HEAD"), bool(git("status", "--porcelain", "--", "tealwing", "benchmarks"))


def main() -> int:
    """Run the command; 2 where it can't be done as asked."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="slopes to measure; all without any")
    parser.add_argument("--list", action="store_true", help="name all slopes and measure none")
    parser.add_argument("--small", action="store_true", help="few and small sizes, as CI runs them")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="a file for the run: sizes, raw points, fits")
    told = parser.parse_args()
    if told.list:
        for slope in SLOPES.values():
            print(f"{slope.name:12} {slope.summary}")
        return 0
    try:
        found = run(told.names, Options(told.seed, told.small))
    except CapacityError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    if told.json is not None:
        told.json.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
