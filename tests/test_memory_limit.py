"""The process stays within the least memory that the operators name, whatever all its clients together send."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tealwing.mysql import packets
from tests.crowd import (
    CLIENTS,
    LIMITS,
    CrowdEngine,
    ask,
    connect,
    peak_memory_mb,
    send_pieces,
    start_gateway,
    statement,
)
from tests.peers import LIMIT, Program

LARGE = 120_000  # bytes of a string in a statement; a command may have 128 KiB
SENDERS = 64  # clients that write at the same time
RESULT_COLUMN = b"\x03"  # first payload of a result set: its number of columns
TIME_TO_LIVE = 2.0  # s of a small request of another client


@pytest.fixture(params=[0.0, None], ids=["answering", "hanging"])
def gateway(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Program]:
    engines = [CrowdEngine(request.param, pages=8, rows=55) for _ in range(16)]
    program = start_gateway(tmp_path, engines)
    yield program
    program.end()
    for engine in engines:
        engine.close()


def stop_half_way(socks: list[socket.socket]) -> None:
    send_pieces(socks, statement(1, LARGE)[:-1000], 64 * 1024, 1.0)


def write_slowly(socks: list[socket.socket]) -> None:
    send_pieces(socks, statement(1, LARGE), 4000, 1.8)


def stop_within_the_login(socks: list[socket.socket]) -> None:
    address = socks[0].getpeername()
    for sock in socks:
        sock.close()
    more = [socket.create_connection(address, LIMIT) for _ in range(CLIENTS)]
    send_pieces(more, packets.packet(1, bytes(LARGE))[:-1000], 64 * 1024, 1.0)
    socks[:] = more


def at_once(socks: list[socket.socket], data: Callable[[int], bytes], times: int = 1) -> None:
    def send(number: int) -> None:
        with contextlib.suppress(OSError):
            for turn in range(times):
                socks[number].sendall(data(number * times + turn))
                socks[number].recv(1)

    for sock in socks:
        sock.settimeout(0.5)
    with ThreadPoolExecutor(SENDERS) as senders:
        list(senders.map(send, range(len(socks))))


def send_many_short_fields(socks: list[socket.socket]) -> None:
    at_once(socks, lambda _: packets.packet(0, b"\x03/* " + b"a=1," * (LARGE // 4) + b" */ SELECT 1"), 3)


def send_large_statements(socks: list[socket.socket]) -> None:
    at_once(socks, lambda number: statement(number, LARGE))


def ask_for_large_results(socks: list[socket.socket]) -> None:
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    at_once(socks, statement)


@pytest.mark.parametrize(
    "crowd",
    [
        stop_half_way,
        write_slowly,
        stop_within_the_login,
        send_many_short_fields,
        send_large_statements,
        ask_for_large_results,
    ],
)
def test_crowd_of_clients_keeps_the_process_within_its_memory_limit(
    gateway: Program, crowd: Callable[[list[socket.socket]], None]
) -> None:
    address = gateway.address()
    socks = [connect(address) for _ in range(CLIENTS)]
    try:
        crowd(socks)
        assert gateway.process.poll() is None
        assert peak_memory_mb(gateway) <= LIMITS["memory_mb"]
    finally:
        for sock in socks:
            sock.close()


@pytest.mark.parametrize("crowd", [stop_half_way, write_slowly, send_many_short_fields])
def test_small_request_is_served_while_a_crowd_holds_the_memory(
    tmp_path: Path, crowd: Callable[[list[socket.socket]], None]
) -> None:
    engines = [CrowdEngine() for _ in range(4)]
    program = start_gateway(tmp_path, engines)
    try:
        address = program.address()
        socks = [connect(address) for _ in range(CLIENTS)]
        with ThreadPoolExecutor(1) as other:
            done = other.submit(crowd, socks)
            number = 0x5000
            while not done.done():
                answer, seconds = ask(address, number, ttl=round(TIME_TO_LIVE * 1e3))
                assert answer == RESULT_COLUMN and seconds < TIME_TO_LIVE
                number += 1
            done.result()
        assert number > 0x5000
        for sock in socks:
            sock.close()
    finally:
        assert program.end() == ""
        for engine in engines:
            engine.close()
