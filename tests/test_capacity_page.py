"""Tests that the capacity page matches the committed runs of the scale tests and that a difference is detected."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.capacity import page, rows


def test_page_tables_match_committed_runs() -> None:
    assert page.differences() == []


def test_page_that_differs_from_runs_is_detected(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    text = page.PAGE.read_text()
    other = tmp_path / "CAPACITY.md"
    other.write_text(text.replace("| learner |", "| a learner |"))
    monkeypatch.setattr(page, "PAGE", other)
    assert "roles" in page.differences()
    page.write()
    assert other.read_text() == text


def test_ranking_lists_refused_needs_first_then_ascending_factor() -> None:
    ranked = rows.ranking(list(page.slopes(page.runs())))
    assert ranked and all(row.factor < 1 and row.answer for row in ranked)
    assert [(not row.is_refused, row.factor) for row in ranked] == sorted(
        (not row.is_refused, row.factor) for row in ranked
    )


def test_every_row_has_a_basis_and_names_an_existing_run() -> None:
    found = page.runs()
    for row in rows.roles(list(page.slopes(found))):
        assert row.basis and row.mechanism
        assert row.run in found if "measured" in row.basis else True
