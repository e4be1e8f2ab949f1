"""System calls that fail for a moment, each at each place of a request's path: nothing is lost, nothing is left.

The errors are those that Linux documents for the call (accept(2), socket(7), tcp(7), epoll_ctl(2)). Only calls of the
gateway's own threads fail; the test's clients and engines share the process.
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
from tests.test_departures import PAGE, Rig, name_of, wait
from tests.test_watch import make

OURS = {"session", "session-limits", "engine-reader"}  # names of the gateway's threads
PLACES = 12  # calls of a kind on the path of two requests, at most
SERVED, EVICTED, FAILED = "served", "evicted", 1105
SHORT = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)  # descriptors or memory: a resting client may go


class NthCall:
    """Fails the n-th call of a kind that one of the gateway's threads makes, and counts them all."""

    def __init__(self, nth: int, code: int, threads: Collection[str] = OURS) -> None:
        """threads are the names of those whose calls count."""
        self._threads = threads
        self.calls, self._nth, self._code = 0, nth, code
        self.concerns: Callable[..., bool] = lambda *_: True
        self._lock = threading.Lock()

    @property
    def failed(self) -> bool:
        """Whether the call has come that was to fail."""
        return self.calls >= self._nth

    def check(self, *args: Any) -> None:
        """Raise in the n-th call."""
        if threading.current_thread().name not in self._threads or not self.concerns(*args):
            return
        with self._lock:
            self.calls += 1
            fails = self.calls == self._nth
        if fails:
            raise OSError(self._code, os.strerror(self._code))

    def before(self, real: Callable[..., Any]) -> Callable[..., Any]:
        """The call, which may fail before anything of it is done."""

        def call(*args: Any, **kwargs: Any) -> Any:
            self.check(*args)
            return real(*args, **kwargs)

        return call


class FailingEpoll:
    """An epoll set of which one method may fail."""

    def __init__(self, real: select.epoll, method: str, fault: NthCall) -> None:
        self._real, self._method, self._fault = real, method, fault

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._real, name)
        return self._fault.before(found) if name == self._method else found


class Answering:
    """Answers each attempt that comes to a rig's engine, until it ends."""

    def __init__(self, rig: Rig) -> None:
        self._rig, self.calls = rig, list[bytes]()
        threading.Thread(target=self._run, name="engine of the test", daemon=True).start()

    def _run(self) -> None:
        while True:
            sock, parts = self._rig.engine.got.get()
            if parts[0] == b"want":
                self.calls.append(parts[1])
                try:
                    say(sock, parts[1], b"200", b"sheets=1", PAGE)
                except OSError:  # it has closed the connection under its attempt
                    continue


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.end()


def outcome(client: Client) -> str | int:
    """The one whole answer that a client reads next: rows, or the code of an error."""
    payload = client.read()
    if payload[:1] == b"\xff":
        return int.from_bytes(payload[1:3], "little")
    assert payload == b"\x03"
    while client.read() != packets.eof():
        pass
    while client.read() != packets.eof():
        pass
    return SERVED


def play(rig: Rig, fault: NthCall) -> list[str | int]:
    """Two clients, the second on a resting connection once more; what each of their requests is answered."""
    engine, found = Answering(rig), list[str | int]()
    first, second = Client(rig.server.address), Client(rig.server.address)
    for call, client in enumerate((first, second, first), 1):
        try:
            client.ask(call=name_of(call), ttl=5000)
            found.append(outcome(client))
        except (EOFError, ConnectionError):
            found.append(EVICTED)
    for client in (first, second):
        client.sock.close()
    last = Client(rig.server.address)  # afterwards all is as before
    last.ask(call=name_of(9), ttl=5000)
    assert outcome(last) == SERVED
    assert engine.calls[-1] == name_of(9).encode()
    last.sock.close()
    wait(lambda: rig.server.connections == 0)
    rig.wait_until_released()
    return found


def play_all(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch, patch: Callable[[Rig, NthCall], None]
) -> list[list[str | int]]:
    """Play once for each place on the path at which the call may fail."""
    found = []
    for nth in range(1, PLACES + 1):
        fault = NthCall(nth, code)
        rig = Rig()
        with monkeypatch.context() as context:
            if hasattr(socket.socket, method):
                context.setattr(socket.socket, method, fault.before(getattr(socket.socket, method)))
            patch(rig, fault)
            found.append(play(rig, fault))
        rig.end()
        if not fault.failed:
            break
    assert len(found) > 1, f"no thread of the gateway calls {method}"
    return found


def nothing(rig: Rig, fault: NthCall) -> None:
    pass


ACCEPT = (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)


