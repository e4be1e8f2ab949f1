"""The MySQL server alone: its threads and time limits with silent, slow and idle clients."""

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


class RejectedRequest:
    """A request that is rejected at once."""

    def run(self) -> Reply:
        return Rejected(0.1)

    def cancel(self) -> None:
        raise AssertionError(Cancelled)


def refuse(query: Query, settings: object = None) -> Exchange:
    return RejectedRequest()


@pytest.fixture
def small_server() -> Iterator[server.Server]:
    """A server for at most eight clients."""
    small_server = server.Server(("127.0.0.1", 0), 8, make_settings(), refuse)
    small_server.start()
    yield small_server
    small_server.stop_listening()
    small_server.finish(LIMIT)


def parser_with_ttl(ttl: float) -> Callable[[bytes, object, float], Query]:
    """Return a parser that reads every statement as a request with this time to live (s)."""
    return lambda text, settings, received_at: Query(b"1", 0, 0, ttl, b"SELECT 1", received_at=received_at)


def ping(client: Client) -> None:
    client.send(0x0E)
    assert client.read() == packets.ok()


def wait_for_close(sock: socket.socket) -> None:
    """Read until the server closes the connection; raises TimeoutError if it does not."""
    sock.settimeout(LIMIT)
    with contextlib.suppress(ConnectionResetError):  # a reset counts as a close
        while sock.recv(4096):
            pass


def test_idle_and_silent_clients_are_evicted_for_new_ones(small_server: server.Server) -> None:
    # fault: hundreds of clients that sent one request and stayed connected used up all session threads
    silent = socket.create_connection(small_server.address, LIMIT)
    assert silent.recv(4096)
    staying = [Client(small_server.address) for _ in range(20)]
    ping(Client(small_server.address))
    wait_for_close(silent)
    wait_for_close(staying[0].sock)


