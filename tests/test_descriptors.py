"""The descriptor budget, and a process that uses all of the smallest limit."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tealwing import descriptors
from tealwing.config import load
from tealwing.mysql import packets
from tests.peers import LIMIT, SETTINGS, Client, Coordinator, Peer, Program, event, member, say
from tests.test_operations import GET, ask, status
from tests.test_program import PAGE

SMALLEST_LIMIT = 256  # descriptors of a process: the smallest limit at any site of the platform


@pytest.mark.parametrize("limit", [descriptors.MIN_DESCRIPTORS, 100, SMALLEST_LIMIT, 384, 1024, 4096, 65536])
def test_budget_totals_limit_and_gives_clients_a_third(limit: int) -> None:
    found = descriptors.budget(limit)
    assert found.total == limit and found.engines >= descriptors.MIN_ENGINE_CONNECTIONS
    assert limit // 3 <= found.clients <= limit * 11 // 30


def test_configured_client_limit_comes_from_descriptor_budget(tmp_path: Path) -> None:
    config: dict[str, object] = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
    config |= {"known": {"index": 1, "updates": [event(1)]}, "limits": {"sockets": SMALLEST_LIMIT}}
    (tmp_path / "config.json").write_text(json.dumps(config | {"settings": SETTINGS}))
    loaded = load({"LB_CONFIG": str(tmp_path / "config.json")})
    assert loaded.max_clients == descriptors.budget(SMALLEST_LIMIT).clients == 93


def count_open_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


@pytest.fixture
def free_port() -> Iterator[int]:
    """Yield a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    yield port


def test_idle_clients_at_their_limit_do_not_block_other_users(tmp_path: Path, free_port: int) -> None:
    # discovery is down, as many clients as the process may have descriptors are idle, and admin callers are silent
    engine = Peer()
    program = Program(
        tmp_path,
        engine.address,
        f"127.0.0.1:{free_port}",
        limits={"sockets": SMALLEST_LIMIT},
        admin="127.0.0.1:0",
    )
    pid = program.process.pid
    address = program.address()
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (SMALLEST_LIMIT, SMALLEST_LIMIT))
    host, port = program.started["admin"]
    silent = [socket.create_connection((host, port), LIMIT) for _ in range(descriptors.ADMIN_THREADS + 4)]
    logged_in = [Client(address) for _ in range(descriptors.budget(SMALLEST_LIMIT).clients // 2)]
    idle = [socket.create_connection(address, LIMIT) for _ in range(SMALLEST_LIMIT)]
    for sock in idle[-20:]:  # earlier clients were evicted for these
        assert sock.recv(1)
    found = descriptors.budget(SMALLEST_LIMIT)
    assert count_open_descriptors(pid) <= found.clients + found.fixed - descriptors.MARGIN

    client = Client(address)  # a regular client is accepted, and its request reaches an engine
    client.ask()
    sock, parts = engine.next(b"want")
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert status(ask((host, port), GET)) == 200

    listener = socket.create_server(("127.0.0.1", free_port))  # discovery returns while all these connections are open
    listener.settimeout(LIMIT)
    watch, _ = listener.accept()
    assert watch.recv(64) == b"follow 1\n"
    watch.sendall(json.dumps(event(2, member("s-2", engine.address))).encode() + b"\n")
    assert program.wait_for("engine_list")["index"] == 2  # searches the log since the start; no line reports EMFILE

    program.terminate()
    events = []
    assert program.process.stdout is not None
    for line in program.process.stdout:
        events.append(json.loads(line)["event"])
    assert program.process.wait(LIMIT) == 0 and "accept_failed" not in events
    for one in [*silent, *idle, *(client.sock for client in logged_in), watch, listener, engine.listener]:
        with contextlib.suppress(OSError):
            one.close()
    assert program.end() == ""


def ping(client: Client) -> None:
    client.send(0x0E)
    assert client.read() == packets.ok()


def test_ended_connections_leak_no_descriptors(tmp_path: Path) -> None:
    engine, coordinator = Peer(), Coordinator()
    program = Program(tmp_path, engine.address, coordinator.address)
    address, pid = program.address(), program.process.pid
    watch, _ = coordinator.next(b"follow")
    first = Client(address)
    ping(first)
    before = count_open_descriptors(pid)
    for _ in range(5):  # watches that end in succession
        watch.shutdown(socket.SHUT_RDWR)
        watch, _ = coordinator.next(b"follow")
    for _ in range(20):
        client = Client(address)
        ping(client)
        client.sock.close()
    until = time.monotonic() + LIMIT
    while count_open_descriptors(pid) > before:
        assert time.monotonic() < until
        time.sleep(0.02)
    for peer in (engine, coordinator):
        peer.listener.close()
    assert program.end() == ""
