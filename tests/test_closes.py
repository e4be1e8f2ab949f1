"""The end of a client's connection: a request is answered completely, or was never sent to an engine.

Races are forced: a thread is held at a named function while the test performs the concurrent action.
"""

from __future__ import annotations

import contextlib
import errno
import gc
import os
import re
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tealwing.exchange import Cancelled, Query, Reply, Served
from tealwing.mysql import lingering, packets, server, session, statements
from tests.build import make_settings
from tests.peers import LIMIT, Client, request

PING, QUIT, QUERY, KILL = 0x0E, 0x01, 0x03, 0x0C
LARGE_RESULT = 48_000  # bytes; about the size of the largest result


def until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end, f"the condition did not hold within {LIMIT} s"
        time.sleep(0.002)


class Hold:
    """Once armed, blocks the first thread that calls a function until it is released."""

    def __init__(self, patch: pytest.MonkeyPatch, owner: Any, name: str) -> None:
        self.reached, self.go, self._armed = threading.Event(), threading.Event(), threading.Event()
        real = getattr(owner, name)

        def held(*args: Any, **named: Any) -> Any:
            if self._armed.is_set():
                self._armed.clear()
                self.reached.set()
                assert self.go.wait(LIMIT)
            return real(*args, **named)

        patch.setattr(owner, name, held)

    def arm(self) -> None:
        self._armed.set()

    def wait(self) -> None:
        assert self.reached.wait(LIMIT)


class RecordingSocket(socket.socket):
    """The server's socket of a client; records each shutdown, and calls the test's hooks before and after it."""

    rig: Rig

    def shutdown(self, how: int) -> None:
        self.rig.journal.append("shut")
        self.rig.before_shutdown()
        super().shutdown(how)
        self.rig.after_shutdown()


class Listener(socket.socket):
    """Accepts recording sockets; raises the errors that a test has set first."""

    rig: Rig

    def accept(self) -> tuple[socket.socket, Any]:
        if self.rig.accept_errors:
            raise OSError(self.rig.accept_errors.pop(), "accept error injected by the test")
        number, address = self._accept()  # type: ignore[attr-defined]
        sock = RecordingSocket(fileno=number)
        sock.rig = self.rig
        sock.setblocking(True)
        return sock, address


class Rig:
    """A server for which the test plays the engine."""

    def __init__(self, max_clients: int = 8) -> None:
        self.journal: list[str] = []  # "shut" for a shutdown, and the ids of the requests opened
        self.accept_errors: list[int] = []  # error numbers that the next accepts raise
        self.before_shutdown: Callable[[], object] = lambda: None
        self.after_shutdown: Callable[[], object] = lambda: None
        self.held: dict[str, threading.Event] = {}  # by request id; releases the request
        self.size = 1  # bytes of the second column of each result
        self._before = set(threading.enumerate())
        self.server = server.Server(("127.0.0.1", 0), max_clients, make_settings(), self._open)
        listener = Listener(fileno=self.server._listener.detach())
        listener.rig = self
        listener.setblocking(False)
        self.server._listener = listener
        self.address = self.server.address
        self.server.start()

    def hold(self, call: str) -> threading.Event:
        self.held[call] = threading.Event()
        return self.held[call]

    @property
    def opened(self) -> list[str]:
        return [entry for entry in self.journal if entry != "shut"]

    @property
    def lingering(self) -> int:
        return len(getattr(self.server, "_lingering", ()))

    def session(self, client: Client) -> session.Session:
        found = self.server.session(client.id)
        assert found is not None
        return found

    def wait_until_idle(self, client: Client) -> None:
        """Wait until the client's session is between two commands, and in the epoll set."""
        ours = self.session(client)
        until(lambda: ours._waiting is not None and ours.fileno() in self.server._waiting)

    def wait_until_empty(self) -> None:
        """Wait until the server holds nothing of any client."""
        until(lambda: not self.server._sessions and not self.lingering and not self.server._waiting)

    def end(self) -> None:
        """End the server, wait for its threads, and close its descriptors."""
        self.server.stop_listening()
        assert self.server.finish(LIMIT)
        until(lambda: not any("session" in one.name for one in set(threading.enumerate()) - self._before))
        self.server._ready.close()
        self.server._listener.close()
        os.close(self.server._end_reader)

    def _open(self, query: Query, settings: object) -> HeldRequest:
        call = query.request_id.decode()
        self.journal.append(call)
        return HeldRequest(self, call)


