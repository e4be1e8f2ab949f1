"""A client that leaves or is killed while its request waits, is out, or is about to go: each crossing is forced."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import queue
import select
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from queue import SimpleQueue
from types import SimpleNamespace
from typing import Any

import pytest

from tealwing import interface as api
from tealwing.coordinator import updates
from tealwing.exchange import Exchange, Query, Rejected, Reply
from tealwing.gateway import request_handler
from tealwing.gateway.decisions import Decisions
from tealwing.mysql import departures, packets, server, session
from tealwing.policy import Gateway
from tealwing.resp import engine
from tealwing.resp.connection import Connection
from tealwing.resp.engine_pool import EnginePool
from tealwing.rollout.admission.gate import Gate
from tests.build import entry, listing, make_settings, request_class
from tests.peers import LIMIT, Client, Peer, request, say

PAGE = b"a\tb\tc\n"
INTERRUPTED = 1317
GONE = 0.1  # s after which no attempt of a client that has left may begin (the operators' newest terms)
OURS = 60_000  # ms of a ttl past every wait of these tests: nothing here ends because its time is over


class Rig:
    """The server, the requests' lives, the module and the connections, with engines played by hand."""

    def __init__(self, threads: int | None = None, engines: int = 1, **of_class: Any) -> None:
        """of_class are fields of the one class of requests."""
        plain: dict[str, Any] = {"name": "lookup", "deadline": 60.0, "latency_objective": 20.0}
        self.settings = make_settings(tenants=("acme",), classes=(request_class(**(plain | of_class)),))
        self.peers = [Peer() for _ in range(engines)]
        self.engine = self.peers[0]
        self.engines = EnginePool(dataclasses.replace(self.settings.limits, connect_timeout=LIMIT))
        self.decisions = Decisions(self.settings, 1, self.engines)
        self.heard: list[api.Event] = []  # by the module, beside lists
        self.before: Callable[[api.Event], object] = lambda event: None
        submit = self.decisions.submit

        def submit_noting(*events: api.Event) -> None:
            for event in events:
                self.before(event)
                self.heard.append(event)
            submit(*events)

        entries = [entry(number) for number in range(engines)]
        self.engines.update(
            tuple(
                updates.Member(f"s-{number}", "127.0.0.1", int(peer.address.split(":")[1]), entries[number])
                for number, peer in enumerate(self.peers)
            ),
            True,
        )
        self.decisions.submit(listing(*entries))
        setattr(self.decisions, "submit", submit_noting)  # noqa: B010
        self.opened: SimpleQueue[bytes] = SimpleQueue()
        self.opening: Callable[[], object] = lambda: None
        self.blind = False  # requests don't ask their client's socket
        self.server = server.Server(("127.0.0.1", 0), 64, self.settings, self.open, max_threads=threads)
        self.decisions.start()
        self.engines.start()
        self.server.start()

    def open(self, query: Query, settings: api.Settings) -> request_handler.RequestHandler:
        self.opening()
        self.opened.put(query.request_id)
        if self.blind:
            query = dataclasses.replace(query, has_left=lambda: False)
        return request_handler.RequestHandler(query, settings, self.decisions, self.engines)

    def client(self) -> Client:
        return Client(self.server.address)

    def session(self, client: Client) -> session.Session:
        found = self.server.session(client.id)
        assert found is not None
        return found

    def ask(self, client: Client, call: int = 1) -> None:
        client.ask(call=name_of(call), ttl=OURS)

    def sent(self, call: int, peer: int = 0) -> tuple[socket.socket, bytes]:
        """The next thing that the engine hears is this request."""
        sock, parts = self.peers[peer].next(b"want")
        assert parts[1] == b"%016x" % call
        return sock, parts[1]

    def serve(self, client: Client, call: int) -> None:
        """Ask and be answered: nothing was sent to the engine before."""
        self.ask(client, call)
        self.answer(client, call)

    def answer(self, client: Client, call: int) -> None:
        sock, name = self.sent(call)
        say(sock, name, b"200", b"sheets=1", PAGE)
        assert len(client.rows()) == 1

    def nothing_left(self) -> None:
        """Books, places and tables are as before any request came."""
        wait(lambda: self.decisions.open_requests == 0)
        module = self.decisions.module
        assert isinstance(module, Gateway)
        wait(lambda: not module.requests)
        assert not module.ordering_queues and all(flow.in_flight == 0 for flow in module.class_traffic)
        for seen in module.engines.values():
            assert (seen.queries, seen.threads, seen.memory_reserved) == (0, 0, 0)
            assert all(estimate.in_flight == 0 for estimate in seen.estimates)
        for _, found in self.engines._engines.values():
            for connection in found._open:
                wait(partial(free, connection))
        assert not self.decisions._request_ids

    def gone(self, number: int) -> None:
        """The session is over, its connection lingers no more, and nothing is kept of it."""
        server = self.server
        with server._changed:
            assert server._changed.wait_for(lambda: number not in server._sessions and not server._lingering, LIMIT)
            left = {id(one) for one in self.server._sessions.values()}
            assert all(id(one) in left for one in self.server._waiting.values())
            assert self.server._armed <= set(self.server._waiting)

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.heard)

    def results(self) -> Counter[api.AttemptResult]:
        return Counter(event.result for event in self.heard if isinstance(event, api.AttemptOutcome))

    def end(self) -> None:
        self.server.stop_listening()
        assert self.server.finish(LIMIT)
        for peer in self.peers:
            peer.listener.close()


