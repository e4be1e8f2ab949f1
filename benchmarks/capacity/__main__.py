"""Runs the scale tests (slopes), prints their fits and writes all raw points as JSON."""

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
    """Measure the named slopes, or all if `names` is empty; raises CapacityError if one is unknown or can't run."""
    chosen = named(names)
    before = reference_us()
    found = []
    for slope in chosen:
        started_at = time.monotonic()
        measured = slope.measure(options)
        print(f"{slope.name}: {time.monotonic() - started_at:.1f} s", file=sys.stderr)
        print("\n".join(lines(measured)), flush=True)
        found.append(measured)
    commit, dirty = _commit()
    return Run(commit, dirty, options.seed, options.small, os.cpu_count() or 1, before, reference_us(), tuple(found))


def lines(measured: Measured) -> list[str]:
    """Format one measured slope as text lines."""
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
    text = (
        f"{fit.term}: {fit.constant:.4g} + {fit.factor:.4g} per unit, residual {fit.residual:.1%};"
        f" at {fit.held_out_size} predicted {fit.held_out_foretold:.4g}, measured {fit.held_out_measured:.4g}"
        f" ({fit.held_out_error:+.1%})"
    )
    return text + (" BENT: not extrapolated" if fit.bent else "")


def _commit() -> tuple[str, bool]:
    """The commit of the work tree, and whether program or benchmarks have uncommitted changes."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False).stdout.strip()

    return git("rev-parse", "--short", "HEAD"), bool(git("status", "--porcelain", "--", "tealwing", "benchmarks"))


def main() -> int:
    """Run the command; exit status 2 if a slope is unknown or can't run."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="slopes to measure; all if none is named")
    parser.add_argument("--list", action="store_true", help="list all slopes without measuring")
    parser.add_argument("--small", action="store_true", help="use few and small sizes, as CI does")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="write sizes, raw points and fits to this file")
    arguments = parser.parse_args()
    if arguments.list:
        for slope in SLOPES.values():
            print(f"{slope.name:12} {slope.summary}")
        return 0
    try:
        found = run(arguments.names, Options(arguments.seed, arguments.small))
    except CapacityError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    if arguments.json is not None:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