class HeldRequest:
    """A request that is answered with its own id, once it is released."""

    def __init__(self, rig: Rig, call: str) -> None:
        self._rig, self._call, self._cancelled = rig, call, threading.Event()

    def run(self) -> Reply:
        held = self._rig.held.get(self._call)
        if held is not None:
            until(lambda: held.is_set() or self._cancelled.is_set())
        if self._cancelled.is_set():
            return Cancelled()
        return Served((f"{self._call}\t{'x' * self._rig.size}\t-\n".encode(),))

    def cancel(self) -> None:
        self._cancelled.set()


def read_call(text: bytes, _: object, received_at: float) -> Query:
    """Replace `statements.parse_query`: read only the request id."""
    found = re.search(rb"call=(\w+)", text)
    assert found
    return Query(found[1], 0, 0, 20.0, b"SELECT 1", received_at=received_at)


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Iterator[Rig]:
    monkeypatch.setattr(statements, "parse_query", read_call)
    rig = Rig()
    yield rig
    for held in rig.held.values():
        held.set()
    rig.end()


def query(call: str) -> bytes:
    return packets.packet(0, bytes([QUERY]) + request(call=call))


def ping(client: Client) -> None:
    client.send(PING)
    assert client.read() == packets.ok()


def answered(client: Client, call: str) -> bool:
    """Return whether the complete answer to a request arrives; False if the connection ends without it."""
    try:
        rows = client.rows()
    except (EOFError, ConnectionResetError):
        return False
    assert len(rows) == 1 and rows[0][1 : 1 + len(call)] == call.encode()
    return True


def assert_clean_end(client: Client) -> None:
    """Assert that the connection ends without further data and without a reset."""
    client.sock.settimeout(LIMIT)
    with pytest.raises(EOFError):
        client.read()


def idle_client(rig: Rig) -> Client:
    """Return a client that has been answered and is idle."""
    client = Client(rig.address)
    ping(client)
    rig.wait_until_idle(client)
    return client


# Lingering closes


OWN_ID = b"self"  # stands for the connection id of the client that sends it
UNREAD_INPUT = b"\0" * 64 * 1024  # input that a session does not read before it ends: a thread reads 4 KB at a time


@pytest.mark.parametrize(
    "last",
    [
        packets.packet(7, b"\x0e"),  # out of order: an error ends the session
        packets.packet(0, bytes([QUIT])),
        packets.packet(0, bytes([KILL]) + OWN_ID),
    ],
    ids=["packet-error", "quit", "kill"],
)
def test_unread_input_does_not_destroy_the_last_answer(rig: Rig, monkeypatch: pytest.MonkeyPatch, last: bytes) -> None:
    # fault: a close with unread input reset the connection, which destroyed what the client had not read yet
    def connect_with_small_buffer(address: tuple[str, int], limit: float) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(limit)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # it reads its answer in small steps
        sock.connect(address)
        return sock

    monkeypatch.setattr(socket, "create_connection", connect_with_small_buffer)
    rig.size = LARGE_RESULT
    client = Client(rig.address)
    last = last.replace(OWN_ID, client.id.to_bytes(4, "little"))
    client.sock.sendall(query("1") + last + UNREAD_INPUT)
    until(lambda: not rig.server._sessions)
    assert answered(client, "1")
    if last[3] or last[4] == KILL:
        assert client.read()[0] == (0xFF if last[3] else 0)
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


