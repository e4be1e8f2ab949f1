"""A short soak in CI; the long one is `python -m benchmarks.soak`. Its judge finds what is planted in a book."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.soak import Soak
from tests.soak.book import Asked, Attempt, Book, Drain
from tests.soak.judge import bound, budget, judge
from tests.soak.terms import DRAIN, FALL, SLACK, SOCKET, TOLD_BY, WINDOW

SECONDS = 10.0
SEEDS = range(1, 7)  # with their starts and ends about a minute and a half
CALL = "00000000000000a1"


@pytest.mark.parametrize("seed", SEEDS)
def test_all_rules_hold_in_a_short_soak(seed: int, tmp_path: Path) -> None:
    book = Soak(seed, tmp_path).run(SECONDS)
    assert not book.findings
    assert book.ends["served"] > 10


def book_of(lane: str, *begun: float, engine: str = "s-0", ended: float = 0.01) -> Book:
    """One request written at 100 with 3 s, and its attempts."""
    book = Book()
    book.asked[CALL] = Asked(lane, 3.0, 100.0)
    sock = socket.socket()
    sock.close()
    book.attempts[CALL] = [Attempt(engine, at, 103.0 - at, sock, at + ended) for at in begun]
    return book


def findings(book: Book) -> list[str]:
    judge(book)
    return book.findings


def test_a_whole_book_has_no_findings() -> None:
    assert findings(book_of("lookup", 100.1, 100.3, 100.5)) == []
    assert findings(book_of("load", 100.1, 100.1 + WINDOW)) == []
    assert findings(book_of("note", 100.1)) == []


@pytest.mark.parametrize(
    ("book", "what"),
    [
        (book_of("lookup", 100.1, 100.2, 100.3, 100.4), "4 attempts"),
        (book_of("lookup", 100.1, 100.2, ended=1.0), "two attempts out at once"),
        (book_of("note", 100.1, 100.3), "an unsafe request repeated"),
        (book_of("load", 100.1, 100.1 + WINDOW + 2 * SLACK), "outside of its window"),
    ],
)
def test_a_broken_rule_of_attempts_is_found(book: Book, what: str) -> None:
    assert any(what in text for text in findings(book))


def test_what_an_engine_is_told_and_who_has_left_are_judged() -> None:
    book = book_of("lookup", 101.0)
    book.attempts[CALL][0].told = 2.5
    book.asked[CALL].left = 100.5
    told, left = findings(book)
    assert "told 2.500 s of 2.000" in told and "0.500 s after its client left" in left


@pytest.mark.parametrize("back", [None, 200.0])
def test_a_send_to_an_engine_that_drained_is_found_though_it_came_back_later(back: float | None) -> None:
    # the book forgot a drain as its engine came back, and so no send of that time was judged
    late = DRAIN + SOCKET + SLACK
    book = book_of("lookup", 100.0 + late + 0.01)
    book.drains.append(Drain("s-0", 100.0, back))
    assert any("drained" in text for text in findings(book))
    book = book_of("lookup", 100.0 + late - 0.01)
    book.drains.append(Drain("s-0", 100.0, back))
    assert findings(book) == []


def test_a_cut_of_the_watch_excuses_a_drain_until_it_counts_as_told() -> None:
    for end, found in ((99.0, []), (90.0, ["drained"])):
        book = book_of("lookup", 101.0)
        book.drains.append(Drain("s-0", 100.0))
        book.cuts.append((end - 1.0, end))
        assert [word for word in found if any(word in text for text in findings(book))] == found
        assert bool(book.findings) is bool(found) and book.strict_drains == len(found)
    book = book_of("lookup", 100.0 + TOLD_BY + 1.0)
    book.drains.append(Drain("s-0", 100.0))
    book.cuts.append((99.0, 99.0))
    assert any("drained" in text for text in findings(book))


@pytest.mark.parametrize(("over", "broken"), [(0, False), (1, True)])
def test_a_cold_engine_that_is_sent_more_than_the_settings_allow_is_found(over: int, broken: bool) -> None:
    count = int(bound(budget(0.0))) + over
    book = book_of("lookup", *(100.0 + FALL * place / (2 * count) for place in range(count)), ended=0.0)
    book.starts.append(("s-0", 100.0))
    assert any("after its start" in text for text in findings(book)) is broken
