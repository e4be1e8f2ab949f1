"""Several processes of one gateway on one listening socket, as during upgrades: a KILL at any of them.

Tests wait for events only; other processes are stopped by SIGSTOP while a client is to be accepted by a certain one.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tealwing import config
from tealwing.mysql import packets
from tests.peers import LIMIT, Client, Peer, Program, say
from tests.test_program import PAGE

INTERRUPTED, UNKNOWN_THREAD, UNCONFIRMED = 1317, 1094, 1105  # MySQL error codes
KILL_LIMIT = 5.0  # s in which 40 KILLs are answered though the process of their connection is stopped


class Upgrades:
    """Processes of one gateway, which share a listening socket and a temporary directory, and one engine."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.engine = folder, Peer()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.processes: list[Program] = []
        self.calls = 0

    def start(self) -> Program:
        program = Program(self.folder, self.engine.address, listener=self.listener)
        program.address()  # waits until it serves
        self.processes.append(program)
        return program

    def client_of(self, program: Program) -> Client:
        """Return a client whose connection is accepted by this process."""
        others = [other.process for other in self.processes if other is not program and other.process.poll() is None]
        for other in others:
            stop(other)
        try:
            return Client(self.listener.getsockname())
        finally:
            for other in others:
                other.send_signal(signal.SIGCONT)

    def ask(self, client: Client) -> tuple[socket.socket, bytes]:
        """Send a request; return the engine's connection on which it came, and its id, once it is at the engine."""
        self.calls += 1
        client.ask(call=f"{self.calls:016x}")
        sock, parts = self.engine.next(b"want")
        assert parts[1] == f"{self.calls:016x}".encode()
        return sock, parts[1]

    def end(self) -> None:
        errors = [program.end() for program in self.processes]
        self.engine.listener.close()
        self.listener.close()
        assert not any(errors), errors


def stop(process: subprocess.Popen[str]) -> None:
    """Stop a process, and wait until none of its threads runs."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED)


@pytest.fixture
def upgrades(tmp_path: Path) -> Iterator[Upgrades]:
    found = Upgrades(tmp_path)
    yield found
    found.end()


def kill(client: Client, connection: int) -> bytes:
    """Send KILL QUERY and return the payload of its answer."""
    client.send(0x03, b"KILL QUERY %d" % connection)
    return client.read()


def code(payload: bytes) -> int:
    """Return the error code of an error packet."""
    assert payload[0] == 0xFF
    return int.from_bytes(payload[1:3], "little")


def assert_served(client: Client, at: tuple[socket.socket, bytes]) -> None:
    """Answer the client's request at the engine; the client gets the rows."""
    say(at[0], at[1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 2


@pytest.mark.parametrize("way", ["query", "command"])
def test_kill_ends_its_own_request_only_at_any_of_three_processes(upgrades: Upgrades, way: str) -> None:
    # fault: processes gave the same connection ids, so KILL ended a request of another client, and not its own
    programs = [upgrades.start() for _ in range(3)]  # a second upgrade began before the first process had ended
    killers = [upgrades.client_of(program) for program in programs]
    for place, program in enumerate(programs):
        for killer in killers:
            client = upgrades.client_of(program)
            _, call = upgrades.ask(client)
            others = [upgrades.client_of(other) for other in programs]
            open_ = [upgrades.ask(other) for other in others]
            if way == "query":
                assert kill(killer, client.id) == packets.ok(), place
            else:
                killer.send(0x0C, client.id.to_bytes(4, "little"))
                assert killer.read() == packets.ok(), place
            assert code(client.read()) == INTERRUPTED
            assert upgrades.engine.next(b"never_mind")[1][1] == call
            for other, at in zip(others, open_, strict=True):
                assert_served(other, at)


def test_kill_reaches_a_request_of_a_draining_process(upgrades: Upgrades) -> None:
    # fault: after SIGTERM the old process accepts no client, so no KILL reached its requests, which were retried
    old = upgrades.start()
    client = upgrades.client_of(old)
    _, call = upgrades.ask(client)
    new = upgrades.start()
    other = upgrades.client_of(new)
    at = upgrades.ask(other)
    old.terminate()
    old.wait_for("draining")
    assert kill(upgrades.client_of(new), client.id) == packets.ok()
    assert code(client.read()) == INTERRUPTED
    assert upgrades.engine.next(b"never_mind")[1][1] == call
    assert old.process.wait(LIMIT) == 0
    assert code(kill(upgrades.client_of(new), client.id)) == UNKNOWN_THREAD  # the process has ended
    assert_served(other, at)


def test_kill_for_a_dead_process_ends_no_request_of_its_successors(upgrades: Upgrades) -> None:
    # fault: a process reused the ids of one that had crashed, so a late KILL cancelled a request of another client
    old = upgrades.start()
    gone = [upgrades.client_of(old) for _ in range(3)]
    old.process.kill()
    old.process.wait(LIMIT)
    programs = [upgrades.start(), upgrades.start()]
    clients = [upgrades.client_of(program) for program in programs for _ in range(3)]
    open_ = [upgrades.ask(client) for client in clients]
    assert not {client.id for client in gone} & {client.id for client in clients}
    for program in programs:
        killer = upgrades.client_of(program)
        for client in gone:
            assert code(kill(killer, client.id)) == UNKNOWN_THREAD
    for client, at in zip(clients, open_, strict=True):
        assert_served(client, at)


def test_kill_for_a_stopped_process_is_answered_and_blocks_no_other_client(upgrades: Upgrades) -> None:
    old = upgrades.start()
    client = upgrades.client_of(old)
    upgrades.ask(client)
    new = upgrades.start()
    killers = [upgrades.client_of(new) for _ in range(40)]
    other = upgrades.client_of(new)
    stop(old.process)
    begun = time.monotonic()
    for killer in killers:
        assert code(kill(killer, client.id)) == UNCONFIRMED
    assert time.monotonic() - begun < KILL_LIMIT
    assert_served(other, upgrades.ask(other))
    old.process.send_signal(signal.SIGCONT)
    until = time.monotonic() + LIMIT
    while kill(killers[0], client.id) != packets.ok():  # confirmed again once the process has replied
        assert time.monotonic() < until
    assert code(client.read()) == INTERRUPTED


def test_process_without_a_usable_temporary_directory_serves_and_logs_it(tmp_path: Path) -> None:
    upgrades = Upgrades(tmp_path)
    host, port = upgrades.listener.getsockname()
    (tmp_path / f"tealwing-{host}-{port}").write_text("not a directory")
    program = Program(tmp_path, upgrades.engine.address, listener=upgrades.listener)
    upgrades.processes.append(program)
    assert "remove it" in program.wait_for("kill_relay_unavailable")["error"]
    program.address()
    client = upgrades.client_of(program)
    upgrades.ask(client)
    assert kill(upgrades.client_of(program), client.id) == packets.ok()
    assert code(client.read()) == INTERRUPTED
    upgrades.end()


def test_processes_that_share_clients_divide_the_memory_limit(tmp_path: Path) -> None:
    program = Program(tmp_path, "127.0.0.1:1")
    assert program.end() == ""
    alone = config.load({"LB_CONFIG": str(program.path)})
    shared = config.load({"LB_CONFIG": str(program.path), "LB_ACCEPT_FD": "7"})
    assert 2 * shared.process_memory_limit == alone.process_memory_limit == alone.memory_limit
