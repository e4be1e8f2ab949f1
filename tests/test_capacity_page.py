"""The page on capacity says what the committed runs of the scale tests give, and a changed run is noticed."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.capacity import page, rows


def test_the_page_has_the_tables_that_the_committed_runs_give() -> None:
    assert page.differences() == []


def test_a_page_that_says_something_else_is_noticed(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    text = page.PAGE.read_text()
    other = tmp_path / "CAPACITY.md"
    other.write_text(text.replace("| learner |", "| a learner |"))
    monkeypatch.setattr(page, "PAGE", other)
    assert "roles" in page.differences()
    page.write()
    assert other.read_text() == text


def test_rows_are_ranked_by_what_is_refused_and_then_by_how_far_they_are_over() -> None:
    ranked = rows.ranking(list(page.slopes(page.runs())))
    assert ranked and all(row.factor < 1 and row.answer for row in ranked)
    assert [(not row.is_refused, row.factor) for row in ranked] == sorted(
        (not row.is_refused, row.factor) for row in ranked
    )


def test_every_row_says_on_what_it_rests_and_points_at_a_run_that_is_there() -> None:
    found = page.runs()
    for row in rows.roles(list(page.slopes(found))):
        assert row.basis and row.mechanism
        assert row.run in found if "measured" in row.basis else True
