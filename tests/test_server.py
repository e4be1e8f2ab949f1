"""The MySQL server alone: whose threads are whose when clients are silent, drip or stay."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator

import pytest

from tealwing.exchange import Cancelled, Exchange, Query, Rejected, Reply
from tealwing.mysql import packets, server, session, statements
from tests.build import make_settings
from tests.peers import LIMIT, Client


class Refusal:
    """A request that is refused at once."""

    def run(self) -> Reply:
        return Rejected(0.1)

    def cancel(self) -> None:
        raise AssertionError(Cancelled)


def refuse(query: Query, settings: object = None) -> Exchange:
    return Refusal()


@pytest.fixture
def few() -> Iterator[server.Server]:
    """A server of eight clients."""
    few = server.Server(("127.0.0.1", 0), 8, make_settings(), refuse)
    few.start()
    yield few
    few.stop_listening()
    few.finish(LIMIT)


def reading(ttl: float) -> Callable[[bytes, object, float], Query]:
    """Reads every statement as a request that has so long."""
    return lambda text, settings, taken: Query(b"1", 0, 0, ttl, b"SELECT 1", received_at=taken)


def ping(client: Client) -> None:
    client.send(0x0E)
    assert client.read() == packets.ok()


def ended(sock: socket.socket) -> None:
    """The server closes; without that the test gives up."""
    sock.settimeout(LIMIT)
    with contextlib.suppress(ConnectionResetError):  # a close too
        while sock.recv(4096):
            pass


def test_clients_that_stay_or_say_nothing_leave_room_for_others(few: server.Server) -> None:
    # guards the session threads: clients that ask once and stay, by the hundred, used all of them up
    silent = socket.create_connection(few.address, LIMIT)
    assert silent.recv(4096)
    staying = [Client(few.address) for _ in range(20)]
    ping(Client(few.address))
    ended(silent)
    ended(staying[0].sock)


@pytest.mark.parametrize("start", [b"", b"\x20", packets.packet(1, bytes(40))[:20]])
def test_a_client_has_a_time_for_its_first_command(
    few: server.Server, start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards the threads against silent clients and against bytes that drip in, each before a limit on reads
    monkeypatch.setattr(session, "FIRST_LIMIT", 0.3)
    with socket.create_connection(few.address, LIMIT) as sock:
        sock.sendall(start)
        ended(sock)


def test_a_started_command_has_a_time_for_its_rest(few: server.Server, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session, "PACKET_LIMIT", 0.1)
    client = Client(few.address)
    ping(client)
    client.sock.sendall(packets.packet(0, b"\x03 SELECT")[:5])
    ended(client.sock)


def test_a_client_that_stays_takes_no_buffer_of_its_own(few: server.Server) -> None:
    # guards the heap: a buffer for each read, cut to what came, left holes, and memory grew 20 MB a minute
    warm = [Client(few.address) for _ in range(7)]  # the threads are there
    for client in warm:
        client.sock.close()
    tracemalloc.start()
    try:
        staying = [Client(few.address) for _ in range(6)]
        for client in staying:
            ping(client)
        files = [tracemalloc.Filter(True, str(module.__file__)) for module in (server, session)]
        ours = tracemalloc.take_snapshot().filter_traces(files)
    finally:
        tracemalloc.stop()
    assert sum(trace.size for trace in ours.traces) < len(staying) * server.READ_SIZE


def test_threads_go_with_commands_under_way_not_with_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards the machine's table of tasks: a thread for each of the clients of 200 gateways filled it
    held = threading.Semaphore(0)

    class Held:
        def run(self) -> Reply:
            assert held.acquire(timeout=LIMIT)
            return Rejected(0.1)

        def cancel(self) -> None:
            raise AssertionError(Cancelled)

    many = server.Server(("127.0.0.1", 0), 100, make_settings(), lambda query, settings: Held(), max_threads=30)
    monkeypatch.setattr(statements, "parse_query", reading(LIMIT))
    many.start()
    clients = [Client(many.address) for _ in range(60)]
    for client in clients:
        ping(client)
    with many._changed:  # sixty clients between commands
        assert many._changed.wait_for(lambda: many._threads <= server.FREE_THREADS[1], LIMIT)
    for client in clients:
        client.ask()
    until = time.monotonic() + LIMIT
    while (many._threads, many._free) != (30, 0) and time.monotonic() < until:
        time.sleep(0.01)
    assert (many._threads, many._free) == (30, 0)
    held.release(60)  # the other thirty wait for a thread, and each has its answer
    for client in clients:
        assert client.error()[0] == 1226
    with many._changed:
        assert many._changed.wait_for(lambda: many._threads <= server.FREE_THREADS[1], LIMIT)
    many.stop_listening()
    assert many.finish(LIMIT)
    with many._changed:  # all end with the server
        assert many._changed.wait_for(lambda: not many._sessions, LIMIT)


def test_two_that_start_a_thread_at_once_start_no_more_than_there_may_be(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards the limit on threads: both had looked at the count before either of them had added its own
    both, real = threading.Barrier(2), server.Server._start_thread

    def start(self: server.Server) -> bool:
        if self._threads == 2:
            both.wait(LIMIT)  # each has found that there may be one more
        return real(self)

    monkeypatch.setattr(server.Server, "_start_thread", start)
    few = server.Server(("127.0.0.1", 0), 8, make_settings(), refuse, max_threads=3)
    few.start()
    clients = [socket.create_connection(few.address, LIMIT) for _ in range(3)]
    for client in clients:
        assert client.recv(4096)
        client.close()
    assert few._threads <= 3
    few.stop_listening()
    assert few.finish(LIMIT)


def test_what_waited_for_a_thread_past_its_time_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards the deadline of what no thread took in time: its whole answer comes at once, not after as long again
    begun, go = threading.Event(), threading.Event()
    left: list[float] = []

    class Slow:
        def __init__(self, query: Query) -> None:
            left.append(query.ttl)

        def run(self) -> Reply:
            begun.set()
            assert go.wait(LIMIT)
            return Rejected(0.1)

        def cancel(self) -> None:
            raise AssertionError(Cancelled)

    one = server.Server(("127.0.0.1", 0), 8, make_settings(), lambda query, settings: Slow(query), max_threads=1)
    monkeypatch.setattr(statements, "parse_query", reading(0.4))
    monkeypatch.setattr(server.Server, "_answer_overdue", lambda *_: None)  # nor does who watches come to it
    one.start()
    first, second = Client(one.address), Client(one.address)
    ping(second)
    until = time.monotonic() + LIMIT
    while one._busy_since:  # the thread has not seen yet that nobody waits for it: what comes now would count as late
        assert time.monotonic() < until
        time.sleep(0.001)
    first.ask()
    assert begun.wait(LIMIT)
    second.ask()  # the only thread is the first's
    time.sleep(0.6)
    go.set()
    assert first.error()[0] == second.error()[0] == 1226
    assert left[0] == 0.4 and left[1] < 0  # its time had run out while it waited
    one.stop_listening()
    assert one.finish(LIMIT)


def test_a_client_that_has_sent_something_is_not_evicted(few: server.Server) -> None:
    # guards the rule on one answer: a request read after its connection had closed ran beside its copy
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    client = session.Session(few, ours, 1)
    client._waiting = 0.0, 1.0
    theirs.send(b"x")
    ours.recv(1, socket.MSG_PEEK)  # it has come
    assert not client.evict()
    ours.recv(1)
    assert client.evict() and not client.evict()  # once
    theirs.settimeout(LIMIT)
    assert theirs.recv(1) == b""
    theirs.close()
    ours.close()
