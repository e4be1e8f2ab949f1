"""A client that has closed its connection gets no further attempts, however much of its input is still unread."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tealwing.mysql import departures, packets
from tests.crowd import CrowdEngine, connect, start_gateway, statement
from tests.peers import Client, Program
from tests.test_closes import Rig

GRACE = 0.1 + 0.05  # s after a departure in which attempts may begin: the standing test, and the protocol for sockets
TIMING_TOLERANCE = 0.05  # s; two processes on a busy machine
WATCHED = 1.5  # s in which further attempts are looked for: each takes ANSWER_TIME, so that many would begin
ANSWER_TIME = 0.02  # s that the engine takes
WRITE_TIME = 1.0  # s in which a client writes


@pytest.fixture
def served(tmp_path: Path) -> Iterator[tuple[Program, CrowdEngine]]:
    engine = CrowdEngine(ANSWER_TIME)
    program = start_gateway(tmp_path, [engine])
    yield program, engine
    errors = program.end()
    engine.close()
    assert errors == ""


def write(sock: socket.socket, data: bytes) -> int:
    """Write the data as far as the gateway's windows allow within WRITE_TIME; return how many bytes were written."""
    sock.setblocking(False)
    sent, until = 0, time.monotonic() + WRITE_TIME
    while sent < len(data) and time.monotonic() < until:
        try:
            sent += sock.send(data[sent:])
        except BlockingIOError:
            time.sleep(0.001)
    return sent


@pytest.mark.parametrize("size", [2_000, 60_000, 150_000, 1_000_000, 4_000_000])
def test_requests_of_a_client_that_has_left_are_not_sent_on(served: tuple[Program, CrowdEngine], size: int) -> None:
    program, engine = served
    one = len(statement(0, ttl=20000))
    sock = connect(program.address())
    write(sock, b"".join(statement(number, ttl=20000) for number in range(size // one)))
    sock.shutdown(socket.SHUT_WR)  # a close would reset the connection, as its answers are unread
    left_at = time.monotonic()
    time.sleep(WATCHED)
    late = [at - left_at for at, _ in engine.arrivals if at > left_at + GRACE + TIMING_TOLERANCE]
    sock.close()
    assert not late


def test_commands_sent_at_once_are_all_served(served: tuple[Program, CrowdEngine]) -> None:
    program, _ = served
    count = 60
    with connect(program.address(), b"".join(statement(number, ttl=20000) for number in range(count))) as sock:
        parser, ends = packets.Parser(), 0
        while ends < 2 * count:  # each result has an EOF after its columns and one after its rows
            data = sock.recv(1 << 16)
            assert data
            parser.feed(data)
            while (message := parser.next()) is not None:
                assert message[1][:1] != b"\xff"
                ends += message[1] == packets.eof()


def test_request_ahead_of_input_that_cannot_be_read_yet_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a request without an answer, where the kernel holds input whose beginning has not arrived
    monkeypatch.setattr(departures, "may_block_peer", lambda sock: True)
    rig = Rig()
    client = Client(rig.address)
    client.ask()
    assert client.error()[0] == 1226
    assert not rig.opened
    client.sock.close()
    rig.wait_until_empty()
