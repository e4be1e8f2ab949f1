"""A wall clock that is wrong or stepped: slow start and ttl remain spans of real time."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tealwing.coordinator import updates
from tealwing.gateway.daemon import Daemon
from tealwing.mysql import packets
from tealwing.policy import Engine, Gateway
from tests.peers import Client, Peer, Program, event, member, request, say
from tests.test_watch import ONE, TWO, make_daemon

HOUR, FEW_SECONDS = 3600.0, 5.0
DISCOVERY_DELAY = 1.5  # s from an engine's start until it is listed
STEPS = [HOUR, -HOUR, FEW_SECONDS, -FEW_SECONDS, 0.0]


class Clock:
    """The gateway's wall clock, which a test can step; listed start times come from another clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step, self._real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: self._real() + self.step)

    def list_engine(self, daemon: Daemon, index: int, step: float = 0.0, engine: str = "s-2") -> Engine:
        """List an engine that has just started, by a clock that is ahead of real time by the step."""
        started = round((self._real() + step - DISCOVERY_DELAY) * 1e3)
        apply_event(daemon, event(index, member(engine, "127.0.0.1:1", up_since_ms=started)))
        return find_engine(daemon, updates.engine_number(engine))


def apply_event(daemon: Daemon, data: dict[str, Any]) -> None:
    """Apply an event of the coordinator."""
    update = updates.parse_line(json.dumps(data).encode(), daemon.platform_settings)
    assert isinstance(update, updates.Update)
    daemon._on_watch_update(update)


def find_engine(daemon: Daemon, number: int) -> Engine:
    module = daemon._decisions.module
    assert isinstance(module, Gateway)
    return module.engines[number]


def slow_start_left(daemon: Daemon, engine: Engine) -> float:
    """Return the seconds for which the engine is still in slow start."""
    return engine.slow_start_until - (time.monotonic() + daemon._decisions.clock_offset)


def is_just_started(daemon: Daemon, engine: Engine) -> bool:
    """Return whether the engine's start is taken to be its listing, or the discovery delay before that."""
    cold = engine.rules.slow_start_time
    return cold - 2 * DISCOVERY_DELAY <= slow_start_left(daemon, engine) <= cold + 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.mark.parametrize("step", [HOUR, -HOUR, -FEW_SECONDS, 0.0])
def test_new_engine_gets_slow_start_despite_a_wrong_wall_clock(step: float, tmp_path: Path, clock: Clock) -> None:
    # guards against trust in the wall clock: an hour ahead, every cold engine looked warm; an hour behind, it stayed
    # cold for an hour
    clock.step = step
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1))
    assert is_just_started(daemon, clock.list_engine(daemon, 2))


@pytest.mark.parametrize("along", [False, True], ids=["alone", "with the list's"])
@pytest.mark.parametrize("step", STEPS)
def test_new_engine_gets_slow_start_despite_a_stepped_wall_clock(
    step: float, along: bool, tmp_path: Path, clock: Clock
) -> None:
    # along: the clock that gives the listed start times is stepped by as much
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1))
    clock.step = step
    assert is_just_started(daemon, clock.list_engine(daemon, 2, step if along else 0.0))


def test_cached_engine_is_not_in_slow_start_for_an_hour(tmp_path: Path, clock: Clock) -> None:
    clock.step = -HOUR
    started = round((time.time() + HOUR) * 1e3)
    known = {"index": 1, "updates": [event(1, member("s-1", "127.0.0.1:1", up_since_ms=started))]}
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1), known=known)
    assert slow_start_left(daemon, find_engine(daemon, ONE)) <= find_engine(daemon, ONE).rules.slow_start_time + 0.1


def test_restarted_engine_with_an_earlier_start_time_gets_slow_start_again(tmp_path: Path, clock: Clock) -> None:
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1))
    first = clock.list_engine(daemon, 2)
    second = clock.list_engine(daemon, 3, -HOUR)
    assert second is not first and find_engine(daemon, TWO) is second
    assert is_just_started(daemon, second)


def test_start_time_that_is_listed_again_is_the_same_start(tmp_path: Path, clock: Clock) -> None:
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1))
    clock.step = HOUR
    first = clock.list_engine(daemon, 2)
    started = first.started
    raw = {found.name: found.entry.started for found, _ in daemon._engines._engines.values()}["s-2"]
    again = event(3, member("s-2", "127.0.0.1:1", up_since_ms=round(raw * 1e3), phase="draining"))
    apply_event(daemon, again)
    assert find_engine(daemon, TWO) is first and first.started == started and not first.ready


# The ttl that an engine gets with an attempt


def ttl_of(parts: list[bytes]) -> int:
    """Return the ttl in milliseconds from the fields of an attempt."""
    return int(parts[2].split(b"ttl=")[1].split(b",")[0])


@pytest.fixture
def engine() -> Iterator[Peer]:
    engine = Peer()
    yield engine
    engine.listener.close()


def test_ttl_of_an_attempt_excludes_the_time_its_request_waited_unread(tmp_path: Path, engine: Peer) -> None:
    # a gateway that gets no processor time for a while reads late, but the ttl runs from the arrival of the last byte
    asked, held, slack = 2000, 700, 150  # ms
    program = Program(tmp_path, engine.address)
    client = Client(program.address())
    program.process.send_signal(signal.SIGSTOP)
    client.ask(ttl=asked)
    time.sleep(held / 1e3)
    program.process.send_signal(signal.SIGCONT)
    _, parts = engine.next(b"want")
    assert ttl_of(parts) <= asked - held + slack
    assert program.end() == ""


def test_ttl_of_an_attempt_excludes_the_time_its_request_waited_behind_another(tmp_path: Path, engine: Peer) -> None:
    # guards against a ttl that begins only when the request's turn comes: it runs while the one before it is served
    asked, held, slack = 5000, 1000, 150  # ms
    program = Program(tmp_path, engine.address)
    client = Client(program.address())
    both = [packets.packet(0, b"\x03" + request(call=f"{call:016x}", ttl=asked)) for call in (1, 2)]
    client.sock.sendall(b"".join(both))
    sock, parts = engine.next(b"want")
    time.sleep(held / 1e3)
    say(sock, parts[1], b"200", b"sheets=1", b"a\tb\tc\n")
    _, parts = engine.next(b"want")
    assert ttl_of(parts) <= asked - held + slack
    assert program.end() == ""


def test_cached_engine_that_is_listed_again_keeps_its_start_time(tmp_path: Path, clock: Clock) -> None:
    started = round((time.time() - 60) * 1e3)
    first = member("s-1", "127.0.0.1:1", up_since_ms=started)
    daemon = make_daemon(tmp_path, ("127.0.0.1", 1), known={"index": 1, "updates": [event(1, first)]})
    apply_event(daemon, event(2, first | {"phase": "removed"}))
    apply_event(daemon, event(3, first))
    assert slow_start_left(daemon, find_engine(daemon, ONE)) < 0
