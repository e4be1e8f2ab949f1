"""The connections to engines on real sockets: what ends them while an attempt is on its way, each crossing forced."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import os
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from queue import SimpleQueue
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tealwing import interface as api
from tealwing.connection_reader import ConnectionReader, Watch
from tealwing.coordinator.updates import Member
from tealwing.resp import connection as connections
from tealwing.resp import engine as engines
from tealwing.resp import messages
from tealwing.resp.connection import Answer, Connection, Stream, StreamLost
from tealwing.resp.engine import Engine
from tealwing.resp.engine_pool import EnginePool
from tealwing.resp.errors import AttemptWithdrawnError, ConnectError, ConnectionBrokenError
from tests.build import entry, make_settings
from tests.peers import LIMIT, say

PAGE = b"a\tb\tc\n"
MANY = 8  # attempts that a connection takes
IDLE = 30.0  # s
Sink = SimpleQueue[Any]


def head() -> bytes:
    return b"-"


def no_head() -> bytes:
    raise AttemptWithdrawnError("its client has left")


class Machine:
    """An engine played by hand: nothing is read, answered or closed but by the test."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(LIMIT)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.socks: list[socket.socket] = []

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        sock.settimeout(LIMIT)
        self.socks.append(sock)
        return sock

    def alone(self) -> bool:
        """Whether nobody else has connected; a connect on this machine is over when it returns."""
        return not select.select([self.listener], [], [], 0)[0]

    def close(self) -> None:
        for sock in (*self.socks, self.listener):
            sock.close()


def take(sock: socket.socket) -> list[bytes]:
    """The next message that comes, and nothing of what follows; empty at the end."""
    parser = messages.Parser()
    while data := sock.recv(1):
        if found := parser.feed(data):
            return found[0]
    return []


def reset(sock: socket.socket) -> None:
    """End a connection with a reset instead of an end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def wait_for_end(sock: socket.socket) -> None:
    """Until the other side's end is in our buffer, behind whatever else is there."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    assert poll.poll(LIMIT * 1e3)


def until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.001)


def unread(connection: Any) -> None:
    """Instead of the reader: the connection waits for the test to read it."""


def read(connection: Connection) -> None:
    """One turn of the reader."""
    try:
        connection.read(memoryview(bytearray(65536)))
    except (EOFError, OSError, ValueError) as error:
        connection.ended(error)


def descriptors() -> set[tuple[str, str]]:
    """What is open, by number and by what it is: a number that is used again for something else is new."""
    found = set()
    for number in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):  # the listing's own, closed since
            found.add((number, os.readlink(f"/proc/self/fd/{number}")))
    return found


def socket_of(connection: Connection) -> socket.socket:
    return connection._sock


class Sender(threading.Thread):
    """A send on a thread of its own: its stream, or how it failed."""

    def __init__(self, send: Callable[..., Stream | None], *args: Any) -> None:
        super().__init__(daemon=True)
        self.sending, self.args = send, args
        self.stream: Stream | None = None
        self.error: Exception | None = None
        self.start()

    def run(self) -> None:
        try:
            self.stream = self.sending(*self.args)
        except Exception as error:
            self.error = error

    def end(self) -> Exception | None:
        self.join(LIMIT)
        assert not self.is_alive()
        return self.error


class Held:
    """A call that waits at its beginning until it is let go."""

    def __init__(self, call: Callable[..., Any]) -> None:
        self.call, self.reached, self.go = call, threading.Event(), threading.Event()

    def __call__(self, *args: Any, **named: Any) -> Any:
        self.reached.set()
        assert self.go.wait(LIMIT)
        return self.call(*args, **named)


class Hooked:
    """A socket with some methods of the test's."""

    def __init__(self, sock: socket.socket, **methods: Callable[..., Any]) -> None:
        self.sock, self.methods = sock, methods

    def __getattr__(self, name: str) -> Any:
        return self.methods.get(name) or getattr(self.sock, name)


class Watched:
    """A lock that tells when somebody has to wait for it."""

    def __init__(self, lock: Any, waits: threading.Event) -> None:
        self.lock, self.waits = lock, waits

    def __enter__(self) -> None:
        if not self.lock.acquire(blocking=False):
            self.waits.set()
            self.lock.acquire()

    def __exit__(self, *_: object) -> None:
        self.lock.release()


@pytest.fixture
def machine() -> Iterator[Machine]:
    machine = Machine()
    yield machine
    machine.close()


@pytest.fixture(scope="module")
def reader() -> ConnectionReader:
    reader = ConnectionReader()
    reader.start()
    return reader


def engine_at(machine: Machine, watch: Watch, many: int = MANY) -> Engine:
    return Engine(machine.address, many, LIMIT, IDLE, watch)


