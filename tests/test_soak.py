"""A short soak run and tests of its rule checks; `python -m benchmarks.soak` makes longer runs."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.soak import Soak
from tests.soak.book import Attempt, Drain, History, Request
from tests.soak.judge import budget, check_history, upper_bound
from tests.soak.terms import (
    ARRIVAL_RESOLUTION,
    DRAIN_GRACE,
    KEYED_WINDOW,
    OVERLOAD_WINDOW,
    PROPAGATION_LIMIT,
    SOCKET_ALLOWANCE,
    TIMING_TOLERANCE,
)

SECONDS = 10.0
SEEDS = range(1, 7)  # about 90 s in total, with the starts and ends of the program
CALL = "00000000000000a1"


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    history = Soak(seed, tmp_path).run(SECONDS)
    assert not history.findings
    assert history.ends["served"] > 10


def history_of(class_name: str, *arrivals: float, engine: str = "s-0", duration: float = 0.01) -> History:
    """A history of one request, sent at 100 s with a ttl of 3 s, and attempts that arrive at the given times."""
    history = History()
    history.requests[CALL] = Request(class_name, 3.0, 100.0)
    sock = socket.socket()
    sock.close()
    history.attempts[CALL] = [Attempt(engine, at, 103.0 - at, sock, at + duration) for at in arrivals]
    return history


def findings(history: History) -> list[str]:
    check_history(history)
    return history.findings


def test_history_without_faults_has_no_findings() -> None:
    assert findings(history_of("lookup", 100.1, 100.3, 100.5)) == []
    assert findings(history_of("load", 100.1, 100.1 + KEYED_WINDOW)) == []
    assert findings(history_of("note", 100.1)) == []


@pytest.mark.parametrize(
    ("history", "what"),
    [
        (history_of("lookup", 100.1, 100.2, 100.3, 100.4), "4 attempts"),
        (history_of("lookup", 100.1, 100.2, duration=1.0), "two attempts in flight at once"),
        (history_of("note", 100.1, 100.3), "an unsafe request repeated"),
        (history_of("load", 100.1, 100.1 + KEYED_WINDOW + 2 * TIMING_TOLERANCE), "outside its window"),
    ],
)
def test_check_finds_broken_attempt_rule(history: History, what: str) -> None:
    assert any(what in text for text in findings(history))


def test_check_finds_long_ttl_and_attempt_after_departure() -> None:
    history = history_of("lookup", 101.0)
    history.attempts[CALL][0].ttl = 2.5
    history.requests[CALL].left_at = 100.5
    ttl, departure = findings(history)
    assert "a ttl of 2.500 s, its request had 2.000 s" in ttl and "0.500 s after its client left" in departure


@pytest.mark.parametrize("returned_at", [None, 200.0])
def test_check_finds_send_to_drained_engine_after_its_return(returned_at: float | None) -> None:
    # A history that dropped a drain when its engine returned left the sends during that drain unchecked.
    limit = DRAIN_GRACE + SOCKET_ALLOWANCE + TIMING_TOLERANCE
    history = history_of("lookup", 100.0 + limit + 0.01)
    history.drains.append(Drain("s-0", 100.0, returned_at))
    assert any("drained" in text for text in findings(history))
    history = history_of("lookup", 100.0 + limit - 0.01)
    history.drains.append(Drain("s-0", 100.0, returned_at))
    assert findings(history) == []


@pytest.mark.parametrize(
    ("early", "is_broken"), [(ARRIVAL_RESOLUTION - 0.001, False), (ARRIVAL_RESOLUTION + 0.001, True)]
)
def test_send_right_after_the_return_of_an_engine_is_allowed(early: float, is_broken: bool) -> None:
    # fault: an arrival dated a kernel tick too early counted as a send before the return that preceded it
    history = history_of("lookup", 103.0 - early)
    history.drains.append(Drain("s-0", 100.0, 103.0))
    assert any("drained" in text for text in findings(history)) is is_broken


def test_watch_outage_delays_drain_check_until_propagation_limit() -> None:
    for end, found in ((99.0, []), (90.0, ["drained"])):
        history = history_of("lookup", 101.0)
        history.drains.append(Drain("s-0", 100.0))
        history.watch_outages.append((end - 1.0, end))
        assert [word for word in found if any(word in text for text in findings(history))] == found
        assert bool(history.findings) is bool(found) and history.strict_drains == len(found)
    history = history_of("lookup", 100.0 + PROPAGATION_LIMIT + 1.0)
    history.drains.append(Drain("s-0", 100.0))
    history.watch_outages.append((99.0, 99.0))
    assert any("drained" in text for text in findings(history))


@pytest.mark.parametrize(("excess", "is_broken"), [(0, False), (1, True)])
def test_check_finds_overloaded_cold_engine(excess: int, is_broken: bool) -> None:
    count = int(upper_bound(budget(0.0))) + excess
    arrivals = (100.0 + OVERLOAD_WINDOW * number / (2 * count) for number in range(count))
    history = history_of("lookup", *arrivals, duration=0.0)
    history.starts.append(("s-0", 100.0))
    assert any("after its start" in text for text in findings(history)) is is_broken
