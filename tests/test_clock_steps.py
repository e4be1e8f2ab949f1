"""A wall clock that is stepped, before the start or under way: spans stay spans of real time."""

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
from tests.test_watch import ONE, TWO, make

HOUR, SECONDS = 3600.0, 5.0
NOTICED = 1.5  # s after its start at which an engine is listed
STEPS = [HOUR, -HOUR, SECONDS, -SECONDS, 0.0]


class Clock:
    """The machine's wall clock, which may be stepped; engines are dated by the clock of the list."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step, self._real = 0.0, time.time
        monkeypatch.setattr(time, "time", lambda: self._real() + self.step)

    def listed(self, daemon: Daemon, index: int, step: float = 0.0, engine: str = "s-2") -> Engine:
        """Tell of an engine that has just started, by a clock that is ahead of the true one by the step."""
        started = round((self._real() + step - NOTICED) * 1e3)
        tell(daemon, event(index, member(engine, "127.0.0.1:1", up_since_ms=started)))
        return find(daemon, updates.engine_number(engine))


def tell(daemon: Daemon, told: dict[str, Any]) -> None:
    """An event of the coordinator."""
    update = updates.parse_line(json.dumps(told).encode(), daemon.platform_settings)
    assert isinstance(update, updates.Update)
    daemon._on_watch_update(update)


def find(daemon: Daemon, number: int) -> Engine:
    module = daemon._decisions.module
    assert isinstance(module, Gateway)
    return module.engines[number]


def left_cold(daemon: Daemon, engine: Engine) -> float:
    """Seconds for which the module still holds the engine to be cold."""
    return engine.slow_start_until - (time.monotonic() + daemon._decisions.clock_offset)


def is_just_started(daemon: Daemon, engine: Engine) -> bool:
    """Whether it is taken to have started when it was listed, or the usual moment before that."""
    cold = engine.rules.slow_start_time
    return cold - 2 * NOTICED <= left_cold(daemon, engine) <= cold + 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


@pytest.mark.parametrize("step", [HOUR, -HOUR, -SECONDS, 0.0])
def test_new_engine_gets_slow_start_despite_a_wrong_wall_clock(step: float, tmp_path: Path, clock: Clock) -> None:
    # on a machine that is an hour ahead every cold engine looked warm; an hour behind, cold for an hour
    clock.step = step
    daemon = make(tmp_path, ("127.0.0.1", 1))
    assert is_just_started(daemon, clock.listed(daemon, 2))


@pytest.mark.parametrize("along", [False, True], ids=["alone", "with the list's"])
@pytest.mark.parametrize("step", STEPS)
def test_new_engine_gets_slow_start_despite_a_stepped_wall_clock(
    step: float, along: bool, tmp_path: Path, clock: Clock
) -> None:
    daemon = make(tmp_path, ("127.0.0.1", 1))
    clock.step = step
    assert is_just_started(daemon, clock.listed(daemon, 2, step if along else 0.0))


def test_cached_engine_is_not_in_slow_start_for_an_hour(tmp_path: Path, clock: Clock) -> None:
    clock.step = -HOUR
    started = round((time.time() + HOUR) * 1e3)
    known = {"index": 1, "updates": [event(1, member("s-1", "127.0.0.1:1", up_since_ms=started))]}
    daemon = make(tmp_path, ("127.0.0.1", 1), known=known)
    assert left_cold(daemon, find(daemon, ONE)) <= find(daemon, ONE).rules.slow_start_time + 0.1


def test_engine_restarted_by_a_clock_set_back_gets_slow_start_again(tmp_path: Path, clock: Clock) -> None:
    daemon = make(tmp_path, ("127.0.0.1", 1))
    first = clock.listed(daemon, 2)
    second = clock.listed(daemon, 3, -HOUR)
    assert second is not first and find(daemon, TWO) is second
    assert is_just_started(daemon, second)


def test_start_time_that_is_listed_again_is_the_same_start(tmp_path: Path, clock: Clock) -> None:
    daemon = make(tmp_path, ("127.0.0.1", 1))
    clock.step = HOUR
    first = clock.listed(daemon, 2)
    started = first.started
    raw = {found.name: found.entry.started for found, _ in daemon._engines._engines.values()}["s-2"]
    again = event(3, member("s-2", "127.0.0.1:1", up_since_ms=round(raw * 1e3), phase="draining"))
    tell(daemon, again)
    assert find(daemon, TWO) is first and first.started == started and not first.ready


# What an engine is told of a client's time


def told_time(parts: list[bytes]) -> int:
    """The milliseconds in the fields of an attempt."""
    return int(parts[2].split(b"ttl=")[1].split(b",")[0])


@pytest.fixture
def engine() -> Iterator[Peer]:
    engine = Peer()
    yield engine
    engine.listener.close()


def test_ttl_of_an_attempt_excludes_the_time_its_request_waited_unread(tmp_path: Path, engine: Peer) -> None:
    # a gateway that gets no processor for a while reads late: the time has run since the last byte came
    asked, held, slack = 2000, 700, 150  # ms
    program = Program(tmp_path, engine.address)
    client = Client(program.address())
    program.process.send_signal(signal.SIGSTOP)
    client.ask(ttl=asked)
    time.sleep(held / 1e3)
    program.process.send_signal(signal.SIGCONT)
    _, parts = engine.next(b"want")
    assert told_time(parts) <= asked - held + slack
    assert program.end() == ""


def test_ttl_of_an_attempt_excludes_the_time_its_request_waited_behind_another(tmp_path: Path, engine: Peer) -> None:
    # its time runs while the one before it is served: seen in the code, it began anew with its own turn
    asked, held, slack = 5000, 1000, 150  # ms
    program = Program(tmp_path, engine.address)
    client = Client(program.address())
    both = [packets.packet(0, b"\x03" + request(call=f"{call:016x}", ttl=asked)) for call in (1, 2)]
    client.sock.sendall(b"".join(both))
    sock, parts = engine.next(b"want")
    time.sleep(held / 1e3)
    say(sock, parts[1], b"200", b"sheets=1", b"a\tb\tc\n")
    _, parts = engine.next(b"want")
    assert told_time(parts) <= asked - held + slack
    assert program.end() == ""


def test_cached_engine_that_is_listed_again_keeps_its_start_time(tmp_path: Path, clock: Clock) -> None:
    started = round((time.time() - 60) * 1e3)
    first = member("s-1", "127.0.0.1:1", up_since_ms=started)
    daemon = make(tmp_path, ("127.0.0.1", 1), known={"index": 1, "updates": [event(1, first)]})
    tell(daemon, event(2, first | {"phase": "removed"}))
    tell(daemon, event(3, first))
    assert left_cold(daemon, find(daemon, ONE)) < 0
