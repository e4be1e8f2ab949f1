"""Tests that a single failed system call, at any point of a request, loses no request and leaks nothing.

The errors are those that Linux documents for the call (accept(2), socket(7), tcp(7), epoll_ctl(2)). Only calls of the
gateway's own threads fail, because the test's clients and engines run in the same process.
"""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
import time
from collections.abc import Callable, Collection, Iterator
from pathlib import Path
from typing import Any

import pytest

from tealwing.admin.server import THREADS, AdminServer
from tealwing.lab.standins import coordinator as standins
from tealwing.mysql import packets
from tealwing.resp.errors import ConnectError
from tests.peers import LIMIT, Client, member, request, say
from tests.test_departures import ONE_ROW_PAGE, GatewayHarness, request_id, wait_until
from tests.test_watch import make_daemon

GATEWAY_THREADS = {"session", "session-limits", "engine-reader"}  # thread names
MAX_CALLS = 12  # upper bound of the calls of one kind that two requests make
SERVED, EVICTED, FAILED = "served", "evicted", 1105
# No descriptors or memory: the gateway may evict idle clients.
RESOURCE_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)


class NthCallFailure:
    """Makes the n-th call of one kind in the gateway's threads fail, and counts all calls."""

    def __init__(self, nth: int, code: int, thread_names: Collection[str] = GATEWAY_THREADS) -> None:
        """Only calls of threads with one of thread_names are counted."""
        self._thread_names = thread_names
        self.calls, self._nth, self._code = 0, nth, code
        self.applies_to: Callable[..., bool] = lambda *_: True
        self._lock = threading.Lock()

    @property
    def failed(self) -> bool:
        """Whether the n-th call has been made."""
        return self.calls >= self._nth

    def check(self, *args: Any) -> None:
        """Count a call; raises OSError if it is the n-th."""
        if threading.current_thread().name not in self._thread_names or not self.applies_to(*args):
            return
        with self._lock:
            self.calls += 1
            fails = self.calls == self._nth
        if fails:
            raise OSError(self._code, os.strerror(self._code))

    def wrap(self, real: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a function so that a call fails before it has any effect."""

        def call(*args: Any, **kwargs: Any) -> Any:
            self.check(*args)
            return real(*args, **kwargs)

        return call


class FailingEpoll:
    """An epoll object of which one method may fail."""

    def __init__(self, real: select.epoll, method: str, fault: NthCallFailure) -> None:
        self._real, self._method, self._fault = real, method, fault

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._real, name)
        return self._fault.wrap(attribute) if name == self._method else attribute


class AnsweringEngine:
    """Answers each attempt that arrives at the harness's engine."""

    def __init__(self, harness: GatewayHarness) -> None:
        self._rig, self.calls = harness, list[bytes]()
        threading.Thread(target=self._run, name="engine of the test", daemon=True).start()

    def _run(self) -> None:
        while True:
            sock, parts = self._rig.engine.got.get()
            if parts[0] == b"want":
                self.calls.append(parts[1])
                try:
                    say(sock, parts[1], b"200", b"sheets=1", ONE_ROW_PAGE)
                except OSError:  # the gateway has closed the connection of the attempt
                    continue


@pytest.fixture
def harness() -> Iterator[GatewayHarness]:
    harness = GatewayHarness()
    yield harness
    harness.end()


def read_result(client: Client) -> str | int:
    """Read one complete answer: SERVED for rows, or the error code."""
    payload = client.read()
    if payload[:1] == b"\xff":
        return int.from_bytes(payload[1:3], "little")
    assert payload == b"\x03"
    while client.read() != packets.eof():
        pass
    while client.read() != packets.eof():
        pass
    return SERVED


def run_requests(harness: GatewayHarness, fault: NthCallFailure) -> list[str | int]:
    """Send a request from each of two clients, then one on the first's idle connection; return the results."""
    engine, results = AnsweringEngine(harness), list[str | int]()
    first, second = Client(harness.server.address), Client(harness.server.address)
    for call, client in enumerate((first, second, first), 1):
        try:
            client.ask(call=request_id(call), ttl=5000)
            results.append(read_result(client))
        except (EOFError, ConnectionError):
            results.append(EVICTED)
    for client in (first, second):
        client.sock.close()
    last = Client(harness.server.address)  # a later request is served normally
    last.ask(call=request_id(9), ttl=5000)
    assert read_result(last) == SERVED
    assert engine.calls[-1] == request_id(9).encode()
    last.sock.close()
    wait_until(lambda: harness.server.connections == 0)
    harness.wait_until_released()
    return results


def run_with_each_failure(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch, patch: Callable[[GatewayHarness, NthCallFailure], None]
) -> list[list[str | int]]:
    """Run the requests once for each call of the method, with that call failing."""
    results = []
    for nth in range(1, MAX_CALLS + 1):
        fault = NthCallFailure(nth, code)
        harness = GatewayHarness()
        with monkeypatch.context() as context:
            if hasattr(socket.socket, method):
                context.setattr(socket.socket, method, fault.wrap(getattr(socket.socket, method)))
            patch(harness, fault)
            results.append(run_requests(harness, fault))
        harness.end()
        if not fault.failed:
            break
    assert len(results) > 1, f"no thread of {sorted(GATEWAY_THREADS)} calls {method}"
    return results


def no_patch(harness: GatewayHarness, fault: NthCallFailure) -> None:
    pass


ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)


