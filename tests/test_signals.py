"""Signals during the start and in series, on a process that is started as in the deploy file."""

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

MOMENTS = (0.005, 0.02, 0.05)  # s after the program's start, while the interpreter starts and modules are imported
SERIES = 20  # signals


@pytest.fixture
def engine() -> Iterator[Peer]:
    engine = Peer()
    yield engine
    engine.listener.close()


def is_running_the_program(process: subprocess.Popen[str]) -> bool:
    """Return whether the shell that starts the program has replaced itself by it."""
    return b"tealwing" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")


def start_program(folder: Path, engine: Peer) -> Program:
    """Start the program; return as soon as the shell has executed it."""
    program = Program(folder, engine.address)
    until = time.monotonic() + LIMIT
    while not is_running_the_program(program.process):
        assert time.monotonic() < until
        time.sleep(0.001)
    return program


@pytest.mark.parametrize("moment", MOMENTS)
def test_sighup_during_the_start_does_not_end_the_program(tmp_path: Path, engine: Peer, moment: float) -> None:
    # a new configuration may come right after a restart; a gateway that exits at SIGHUP counts as crashed
    program = start_program(tmp_path, engine)
    time.sleep(moment)
    program.process.send_signal(signal.SIGHUP)
    program.address()
    assert program.end() == ""


@pytest.mark.parametrize("moment", MOMENTS)
def test_configuration_that_changes_during_the_start_is_applied(tmp_path: Path, engine: Peer, moment: float) -> None:
    # guards against a SIGHUP that is lost during the start, which would leave the old configuration in force
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
    for number in range(SERIES):  # also during the drain; no signal shortens it or ends the process
        program.process.send_signal(signal.SIGTERM if number % 2 else signal.SIGHUP)
    program.wait_for("draining")
    program.process.send_signal(signal.SIGHUP)
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert program.process.wait(LIMIT) == 0
    last.listener.close()


def test_sigstop_while_a_bad_file_is_read_again_does_not_end_the_program(tmp_path: Path, engine: Peer) -> None:
    # guards against signal.sigtimedwait, which returns a signal that was never sent if it is interrupted after its
    # timeout (CPython 3.11): that counted as SIGTERM, and the gateway drained and exited
    program = Program(tmp_path, engine.address)
    address = program.address()
    for _ in range(4):
        program.reload("{")
        program.wait_for("configuration_unusable")
        program.process.send_signal(signal.SIGSTOP)
        time.sleep(0.4)  # longer than the wait for the next reading
        program.process.send_signal(signal.SIGCONT)
        time.sleep(0.1)
    time.sleep(1.0)  # after a drain the process would have ended or rejected clients
    client = Client(address)
    client.ask()
    answer_next(engine, PAGE)
    assert len(client.rows()) == 2
    assert program.process.poll() is None
    program.end()