@pytest.mark.parametrize("code", ACCEPT, ids=errno.errorcode.get)
def test_an_accept_that_fails_costs_nobody_an_answer(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for ends in play_all("accept", code, monkeypatch, nothing):
        assert set(ends) <= ({SERVED, EVICTED} if code in SHORT else {SERVED})


@pytest.mark.parametrize("code", (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL), ids=errno.errorcode.get)
def test_an_option_that_can_not_be_set_costs_nobody_an_answer(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for ends in play_all("setsockopt", code, monkeypatch, nothing):
        assert ends == [SERVED] * 3


CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN, errno.ENOBUFS)


@pytest.mark.parametrize("code", CONNECT, ids=errno.errorcode.get)
def test_a_connect_that_fails_is_tried_again(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    assert all(ends == [SERVED] * 3 for ends in play_all("connect", code, monkeypatch, nothing))


@pytest.mark.parametrize("code", (errno.ENOMEM, errno.ENOBUFS), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("recv_into", "send"))
def test_a_read_or_a_write_without_memory_for_a_moment_ends_no_client(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    for ends in play_all(method, code, monkeypatch, nothing):
        assert ends == [SERVED] * 3  # the engine's too: the class may be sent again


@pytest.mark.parametrize("code", (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS), ids=errno.errorcode.get)
def test_a_write_to_an_engine_that_fails_is_sent_again(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    def patch(rig: Rig, fault: NthCall) -> None:
        host, port = rig.engine.listener.getsockname()
        fault.concerns = lambda sock, *_: bool(sock.getpeername() == (host, port))

    assert all(ends == [SERVED] * 3 for ends in play_all("send", code, monkeypatch, patch))


@pytest.mark.parametrize("code", (errno.ENOMEM, errno.ENOSPC), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("register", "modify"))
def test_a_wait_that_can_not_be_armed_ends_no_client(method: str, code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    def patch(rig: Rig, fault: NthCall) -> None:
        monkeypatch.setattr(rig.server, "_ready", FailingEpoll(rig.server._ready, method, fault))

    for ends in play_all(method, code, monkeypatch, patch):
        assert ends == [SERVED] * 3


def test_a_fault_of_ours_amid_a_request_is_answered(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    # seen in the code: whatever a request's life raised ended its session, with no answer
    def fail(*_: Any, **__: Any) -> None:
        raise RuntimeError("a fault of ours")

    client = Client(rig.server.address)
    with monkeypatch.context() as context:
        context.setattr(rig.engines, "send", fail)
        client.ask(call=name_of(1), ttl=5000)
        assert client.error()[0] == FAILED
    rig.serve(client, 2)


def test_an_overdue_answer_that_is_written_in_pieces_comes_whole(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    real = socket.socket.send

    def short(self: socket.socket, data: Any, *flags: int) -> int:
        return real(self, data[:5] if threading.current_thread().name == "session-limits" else data, *flags)

    monkeypatch.setattr(socket.socket, "send", short)
    held = threading.Event()

    def hold(*_: Any) -> None:
        held.wait(LIMIT)
        raise ConnectError("it was held up")

    monkeypatch.setattr(rig.engines, "send", hold)
    client = Client(rig.server.address)
    client.sock.sendall(packets.packet(0, b"\x03" + request(call=name_of(1), ttl=200)))
    try:
        assert client.error()[0] == FAILED
    finally:
        held.set()


def test_aborted_connections_in_series_are_neither_waited_for_nor_logged(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # seen in the code: each failed accept left the listener unarmed for 50 ms, and wrote a line
    left = [errno.ECONNABORTED] * 40
    real = socket.socket.accept

    def accept(self: socket.socket) -> Any:
        if left and threading.current_thread().name in OURS:
            raise OSError(left.pop(), "aborted")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    client = Client(rig.server.address)
    rig.serve(client, 1)
    assert not left
    assert capsys.readouterr().out.count("accept_failed") <= 1


# The watch of the engine list, and the operators' address


WATCH = {"connect_ex", "getsockopt", "sendall", "recv"}
WATCH_ERRORS = (errno.ENOBUFS, errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ETIMEDOUT, errno.EHOSTUNREACH)


@pytest.mark.parametrize("code", WATCH_ERRORS, ids=errno.errorcode.get)
@pytest.mark.parametrize("method", sorted(WATCH))
def test_a_watch_of_which_a_call_fails_is_begun_again_and_lacks_nothing(
    method: str, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for nth in (1, 2):
        fault, members = NthCall(nth, code, {"coordinator"}), [member("s-1", "127.0.0.1:1")]
        coordinator = standins.Coordinator(members)
        host, _, port = coordinator.address.partition(":")
        with monkeypatch.context() as context:
            context.setattr(socket.socket, method, fault.before(getattr(socket.socket, method)))
            daemon = make(tmp_path, (host, int(port)))
            daemon.start()
            for number in range(2, 6):
                coordinator.publish([member(f"s-{number}", "127.0.0.1:1")])
                wait(lambda: daemon._watch.index == number)  # noqa: B023
        assert len(daemon.engine_list) == 5
        assert fault.failed or method in ("getsockopt", "connect_ex", "sendall")
        coordinator.stop()


@pytest.mark.parametrize("code", (errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS), ids=errno.errorcode.get)
@pytest.mark.parametrize("method", ("accept", "setsockopt", "recv", "sendall"))
def test_the_operators_address_answers_after_calls_that_fail(
    method: str, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    admin = AdminServer(("127.0.0.1", 0), lambda: True, lambda: b"app.active:0|g\n")
    faults = [NthCall(nth, code, {"admin"}) for nth in range(1, THREADS + 3)]  # more than it has threads
    with monkeypatch.context() as context:
        for fault in faults:
            context.setattr(socket.socket, method, fault.before(getattr(socket.socket, method)))
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
