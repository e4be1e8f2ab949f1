"""Signals at their earliest and in series, on the program's own process as its deploy file starts it."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.peers import LIMIT, Client, Coordinator, Peer, Program, answer_next, say
from tests.test_program import PAGE

MOMENTS = (0.005, 0.02, 0.05)  # s after the program's start: the interpreter, and the imports
SERIES = 20


@pytest.fixture
def engine() -> Iterator[Peer]:
    engine = Peer()
    yield engine
    engine.listener.close()


def is_running_the_program(process: subprocess.Popen[str]) -> bool:
    """Whether the shell round the program has given its process to it."""
    return b"tealwing" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")


def started(folder: Path, engine: Peer) -> Program:
    """The program as soon as the shell has started it."""
    program = Program(folder, engine.address)
    until = time.monotonic() + LIMIT
    while not is_running_the_program(program.process):
        assert time.monotonic() < until
        time.sleep(0.001)
    return program


@pytest.mark.parametrize("moment", MOMENTS)
def test_sighup_during_the_start_does_not_end_the_program(tmp_path: Path, engine: Peer, moment: float) -> None:
    # a new configuration may come at any time, also right after a restart; a gateway that exits has crashed
    program = started(tmp_path, engine)
    time.sleep(moment)
    program.process.send_signal(signal.SIGHUP)
    program.address()
    assert program.end() == ""


@pytest.mark.parametrize("moment", MOMENTS)
def test_configuration_that_changes_during_the_start_is_applied(tmp_path: Path, engine: Peer, moment: float) -> None:
    # the other side: a signal that is ignored for good would leave the gateway with the file of before
    old, new = Coordinator(), Coordinator()
    program = Program(tmp_path, engine.address, old.address)
    time.sleep(moment)
    program.reload(json.dumps(program.config | {"coordinator": new.address}))
    new.next(b"follow")
    assert program.end() == ""
    for coordinator in (old, new):
        coordinator.listener.close()


def test_repeated_signals_apply_the_last_configuration_and_drain_once(tmp_path: Path, engine: Peer) -> None:
    last = Coordinator()
    program = Program(tmp_path, engine.address)
    address = program.address()
    for number in range(SERIES):
        program.reload(json.dumps(program.config | {"coordinator": f"127.0.0.1:{number + 1}"}))
    program.reload(json.dumps(program.config | {"coordinator": last.address}))
    last.next(b"follow")
    client = Client(address)
    client.ask()
    sock, parts = engine.next(b"want")
    for number in range(SERIES):  # amid the drain too: none of them ends it early, or ends the process
        program.process.send_signal(signal.SIGTERM if number % 2 else signal.SIGHUP)
    program.wait_for("draining")
    program.process.send_signal(signal.SIGHUP)
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert program.process.wait(LIMIT) == 0
    last.listener.close()


def test_sigstop_while_a_bad_file_is_read_again_does_not_end_the_program(tmp_path: Path, engine: Peer) -> None:
    # seen in a soak: signal.sigtimedwait that is interrupted past its time gives a signal that never came (CPython
    # 3.11), which was taken for SIGTERM: the gateway drained and ended by itself
    program = Program(tmp_path, engine.address)
    address = program.address()
    for _ in range(4):
        program.reload("{")
        program.wait_for("configuration_unusable")
        program.process.send_signal(signal.SIGSTOP)
        time.sleep(0.4)  # longer than the wait for the next reading
        program.process.send_signal(signal.SIGCONT)
        time.sleep(0.1)
    time.sleep(1.0)  # a drain would have ended it, or refuse clients
    client = Client(address)
    client.ask()
    answer_next(engine, PAGE)
    assert len(client.rows()) == 2
    assert program.process.poll() is None
    program.end()