def name_of(call: int) -> str:
    return f"{call:016x}"


def free(connection: Connection) -> bool:
    return not connection.reserved_count and not connection.stream_count


def wait(holds: Callable[[], object]) -> None:
    until = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < until
        time.sleep(0.002)


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.end()


@pytest.fixture
def single() -> Iterator[Rig]:
    """A rig whose server has one session thread."""
    rig = Rig(threads=1)
    yield rig
    rig.end()


class Held:
    """Holds whoever comes to a point, until it is let go."""

    def __init__(self) -> None:
        self.come, self.go = threading.Semaphore(0), threading.Event()

    def __call__(self, *_: object) -> None:
        self.come.release()
        assert self.go.wait(LIMIT)

    def reached(self) -> None:
        assert self.come.acquire(timeout=LIMIT)


def fin(client: Client) -> None:
    client.sock.close()


def rst(client: Client) -> None:
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


def half(client: Client) -> None:
    client.sock.shutdown(socket.SHUT_WR)


def behind_bytes(client: Client) -> None:
    """A FIN with a whole command ahead of it, that nobody reads while the request is open."""
    client.send(0x0E)
    client.sock.shutdown(socket.SHUT_WR)


WAYS = [fin, rst, half, behind_bytes]


def leave(rig: Rig, client: Client, way: Callable[[Client], None] = fin) -> None:
    """The client leaves, and its end has come here."""
    one = rig.session(client)
    way(client)
    wait(lambda: departures.has_left(one._sock))


def kill(rig: Rig, client: Client, what: str = "QUERY ") -> None:
    """Another client's KILL, answered."""
    other = rig.client()
    other.send(3, f"KILL {what}{client.id}".encode())
    assert other.read() == packets.ok()
    other.sock.close()


# What is out


@pytest.mark.parametrize("way", WAYS)
def test_a_client_that_leaves_has_its_attempt_given_up(rig: Rig, way: Callable[[Client], None]) -> None:
    # guards the engines: nobody looked at a client whose request was open, and it ran, and was tried again
    client = rig.client()
    rig.ask(client)
    _, call = rig.sent(1)
    way(client)
    assert rig.engine.next(b"never_mind")[1][1] == call
    rig.gone(client.id)
    if way in (half, behind_bytes):  # it hears nothing, not even to what it had sent ahead
        client.sock.settimeout(LIMIT)
        try:
            assert client.sock.recv(4096) == b""
        except ConnectionResetError:  # closed over what it had sent ahead
            assert way is behind_bytes
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1 and rig.results() == {api.AttemptResult.CANCELLED: 1}
    rig.serve(rig.client(), 2)


