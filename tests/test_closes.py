"""The ends of a client's connection: at each, what has been read is answered whole or was never sent on.

Crossings are forced: a thread is held at a named point, and what crosses is done then.
"""

from __future__ import annotations

import contextlib
import errno
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
WHOLE = 48_000  # bytes, about: the largest result


def until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end, "it never came about"
        time.sleep(0.002)


class Hold:
    """Holds the first thread that comes to a function, once armed, until it is let go."""

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


class Spied(socket.socket):
    """A client's socket at the server, which writes down how it is shut, and calls what a test wants done then."""

    rig: Rig

    def shutdown(self, how: int) -> None:
        self.rig.journal.append("shut")
        self.rig.before_shutdown()
        super().shutdown(how)
        self.rig.after_shutdown()


class Listener(socket.socket):
    """Gives spied sockets, or the errors that a test wants first."""

    rig: Rig

    def accept(self) -> tuple[socket.socket, Any]:
        if self.rig.refusals:
            raise OSError(self.rig.refusals.pop(), "refused by a test")
        number, address = self._accept()  # type: ignore[attr-defined]
        spied = Spied(fileno=number)
        spied.rig = self.rig
        spied.setblocking(True)
        return spied, address


class Rig:
    """A server whose engine is a test."""

    def __init__(self, most: int = 8) -> None:
        self.journal: list[str] = []  # "shut", and the calls that were sent on
        self.refusals: list[int] = []
        self.before_shutdown: Callable[[], object] = lambda: None
        self.after_shutdown: Callable[[], object] = lambda: None
        self.held: dict[str, threading.Event] = {}
        self.size = 1  # bytes of a result's column, about
        self._before = set(threading.enumerate())
        self.server = server.Server(("127.0.0.1", 0), most, make_settings(), self._open)
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

    def rests(self, client: Client) -> None:
        """Wait until its session is between two commands, and in the epoll set."""
        waits = self.session(client)
        until(lambda: waits._waiting is not None and waits.fileno() in self.server._waiting)

    def empty(self) -> None:
        """Nothing is left of any client."""
        until(lambda: not self.server._sessions and not self.lingering and not self.server._waiting)

    def end(self) -> None:
        """End the server; all that it started and opened is gone then."""
        self.server.stop_listening()
        assert self.server.finish(LIMIT)
        until(lambda: not any("session" in one.name for one in set(threading.enumerate()) - self._before))
        self.server._ready.close()
        self.server._listener.close()
        os.close(self.server._end_reader)

    def _open(self, query: Query, settings: object) -> Work:
        call = query.request_id.decode()
        self.journal.append(call)
        return Work(self, call)


class Work:
    """A request that is answered with its own call, once it is let go."""

    def __init__(self, rig: Rig, call: str) -> None:
        self._rig, self._call, self._abandoned = rig, call, threading.Event()

    def run(self) -> Reply:
        held = self._rig.held.get(self._call)
        if held is not None:
            until(lambda: held.is_set() or self._abandoned.is_set())
        if self._abandoned.is_set():
            return Cancelled()
        return Served((f"{self._call}\t{'x' * self._rig.size}\t-\n".encode(),))

    def cancel(self) -> None:
        self._abandoned.set()


def read_call(text: bytes, _: object, taken: float) -> Query:
    found = re.search(rb"call=(\w+)", text)
    assert found
    return Query(found[1], 0, 0, 20.0, b"SELECT 1", received_at=taken)


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
    """Whether the whole answer to a call comes; False: the connection ends with nothing more."""
    try:
        rows = client.rows()
    except (EOFError, ConnectionResetError):
        return False
    assert len(rows) == 1 and rows[0][1 : 1 + len(call)] == call.encode()
    return True


def ends_clean(client: Client) -> None:
    """Nothing more comes, and the end is no reset."""
    client.sock.settimeout(LIMIT)
    with pytest.raises(EOFError):
        client.read()


def resting(rig: Rig) -> Client:
    """A client that has been answered and rests; what opened the journal is forgotten."""
    client = Client(rig.address)
    ping(client)
    rig.rests(client)
    return client


# lingering closes


MANY = b"\0" * 64 * 1024  # bytes that a session does not read before it ends: its thread reads 4 KB at once


