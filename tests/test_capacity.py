"""Tests of the scale tests: fits, command line and a small run of every slope."""

from __future__ import annotations

import math
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.capacity import fitting
from benchmarks.capacity.records import CapacityError, Point, Run
from benchmarks.capacity.registry import SLOPES, named

ROOT = Path(__file__).parent.parent
SIZES = (8, 32, 128, 512, 2100, 4096)


@pytest.mark.parametrize("term", fitting.TERMS)
def test_fit_identifies_growth_term_and_predicts_held_out_size(term: str) -> None:
    points = [Point(size, 100.0 + 3.0 * fitting.TERMS[term](size)) for size in SIZES]
    found = fitting.fit(points)
    assert found is not None and found.term == term
    assert found.held_out_size == 4096 and abs(found.held_out_error) < 1e-6 and not found.bent
    assert fitting.predict(found, 1000) == pytest.approx(100.0 + 3.0 * fitting.TERMS[term](1000))


def test_slope_that_bends_at_largest_size_is_marked_bent() -> None:
    points = [Point(size, 10.0 + size) for size in SIZES[:-1]] + [Point(4096, 8000.0)]
    found = fitting.fit(points)
    assert found is not None and found.term == "linear" and found.bent
    assert found.held_out_error == pytest.approx((10.0 + 4096 - 8000) / 8000, rel=1e-3)


def test_quantity_of_zero_at_every_size_fits_a_constant_without_error() -> None:
    found = fitting.fit([Point(size, 0.0) for size in SIZES])
    assert found is not None and found.term == "constant" and found.held_out_error == 0 and not found.bent


def test_fit_of_too_few_sizes_is_none() -> None:
    assert fitting.fit([Point(size, 1.0) for size in (1, 2, 3)]) is None


@given(st.lists(st.floats(0.1, 1e6), min_size=4, max_size=8))
@settings(derandomize=True, deadline=None)
def test_any_measured_values_have_a_finite_fit(values: list[float]) -> None:
    found = fitting.fit([Point(2**place, value) for place, value in enumerate(values)])
    assert found is not None and math.isfinite(found.held_out_foretold) and found.residual >= 0


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", *words], cwd=ROOT, capture_output=True, text=True, timeout=300
    )


def test_list_names_all_slopes_and_unknown_slope_is_rejected() -> None:
    completed = command("--list")
    assert completed.returncode == 0 and [line.split()[0] for line in completed.stdout.splitlines()] == list(SLOPES)
    wrong = command("decision", "nonsense")
    assert wrong.returncode == 2 and "no slope nonsense" in wrong.stderr and "decision" in wrong.stderr
    with pytest.raises(CapacityError):
        named(["nonsense"])


@pytest.mark.trial
def test_small_run_writes_raw_points_of_all_slopes(tmp_path: Path) -> None:
    completed = command("--small", "--seed", "7", "--json", str(tmp_path / "run.json"))
    assert completed.returncode == 0, completed.stderr
    run = msgspec.json.decode((tmp_path / "run.json").read_bytes(), type=Run)
    assert run.seed == 7 and run.small and run.reference_us > 0
    assert [slope.slope for slope in run.slopes] == list(SLOPES)
    for slope in run.slopes:
        for series in slope.series:
            assert {point.size for point in series.points} <= set(slope.sizes)
    clients = next(slope for slope in run.slopes if slope.slope == "clients")
    held = next(series for series in clients.series if series.name == "descriptors")
    assert [point.value for point in held.points] == [float(size) for size in clients.sizes]
