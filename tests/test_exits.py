"""SIGTERM in the moments round a command, and what the exit says; on the program's own process."""

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

from tealwing.mysql import packets
from tests.peers import LIMIT, SETTINGS, Client, request, say
from tests.test_program import PAGE, Site

LOGIN = packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0")
WIDE = b"\t".join([b"x" * 1000] * 3) + b"\n"
SHEETS = 12  # pages of a result of some 36,000 bytes


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    errors = site.program.end()
    site.engine.listener.close()
    site.coordinator.listener.close()
    assert errors == ""


def stop(site: Site) -> float:
    """SIGTERM, as far as the drain's beginning; when it was sent."""
    begun = time.monotonic()
    site.program.terminate()
    site.program.wait_for("draining")
    return begun


def left(site: Site) -> dict[str, Any]:
    """What the exit says, once the process has ended well."""
    said = site.program.wait_for("stopped")
    assert site.program.process.wait(LIMIT) == 0
    return {name: said[name] for name in ("answered", "failed", "cut_short", "unanswered", "connections")}


def clean(answered: int) -> dict[str, int]:
    return {"answered": answered, "failed": 0, "cut_short": 0, "unanswered": 0, "connections": 0}


def served(site: Site) -> tuple[socket.socket, bytes]:
    """The next attempt, and its id."""
    sock, parts = site.engine.next(b"want")
    return sock, parts[1]


def connect(site: Site) -> Client:
    """A client that has been accepted and has said nothing."""
    client = Client.__new__(Client)
    client.sock, client.parser = socket.create_connection(site.address, LIMIT), packets.Parser()
    client.greeting = client.read()
    return client


def test_a_connection_just_accepted_is_served_after_sigterm(site: Site) -> None:
    client = connect(site)
    stop(site)
    client.sock.sendall(LOGIN + packets.packet(0, b"\x03" + request()))
    sock, call = served(site)
    assert client.read() == packets.ok()
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert left(site) == clean(1)


def test_half_a_command_at_sigterm_is_answered_whole(site: Site) -> None:
    client, query = site.client(), packets.packet(0, b"\x03" + request())
    client.sock.sendall(query[:20])
    stop(site)
    client.sock.sendall(query[20:])
    sock, call = served(site)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert left(site) == clean(1)


def test_a_command_that_waits_unread_at_sigterm_is_answered_whole(site: Site) -> None:
    # forced: the process is held while the command and the signal come, so that it finds both
    client = site.client()
    os.kill(site.program.process.pid, signal.SIGSTOP)
    client.ask()
    site.program.terminate()
    os.kill(site.program.process.pid, signal.SIGCONT)
    sock, call = served(site)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert left(site) == clean(1)


def test_an_answer_that_is_just_being_written_at_sigterm_comes_whole(site: Site) -> None:
    # forced: the client takes nothing, so the answer stands half written; it reads once the drain has begun
    client = Client.__new__(Client)
    client.sock, client.parser = socket.socket(), packets.Parser()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client.sock.settimeout(LIMIT)
    client.sock.connect(site.address)
    client.sock.sendall(LOGIN)
    client.greeting, client.login = client.read(), client.read()
    client.ask()
    sock, call = served(site)
    say(sock, call, b"200", b"sheets=%d" % SHEETS, WIDE)
    for sheet in range(1, SHEETS):
        site.engine.next(b"turn")
        say(sock, call, b"chunk", b"sheet=%d" % sheet, WIDE)
    site.engine.next(b"shut")  # the gateway has the whole result, and writes it next
    stop(site)
    assert len(client.rows()) == SHEETS
    assert left(site) == clean(1)


def test_an_engine_that_hangs_holds_the_exit_no_longer_than_the_platform_waits(site: Site) -> None:
    client = site.client()
    client.ask()
    served(site)
    begun = stop(site)
    assert client.error()[0] == 1105
    assert left(site) == {"answered": 0, "failed": 1, "cut_short": 1, "unanswered": 0, "connections": 0}
    assert time.monotonic() - begun < 3.0 + 0.7  # the longest deadline, counted as 3 s, and what the platform adds


def test_the_exit_keeps_to_the_deadlines_that_sighup_has_put_in_force(site: Site) -> None:
    # seen in the code: the end of the drain was reckoned from the configuration of the start, so SIGKILL came first
    grades = [grade | {"DeadlineNs": 1_000_000_000} for grade in SETTINGS["Grades"]]
    site.program.reload(json.dumps(site.program.config | {"settings": SETTINGS | {"Grades": grades}}))
    site.program.wait_for("reconfigured")
    begun = stop(site)
    client = connect(site)  # has 2 s for its first command, which is longer than the process has
    said = left(site)
    assert time.monotonic() - begun < 1.0 + 0.7
    assert said == clean(0) | {"connections": 1}
    client.sock.close()


def test_what_an_exit_says_counts_refusals_too(site: Site) -> None:
    client = site.client()
    client.ask()
    sock, call = served(site)
    say(sock, call, b"503", b"rep=queue:0;inflight:70", b"")
    assert client.error()[0] == 1226
    stop(site)
    assert left(site) == clean(1)