def test_bytes_sent_ahead_wake_nobody_and_are_answered_in_turn(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    looks: SimpleQueue[int] = SimpleQueue()
    monkeypatch.setattr(session.Session, "check_departure", lambda self: looks.put(self.number))
    client = rig.client()
    rig.ask(client)
    sock, call = rig.sent(1)
    client.send(0x0E)
    wait(lambda: readable(rig.session(client)._sock))
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 1 and client.read() == packets.ok()
    assert looks.empty()


def readable(sock: socket.socket) -> bool:
    return bool(select.select([sock], [], [], 0)[0])


@pytest.mark.parametrize("way", WAYS)
def test_what_a_socket_says_of_its_client(way: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    assert not departures.has_left(ours)
    theirs.send(b"x")
    wait(lambda: readable(ours))
    assert not departures.has_left(ours)
    if way is fin:
        ours.recv(1)  # for a system that tells an end once all bytes are read
    way(SimpleNamespace(sock=theirs, send=lambda command: theirs.send(b"y")))
    wait(lambda: departures.has_left(ours))
    if way is fin:
        plain = SimpleNamespace(register=lambda *_: None, poll=lambda _: [(0, select.POLLIN)])
        monkeypatch.setattr(select, "poll", lambda: plain)
        assert departures.has_left(ours)
    ours.close()
    theirs.close()


def test_a_stop_under_an_open_request_is_no_leaving(rig: Rig) -> None:
    # the drain may come in the instant in which a request is read: it is owed its answer. A shutdown of our reading
    # side would look as if its client had left, so that none is made under an open request
    client = rig.client()
    rig.ask(client)
    sock, call = rig.sent(1)
    ours = rig.session(client)
    ours.stop()
    assert not ours.evict() and not departures.has_left(ours._sock)
    ours.check_departure()  # an event that came all the same is a hint, no more
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 1
    assert rig.count(api.ClientGone) == 0
    assert client.sock.recv(1) == b""


def test_a_killed_connection_hears_that_it_was_interrupted_and_ends(rig: Rig) -> None:
    client = rig.client()
    rig.ask(client)
    _, call = rig.sent(1)
    kill(rig, client, "")
    assert client.error()[0] == INTERRUPTED
    assert client.sock.recv(4096) == b""
    assert rig.engine.next(b"never_mind")[1][1] == call
    rig.gone(client.id)
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1


# The last check before the bytes go out

NOTICED = ["event", "socket"]  # by the event, in the mailbox; or by the last look at the socket alone


def go(rig: Rig, client: Client, how: str) -> None:
    """The client leaves; it is known by the time this returns where the event tells."""
    open_ = rig.session(client)._exchange
    assert isinstance(open_, request_handler.RequestHandler)
    leave(rig, client)
    if how == "event":
        wait(lambda: not open_._mailbox.empty())


@pytest.fixture(params=NOTICED)
def how(rig: Rig, request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> str:
    rig.blind = request.param == "event"
    if not rig.blind:
        monkeypatch.setattr(session.Session, "check_departure", lambda self: None)
    return str(request.param)


def unsent(rig: Rig, client: int, attempts: int = 1) -> None:
    """The request ended unsent, was told so once, and the next thing that the engine hears is another."""
    rig.gone(client)
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1 and rig.results()[api.AttemptResult.NOT_SENT] == 1
    assert sum(rig.results().values()) == attempts
    rig.serve(rig.client(), 9)


def test_it_leaves_during_our_own_connect(rig: Rig, how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    held, connect = Held(), engine.Engine._connect

    def connect_held(self: engine.Engine, limit: float) -> Connection:
        held()
        return connect(self, limit)

    monkeypatch.setattr(engine.Engine, "_connect", connect_held)
    client = rig.client()
    rig.ask(client)
    held.reached()
    go(rig, client, how)
    held.go.set()
    unsent(rig, client.id)


def test_it_leaves_during_the_connect_of_another(rig: Rig, how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    held, connect, reserve = Held(), engine.Engine._connect, engine.Engine._reserve
    waiting: queue.SimpleQueue[bytes] = queue.SimpleQueue()

    def connect_held(self: engine.Engine, limit: float) -> Connection:
        held()
        return connect(self, limit)

    def reserve_noting(self: engine.Engine, call: bytes, until: float) -> tuple[Connection, bool]:
        waiting.put(call)
        return reserve(self, call, until)

    monkeypatch.setattr(engine.Engine, "_connect", connect_held)
    monkeypatch.setattr(engine.Engine, "_reserve", reserve_noting)
    first, second = rig.client(), rig.client()
    rig.ask(first, 1)
    held.reached()
    assert waiting.get(timeout=LIMIT)
    rig.ask(second, 2)
    assert waiting.get(timeout=LIMIT) == b"%016x" % 2
    go(rig, second, how)
    held.go.set()
    rig.answer(first, 1)
    unsent(rig, second.id, attempts=2)


def test_it_leaves_while_others_write(rig: Rig, how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    rig.serve(rig.client(), 1)
    come, want = threading.Event(), Connection.submit

    def want_noting(self: Connection, *arguments: Any) -> None:
        come.set()
        want(self, *arguments)

    monkeypatch.setattr(Connection, "submit", want_noting)
    (connection,) = rig.engines._engines[0][1]._open
    client = rig.client()
    with connection._writing:
        rig.ask(client, 2)
        assert come.wait(LIMIT)
        go(rig, client, how)
    unsent(rig, client.id, attempts=2)


def test_it_leaves_between_giving_up_and_the_next_send(rig: Rig, how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    held = Held()
    monkeypatch.setattr(request_handler, "time", SimpleNamespace(monotonic=time.monotonic, sleep=held))
    monkeypatch.setattr(request_handler, "CANCEL_GAP", LIMIT)  # the gap is met however slow the machine is
    client = rig.client()
    rig.ask(client)
    sock, call = rig.sent(1)
    say(sock, call, b"200", b"sheets=2", PAGE)
    assert rig.engine.next(b"turn")
    say(sock, call, b"500", b"-", b"")  # the rest is lost, and given up
    assert rig.engine.next(b"shut")
    held.reached()
    go(rig, client, how)
    held.go.set()
    unsent(rig, client.id, attempts=2)


def hold_outcome(rig: Rig) -> Held:
    """Holds the request's thread between two attempts: after the first, before the module hears of it."""
    held = Held()
    rig.before = lambda event: held() if isinstance(event, api.AttemptOutcome) and not held.go.is_set() else None
    return held


def fail_first(rig: Rig, client: Client) -> None:
    rig.ask(client)
    sock, call = rig.sent(1)
    say(sock, call, b"500", b"-", b"")


def test_it_leaves_between_two_attempts(rig: Rig, how: str) -> None:
    held = hold_outcome(rig)
    client = rig.client()
    fail_first(rig, client)
    held.reached()
    go(rig, client, how)
    held.go.set()
    rig.gone(client.id)
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1
    assert rig.results() == {api.AttemptResult.ERROR: 1, api.AttemptResult.NOT_SENT: 1}
    rig.serve(rig.client(), 9)


def test_a_killed_retry_is_not_sent_and_the_next_request_is(rig: Rig) -> None:
    held = hold_outcome(rig)
    client = rig.client()
    fail_first(rig, client)
    held.reached()
    kill(rig, client)
    held.go.set()
    assert client.error()[0] == INTERRUPTED
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1
    rig.serve(client, 2)


def test_a_request_whose_client_left_while_it_waited_for_a_thread_is_not_sent(single: Rig) -> None:
    first, second = single.client(), single.client()
    single.ask(first, 1)
    sock, call = single.sent(1)
    single.ask(second, 2)
    leave(single, second, half)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(first.rows()) == 1
    single.gone(second.id)
    single.nothing_left()
    single.serve(single.client(), 9)


def test_a_client_that_leaves_is_seen_while_no_thread_is_free(single: Rig) -> None:
    client = single.client()
    single.ask(client)
    _, call = single.sent(1)
    client.sock.close()
    assert single.engine.next(b"never_mind")[1][1] == call
    single.gone(client.id)
    single.nothing_left()


# The gate


class Touched:
    """A change that touches everything."""

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        return True


@pytest.fixture
def gate(rig: Rig) -> Gate:
    gate = rig.server.gate = Gate(8, 0.4)
    gate.open()
    return gate


@pytest.mark.parametrize("what", ["leaves", "killed"])
def test_a_request_given_up_while_it_is_held_is_not_opened(rig: Rig, gate: Gate, what: str) -> None:
    client = rig.client()
    gate.close(Touched())
    rig.ask(client)
    wait(lambda: gate.metrics().waiting)
    if what == "killed":
        kill(rig, client)
    else:
        leave(rig, client, half)
    gate.open()
    if what == "killed":
        assert client.error()[0] == INTERRUPTED
    else:
        rig.gone(client.id)
        client = rig.client()
    assert rig.opened.empty()
    rig.serve(client, 2)


# KILL


def test_a_kill_before_the_exchange_is_there_counts_once(rig: Rig) -> None:
    # guards the instant between the reading of a request and its exchange: the KILL was answered OK, and lost
    held = Held()
    rig.opening = held
    client = rig.client()
    rig.ask(client)
    held.reached()
    kill(rig, client)
    held.go.set()
    assert client.error()[0] == INTERRUPTED
    rig.nothing_left()
    assert rig.count(api.ClientGone) == 1
    rig.serve(client, 2)


def test_a_kill_after_the_end_is_not_the_next_requests(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    held, query = Held(), session.Session._query

    def query_held(self: session.Session, text: bytes) -> bytes:
        reply = query(self, text)
        if not held.go.is_set():
            held()
        return reply

    monkeypatch.setattr(session.Session, "_query", query_held)
    client = rig.client()
    first, second = map(name_of, (1, 2))
    both = [packets.packet(0, b"\x03" + request(call=call, ttl=OURS)) for call in (first, second)]
    client.sock.sendall(b"".join(both))
    sock, call = rig.sent(1)
    say(sock, call, b"200", b"sheets=1", PAGE)
    held.reached()  # its answer is made, and not yet written; the next request has been read
    kill(rig, client)
    held.go.set()
    assert len(client.rows()) == 1
    rig.answer(client, 2)
    assert rig.count(api.ClientGone) == 0


def test_a_kill_of_a_resting_client_or_of_oneself_is_not_the_next_requests(rig: Rig) -> None:
    client = rig.client()
    rig.serve(client, 1)
    client.send(0x0E)
    assert client.read() == packets.ok()
    wait(lambda: rig.session(client)._idle)
    kill(rig, client)
    rig.serve(client, 4)
    own = packets.packet(0, b"\x03KILL QUERY %d" % client.id)
    client.sock.sendall(own + packets.packet(0, b"\x03" + request(call=name_of(2), ttl=OURS)))
    assert client.read() == packets.ok()
    rig.answer(client, 2)
    rig.serve(client, 3)


@pytest.mark.parametrize("new", [True, False])
def test_a_kill_counts_while_no_thread_is_free(single: Rig, new: bool) -> None:
    # guards cancelling on a crowded day: a KILL waited for a thread that only its own answer would have freed
    client, other = single.client(), single.client()
    single.ask(client)
    _, call = single.sent(1)
    if new:
        kill(single, client)
    else:
        other.send(0x0C, client.id.to_bytes(4, "little"))
        assert other.read() == packets.ok()
    assert client.error()[0] == INTERRUPTED
    assert single.engine.next(b"never_mind")[1][1] == call
    single.nothing_left()


def test_a_kill_of_what_waits_for_a_thread_counts_and_what_follows_is_served(single: Rig) -> None:
    first, second = single.client(), single.client()
    single.ask(first, 1)
    sock, call = single.sent(1)
    single.ask(second, 2)
    wait(lambda: len(single.server._deferred) == 1)
    kill(single, second)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(first.rows()) == 1
    assert second.error()[0] == INTERRUPTED
    single.serve(second, 3)
    single.nothing_left()


def test_what_is_put_aside_has_the_next_free_thread(single: Rig) -> None:
    # requests that came while no thread was free, among them one in a write with its login
    clients = [single.client() for _ in range(5)]
    single.ask(clients[0], 0)
    wait(lambda: single.server._free == 0)
    for number, client in enumerate(clients[1:], 1):
        single.ask(client, number)
    also = packets.packet(0, b"\x03" + request(call=name_of(5), ttl=OURS))
    login = (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0"
    late = socket.create_connection(single.server.address, LIMIT)
    late.sendall(packets.packet(1, login) + also)
    wait(lambda: len(single.server._deferred) == 5)
    for _ in range(6):
        sock, parts = single.engine.next(b"want")
        say(sock, parts[1], b"200", b"sheets=1", PAGE)
    for client in clients:
        assert len(client.rows()) == 1
    late.close()
    single.nothing_left()


LOGIN = packets.packet(1, bytes(40))
PING, ASK = packets.packet(0, b"\x0e"), packets.packet(0, b"\x03" + request())
KILL = packets.packet(0, b"\x03KILL 7")


@pytest.mark.parametrize(
    ("data", "inside", "size"),
    [
        (b"", True, 0),
        (PING, True, 5),
        (KILL + PING, True, len(KILL + PING)),
        (LOGIN, False, len(LOGIN)),
        (LOGIN + KILL, False, len(LOGIN + KILL)),
        (ASK, True, None),
        (KILL + ASK, True, None),
        (LOGIN + ASK, False, None),
        (KILL[:-1], True, None),
        (PING + KILL[:3], True, None),
        (packets.packet(1, b"x")[:3] + b"\x07" + b"x", True, 5),
        (PING * 200, True, None),  # more than is looked at: its last may be a request
    ],
)
def test_what_is_answered_without_a_thread(data: bytes, inside: bool, size: int | None) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    theirs.sendall(data)
    buffer = memoryview(bytearray(server.BRIEF_SIZE))
    wait(lambda: not data or ours.recv_into(buffer, 0, socket.MSG_PEEK) == min(len(data), len(buffer)))
    assert departures.brief_commands_length(ours, inside, buffer) == size
    theirs.close()
    if not data:
        wait(lambda: departures.brief_commands_length(ours, inside, buffer) == 1)  # its end is to be read
    ours.close()


def test_commands_of_a_client_that_takes_no_answer_may_wait() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    buffer = memoryview(bytearray(server.BRIEF_SIZE))
    theirs.sendall(PING)
    wait(lambda: departures.brief_commands_length(ours, True, buffer) == len(PING))

    def fill() -> bool:  # the system moves on what it holds, for a while
        try:
            while True:
                ours.send(bytes(65536), socket.MSG_DONTWAIT)
        except BlockingIOError:
            return departures.brief_commands_length(ours, True, buffer) is None

    wait(fill)
    theirs.close()
    ours.close()


def test_a_client_that_takes_nothing_does_not_hold_who_stands_in(single: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    full, busy = single.client(), single.client()
    ours, poll = single.session(full)._sock, select.poll

    class Full:
        """Says that nothing can be written to one client."""

        def __init__(self) -> None:
            self.poll_ = poll()
            self.full = False

        def register(self, sock: socket.socket, events: int) -> None:
            self.full = sock is ours and events == select.POLLOUT
            self.poll_.register(sock, events)

        def poll(self, limit: int) -> list[tuple[int, int]]:
            return [] if self.full else self.poll_.poll(limit)

    monkeypatch.setattr(select, "poll", Full)
    single.ask(busy)
    _, call = single.sent(1)
    full.send(0x0E)
    wait(lambda: len(single.server._deferred) == 1)
    kill(single, busy)
    assert busy.error()[0] == INTERRUPTED
    assert single.engine.next(b"never_mind")[1][1] == call
    assert full.read() == packets.ok()  # by the thread that is free now


# Old events


class Slow:
    """Takes the next event that names a session's descriptor, and holds it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, holds: Callable[[int, server.Server], bool]) -> None:
        self.held, claim, done = Held(), server.Server._claim, threading.Event()
        self.done, self.first = done, threading.Lock()

        def claim_held(self_: server.Server, number: int) -> session.Session | None:
            if not holds(number, self_) or not self.first.acquire(blocking=False):
                return claim(self_, number)
            self.held()
            try:
                return claim(self_, number)
            finally:
                done.set()

        monkeypatch.setattr(server.Server, "_claim", claim_held)


def on_descriptor(rig: Rig, number: int) -> Client:
    """A client whose session has a descriptor that an earlier one had.

    Descriptors are the whole process's: one that another thread takes or gives back meanwhile spoils a try.
    """
    wait(lambda: not os.path.exists(f"/proc/self/fd/{number}"))  # closed
    until = time.monotonic() + LIMIT
    while (client := try_descriptor(rig, number)) is None:
        assert time.monotonic() < until
    return client


def try_descriptor(rig: Rig, number: int) -> Client | None:
    below = []
    while (last := os.open(os.devnull, os.O_RDONLY)) <= number:
        below.append(last)
    os.close(last)
    ours = number in below

    def connect(address: tuple[str, int], timeout: float) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(timeout)
        if ours:
            below.remove(number)
            os.close(number)  # now the lowest that is free, for who accepts
        sock.connect(address)
        return sock

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(socket, "create_connection", connect)
        client = rig.client()
    for descriptor in below:
        os.close(descriptor)
    if rig.session(client).fileno() == number:
        return client
    client.sock.close()
    rig.gone(client.id)
    return None


def of_an_open_request(number: int, of: server.Server) -> bool:
    return number not in of._armed


def test_the_event_of_a_client_gone_is_not_that_of_the_next_on_its_descriptor(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow = Slow(monkeypatch, of_an_open_request)
    client = rig.client()
    rig.ask(client)
    number = rig.session(client).fileno()
    sock, call = rig.sent(1)
    client.sock.close()
    slow.held.reached()  # a thread has the event, and does nothing yet
    say(sock, call, b"200", b"sheets=1", PAGE)
    rig.gone(client.id)
    other = on_descriptor(rig, number)
    rig.ask(other, 2)
    sock, call = rig.sent(2)
    slow.held.go.set()
    assert slow.done.wait(LIMIT)
    say(sock, call, b"200", b"sheets=1", PAGE)
    assert len(other.rows()) == 1
    assert rig.count(api.ClientGone) == 0  # the first was answered as its client left
    rig.serve(other, 3)


def test_an_old_event_that_takes_a_resting_session_loses_no_command(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    slow = Slow(monkeypatch, of_an_open_request)
    client = rig.client()
    rig.ask(client)
    number = rig.session(client).fileno()
    sock, call = rig.sent(1)
    client.sock.close()
    slow.held.reached()
    say(sock, call, b"200", b"sheets=1", PAGE)
    rig.gone(client.id)
    other = on_descriptor(rig, number)
    rig.serve(other, 2)
    wait(lambda: number in rig.server._armed)
    slow.held.go.set()
    assert slow.done.wait(LIMIT)
    rig.serve(other, 3)
    rig.serve(other, 4)


def test_an_answer_that_crosses_the_leaving_ends_the_session_once(rig: Rig) -> None:
    # the event of the open request and the end of the session come together, in whatever order
    for number in range(100):
        client = rig.client()
        rig.ask(client, number)
        while (got := rig.engine.got.get(timeout=LIMIT))[1][0] != b"want":
            assert got[1][0] == b"never_mind"  # its answer came later than its client's end
        assert got[1][1] == b"%016x" % number
        say(got[0], got[1][1], b"200", b"sheets=1", PAGE)
        client.sock.close()
    with rig.server._changed:
        assert rig.server._changed.wait_for(lambda: not rig.server._sessions, LIMIT)
        assert not rig.server._waiting and not rig.server._armed
    wait(lambda: rig.server._free == rig.server._threads)
    rig.nothing_left()
    client = rig.client()
    rig.ask(client, 1000)
    while (got := rig.engine.got.get(timeout=LIMIT))[1][0] != b"want":
        assert got[1][0] == b"never_mind"
    say(got[0], got[1][1], b"200", b"sheets=1", PAGE)
    assert len(client.rows()) == 1


def test_a_request_never_opened_has_no_watch(rig: Rig) -> None:
    # a session whose request could not be read is waited for as before
    client = rig.client()
    client.send(3, b"SELECT 1")
    assert client.error()[0] == 1210
    rig.serve(client, 2)


class Refusal:
    """A request that is refused at once, and never given up."""

    def run(self) -> Reply:
        return Rejected(0.1)

    def cancel(self) -> None:
        raise AssertionError


def test_a_descriptor_that_can_not_be_watched_is_served_still(monkeypatch: pytest.MonkeyPatch) -> None:
    arm = server.Server._arm

    def arm_refusing(self: server.Server, number: int, one: session.Session, events: int) -> None:
        if events == departures.DEPARTURE_EVENTS:
            raise OSError("no room")
        arm(self, number, one, events)

    monkeypatch.setattr(server.Server, "_arm", arm_refusing)

    def open_(query: Query, settings: object) -> Exchange:
        return Refusal()

    few = server.Server(("127.0.0.1", 0), 8, make_settings(tenants=("acme",)), open_)
    few.start()
    client = Client(few.address)
    for _ in range(2):
        client.ask(op="look")
        assert client.error()[0] == 1226
    few.stop_listening()
    assert few.finish(LIMIT)


def test_two_threads_that_look_for_a_client_at_once_both_hear(rig: Rig) -> None:
    # seen in a soak: the event of a client's end met its own thread's look before a send, and the poll object of the
    # two raised: the request's life ended without an answer, or the thread of other clients did
    client = rig.client()
    rig.ask(client)
    rig.sent(1)
    one, faults, over = rig.session(client), list[Exception](), time.monotonic() + 1.0

    def look() -> None:
        while time.monotonic() < over:
            try:
                assert not one.client_has_left()
            except Exception as error:
                faults.append(error)
                return

    threads = [threading.Thread(target=look) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not faults
    client.sock.close()


@pytest.mark.parametrize("way", ["evict", "stop"])
def test_a_command_that_comes_just_before_the_close_of_a_resting_session_is_answered(
    rig: Rig, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # seen in a soak: between the look for bytes and the shutdown another thread had the interpreter for 0.1 s, in which
    # a whole request came, and its client heard of the close long after it had sent it
    client = rig.client()
    client.send(0x0E)
    assert client.read() == packets.ok()
    one, come = rig.session(client), threading.Event()
    wait(lambda: one._idle)
    real = socket.socket.recv

    def look(self: socket.socket, *args: int) -> bytes:
        try:
            return real(self, *args)
        finally:  # the look is over, and has found nothing: now the command comes
            if self is one._sock and not come.is_set():
                come.set()
                client.send(0x0E)
                time.sleep(0.1)

    monkeypatch.setattr(socket.socket, "recv", look)
    one.evict() if way == "evict" else one.stop()
    assert come.is_set()
    assert client.read() == packets.ok()


def test_it_leaves_while_its_own_statement_is_half_written(rig: Rig) -> None:
    # the engine takes nothing for a while: what is left of the statement must not leave long after the client has
    rig.engine.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client = rig.client()
    long = request(call=name_of(1), ttl=OURS) + b" -- " + b"x" * 120_000
    come, go = list[int](), threading.Event()

    def read_later(self: Peer, sock: socket.socket) -> None:
        assert go.wait(LIMIT)
        with contextlib.suppress(OSError):
            while data := sock.recv(4096):
                come.append(len(data))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Peer, "_read", read_later)
        connect = engine.Engine._connect

        def narrow(self: engine.Engine, limit: float) -> Connection:
            made = connect(self, limit)
            made._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return made

        patch.setattr(engine.Engine, "_connect", narrow)
        client.send(3, long)
        wait(lambda: rig.count(api.Request))
        time.sleep(0.03)
        one = rig.session(client)
        client.sock.close()
        wait(lambda: departures.has_left(one._sock))
        time.sleep(GONE)
        go.set()
    rig.gone(client.id)
    time.sleep(GONE)
    assert 0 < sum(come) < len(long)