def test_client_gets_the_error_of_its_failed_login(rig: Rig) -> None:
    # fault: queries sent right after a failed login stayed unread, and reset the connection before the error arrived
    client = Client(rig.address, b"mallory", UNREAD_INPUT)
    assert int.from_bytes(client.login[1:3], "little") == 1045
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


def test_client_gets_the_error_of_a_bad_handshake(rig: Rig) -> None:
    with socket.create_connection(rig.address, LIMIT) as sock:
        sock.sendall(packets.packet(1, b"no login") + UNREAD_INPUT)
        got = b""
        while data := sock.recv(4096):
            got += data
        assert b"Bad handshake" in got
    rig.wait_until_empty()


def test_cleanly_closed_connection_does_not_linger(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        server.Server, "move_to_lingering", lambda *_: pytest.fail("a cleanly closed connection lingers")
    )
    gone, quitting = Client(rig.address), Client(rig.address)
    for client in (gone, quitting):
        ping(client)
    quitting.send(QUIT)
    assert_clean_end(quitting)
    gone.sock.close()
    rig.wait_until_empty()
    assert "shut" not in rig.journal


def test_lingering_is_bounded_in_time(rig: Rig) -> None:
    # the client neither reads nor closes; its descriptor must be freed all the same
    client = Client(rig.address, also=packets.packet(7, b"\x0e") + UNREAD_INPUT)
    until(lambda: rig.lingering == 1)
    begun = time.monotonic()
    rig.wait_until_empty()
    assert time.monotonic() - begun < lingering.LINGER_TIME + server.TIME_LIMIT_CHECK_INTERVAL + LIMIT / 10
    client.sock.close()