@pytest.mark.parametrize("start", [b"", b"\x20", packets.packet(1, bytes(40))[:20]])
def test_client_without_a_first_command_is_closed_after_its_limit(
    small_server: server.Server, start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # silent clients and clients that send byte by byte, each within a limit on single reads, must not hold threads
    monkeypatch.setattr(session, "FIRST_LIMIT", 0.3)
    with socket.create_connection(small_server.address, LIMIT) as sock:
        sock.sendall(start)
        wait_for_close(sock)


def test_client_with_an_incomplete_command_is_closed_after_its_limit(
    small_server: server.Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(session, "PACKET_LIMIT", 0.1)
    client = Client(small_server.address)
    ping(client)
    client.sock.sendall(packets.packet(0, b"\x03 SELECT")[:5])
    wait_for_close(client.sock)


def test_idle_client_holds_no_read_buffer(small_server: server.Server) -> None:
    # fault: a buffer allocated for each read and shrunk to its data fragmented the heap: memory grew 20 MB a minute
    warm = [Client(small_server.address) for _ in range(7)]  # so that all threads have started
    for client in warm:
        client.sock.close()
    tracemalloc.start()
    try:
        staying = [Client(small_server.address) for _ in range(6)]
        for client in staying:
            ping(client)
        files = [tracemalloc.Filter(True, str(module.__file__)) for module in (server, session)]
        ours = tracemalloc.take_snapshot().filter_traces(files)
    finally:
        tracemalloc.stop()
    assert sum(trace.size for trace in ours.traces) < len(staying) * server.READ_SIZE


def test_thread_count_follows_open_commands_not_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    # fault: with a thread per client, the clients of 200 gateways filled the machine's table of tasks
    held = threading.Semaphore(0)

    class HeldRequest:
        def run(self) -> Reply:
            assert held.acquire(timeout=LIMIT)
            return Rejected(0.1)

        def cancel(self) -> None:
            raise AssertionError(Cancelled)

    large_server = server.Server(
        ("127.0.0.1", 0), 100, make_settings(), lambda query, settings: HeldRequest(), max_threads=30
    )
    monkeypatch.setattr(statements, "parse_query", parser_with_ttl(LIMIT))
    large_server.start()
    clients = [Client(large_server.address) for _ in range(60)]
    for client in clients:
        ping(client)
    with large_server._changed:  # sixty idle clients
        assert large_server._changed.wait_for(lambda: large_server._threads <= server.FREE_THREADS[1], LIMIT)
    for client in clients:
        client.ask()
    until = time.monotonic() + LIMIT
    while (large_server._threads, large_server._free) != (30, 0) and time.monotonic() < until:
        time.sleep(0.01)
    assert (large_server._threads, large_server._free) == (30, 0)
    held.release(60)  # the other thirty wait for a thread, and each gets its answer
    for client in clients:
        assert client.error()[0] == 1226
    with large_server._changed:
        assert large_server._changed.wait_for(lambda: large_server._threads <= server.FREE_THREADS[1], LIMIT)
    large_server.stop_listening()
    assert large_server.finish(LIMIT)
    with large_server._changed:  # all sessions end with the server
        assert large_server._changed.wait_for(lambda: not large_server._sessions, LIMIT)


def test_concurrent_thread_starts_do_not_exceed_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # fault: two threads each read the thread count before either had incremented it, and exceeded the limit
    barrier, real = threading.Barrier(2), server.Server._start_thread

    def start(self: server.Server) -> bool:
        if self._threads == 2:
            barrier.wait(LIMIT)  # both have found that one more thread is allowed
        return real(self)

    monkeypatch.setattr(server.Server, "_start_thread", start)
    small_server = server.Server(("127.0.0.1", 0), 8, make_settings(), refuse, max_threads=3)
    small_server.start()
    clients = [socket.create_connection(small_server.address, LIMIT) for _ in range(3)]
    for client in clients:
        assert client.recv(4096)
        client.close()
    assert small_server._threads <= 3
    small_server.stop_listening()
    assert small_server.finish(LIMIT)


def test_request_that_became_overdue_waiting_for_a_thread_is_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # fault: a request that had waited its full time to live for a thread was then given the same time again
    begun, go = threading.Event(), threading.Event()
    ttls: list[float] = []

    class SlowRequest:
        def __init__(self, query: Query) -> None:
            ttls.append(query.ttl)

        def run(self) -> Reply:
            begun.set()
            assert go.wait(LIMIT)
            return Rejected(0.1)

        def cancel(self) -> None:
            raise AssertionError(Cancelled)

    single_thread_server = server.Server(
        ("127.0.0.1", 0), 8, make_settings(), lambda query, settings: SlowRequest(query), max_threads=1
    )
    monkeypatch.setattr(statements, "parse_query", parser_with_ttl(0.4))
    # the periodic check must not answer the request first
    monkeypatch.setattr(server.Server, "_answer_overdue", lambda *_: None)
    single_thread_server.start()
    first, second = Client(single_thread_server.address), Client(single_thread_server.address)
    ping(second)
    until = time.monotonic() + LIMIT
    # until the thread has found no waiting session, new input counts as delayed
    while single_thread_server._busy_since:
        assert time.monotonic() < until
        time.sleep(0.001)
    first.ask()
    assert begun.wait(LIMIT)
    second.ask()  # the only thread serves the first client
    time.sleep(0.6)
    go.set()
    assert first.error()[0] == second.error()[0] == 1226
    assert ttls[0] == 0.4 and ttls[1] < 0  # its time to live ran out while it waited
    single_thread_server.stop_listening()
    assert single_thread_server.finish(LIMIT)


def test_client_with_unread_input_is_not_evicted(small_server: server.Server) -> None:
    # fault: a request read after its connection had been closed ran in addition to the client's retry
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), LIMIT)
        ours, _ = listener.accept()
    client = session.Session(small_server, ours, 1)
    client._waiting = 0.0, 1.0
    theirs.send(b"x")
    ours.recv(1, socket.MSG_PEEK)  # the byte has arrived
    assert not client.evict()
    ours.recv(1)
    assert client.evict() and not client.evict()  # only the first call ends it
    theirs.settimeout(LIMIT)
    assert theirs.recv(1) == b""
    theirs.close()
    ours.close()
