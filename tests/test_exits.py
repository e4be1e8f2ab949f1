"""SIGTERM just before, during and after a command, and the summary logged at exit, with the real process."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tealwing import service
from tealwing.mysql import packets
from tests.peers import LIMIT, SETTINGS, Client, request, say
from tests.soak.terms import KILL_GRACE, MAX_PAUSE
from tests.test_program import PAGE, Site

LOGIN = packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0")
WIDE_PAGE = b"\t".join([b"x" * 1000] * 3) + b"\n"
PAGE_COUNT = 12  # pages in a result of some 36,000 bytes


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    errors = site.program.end()
    site.engine.listener.close()
    site.coordinator.listener.close()
    assert errors == ""


def start_drain(site: Site) -> float:
    """Send SIGTERM and wait until the drain begins; return the time at which it was sent."""
    begun = time.monotonic()
    site.program.terminate()
    site.program.wait_for("draining")
    return begun


def exit_summary(site: Site) -> dict[str, Any]:
    """Wait until the process has exited with status 0; return the summary that it logged."""
    summary = site.program.wait_for("stopped")
    assert site.program.process.wait(LIMIT) == 0
    return {name: summary[name] for name in ("answered", "failed", "cut_short", "unanswered", "connections")}


def clean_summary(answered: int) -> dict[str, int]:
    return {"answered": answered, "failed": 0, "cut_short": 0, "unanswered": 0, "connections": 0}


def next_attempt(site: Site) -> tuple[socket.socket, bytes]:
    """Return the connection and the id of the next attempt."""
    sock, parts = site.engine.next(b"want")
    return sock, parts[1]


def connect(site: Site) -> Client:
    """Return a client that has been accepted and has sent nothing."""
    client = Client.__new__(Client)
    client.sock, client.parser = socket.create_connection(site.address, LIMIT), packets.Parser()
    client.greeting = client.read()
    return client


def test_connection_accepted_before_sigterm_is_served(site: Site) -> None:
    client = connect(site)
    start_drain(site)
    client.sock.sendall(LOGIN + packets.packet(0, b"\x03" + request()))
    sock, call = next_attempt(site)
    assert client.read() == packets.ok()
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert exit_summary(site) == clean_summary(1)


def test_command_half_received_at_sigterm_gets_complete_answer(site: Site) -> None:
    client, query = site.client(), packets.packet(0, b"\x03" + request())
    client.sock.sendall(query[:20])
    start_drain(site)
    client.sock.sendall(query[20:])
    sock, call = next_attempt(site)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert exit_summary(site) == clean_summary(1)


def test_command_unread_at_sigterm_gets_complete_answer(site: Site) -> None:
    # the process is stopped while the command and the signal arrive, so that it finds both
    client = site.client()
    os.kill(site.program.process.pid, signal.SIGSTOP)
    client.ask()
    site.program.terminate()
    os.kill(site.program.process.pid, signal.SIGCONT)
    sock, call = next_attempt(site)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert exit_summary(site) == clean_summary(1)


def test_answer_half_written_at_sigterm_is_completed(site: Site) -> None:
    # the client reads nothing until the drain has begun, so that the answer is half written at that time
    client = Client.__new__(Client)
    client.sock, client.parser = socket.socket(), packets.Parser()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client.sock.settimeout(LIMIT)
    client.sock.connect(site.address)
    client.sock.sendall(LOGIN)
    client.greeting, client.login = client.read(), client.read()
    client.ask()
    sock, call = next_attempt(site)
    say(sock, call, b"200", b"sheets=%d" % PAGE_COUNT, WIDE_PAGE)
    for sheet in range(1, PAGE_COUNT):
        site.engine.next(b"turn")
        say(sock, call, b"chunk", b"sheet=%d" % sheet, WIDE_PAGE)
    site.engine.next(b"shut")  # the gateway has the complete result, and writes it next
    start_drain(site)
    assert len(client.rows()) == PAGE_COUNT
    assert exit_summary(site) == clean_summary(1)


def test_hanging_engine_does_not_delay_exit_beyond_platform_limit(site: Site) -> None:
    client = site.client()
    client.ask()
    next_attempt(site)
    begun = start_drain(site)
    assert client.error()[0] == 1105
    assert exit_summary(site) == {"answered": 0, "failed": 1, "cut_short": 1, "unanswered": 0, "connections": 0}
    # the longest deadline, counted as 3 s, and the time that the platform adds
    assert time.monotonic() - begun < 3.0 + 0.7


class SlowServer:
    """A server whose sessions end at a given time, and none before."""

    def __init__(self, ends_at: float) -> None:
        self.now, self._ends_at = 100.0, ends_at

    def clock(self) -> float:
        return self.now

    def finish(self, seconds: float) -> bool:
        until = self.now + seconds
        self.now = max(self.now, min(until, self._ends_at))
        return self._ends_at <= until


class FailingDaemon:
    """A daemon whose open requests all end as they are failed."""

    open_requests = 2

    def fail_open_requests(self) -> int:
        failed, self.open_requests = self.open_requests, 0
        return failed


@pytest.mark.parametrize(("ends_after", "failed"), [(2.0, 0), (3.4, 2), (9.0, 2)])
def test_drain_leaves_time_for_the_exit_of_a_process_that_is_paused(ends_after: float, failed: int) -> None:
    # fault: connections of clients that stay were waited for until 0.1 s before SIGKILL, which found the process alive
    server: Any = SlowServer(100.0 + ends_after)
    daemon: Any = FailingDaemon()
    killed_at = server.now + 3.0 + KILL_GRACE
    assert service.finish_requests(server, daemon, killed_at, server.clock) == failed
    assert server.now == pytest.approx(min(100.0 + ends_after, killed_at - service.EXIT_MARGIN))
    assert killed_at - server.now > MAX_PAUSE


def test_command_opened_after_the_drain_was_cut_short_is_refused(site: Site) -> None:
    # fault: the second of two commands sent at once was opened after the cut, and the process ended before its answer
    client = site.client()
    second = request(call="9b1f03aa5c7e2d42")
    client.sock.sendall(packets.packet(0, b"\x03" + request()) + packets.packet(0, b"\x03" + second))
    next_attempt(site)
    start_drain(site)
    assert client.error()[0] == 1105  # it may have run
    assert client.error()[0] == 1226  # it was sent to no engine
    assert exit_summary(site) == {"answered": 1, "failed": 1, "cut_short": 1, "unanswered": 0, "connections": 0}


def test_exit_uses_deadlines_reloaded_by_sighup(site: Site) -> None:
    # guards against computing the end of the drain from the configuration at the start: SIGKILL came before it
    grades = [grade | {"DeadlineNs": 1_000_000_000} for grade in SETTINGS["Grades"]]
    site.program.reload(json.dumps(site.program.config | {"settings": SETTINGS | {"Grades": grades}}))
    site.program.wait_for("reconfigured")
    begun = start_drain(site)
    client = connect(site)  # may wait 2 s for its first command, longer than the process has left
    summary = exit_summary(site)
    assert time.monotonic() - begun < 1.0 + 0.7
    assert summary == clean_summary(0) | {"connections": 1}
    client.sock.close()


def test_exit_summary_counts_refused_requests_as_answered(site: Site) -> None:
    client = site.client()
    client.ask()
    sock, call = next_attempt(site)
    say(sock, call, b"503", b"rep=queue:0;inflight:70", b"")
    assert client.error()[0] == 1226
    start_drain(site)
    assert exit_summary(site) == clean_summary(1)