def test_lingering_is_bounded_in_bytes(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    client = Client(rig.address, also=packets.packet(7, b"\x0e"))
    sent = 0
    with pytest.raises(OSError):  # the server closes while the client still sends
        while sent < 256 * lingering.MAX_LINGER_BYTES:
            sent += client.sock.send(UNREAD_INPUT)
    rig.wait_until_empty()
    assert not rig.opened


def test_flood_of_bad_clients_does_not_exhaust_the_places(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    # lingering connections are bounded in number and closed first: idle clients keep their connections
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    idle = [idle_client(rig) for _ in range(5)]
    bad = []
    most = 0
    for _ in range(60):
        with contextlib.suppress(EOFError, ConnectionError):
            bad.append(Client(rig.address, also=packets.packet(7, b"\x0e") + UNREAD_INPUT[:8192]))
        until(lambda: len(rig.server._sessions) == 5)
        most = max(most, len(rig.server._sessions) + rig.lingering)
    assert most <= 8
    until(lambda: rig.lingering <= 1)
    for client in idle:
        ping(client)
    late = Client(rig.address)
    ping(late)
    for client in (*bad, *idle, late):
        client.sock.close()
    rig.wait_until_empty()


def test_drain_ends_lingering(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    client = Client(rig.address, also=packets.packet(7, b"\x0e"))
    until(lambda: rig.lingering == 1)
    rig.server.stop_listening()
    begun = time.monotonic()
    assert rig.server.finish(0.2)  # no answer is outstanding, so the drain is not cut short
    assert time.monotonic() - begun < LIMIT / 3
    rig.wait_until_empty()
    client.sock.close()


# The drain


def test_command_received_before_the_stop_is_answered_before_the_session_ends(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: a command that arrived during a stop was read and sent to an engine after the connection had been shut down
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = idle_client(rig)
    hold.arm()
    client.sock.sendall(query("1"))
    hold.wait()  # a thread has the event, but has read nothing
    rig.session(client).stop()
    assert "shut" not in rig.journal
    hold.go.set()
    assert answered(client, "1")
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


@pytest.mark.parametrize("way", ["stop", "kill", "evict"])
def test_command_sent_after_the_shutdown_is_not_opened(rig: Rig, monkeypatch: pytest.MonkeyPatch, way: str) -> None:
    # a request may run only once: the client resends elsewhere what it sent while its connection was being closed
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = idle_client(rig)
    ours = rig.session(client)
    rig.after_shutdown = lambda: client.sock.sendall(query("1"))
    hold.arm()
    match way:
        case "stop":
            ours.stop()
        case "kill":
            ours.kill(query_only=False)
        case "evict":
            assert ours.evict()
    hold.wait()  # the shutdown or the command has woken a thread, held here
    hold.go.set()
    assert not answered(client, "1")
    client.sock.close()
    rig.wait_until_empty()
    assert rig.journal[0] == "shut" and not rig.opened


@pytest.mark.parametrize("way", ["stop", "evict"])
def test_command_sent_between_input_check_and_shutdown_is_not_opened(rig: Rig, way: str) -> None:
    client = idle_client(rig)
    ours = rig.session(client)
    rig.before_shutdown = lambda: client.sock.sendall(query("1"))
    getattr(ours, way)()
    assert not answered(client, "1")
    client.sock.close()
    rig.wait_until_empty()
    assert not rig.opened


def test_drain_answers_all_pipelined_commands(rig: Rig) -> None:
    # fault: the session ended with its first answer, though further commands were complete in the parser and the socket
    go = rig.hold("1")
    client = Client(rig.address)
    client.sock.sendall(query("1") + query("2"))
    until(lambda: rig.opened == ["1"])
    client.sock.sendall(query("3"))
    rig.session(client).stop()
    go.set()
    assert [answered(client, call) for call in ("1", "2", "3")] == [True] * 3
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


def test_drain_serves_a_client_that_has_not_logged_in_yet(rig: Rig) -> None:
    with socket.create_connection(rig.address, LIMIT) as sock:
        assert sock.recv(4096)
        until(lambda: len(rig.server._waiting) == 1)
        (ours,) = rig.server._sessions.values()
        ours.stop()
        sock.sendall(packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0"))
        assert sock.recv(4096)[4] == 0
        sock.sendall(query("1"))
        got = b""
        while data := sock.recv(4096):
            got += data
        assert b"1" in got and got.endswith(packets.eof())
    rig.wait_until_empty()


def test_query_sent_with_the_login_is_answered_if_the_stop_comes_during_the_login(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    hold = Hold(monkeypatch, session.Session, "_login")
    hold.arm()
    found: list[Client] = []
    connecting = threading.Thread(target=lambda: found.append(Client(rig.address, also=query("1"))))
    connecting.start()
    hold.wait()
    (ours,) = rig.server._sessions.values()
    ours.stop()
    hold.go.set()
    connecting.join(LIMIT)
    assert answered(found[0], "1")
    assert_clean_end(found[0])
    found[0].sock.close()
    rig.wait_until_empty()


@pytest.mark.parametrize("read", [True, False])
def test_drain_answers_an_incomplete_command_once_its_rest_arrives(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, read: bool
) -> None:
    # fault: with its first half unread at the stop, the session was taken for an idle one and closed
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = idle_client(rig)
    ours = rig.session(client)
    if not read:
        hold.arm()
    client.sock.sendall(query("1")[:9])
    if read:
        until(lambda: ours._parser.begun and ours._waiting is not None)
    else:
        hold.wait()
    ours.stop()
    hold.go.set()
    until(lambda: ours._parser.begun or ours.fileno() < 0)
    client.sock.sendall(query("1")[9:])
    assert answered(client, "1")
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()
    assert rig.opened == ["1"]


def test_command_that_stays_incomplete_does_not_block_the_drain(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session, "PACKET_LIMIT", 0.1)
    client = idle_client(rig)
    client.sock.sendall(query("1")[:9])
    rig.session(client).stop()
    rig.wait_until_empty()
    client.sock.close()
    assert not rig.opened


# Eviction


def test_longest_idle_client_is_evicted_first_and_an_incomplete_command_last(rig: Rig) -> None:
    # fault: idle time was measured as a share of each client's limit, so that a client which had connected 0.1 s ago
    # was evicted before one that had been idle for 2 s
    clients = [idle_client(rig) for _ in range(6)]
    half, fresh = clients[0], socket.create_connection(rig.address, LIMIT)
    until(lambda: len(rig.server._sessions) == 7)
    (newest,) = (ours for ours in rig.server._sessions.values() if ours._first_due)
    until(lambda: newest._waiting is not None)
    half.sock.sendall(query("1")[:9])
    ours = rig.session(half)
    until(lambda: ours._parser.begun and ours._waiting is not None)
    now = time.monotonic()
    for age, client in zip((30.0, 20.0, 2.0, 1.9, 1.8, 1.7), clients, strict=True):
        one = rig.session(client)
        assert one._waiting is not None
        one._last_answer_at = now - age
        one._waiting = now - age, one._waiting[1]
    newest._last_answer_at = now - 0.2
    newest._waiting = now - 0.2, now + session.FIRST_LIMIT - 0.2
    order = [clients[n] for n in (1, 2, 3, 4, 5)]
    for client in order:
        rig.server._evict_idlest(False)
        assert_clean_end(client)
    rig.server._evict_idlest(False)
    assert not [c for c in (fresh,) if c.recv(4096) == b""]  # the greeting
    assert fresh.recv(4096) == b""
    half.sock.sendall(query("1")[9:])  # it would be evicted last
    assert answered(half, "1")
    for sock in (fresh, *(client.sock for client in clients)):
        sock.close()
    rig.wait_until_empty()


def test_new_client_is_accepted_when_idle_clients_hold_all_places(rig: Rig) -> None:
    idle = [idle_client(rig) for _ in range(30)]
    late = Client(rig.address, also=query("1"))
    assert answered(late, "1")
    for client in (*idle, late):
        client.sock.close()
    rig.wait_until_empty()


def assert_accepted(rig: Rig, late: socket.socket, clients: list[Client]) -> None:
    """The late client gets its greeting; then all clients leave."""
    late.settimeout(LIMIT / 3)
    assert late.recv(4096)  # the greeting
    for sock in (late, *(client.sock for client in clients)):
        sock.close()
    rig.wait_until_empty()


def test_client_that_connects_while_all_are_busy_is_accepted_once_one_is_idle(rig: Rig) -> None:
    # fault: no client was accepted until some session had ended without an eviction, after up to 60 s idle
    events = [rig.hold(str(n)) for n in range(8)]
    busy = [Client(rig.address, also=query(str(n))) for n in range(8)]
    until(lambda: len(rig.opened) == 8)
    late = socket.create_connection(rig.address, LIMIT)
    for n, event in enumerate(events):
        event.set()
        assert answered(busy[n], str(n))
    assert_accepted(rig, late, busy)


def test_client_is_accepted_once_one_is_idle_after_an_eviction_found_none(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    hold = Hold(monkeypatch, server.Server, "_evict_idlest")
    rig.server._reserved_places = 0  # all places can be taken before a client is evicted
    clients = [idle_client(rig) for _ in range(8)]
    for n in range(8):
        rig.hold(str(n))
    hold.arm()
    late = socket.create_connection(rig.address, LIMIT)
    hold.wait()  # a thread is about to evict a client; before it chooses, all of them send a command
    for n, client in enumerate(clients):
        client.sock.sendall(query(str(n)))
    hold.go.set()
    until(lambda: len(rig.opened) == len(clients))
    for n, client in enumerate(clients):
        rig.held[str(n)].set()
        assert answered(client, str(n))
    assert_accepted(rig, late, clients)


def test_clients_with_unread_input_are_not_evicted_and_the_next_client_is_accepted(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    clients = [idle_client(rig) for _ in range(7)]
    real, held = session.Session._serve, threading.Event()
    mine = {client.id for client in clients}

    def serve(ours: session.Session, *args: Any) -> bool:
        if ours.number in mine:
            assert held.wait(LIMIT)
        return real(ours, *args)

    monkeypatch.setattr(session.Session, "_serve", serve)
    for n, client in enumerate(clients):
        client.sock.sendall(query(str(n)))
    until(lambda: rig.server._threads - rig.server._free == 7)
    last = Client(rig.address)
    ping(last)  # the eighth place
    assert len(rig.server._sessions) == 8
    assert not any(rig.session(client).evict() for client in clients)
    held.set()
    assert all(answered(client, str(n)) for n, client in enumerate(clients))
    late = Client(rig.address, also=query("late"))
    assert answered(late, "late")
    for client in (*clients, last, late):
        client.sock.close()
    rig.wait_until_empty()


def test_client_is_closed_after_its_idle_limit(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session, "IDLE_LIMIT", 0.2)
    client = idle_client(rig)
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


def test_descriptor_shortage_closes_lingering_connections_then_the_longest_idle(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # fault: after EMFILE, accept was retried every 50 ms, but no connection was closed to free a descriptor
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    idle = [idle_client(rig) for _ in range(3)]
    bad = Client(rig.address, also=packets.packet(7, b"\x0e"))
    until(lambda: rig.lingering == 1)
    rig.accept_errors = [errno.EMFILE]
    ping(late := Client(rig.address))
    until(lambda: rig.lingering == 0)
    assert len(rig.server._sessions) == 4
    rig.accept_errors = [errno.EMFILE]
    ping(latest := Client(rig.address))
    assert_clean_end(idle[0])
    for client in (*idle, bad, late, latest):
        client.sock.close()
    rig.wait_until_empty()


def test_stop_during_an_eviction_shuts_the_connection_down_once(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    client = idle_client(rig)
    ours = rig.session(client)
    stopping = threading.Thread(target=ours.stop)
    shuts = iter((stopping.start,))  # the stop comes during the eviction's shutdown
    rig.before_shutdown = lambda: next(shuts, bool)()
    assert ours.evict()
    stopping.join(LIMIT)
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()
    assert rig.journal == ["shut"]


def test_session_is_not_evicted_once_a_thread_serves_it(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = idle_client(rig)
    ours = rig.session(client)
    hold.arm()
    client.sock.sendall(query("1"))
    hold.wait()
    assert not ours.evict()  # its command has arrived
    hold.go.set()
    assert answered(client, "1")
    rig.wait_until_idle(client)
    assert ours.evict() and not ours.evict()
    assert_clean_end(client)
    client.sock.close()
    rig.wait_until_empty()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_closed_descriptor_is_not_shut_down(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    # a stop concurrent with the session's own close must not shut down the next user of the descriptor
    hold = Hold(monkeypatch, server.Server, "remove")
    client = idle_client(rig)
    ours = rig.session(client)
    hold.arm()
    reset(client.sock)
    hold.wait()  # its thread is about to close the socket
    ours.stop()
    ours.kill(query_only=False)
    hold.go.set()
    rig.wait_until_empty()
    assert ours.fileno() == -1
    ours.stop()
    ours.kill(query_only=False)
    ours.end_linger()


def test_server_end_releases_threads_and_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(statements, "parse_query", read_call)
    gc.collect()  # descriptors of earlier tests that wait for the collector must not count
    before = len(os.listdir("/proc/self/fd")), threading.active_count()
    rig = Rig()
    clients = [idle_client(rig) for _ in range(6)]
    clients.append(Client(rig.address, also=packets.packet(7, b"\x0e") + UNREAD_INPUT))
    rig.end()
    rig.wait_until_empty()
    for client in clients:
        client.sock.close()
    until(lambda: (len(os.listdir("/proc/self/fd")), threading.active_count()) == before)