@pytest.mark.parametrize("code", ACCEPT_ERRORS, ids=errno.errorcode.get)
def test_failed_accept_loses_no_answer(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for results in run_with_each_failure("accept", code, monkeypatch, no_patch):
        assert set(results) <= ({SERVED, EVICTED} if code in RESOURCE_ERRORS else {SERVED})


@pytest.mark.parametrize("code", (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL), ids=errno.errorcode.get)
def test_failed_socket_option_loses_no_answer(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for results in run_with_each_failure("setsockopt", code, monkeypatch, no_patch):
        assert results == [SERVED] * 3


CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.EAGAIN,
    errno.ENOBUFS,
)


@pytest.mark.parametrize("code", CONNECT_ERRORS, ids=errno.errorcode.get)
def test_failed_connect_to_engine_is_retried(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    assert all(results == [SERVED] * 3 for results in run_with_each_failure("connect", code, monkeypatch, no_patch))


@pytest.mark.parametrize("code", (errno.ENOMEM, errno.ENOBUFS), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("recv_into", "send"))
def test_read_or_write_without_memory_ends_no_client_connection(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    for results in run_with_each_failure(method, code, monkeypatch, no_patch):
        assert results == [SERVED] * 3  # also if the engine's connection fails: the class allows a retry


@pytest.mark.parametrize("code", (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS), ids=errno.errorcode.get)
def test_failed_write_to_engine_is_retried(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    def patch(harness: GatewayHarness, fault: NthCallFailure) -> None:
        host, port = harness.engine.listener.getsockname()
        fault.applies_to = lambda sock, *_: bool(sock.getpeername() == (host, port))

    assert all(results == [SERVED] * 3 for results in run_with_each_failure("send", code, monkeypatch, patch))


@pytest.mark.parametrize("code", (errno.ENOMEM, errno.ENOSPC), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("register", "modify"))
def test_failed_epoll_registration_ends_no_client_connection(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def patch(harness: GatewayHarness, fault: NthCallFailure) -> None:
        monkeypatch.setattr(harness.server, "_ready", FailingEpoll(harness.server._ready, method, fault))

    for results in run_with_each_failure(method, code, monkeypatch, patch):
        assert results == [SERVED] * 3


def test_internal_error_during_request_is_answered(harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an exception in the handling of a request that ends its session without an answer.
    def fail(*_: Any, **__: Any) -> None:
        raise RuntimeError("internal error")

    client = Client(harness.server.address)
    with monkeypatch.context() as context:
        context.setattr(harness.engines, "send", fail)
        client.ask(call=request_id(1), ttl=5000)
        assert client.error()[0] == FAILED
    harness.serve(client, 2)


def test_overdue_answer_sent_in_pieces_arrives_complete(
    harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = socket.socket.send

    def send_five_bytes(self: socket.socket, data: Any, *flags: int) -> int:
        return real(self, data[:5] if threading.current_thread().name == "session-limits" else data, *flags)

    monkeypatch.setattr(socket.socket, "send", send_five_bytes)
    held = threading.Event()

    def hold(*_: Any) -> None:
        held.wait(LIMIT)
        raise ConnectError("delayed by the test")

    monkeypatch.setattr(harness.engines, "send", hold)
    client = Client(harness.server.address)
    client.sock.sendall(packets.packet(0, b"\x03" + request(call=request_id(1), ttl=200)))
    try:
        assert client.error()[0] == FAILED
    finally:
        held.set()


def test_series_of_aborted_connections_causes_no_delay_and_at_most_one_log_line(
    harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a listener that pauses for 50 ms and logs a line after each failed accept.
    failures = [errno.ECONNABORTED] * 40
    real = socket.socket.accept

    def accept(self: socket.socket) -> Any:
        if failures and threading.current_thread().name in GATEWAY_THREADS:
            raise OSError(failures.pop(), "aborted")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    client = Client(harness.server.address)
    harness.serve(client, 1)
    assert not failures
    assert capsys.readouterr().out.count("accept_failed") <= 1


# The watch of the engine list, and the admin address


WATCH_CALLS = {"connect_ex", "getsockopt", "sendall", "recv"}
WATCH_ERRORS = (errno.ENOBUFS, errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ETIMEDOUT, errno.EHOSTUNREACH)


@pytest.mark.parametrize("code", WATCH_ERRORS, ids=errno.errorcode.get)
@pytest.mark.parametrize("method", sorted(WATCH_CALLS))
def test_watch_reconnects_after_failed_call_and_misses_no_update(
    method: str, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for nth in (1, 2):
        fault, members = NthCallFailure(nth, code, {"coordinator"}), [member("s-1", "127.0.0.1:1")]
        coordinator = standins.Coordinator(members)
        host, _, port = coordinator.address.partition(":")
        with monkeypatch.context() as context:
            context.setattr(socket.socket, method, fault.wrap(getattr(socket.socket, method)))
            daemon = make_daemon(tmp_path, (host, int(port)))
            daemon.start()
            for number in range(2, 6):
                coordinator.publish([member(f"s-{number}", "127.0.0.1:1")])
                wait_until(lambda: daemon._watch.index == number)  # noqa: B023
        assert len(daemon.engine_list) == 5
        assert fault.failed or method in ("getsockopt", "connect_ex", "sendall")
        coordinator.stop()


@pytest.mark.parametrize("code", (errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("accept", "setsockopt", "recv", "sendall"))
def test_admin_address_answers_after_failed_calls(method: str, code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    admin = AdminServer(("127.0.0.1", 0), lambda: True, lambda: b"app.active:0|g\n")
    faults = [NthCallFailure(nth, code, {"admin"}) for nth in range(1, THREADS + 3)]  # more than its threads
    with monkeypatch.context() as context:
        for fault in faults:
            context.setattr(socket.socket, method, fault.wrap(getattr(socket.socket, method)))
        admin.start()
        answered = 0
        until = time.monotonic() + LIMIT
        while answered < 2 * THREADS:
            assert time.monotonic() < until
            with contextlib.suppress(OSError), socket.create_connection(admin.address, LIMIT) as sock:
                sock.settimeout(LIMIT)
                sock.sendall(b"GET /ops/readiness HTTP/1.1\r\n\r\n")
                answered += sock.recv(4096).startswith(b"HTTP/1.1 200")
    assert all(fault.failed for fault in faults)
    admin.stop()
