"""The budget of descriptors, and a process at the smallest limit that holds all that it may hold."""

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

SMALLEST = 256  # descriptors of a process: the smallest limit of the platform's sites


@pytest.mark.parametrize("limit", [descriptors.MIN_DESCRIPTORS, 100, SMALLEST, 384, 1024, 4096, 65536])
def test_the_shares_are_the_limit_and_clients_have_their_third(limit: int) -> None:
    found = descriptors.budget(limit)
    assert found.total == limit and found.engines >= descriptors.MIN_ENGINE_CONNECTIONS
    assert limit // 3 <= found.clients <= limit * 11 // 30


def test_the_configuration_takes_its_clients_from_the_budget(tmp_path: Path) -> None:
    config: dict[str, object] = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1"}
    config |= {"known": {"index": 1, "updates": [event(1)]}, "limits": {"sockets": SMALLEST}}
    (tmp_path / "config.json").write_text(json.dumps(config | {"settings": SETTINGS}))
    loaded = load({"LB_CONFIG": str(tmp_path / "config.json")})
    assert loaded.max_clients == descriptors.budget(SMALLEST).clients == 93


def held(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


@pytest.fixture
def free_port() -> Iterator[int]:
    """A port at which nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    yield port


def test_idle_clients_that_hold_all_they_may_starve_nobody(tmp_path: Path, free_port: int) -> None:
    # discovery is down, as many clients as the process may have descriptors say nothing, admin callers are silent
    engine = Peer()
    program = Program(
        tmp_path,
        engine.address,
        f"127.0.0.1:{free_port}",
        limits={"sockets": SMALLEST},
        admin="127.0.0.1:0",
    )
    pid = program.process.pid
    address = program.address()
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (SMALLEST, SMALLEST))
    host, port = program.started["admin"]
    silent = [socket.create_connection((host, port), LIMIT) for _ in range(descriptors.ADMIN_THREADS + 4)]
    logged_in = [Client(address) for _ in range(descriptors.budget(SMALLEST).clients // 2)]
    idle = [socket.create_connection(address, LIMIT) for _ in range(SMALLEST)]
    for sock in idle[-20:]:  # those before were evicted for these
        assert sock.recv(1)
    found = descriptors.budget(SMALLEST)
    assert held(pid) <= found.clients + found.fixed - descriptors.MARGIN

    client = Client(address)  # a usual client gets in, and its request reaches an engine
    client.ask()
    sock, parts = engine.next(b"want")
    say(sock, parts[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2
    assert status(ask((host, port), GET)) == 200

    listener = socket.create_server(("127.0.0.1", free_port))  # discovery returns while all of them are still there
    listener.settimeout(LIMIT)
    watch, _ = listener.accept()
    assert watch.recv(64) == b"follow 1\n"
    watch.sendall(json.dumps(event(2, member("s-2", engine.address))).encode() + b"\n")
    assert program.wait_for("engine_list")["index"] == 2  # of the log since the start: no line says EMFILE

    program.terminate()
    said = []
    assert program.process.stdout is not None
    for line in program.process.stdout:
        said.append(json.loads(line)["event"])
    assert program.process.wait(LIMIT) == 0 and "accept_failed" not in said
    for one in [*silent, *idle, *(client.sock for client in logged_in), watch, listener, engine.listener]:
        with contextlib.suppress(OSError):
            one.close()
    assert program.end() == ""


def ping(client: Client) -> None:
    client.send(0x0E)
    assert client.read() == packets.ok()


def test_ends_leave_no_descriptor_behind(tmp_path: Path) -> None:
    engine, coordinator = Peer(), Coordinator()
    program = Program(tmp_path, engine.address, coordinator.address)
    address, pid = program.address(), program.process.pid
    watch, _ = coordinator.next(b"follow")
    first = Client(address)
    ping(first)
    before = held(pid)
    for _ in range(5):  # watches that end one after another
        watch.shutdown(socket.SHUT_RDWR)
        watch, _ = coordinator.next(b"follow")
    for _ in range(20):
        client = Client(address)
        ping(client)
        client.sock.close()
    until = time.monotonic() + LIMIT
    while held(pid) > before:
        assert time.monotonic() < until
        time.sleep(0.02)
    for peer in (engine, coordinator):
        peer.listener.close()
    assert program.end() == ""