@pytest.mark.parametrize(
    "last",
    [
        packets.packet(7, b"\x0e"),  # out of order: an error, and the end
        packets.packet(0, bytes([QUIT])),
        packets.packet(0, bytes([KILL]) + b"\1\0\0\0"),  # of itself: the first connection
    ],
    ids=["packet-error", "quit", "kill"],
)
def test_a_last_answer_is_not_destroyed_by_bytes_that_nobody_reads(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, last: bytes
) -> None:
    # guards the answer: a close over unread bytes reset the connection, and took along what the client had not read
    def slow(address: tuple[str, int], limit: float) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(limit)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # it takes its answer in small steps
        sock.connect(address)
        return sock

    monkeypatch.setattr(socket, "create_connection", slow)
    rig.size = WHOLE
    client = Client(rig.address)
    client.sock.sendall(query("1") + last + MANY)
    until(lambda: not rig.server._sessions)
    assert answered(client, "1")
    if last[3] or last[4] == KILL:
        assert client.read()[0] == (0xFF if last[3] else 0)
    ends_clean(client)
    client.sock.close()
    rig.empty()


def test_a_client_that_may_not_log_in_hears_why(rig: Rig) -> None:
    # guards the error against the queries written behind a login: unread, they reset the connection
    client = Client(rig.address, b"mallory", MANY)
    assert int.from_bytes(client.login[1:3], "little") == 1045
    ends_clean(client)
    client.sock.close()
    rig.empty()


def test_an_error_that_ends_a_session_before_its_login_is_heard(rig: Rig) -> None:
    with socket.create_connection(rig.address, LIMIT) as sock:
        sock.sendall(packets.packet(1, b"no login") + MANY)
        got = b""
        while data := sock.recv(4096):
            got += data
        assert b"Bad handshake" in got
    rig.empty()


def test_a_clean_close_lingers_for_nothing(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server.Server, "lingers", lambda *_: pytest.fail("it lingers"))
    gone, quitting = Client(rig.address), Client(rig.address)
    for client in (gone, quitting):
        ping(client)
    quitting.send(QUIT)
    ends_clean(quitting)
    gone.sock.close()
    rig.empty()
    assert "shut" not in rig.journal


def test_lingering_is_bounded_in_time(rig: Rig) -> None:
    # the client neither reads nor ends; it gives the descriptor back all the same
    client = Client(rig.address, also=packets.packet(7, b"\x0e") + MANY)
    until(lambda: rig.lingering == 1)
    begun = time.monotonic()
    rig.empty()
    assert time.monotonic() - begun < lingering.LINGER_TIME + server.TIME_LIMIT_CHECK_INTERVAL + LIMIT / 10
    client.sock.close()