def used(engine: Engine, machine: Machine) -> tuple[Connection, socket.socket]:
    """A connection on which an attempt has come to its end, and the engine's side of it."""
    heard: Sink = SimpleQueue()
    stream = engine.send(b"first", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    assert take(sock)[1] == b"first"
    stream.finish()
    return stream.connection, sock


# Closes of ours: no attempt is cut by one


def close_idle(engine: Engine) -> None:
    engine.close_idle()


def retire(engine: Engine) -> None:
    engine.retire()


@pytest.mark.parametrize("close", [close_idle, retire])
def test_a_close_does_not_cut_a_send_that_takes_its_place_meanwhile(
    machine: Machine, reader: ConnectionReader, close: Callable[[Engine], None]
) -> None:
    # was: unused connections were found under a lock and closed outside it, and what was sent between was lost
    engine = engine_at(machine, reader.watch)
    connection, sock = used(engine, machine)
    heard: Sink = SimpleQueue()
    crossed, senders = threading.Event(), list[Sender]()

    def send() -> Stream:
        try:
            return engine.send(b"second", head, b"SELECT 1", heard.put, LIMIT)
        finally:
            crossed.set()

    def shutdown(how: int) -> None:
        """Decided, and not done yet: a send takes its chance now, and goes as far as it gets."""
        if not senders:
            senders.append(Sender(send))
            assert crossed.wait(LIMIT)
        real.shutdown(how)

    real = socket_of(connection)
    vars(connection)["_lock"] = Watched(connection._lock, crossed)
    vars(connection)["_sock"] = Hooked(real, shutdown=shutdown)
    close(engine)
    assert senders
    error = senders[0].end()
    if close is retire:
        assert isinstance(error, ConnectError)  # the engine has gone: nothing may be sent
        assert take(sock) == []  # nor was it
    else:
        assert error is None
        second = machine.accept()  # a connection of its own
        assert take(sock) == [] and take(second)[1] == b"second"
        say(second, b"second", b"200", b"sheets=1", PAGE)
        assert isinstance(heard.get(timeout=LIMIT), Answer)
    engine.retire()


@pytest.mark.parametrize("close", [close_idle, retire])
def test_a_place_that_was_taken_forbids_the_close(
    machine: Machine, reader: ConnectionReader, monkeypatch: pytest.MonkeyPatch, close: Callable[[Engine], None]
) -> None:
    # was: a retired connection asked for attempts that were sent, not for places; one sent before the shutdown was cut
    engine = engine_at(machine, reader.watch)
    connection, sock = used(engine, machine)
    want = Held(Connection.submit)
    monkeypatch.setattr(Connection, "submit", lambda *args: want(*args))
    heard: Sink = SimpleQueue()
    sender = Sender(engine.send, b"second", head, b"SELECT 1", heard.put, LIMIT)
    assert want.reached.wait(LIMIT)  # it has its place, and is not known to the connection yet
    closer, real = threading.current_thread(), socket_of(connection)

    def shutdown(how: int) -> None:
        if threading.current_thread() is closer:  # decided, and not done yet
            want.go.set()
            sender.end()
        real.shutdown(how)

    vars(connection)["_sock"] = Hooked(real, shutdown=shutdown)
    close(engine)
    want.go.set()
    if close is retire:
        assert isinstance(sender.end(), ConnectError)
        assert take(sock) == []  # closed as the place came back, with nothing sent
    else:
        assert sender.end() is None
        assert take(sock)[1] == b"second"
        say(sock, b"second", b"200", b"sheets=1", PAGE)
        assert isinstance(heard.get(timeout=LIMIT), Answer)
    engine.retire()


def test_a_connection_that_was_idle_too_long_is_closed_and_another_opened(
    machine: Machine, reader: ConnectionReader
) -> None:
    engine = engine_at(machine, reader.watch)
    connection, sock = used(engine, machine)
    connection.idle_since -= IDLE
    engine.send(b"second", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert take(machine.accept())[1] == b"second" and take(sock) == []
    engine.retire()


def test_what_closes_takes_no_attempt_though_its_reader_has_not_seen_it(machine: Machine) -> None:
    # was: a send found the connection alive, and a try of its request was spent on a socket that was shut
    engine = engine_at(machine, unread)
    first = engine.send(b"first", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    first.fail_connection()
    second = engine.send(b"second", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert second.connection is not first.connection
    first.connection.ended(EOFError())
    second.connection.ended(EOFError())


def test_an_attempt_given_up_on_a_retired_connection_is_told_before_the_close(
    machine: Machine, reader: ConnectionReader
) -> None:
    # was: the connection was shut first, and the word failed with a line in the log
    engine = engine_at(machine, reader.watch)
    stream = engine.send(b"first", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    sock = machine.accept()
    assert take(sock)[0] == b"want"
    engine.retire()
    stream.cancel()
    assert take(sock) == [b"never_mind", b"first"] and take(sock) == []


# The last look before the bytes


def member(started: float = 0.0, health: api.Health = api.Health.READY, port: int = 1) -> Member:
    return Member("s-7", "127.0.0.1", port, entry(7, started=started, health=health))


def gone(list_: EnginePool, port: int) -> None:
    list_.update((member(health=api.Health.GONE, port=port),), False)


def unlisted(list_: EnginePool, port: int) -> None:
    list_.update((), True)


def replaced(list_: EnginePool, port: int) -> None:
    list_.update((member(started=5.0, port=port),), False)


def draining(list_: EnginePool, port: int) -> None:
    list_.update((member(health=api.Health.DRAINING, port=port),), False)


UPDATES = pytest.mark.parametrize("update", [gone, unlisted, replaced, draining])


def limits(many: int = MANY) -> api.Limits:
    return dataclasses.replace(make_settings().limits, connect_timeout=LIMIT, attempts_per_connection=many)


def listed(machine: Machine) -> EnginePool:
    list_ = EnginePool(limits())
    list_.update((member(port=machine.address[1]),), True)
    list_.start()
    return list_


def nothing_came(machine: Machine, update: Callable[..., None], list_: EnginePool, socks: list[socket.socket]) -> None:
    """Whether the old engine got no byte more, and what is sent after the next update comes first."""
    if update is draining:
        replaced(list_, machine.address[1])  # it closes what is unused
    for sock in socks:
        assert take(sock) == []


@UPDATES
def test_a_connect_that_comes_up_after_the_update_sends_nothing(
    machine: Machine, monkeypatch: pytest.MonkeyPatch, update: Callable[[EnginePool, int], None]
) -> None:
    list_, port = listed(machine), machine.address[1]
    connect = Held(socket.create_connection)
    monkeypatch.setattr(socket, "create_connection", connect)
    opener = Sender(list_.send, 7, b"1", head, b"SELECT 1", None, LIMIT)
    assert connect.reached.wait(LIMIT)
    # another waits for the same connect
    other = Sender(list_.send, 7, b"2", head, b"SELECT 1", None, LIMIT)
    engine = list_._engines[7][1]
    until(lambda: bool(engine._changed._waiters))  # type: ignore[attr-defined]
    update(list_, port)
    assert isinstance(other.end(), ConnectError)  # at once: nothing that it waits for could help it
    connect.go.set()
    assert isinstance(opener.end(), ConnectError)
    nothing_came(machine, update, list_, [machine.accept()])
    until(lambda: not engine._open)  # nothing is left of it


@UPDATES
def test_a_send_that_waited_for_the_write_lock_sees_the_update(
    machine: Machine, update: Callable[[EnginePool, int], None]
) -> None:
    list_, port = listed(machine), machine.address[1]
    list_.send(7, b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT).finish()
    sock = machine.accept()
    assert take(sock)[1] == b"1"
    engine = list_._engines[7][1]
    connection = engine._open[0]
    held = Held(head)
    first = Sender(list_.send, 7, b"2", held, b"SELECT 1", None, LIMIT)
    assert held.reached.wait(LIMIT)  # it has the lock of writes, and has sent nothing yet
    waits = threading.Event()
    vars(connection)["_writing"] = Watched(connection._writing, waits)
    second = Sender(list_.send, 7, b"3", head, b"SELECT 1", None, LIMIT)
    assert waits.wait(LIMIT)
    update(list_, port)
    held.go.set()
    assert isinstance(first.end(), ConnectError) and isinstance(second.end(), ConnectError)
    assert connection.reserved_count == connection.stream_count == 0
    nothing_came(machine, update, list_, [sock])


def test_an_engine_that_drains_and_returns_is_sent_to_again_on_its_connection(machine: Machine) -> None:
    list_, port = listed(machine), machine.address[1]
    list_.send(7, b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT).finish()
    sock = machine.accept()
    draining(list_, port)
    with pytest.raises(ConnectError, match="drains"):
        list_.send(7, b"2", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    list_.update((member(port=port),), False)
    list_.send(7, b"2", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert [take(sock)[1] for _ in range(2)] == [b"1", b"2"] and machine.alone()
    gone(list_, port)


def test_attempts_that_are_out_when_the_engine_drains_get_their_answers(machine: Machine) -> None:
    list_, port = listed(machine), machine.address[1]
    heard: Sink = SimpleQueue()
    stream = list_.send(7, b"1", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    take(sock)
    draining(list_, port)
    gone(list_, port)
    say(sock, b"1", b"200", b"sheets=1", PAGE)
    assert isinstance(heard.get(timeout=LIMIT), Answer)
    stream.finish()
    assert take(sock) == []


def test_a_removal_and_a_start_in_one_event_are_taken_in_turn(machine: Machine) -> None:
    # was: removals of an event were done after all its starts, so that the engine was gone for good
    list_, port = listed(machine), machine.address[1]
    list_.update((member(health=api.Health.GONE, port=port), member(started=5.0, port=port)), False)
    list_.send(7, b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert take(machine.accept())[1] == b"1"
    gone(list_, port)


def test_an_attempt_withdrawn_leaves_no_trace(machine: Machine, reader: ConnectionReader) -> None:
    # was: its id counted as spent, and the idle time as begun anew, though the engine had heard nothing
    engine = engine_at(machine, reader.watch)
    connection, sock = used(engine, machine)
    before = connection.idle_since
    for _ in range(3):
        with pytest.raises(AttemptWithdrawnError):
            engine.send(b"second", no_head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert (connection.reserved_count, connection.stream_count, connection.idle_since) == (0, 0, before)
    engine.send(b"second", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert take(sock)[1] == b"second" and machine.alone()
    engine.retire()


# Ends of the engine's side


@pytest.mark.parametrize("behind", [b"", messages.encode(b"first", b"200", b"-", PAGE)], ids=["alone", "behind"])
@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_an_end_that_is_in_our_buffer_is_seen_before_a_byte_is_written(
    machine: Machine, behind: bytes, end: Callable[[socket.socket], None]
) -> None:
    # was: only the reader saw ends, in its turn; what was written before went nowhere, and could not be repeated
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    sock.sendall(behind)  # a second answer, say
    end(sock)
    wait_for_end(socket_of(connection))
    heard: Sink = SimpleQueue()
    stream = engine.send(b"second", head, b"SELECT 1", heard.put, LIMIT)
    assert stream.connection is not connection
    assert take(machine.accept())[1] == b"second"
    read(connection)
    if connection.is_alive:
        read(connection)
    assert not connection.is_alive and engine._open == [stream.connection] and heard.empty()
    stream.connection.ended(EOFError())


@pytest.mark.parametrize("ends", [True, False])
@pytest.mark.parametrize("told", [select.POLLIN, select.POLLNVAL])
def test_an_end_is_told_from_none_where_poll_can_not_tell_it(machine: Machine, told: int, ends: bool) -> None:
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    if ends:
        sock.close()
        wait_for_end(socket_of(connection))

    class Plain:
        def poll(self, _: int) -> list[tuple[int, int]]:
            return [(connection.fileno(), told)]

    vars(connection)["_end_poll"] = Plain()
    stream = engine.send(b"second", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert (stream.connection is not connection) == ends
    for left in {connection, stream.connection}:
        left.ended(EOFError())


def test_an_answer_that_waits_to_be_read_is_no_end(machine: Machine) -> None:
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    say(sock, b"first", b"200", b"-", PAGE)
    assert select.select([socket_of(connection)], [], [], LIMIT)[0]
    stream = engine.send(b"second", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert stream.connection is connection and take(sock)[1] == b"second"
    connection.ended(EOFError())


def test_an_engine_that_ends_each_new_connection_is_not_asked_again_and_again(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    # was: a connection whose end was read before it stood in the table stayed there for good, sixteen of them for all
    monkeypatch.setattr(engines, "MAX_CONNECTIONS", 2)

    def ended_at_once(connection: Any) -> None:
        machine.accept().close()
        wait_for_end(socket_of(connection))
        read(connection)

    engine = engine_at(machine, ended_at_once)
    before = descriptors()
    for _ in range(4):
        with pytest.raises(ConnectError, match="has ended"):
            engine.send(b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    assert engine._open == [] and descriptors() <= before and machine.alone()


def test_what_the_engine_never_read_is_lost_once(machine: Machine, reader: ConnectionReader) -> None:
    # no fault: the attempt had left whole when the engine closed, and nobody can tell whether it ran
    engine = engine_at(machine, reader.watch)
    heard: Sink = SimpleQueue()
    stream = engine.send(b"1", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    assert select.select([sock], [], [], LIMIT)[0]  # it is in the engine's buffer
    sock.close()  # unread: a reset
    assert heard.get(timeout=LIMIT) == StreamLost(stream)
    until(lambda: not engine._open)
    assert heard.empty()


@pytest.mark.parametrize("end", [socket.socket.close, reset])
def test_half_an_answer_then_an_end_is_a_loss_of_its_attempt_and_no_other(
    machine: Machine, reader: ConnectionReader, end: Callable[[socket.socket], None]
) -> None:
    engine = engine_at(machine, reader.watch)
    heard: Sink = SimpleQueue()
    streams = [engine.send(name, head, b"SELECT 1", heard.put, LIMIT) for name in (b"1", b"2")]
    sock = machine.accept()
    assert [take(sock)[1] for _ in range(2)] == [b"1", b"2"]
    sock.sendall(messages.encode(b"1", b"200", b"-", PAGE) + messages.encode(b"2", b"200", b"-", PAGE)[:-9])
    answer = heard.get(timeout=LIMIT)
    assert isinstance(answer, Answer) and answer.stream is streams[0]
    streams[0].finish()
    end(sock)
    assert heard.get(timeout=LIMIT) == StreamLost(streams[1])
    until(lambda: not engine._open)
    assert heard.empty()


def test_a_whole_answer_is_heard_though_what_follows_it_is_malformed(machine: Machine) -> None:
    # was: the answers that came in one read with malformed bytes were lost with them
    engine = engine_at(machine, unread)
    heard: Sink = SimpleQueue()
    streams = [engine.send(name, head, b"SELECT 1", heard.put, LIMIT) for name in (b"1", b"2")]
    sock = machine.accept()
    sock.sendall(messages.encode(b"1", b"200", b"-", PAGE) + b"?no message\r\n")
    assert select.select([socket_of(streams[0].connection)], [], [], LIMIT)[0]
    read(streams[0].connection)
    answer = heard.get(timeout=LIMIT)
    assert isinstance(answer, Answer) and answer.stream is streams[0] and answer.body == PAGE
    # nobody has said of the first that it is over
    assert [heard.get(timeout=LIMIT) for _ in streams] == [StreamLost(stream) for stream in streams]


def test_an_answer_that_never_ends_is_a_loss(
    machine: Machine, reader: ConnectionReader, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connections, "MESSAGE_TIMEOUT", 0.05)
    engine = engine_at(machine, reader.watch)
    heard: Sink = SimpleQueue()
    stream = engine.send(b"1", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    take(sock)
    sock.sendall(messages.encode(b"1", b"200", b"-", PAGE)[:-1])
    assert heard.get(timeout=LIMIT) == StreamLost(stream)
    assert take(sock) == []
    until(lambda: not engine._open)
    assert not reader._limits and heard.empty()


def test_a_second_answer_reaches_nobody(machine: Machine, reader: ConnectionReader) -> None:
    engine = engine_at(machine, reader.watch)
    heard: Sink = SimpleQueue()
    stream = engine.send(b"1", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    take(sock)
    say(sock, b"1", b"200", b"-", PAGE)
    assert isinstance(heard.get(timeout=LIMIT), Answer)
    stream.finish()
    again: Sink = SimpleQueue()
    second = engine.send(b"1", head, b"SELECT 1", again.put, LIMIT)  # the same id, and never here
    assert second.connection is not stream.connection
    say(sock, b"1", b"200", b"-", PAGE)
    other: Sink = SimpleQueue()
    assert engine.send(b"2", head, b"SELECT 1", other.put, LIMIT).connection is stream.connection
    say(sock, b"2", b"200", b"-", PAGE)
    assert isinstance(other.get(timeout=LIMIT), Answer)  # what came before it has been read
    assert heard.empty() and again.empty()
    engine.retire()
    machine.accept().close()
    assert again.get(timeout=LIMIT) == StreamLost(second)


def test_a_process_that_returns_at_the_same_address_gets_connections_of_its_own(machine: Machine) -> None:
    list_, port = listed(machine), machine.address[1]
    heard: Sink = SimpleQueue()
    later: Sink = SimpleQueue()
    old = list_.send(7, b"1", head, b"SELECT 1", heard.put, LIMIT)
    before = machine.accept()
    take(before)
    replaced(list_, port)
    new = list_.send(7, b"1", head, b"SELECT 1", later.put, LIMIT)
    after = machine.accept()
    assert take(after)[1] == b"1"
    say(before, b"1", b"200", b"-", b"old\tb\tc\n")
    answer = heard.get(timeout=LIMIT)
    assert isinstance(answer, Answer) and answer.stream is old and answer.body == b"old\tb\tc\n"
    old.finish()
    assert take(before) == []  # nothing is out there: it closes
    say(after, b"1", b"200", b"-", PAGE)
    answer = later.get(timeout=LIMIT)
    assert isinstance(answer, Answer) and answer.stream is new and answer.body == PAGE
    new.finish()
    gone(list_, port)
    assert heard.empty() and later.empty()


# Writes that fail


def test_a_write_that_stops_half_way_never_ran(
    machine: Machine, reader: ConnectionReader, monkeypatch: pytest.MonkeyPatch
) -> None:
    # was: a request of a class unsafe to repeat was failed, though no engine can have had it whole
    monkeypatch.setattr(connections, "WRITE_TIMEOUT", 0.05)
    engine = engine_at(machine, reader.watch)
    heard: Sink = SimpleQueue()
    out = engine.send(b"1", head, b"SELECT 1", heard.put, LIMIT)
    sock = machine.accept()
    big: Sink = SimpleQueue()
    with pytest.raises(ConnectError):
        engine.send(b"2", head, b"x" * (1 << 26), big.put, LIMIT)  # more than the buffers take
    assert heard.get(timeout=LIMIT) == StreamLost(out)
    until(lambda: not engine._open)
    assert big.empty() and out.connection.stream_count == out.connection.reserved_count == 0
    assert take(sock)[1] == b"1"
    size = 0
    while data := sock.recv(1 << 20):
        size += len(data)
    assert 0 < size < 1 << 26


def test_a_write_of_which_only_the_last_line_end_is_missing_may_have_run(machine: Machine) -> None:
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    real = socket_of(connection)
    turns = itertools.chain((-1,), itertools.repeat(None))  # one write waits in several calls

    def send(data: bytes) -> int:
        if (most := next(turns)) is None:
            raise BlockingIOError("the engine takes nothing")
        return real.send(data[:most])

    vars(connection)["_sock"] = Hooked(real, send=send)
    with pytest.raises(ConnectionBrokenError):
        engine.send(b"2", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    connection.ended(EOFError())


def test_an_engine_that_takes_a_little_now_and_then_does_not_hold_the_writer(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    # was: each byte that was taken gave the write its whole time again
    monkeypatch.setattr(connections, "WRITE_TIMEOUT", 0.05)
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    real = socket_of(connection)
    calls: list[float] = []

    def send(data: bytes) -> int:
        calls.append(time.monotonic())
        if len(calls) > 1:
            time.sleep(0.03)  # within the limit of one call
        return real.send(data[:1])

    vars(connection)["_sock"] = Hooked(real, send=send)
    with pytest.raises(ConnectError, match="too little"):
        engine.send(b"2", head, b"SELECT 1 FROM a_table_with_a_long_name", SimpleQueue[Any]().put, LIMIT)
    assert len(calls) <= 5
    connection.ended(EOFError())


def test_a_connection_that_ends_under_a_write_tells_it_once(machine: Machine) -> None:
    # was: the writer heard that it failed, and its sink that it was lost
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    real = socket_of(connection)
    send = Held(real.send)
    vars(connection)["_sock"] = Hooked(real, send=send)
    heard: Sink = SimpleQueue()
    sender = Sender(engine.send, b"2", head, b"SELECT 1", heard.put, LIMIT)
    assert send.reached.wait(LIMIT)
    ends = threading.Thread(target=connection.ended, args=(EOFError(),), daemon=True)
    ends.start()
    until(lambda: not connection.is_alive)
    assert take(sock) == []  # it is shut
    send.go.set()
    assert isinstance(sender.end(), ConnectError)
    ends.join(LIMIT)
    assert heard.empty() and connection.stream_count == connection.reserved_count == 0


def test_a_connection_that_ends_as_the_last_byte_has_left_tells_the_sink_once(machine: Machine) -> None:
    engine = engine_at(machine, unread)
    connection, sock = used(engine, machine)
    real = socket_of(connection)
    sent, go = threading.Event(), threading.Event()

    def send(data: bytes) -> int:
        size = real.send(data)
        sent.set()
        assert go.wait(LIMIT)
        return size

    vars(connection)["_sock"] = Hooked(real, send=send)
    heard: Sink = SimpleQueue()
    sender = Sender(engine.send, b"2", head, b"SELECT 1", heard.put, LIMIT)
    assert sent.wait(LIMIT)
    ends = threading.Thread(target=connection.ended, args=(EOFError(),), daemon=True)
    ends.start()
    until(lambda: not connection.is_alive)
    go.set()
    assert sender.end() is None and sender.stream is not None
    assert heard.get(timeout=LIMIT) == StreamLost(sender.stream)
    ends.join(LIMIT)
    assert heard.empty() and connection.stream_count == 0 and connection.fileno() == -1


def test_a_connection_discarded_under_a_write_lets_the_writer_go(machine: Machine) -> None:
    # was: the discard waited for the writer, which waited for its engine
    ours, theirs = socket.socketpair()  # with no limit on writes
    connection = Connection(ours, lambda _: None)
    heard: Sink = SimpleQueue()
    sender = Sender(connection.submit, Stream(connection, b"1", heard.put), head, b"x" * (1 << 24))
    assert theirs.recv(4) == b"*4\r\n"
    discarder = threading.Thread(target=connection.discard, daemon=True)
    discarder.start()
    discarder.join(LIMIT)
    assert not discarder.is_alive()
    assert isinstance(sender.end(), ConnectError)
    assert connection.fileno() == -1 and connection.stream_count == 0 and heard.empty()
    theirs.close()


def test_a_connection_that_can_not_be_watched_leaves_nothing(machine: Machine, reader: ConnectionReader) -> None:
    class Full:
        def register(self, *_: int) -> None:
            raise OSError("no space left")

    epoll = reader._poll
    engine = engine_at(machine, reader.watch)
    before, watched = descriptors(), dict(reader._watched)
    vars(reader)["_poll"] = Full()
    try:
        with pytest.raises(ConnectError, match="nobody reads"):
            engine.send(b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT)
    finally:
        vars(reader)["_poll"] = epoll
    assert descriptors() <= before and reader._watched == watched and engine._open == []
    assert take(machine.accept()) == []
    engine.send(b"1", head, b"SELECT 1", SimpleQueue[Any]().put, LIMIT).finish()
    engine.retire()


def test_a_limit_of_a_connection_that_has_ended_is_not_that_of_the_next_with_its_descriptor() -> None:
    # was: limits of new connections were kept by descriptor, which another may have when they are looked at
    reader = ConnectionReader("test-reader", limited=True)

    class Same:
        """A connection whose descriptor is that of the one before."""

        def fileno(self) -> int:
            return 5

        def read(self, buffer: memoryview) -> float | None:
            return None

        def ended(self, why: Exception | None) -> None:
            ends.append(self)

    class Epoll:
        def register(self, *_: int) -> None:
            pass

        def unregister(self, number: int) -> None:
            pass

    first, second, ends, now = Same(), Same(), list[Same](), time.monotonic()
    vars(reader).update(_poll=Epoll(), _started=True)
    reader.watch(first, now - 1.0)
    reader._read(5, memoryview(b""))
    reader._end(5, first, None)
    reader.watch(second, now + LIMIT)
    reader._expire()
    assert ends == [first] and reader._limits == {5: now + LIMIT}


# Any order of it all


class Attempt:
    """One attempt that is out, as the test holds it."""

    def __init__(self, stream: Stream, heard: Sink, sock: socket.socket) -> None:
        self.stream, self.heard, self.sock = stream, heard, sock
        self.half = b""  # of its answer, that has still to come


IDS = 4  # of attempts that are sent: few, so that each comes again


class Connections(RuleBasedStateMachine):
    """One engine's connections, its processes, and the attempts on them; the reader is the real one."""

    reader = ConnectionReader("test-machine-reader")

    @initialize()
    def start(self) -> None:
        self.reader.start()
        self.machine = Machine()
        self.before = descriptors()
        self.list = EnginePool(limits(many=2))
        vars(self.list)["_reader"] = self.reader
        self.started, self.health = 1.0, api.Health.READY
        self.out: dict[int, Attempt] = {}
        self.over: list[Sink] = []  # of attempts that have heard their end: nothing more may come
        self.socks: dict[tuple[str, int], socket.socket] = {}
        self.engines: list[Engine] = []
        self.had: list[tuple[socket.socket, int]] = []  # ids that a connection has had
        self.update()

    def update(self) -> None:
        self.list.update((member(self.started, self.health, self.machine.address[1]),), False)
        found = self.list._engines.get(7)
        if found is not None and found[1] not in self.engines:
            self.engines.append(found[1])

    def side_of(self, connection: Connection) -> socket.socket:
        """The engine's side of a connection, its messages read so far."""
        name = socket_of(connection).getsockname()
        while name not in self.socks:
            sock = self.machine.accept()
            self.socks[sock.getpeername()] = sock
        return self.socks[name]

    def attempt(self, data: Any) -> Attempt:
        return self.out.pop(data.draw(st.sampled_from(sorted(self.out))))

    def lose(self, sock: socket.socket) -> None:
        """Its connection has ended: all that is out there hears so, once."""
        self.socks = {name: other for name, other in self.socks.items() if other is not sock}
        for call, attempt in list(self.out.items()):
            if attempt.sock is sock:
                assert attempt.heard.get(timeout=LIMIT) == StreamLost(attempt.stream)
                self.over.append(attempt.heard)
                del self.out[call]

    @rule(calls=st.permutations(range(IDS)), count=st.integers(1, IDS))
    def send(self, calls: list[int], count: int) -> None:
        for call in calls[:count]:
            if call not in self.out:
                self.send_one(call)

    def send_one(self, call: int) -> None:
        heard: Sink = SimpleQueue()
        try:
            stream = self.list.send(7, b"%d" % call, head, b"SELECT 1", heard.put, LIMIT)
        except ConnectError:
            assert self.health is not api.Health.READY
            self.over.append(heard)
            return
        assert self.health is api.Health.READY
        sock = self.side_of(stream.connection)
        while (parts := take(sock))[:2] != [b"want", b"%d" % call]:
            assert parts[0] in (b"want", b"never_mind", b"shut", b"hurry")
        self.out[call] = Attempt(stream, heard, sock)
        assert (sock, call) not in self.had  # a late answer to the earlier one would be its own
        self.had.append((sock, call))

    @rule(call=st.integers(0, IDS - 1))
    def withdraw(self, call: int) -> None:
        if call not in self.out:
            heard: Sink = SimpleQueue()
            with pytest.raises((AttemptWithdrawnError, ConnectError)):
                self.list.send(7, b"%d" % call, no_head, b"SELECT 1", heard.put, LIMIT)
            self.over.append(heard)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), count=st.integers(1, IDS), twice=st.booleans())
    def answer(self, data: Any, count: int, twice: bool) -> None:
        for _ in range(min(count, len(self.out))):
            self.answer_one(data, twice)

    def answer_one(self, data: Any, twice: bool) -> None:
        if not self.out:
            return
        attempt = self.attempt(data)
        whole = messages.encode(attempt.stream.request_id, b"200", b"sheets=1", PAGE)
        others = [a for a in self.out.values() if a.sock is attempt.sock and a.half]
        if others:  # one that has begun comes first
            self.out[int(attempt.stream.request_id)] = attempt
            attempt = self.out.pop(int(others[0].stream.request_id))
            whole, attempt.half = attempt.half, b""
        elif attempt.half:
            whole, attempt.half = attempt.half, b""
        attempt.sock.sendall(whole)
        got = attempt.heard.get(timeout=LIMIT)
        assert isinstance(got, Answer) and got.stream is attempt.stream and got.body == PAGE
        attempt.stream.finish()
        self.over.append(attempt.heard)
        if twice and attempt.stream.connection.is_alive:
            try:
                say(attempt.sock, attempt.stream.request_id, b"200", b"sheets=1", PAGE)
            except OSError:  # retired, and closed with its last attempt
                self.lose(attempt.sock)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), cut=st.integers(1, 30))
    def begin_an_answer(self, data: Any, cut: int) -> None:
        attempt = self.attempt(data)
        self.out[int(attempt.stream.request_id)] = attempt
        if not any(a.half for a in self.out.values() if a.sock is attempt.sock):
            whole = messages.encode(attempt.stream.request_id, b"200", b"sheets=1", PAGE)
            attempt.sock.sendall(whole[:cut])
            attempt.half = whole[cut:]

    @precondition(lambda self: self.out)
    @rule(data=st.data(), word=st.sampled_from([Stream.cancel, Stream.close_result]))
    def give_up(self, data: Any, word: Callable[[Stream], None]) -> None:
        attempt = self.attempt(data)
        if attempt.half:  # a message without its end would end the connection later, by the clock
            self.out[int(attempt.stream.request_id)] = attempt
            return
        word(attempt.stream)
        self.over.append(attempt.heard)

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def spoil(self, data: Any) -> None:
        attempt = self.attempt(data)
        attempt.stream.fail_connection()
        self.over.append(attempt.heard)
        self.lose(attempt.sock)

    @precondition(lambda self: self.had)
    @rule(data=st.data())
    def answer_late(self, data: Any) -> None:
        """An answer to an attempt that is over."""
        sock, call = data.draw(st.sampled_from(self.had))
        here = [attempt for attempt in self.out.values() if attempt.sock is sock]
        if sock.fileno() < 0 or any(attempt.half or attempt.stream.request_id == b"%d" % call for attempt in here):
            return
        try:
            say(sock, b"%d" % call, b"200", b"sheets=1", PAGE)
        except OSError:  # ours has closed it
            assert not here

    @precondition(lambda self: self.socks)
    @rule(data=st.data(), end=st.sampled_from([socket.socket.close, reset]))
    def end(self, data: Any, end: Callable[[socket.socket], None]) -> None:
        """The engine ends a connection, and the next step comes at once where nothing is out on it."""
        name = data.draw(st.sampled_from(list(self.socks)))
        sock = self.socks.pop(name)
        end(sock)
        self.lose(sock)

    @rule()
    def close_idle(self) -> None:
        self.list.close_idle(7)

    @rule()
    def replace(self) -> None:
        """A later process at the same address."""
        self.started += 1.0
        self.health = api.Health.READY
        self.update()

    @rule(health=st.sampled_from([*api.Health, *[api.Health.READY] * 3]))
    def list_as(self, health: api.Health) -> None:
        self.health = health
        self.update()

    @invariant()
    def nobody_hears_more_than_one_end(self) -> None:
        assert all(heard.empty() for heard in getattr(self, "over", ()))

    @invariant()
    def each_attempt_out_has_one_place(self) -> None:
        if not hasattr(self, "engines"):
            return
        held = [c for engine in self.engines for c in list(engine._open)]
        assert sum(c.reserved_count for c in held) == 0
        assert sum(c.stream_count for c in held) == len(self.out)

    def teardown(self) -> None:
        if not hasattr(self, "engines"):
            return
        self.health = api.Health.GONE
        self.update()  # what is unused closes; the rest with its last attempt
        for attempt in list(self.out.values()):
            attempt.stream.cancel()
            self.over.append(attempt.heard)
        until(lambda: not any(engine._open for engine in self.engines))
        until(lambda: not self.reader._watched and not self.reader._limits)
        while not self.machine.alone():
            self.machine.accept()
        for sock in (*self.machine.socks, *self.socks.values()):
            sock.close()
        # Nothing is left that was not there before. What earlier tests have left may close meanwhile, as the collector
        # comes: a count of descriptors was 5 lower then for good, and the wait for the same count ran out of time.
        until(lambda: descriptors() <= self.before)
        self.nobody_hears_more_than_one_end()
        self.machine.close()


def test_any_order_of_ends_gives_each_attempt_one_end_and_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "MESSAGE_TIMEOUT", LIMIT)
    run_state_machine_as_test(
        Connections,
        settings=settings(
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )
