"""Tests the table of the terms audit: its counts match its rows, and each result names a run or a test."""

from __future__ import annotations

import re
from pathlib import Path

from benchmarks import terms_audit

TEXT = terms_audit.PAGE.read_text()
RUNS = ("::", "soak", "full", "brink", "quick", "python -m")  # a test, or a command whose run the page describes


def test_counts_in_table_head_match_rows() -> None:
    assert terms_audit.head(TEXT) in TEXT.splitlines()
    numbers = [int(cells[0]) for cells in terms_audit.rows(TEXT)]
    assert numbers == list(range(1, len(numbers) + 1))


def test_row_that_holds_or_was_fixed_names_its_run() -> None:
    for number, _, _, _, _, played, result in terms_audit.rows(TEXT):
        if result in ("holds", "fixed"):
            assert any(run in played for run in RUNS), f"row {number} names no run"
        if result == "fixed":
            assert re.search(r"\b[0-9a-f]{7}\b", played), f"row {number} does not name the commit of its fix"


def test_each_test_named_in_audit_table_exists() -> None:
    tests = Path(__file__).parent
    named = re.findall(r"`(test_\w+\.py)::(test_\w+)", TEXT)
    assert len(named) > 40
    for file, test in named:
        assert f"def {test}(" in (tests / file).read_text(), f"{file}::{test} does not exist"