def test_lingering_is_bounded_in_bytes(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    client = Client(rig.address, also=packets.packet(7, b"\x0e"))
    sent = 0
    with pytest.raises(OSError):  # closed, while it still sends
        while sent < 256 * lingering.MAX_LINGER_BYTES:
            sent += client.sock.send(MANY)
    rig.empty()
    assert not rig.opened


def test_a_flood_of_bad_clients_holds_no_descriptors(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    # what lingers is bounded in number, and goes first: the clients that rest keep their connections
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    rests = [resting(rig) for _ in range(5)]
    bad = []
    most = 0
    for _ in range(60):
        with contextlib.suppress(EOFError, ConnectionError):
            bad.append(Client(rig.address, also=packets.packet(7, b"\x0e") + MANY[:8192]))
        until(lambda: len(rig.server._sessions) == 5)
        most = max(most, len(rig.server._sessions) + rig.lingering)
    assert most <= 8
    until(lambda: rig.lingering <= 1)
    for client in rests:
        ping(client)
    late = Client(rig.address)
    ping(late)
    for client in (*bad, *rests, late):
        client.sock.close()
    rig.empty()


def test_lingering_ends_with_the_drain(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    client = Client(rig.address, also=packets.packet(7, b"\x0e"))
    until(lambda: rig.lingering == 1)
    rig.server.stop_listening()
    begun = time.monotonic()
    assert rig.server.finish(0.2)  # nothing is owed: it is no drain that was cut short
    assert time.monotonic() - begun < LIMIT / 3
    rig.empty()
    client.sock.close()


# the drain


def test_a_command_that_came_before_the_stop_is_answered_and_the_session_ends(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards what crosses a stop: it was read and sent on after the connection had been shut
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = resting(rig)
    hold.arm()
    client.sock.sendall(query("1"))
    hold.wait()  # a thread has the event, and has read nothing
    rig.session(client).stop()
    assert "shut" not in rig.journal
    hold.go.set()
    assert answered(client, "1")
    ends_clean(client)
    client.sock.close()
    rig.empty()


@pytest.mark.parametrize("way", ["stop", "kill", "evict"])
def test_what_comes_after_the_end_is_not_sent_on(rig: Rig, monkeypatch: pytest.MonkeyPatch, way: str) -> None:
    # guards the rule on one answer: the client sends again elsewhere what crosses the end of its connection
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = resting(rig)
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
    hold.wait()  # the shutdown or the command has woken a thread
    hold.go.set()
    assert not answered(client, "1")
    client.sock.close()
    rig.empty()
    assert rig.journal[0] == "shut" and not rig.opened


@pytest.mark.parametrize("way", ["stop", "evict"])
def test_what_comes_between_the_look_and_the_end_is_not_sent_on(rig: Rig, way: str) -> None:
    client = resting(rig)
    ours = rig.session(client)
    rig.before_shutdown = lambda: client.sock.sendall(query("1"))
    getattr(ours, way)()
    assert not answered(client, "1")
    client.sock.close()
    rig.empty()
    assert not rig.opened


def test_commands_that_came_together_are_all_answered_at_the_drain(rig: Rig) -> None:
    # guards what is whole in the parser, and in the socket: the session ended with its first answer
    go = rig.hold("1")
    client = Client(rig.address)
    client.sock.sendall(query("1") + query("2"))
    until(lambda: rig.opened == ["1"])
    client.sock.sendall(query("3"))
    rig.session(client).stop()
    go.set()
    assert [answered(client, call) for call in ("1", "2", "3")] == [True] * 3
    ends_clean(client)
    client.sock.close()
    rig.empty()


def test_a_client_with_no_login_yet_is_still_served_at_the_drain(rig: Rig) -> None:
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
    rig.empty()


def test_a_login_in_one_segment_with_a_query_crosses_the_stop(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
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
    ends_clean(found[0])
    found[0].sock.close()
    rig.empty()


@pytest.mark.parametrize("read", [True, False])
def test_half_a_command_at_the_drain_is_answered_when_its_rest_comes(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, read: bool
) -> None:
    # unread as the stop comes, it was closed over: the session passed for one between commands
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = resting(rig)
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
    ends_clean(client)
    client.sock.close()
    rig.empty()
    assert rig.opened == ["1"]


def test_half_a_command_that_stays_half_does_not_hold_the_drain(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session, "PACKET_LIMIT", 0.1)
    client = resting(rig)
    client.sock.sendall(query("1")[:9])
    rig.session(client).stop()
    rig.empty()
    client.sock.close()
    assert not rig.opened


# eviction


def test_the_longest_idle_client_is_evicted_and_half_a_command_last(rig: Rig) -> None:
    # guards clients that have just connected or are slow: idle time was counted in shares of each client's limit,
    # so that one which had connected 0.1 s ago went before one that had rested for 2 s
    clients = [resting(rig) for _ in range(6)]
    half, fresh = clients[0], socket.create_connection(rig.address, LIMIT)
    until(lambda: len(rig.server._sessions) == 7)
    (newest,) = (ours for ours in rig.server._sessions.values() if ours._first)
    until(lambda: newest._waiting is not None)
    half.sock.sendall(query("1")[:9])
    ours = rig.session(half)
    until(lambda: ours._parser.begun and ours._waiting is not None)
    now = time.monotonic()
    for age, client in zip((30.0, 20.0, 2.0, 1.9, 1.8, 1.7), clients, strict=True):
        one = rig.session(client)
        assert one._waiting is not None
        one._since = now - age
        one._waiting = now - age, one._waiting[1]
    newest._since = now - 0.2
    newest._waiting = now - 0.2, now + session.FIRST_LIMIT - 0.2
    order = [clients[n] for n in (1, 2, 3, 4, 5)]
    for client in order:
        rig.server._evict_idlest(False)
        ends_clean(client)
    rig.server._evict_idlest(False)
    assert not [c for c in (fresh,) if c.recv(4096) == b""]  # the greeting
    assert fresh.recv(4096) == b""
    half.sock.sendall(query("1")[9:])  # it goes last
    assert answered(half, "1")
    for sock in (fresh, *(client.sock for client in clients)):
        sock.close()
    rig.empty()


def test_a_usual_client_gets_in_when_every_place_is_held_by_idle_ones(rig: Rig) -> None:
    idle = [resting(rig) for _ in range(30)]
    late = Client(rig.address, also=query("1"))
    assert answered(late, "1")
    for client in (*idle, late):
        client.sock.close()
    rig.empty()


def test_a_client_that_came_when_all_were_busy_gets_in_once_one_is_idle(rig: Rig) -> None:
    # guards the next client: nobody was accepted until a session had ended by itself, after up to 60 s of rest
    events = [rig.hold(str(n)) for n in range(8)]
    busy = [Client(rig.address, also=query(str(n))) for n in range(8)]
    until(lambda: len(rig.opened) == 8)
    late = socket.create_connection(rig.address, LIMIT)
    for n, event in enumerate(events):
        event.set()
        assert answered(busy[n], str(n))
    late.settimeout(LIMIT / 3)
    assert late.recv(4096)  # the greeting
    for sock in (late, *(client.sock for client in busy)):
        sock.close()
    rig.empty()


def test_a_client_that_came_when_nobody_could_be_evicted_gets_in_once_one_is_idle(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    hold = Hold(monkeypatch, server.Server, "_evict_idlest")
    rig.server._reserved_places = 0  # all places may be taken before one is evicted
    clients = [resting(rig) for _ in range(8)]
    for n in range(8):
        rig.hold(str(n))
    hold.arm()
    late = socket.create_connection(rig.address, LIMIT)
    hold.wait()  # a thread looks for one to evict, and all have sent something by then
    for n, client in enumerate(clients):
        client.sock.sendall(query(str(n)))
    hold.go.set()
    until(lambda: len(rig.opened) == len(clients))
    for n, client in enumerate(clients):
        rig.held[str(n)].set()
        assert answered(client, str(n))
    late.settimeout(LIMIT / 3)
    assert late.recv(4096)  # the greeting
    for sock in (late, *(client.sock for client in clients)):
        sock.close()
    rig.empty()


def test_clients_with_unread_bytes_are_not_evicted_and_the_next_still_gets_in(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    clients = [resting(rig) for _ in range(7)]
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
    rig.empty()


def test_a_client_whose_time_is_over_is_closed(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session, "IDLE_LIMIT", 0.2)
    client = resting(rig)
    ends_clean(client)
    client.sock.close()
    rig.empty()


def test_descriptors_that_run_out_are_taken_from_what_lingers_then_from_the_longest_idle(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards accepts against EMFILE: they were tried again every 50 ms, and nothing was closed for them
    monkeypatch.setattr(lingering, "LINGER_TIME", LIMIT)
    idle = [resting(rig) for _ in range(3)]
    bad = Client(rig.address, also=packets.packet(7, b"\x0e"))
    until(lambda: rig.lingering == 1)
    rig.refusals = [errno.EMFILE]
    ping(late := Client(rig.address))
    until(lambda: rig.lingering == 0)
    assert len(rig.server._sessions) == 4
    rig.refusals = [errno.EMFILE]
    ping(latest := Client(rig.address))
    ends_clean(idle[0])
    for client in (*idle, bad, late, latest):
        client.sock.close()
    rig.empty()


def test_an_eviction_crosses_the_drain(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    client = resting(rig)
    ours = rig.session(client)
    stopping = threading.Thread(target=ours.stop)
    shuts = iter((stopping.start,))  # the stop comes as the eviction shuts
    rig.before_shutdown = lambda: next(shuts, bool)()
    assert ours.evict()
    stopping.join(LIMIT)
    ends_clean(client)
    client.sock.close()
    rig.empty()
    assert rig.journal == ["shut"]


def test_an_eviction_crosses_the_thread_that_picks_the_session_up(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    hold = Hold(monkeypatch, session.Session, "_serve")
    client = resting(rig)
    ours = rig.session(client)
    hold.arm()
    client.sock.sendall(query("1"))
    hold.wait()
    assert not ours.evict()  # its command has come
    hold.go.set()
    assert answered(client, "1")
    rig.rests(client)
    assert ours.evict() and not ours.evict()
    ends_clean(client)
    client.sock.close()
    rig.empty()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_a_descriptor_is_not_shut_after_its_close(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    # a stop that crosses the session's own end must not shut whoever has the descriptor next
    hold = Hold(monkeypatch, server.Server, "ended")
    client = resting(rig)
    ours = rig.session(client)
    hold.arm()
    reset(client.sock)
    hold.wait()  # its thread is about to close it
    ours.stop()
    ours.kill(query_only=False)
    hold.go.set()
    rig.empty()
    assert ours.fileno() == -1
    ours.stop()
    ours.kill(query_only=False)
    ours.end_linger()


def test_a_rig_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(statements, "parse_query", read_call)
    before = len(os.listdir("/proc/self/fd")), threading.active_count()
    rig = Rig()
    clients = [resting(rig) for _ in range(6)]
    clients.append(Client(rig.address, also=packets.packet(7, b"\x0e") + MANY))
    rig.end()
    rig.empty()
    for client in clients:
        client.sock.close()
    until(lambda: (len(os.listdir("/proc/self/fd")), threading.active_count()) == before)
