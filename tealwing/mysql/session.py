"""One client's connection to the MySQL server: its login, its commands, and its end."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import socket
import threading
import time
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from tealwing import log, threads
from tealwing.exchange import (
    AdmissionGate,
    Cancelled,
    Deferred,
    Exchange,
    Failed,
    InvalidRequestError,
    OpenExchange,
    Query,
    Rejected,
    Reply,
    Served,
    SettingsChangedError,
)
from tealwing.mysql import departures, lingering, overdue, packets, statements
from tealwing.sockets import MEMORY_PAUSE, has_unread, is_short_of_memory, prepare, seconds_since_data, send_all

USER, DATABASE = b"app", b"reports"
COLUMNS = (b"column_1", b"column_2", b"column_3")  # engines send no names
FIRST_LIMIT = 2.0  # s from the connect for the login and the first complete command
PACKET_LIMIT = 2.0  # s for the rest of an incomplete command
IDLE_LIMIT = 60.0  # s between commands
WRITE_LIMIT = 5  # s without progress
READINGS = 3  # parses of one request: again for each change of the rules that it meets
UNREAD_WAITS = 1.0  # s that a request with unknown time to live may wait unread
OVERDUE_PUSHBACK = 0.2  # s of Retry-After for a request that no thread read in time
STILL_CHANGING = 0.2  # s of Retry-After for a request that met a change at each parse
RESERVE, RESERVE_SHARE = 0.25, 0.5  # of a held request's time, reserved for serving it: max s, and share
MIN_WAIT = 0.02  # s of unread age below which it is ignored
SAMPLED = 4  # one in so many sessions reports the age of what it reads

QUIT, INIT_DB, QUERY, PROCESS_KILL, PING, RESET_CONNECTION = 0x01, 0x02, 0x03, 0x0C, 0x0E, 0x1F

UNKNOWN_COMMAND = packets.error(1047, "08S01", "Unknown command")
UNKNOWN_THREAD = packets.error(1094, "HY000", "Unknown thread id")
INTERRUPTED = packets.error(1317, "70100", "Query execution was interrupted")
FAILED = packets.error(1105, "HY000", "The query failed; it may have run")


class SessionHost(Protocol):
    """What a session needs of its server."""

    settings: Any
    open: OpenExchange
    gate: AdmissionGate | None
    on_unread_age: Callable[[float], None] | None

    def session(self, number: int) -> Session | None:
        """Return the session of a connection id."""

    def ended(self, session: Session) -> None:
        """Drop a session that is over."""

    def lingers(self, session: Session, until: float) -> None:
        """Keep reading a session that is over until the monotonic time `until` at most."""

    def watch(self, session: Session) -> None:
        """Watch for the client's departure while its request is open."""


class Session:
    """One client connection, served by one thread at a time."""

    def __init__(self, server: SessionHost, sock: socket.socket, number: int) -> None:
        self.server, self.number = server, number
        self._sock = sock
        self.descriptor = sock.fileno()  # valid while the session is open
        self._departure = departures.ClientDeparture(sock)
        prepare(sock, WRITE_LIMIT)
        self._parser = packets.Parser()
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None  # of the open request; under the lock
        self._since = time.monotonic()  # monotonic; the last answer
        self._first = self._since + FIRST_LIMIT  # monotonic deadline of the first command; 0 after that
        self._rest = 0.0  # monotonic deadline of an incomplete command
        self._waiting: tuple[float, float] | None = (
            None  # since when and until when it waits for its client; under the lock
        )
        self._is_sampled = number % SAMPLED == 0  # reports the age of what it reads
        self._greeted = self._in = False
        self._taken = 0.0  # monotonic; when the last message had been read
        self._deferred_answer = 0.0  # s that it had waited unread
        self._linger: lingering.Linger | None = None  # after the last answer, while input is dropped; under the lock
        self._gone = False  # the client has ended its side, and all input is read
        self._quit = False  # the client has sent QUIT
        self._closing = False  # close once the received commands are answered; under the lock
        self._cut = False  # close once the open request is answered; under the lock
        self._idle = False  # between two commands; under the lock
        self._due = False  # a command may have been received and is not answered; under the lock
        self._killed = False  # by a KILL before the request's exchange existed; under the lock
        self._deadline = overdue.AnswerDeadline()
        self._unread_due: float | None = None  # monotonic deadline of an unread request; None: unknown
        self._refusing = False  # the next request is rejected unread, as it is overdue

    def fileno(self) -> int:
        """The client's file descriptor."""
        return self._sock.fileno()

    def run(self, buffer: memoryview, short: float = 0.0) -> bool:
        """Serve the received input; return whether to wait for the client again, else the session is closed.

        short is for how many seconds no thread has been free for it, at most.
        """
        going = False
        try:
            going = self._serve_or_drain(buffer, short)
        finally:
            if not going:
                self.close()
        return going

    def _serve_or_drain(self, buffer: memoryview, short: float) -> bool:
        """Serve the input, or drop it after the end."""
        try:
            if self._serve(buffer, short):
                if self._wait_for_command():
                    return True
            elif self._gone:
                return False
        except packets.PacketError as error:  # malformed input ends this connection only
            text = packets.error(error.code, error.state, str(error))
            with contextlib.suppress(OSError):  # the client may have left already
                self._send(packets.packet(error.sequence + 1, text))
        except OSError as error:
            log.event("client_lost", error=str(error))
            return False
        return self._lingers(buffer)

    def _lingers(self, buffer: memoryview) -> bool:
        """After the last answer, end our side and drop further input; return whether to wait for more."""
        with self._lock:
            new = self._linger is None
            linger = self._linger = self._linger or lingering.Linger(time.monotonic() + lingering.LINGER_TIME)
        if new and not self._quit:  # at once, so that the client does not send what would be dropped
            self._end_sending()
        before = linger.left
        if not linger.drop(self._sock, buffer, time.monotonic):
            return False
        if new:
            if self._quit and linger.left == before and not self._parser.begun:
                return False  # nothing is unread, and no more can arrive
            self._end_sending()
            self.server.lingers(self, linger.until)
        return True

    def _end_sending(self) -> None:
        """Shut down the sending side; idempotent."""
        with contextlib.suppress(OSError):  # it may have gone by itself
            self._sock.shutdown(socket.SHUT_WR)

    def run_brief(self, buffer: memoryview) -> bool | None:
        """Serve like `run`, without blocking; return None, with nothing read, if the input may block."""
        if not self._greeted:
            return self.run(buffer[:0])
        size = None if self._parser.begun else departures.brief_commands_length(self._sock, self._in, buffer)
        return None if size is None else self.run(buffer[:size])

    def unread_overdue(self, now: float, buffer: memoryview) -> bool:
        """Return whether a request that waits unread is overdue. Call by whoever has claimed the session."""
        if self._unread_due is None:
            size = 0
            with contextlib.suppress(OSError):  # nothing more to read
                size = self._sock.recv_into(buffer, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if (left := overdue.time_to_live(self._parser.unread + bytes(buffer[:size]))) is not None:
                self._unread_due = now - seconds_since_data(self._sock) + left
        return self._unread_due is not None and now >= self._unread_due

    def refuse_overdue(self, buffer: memoryview) -> bool:
        """Reject the overdue unread request without blocking or reading further; returns like `run`."""
        going, self._refusing = True, True
        while going and self._refusing and self._has_input():
            going = self.run(buffer[: self._parser.missing_bytes])
        self._refusing = False
        return going

    def answer_overdue(self, now: float) -> bool:
        """Fail the open request if it is overdue, in place of its blocked thread; return whether it was.

        The session ends with it: what its client says next would wait for the same thread.
        """
        if not self._deadline.is_overdue(now):
            return False
        # The descriptor is closed, and its sending side ended, under this lock: its thread, which hears that the answer
        # is claimed, does not come before us.
        with self._lock:
            if not self._deadline.claim_overdue(now):
                return False
            self._cut = True
            if self._exchange is not None:
                self._exchange.cancel()  # first, and without blocking: nothing is sent after the client's answer
            left = packets.packet(1, FAILED)
            with contextlib.suppress(OSError):  # the client has left, or takes nothing
                while left:
                    left = left[self._sock.send(left, socket.MSG_DONTWAIT) :]
                self._sock.shutdown(socket.SHUT_WR)
        return True

    def client_has_left(self) -> bool:
        """Return whether the client of the open request has left, which includes shutting its sending half.

        We never shut our reading side under an open request: what would seem the same.
        """
        return self._departure.check()

    def check_departure(self) -> None:
        """Cancel the open request if the client has left.

        What is asked is the socket, not the event that came: that may be older than the request, or our own doing.
        """
        with self._lock:  # the socket stays open while there is an exchange
            exchange = self._exchange if self._exchange is not None and self.client_has_left() else None
        if exchange is not None:
            exchange.cancel()

    def close(self) -> None:
        """Close the session."""
        self.server.ended(self)
        with self._lock:  # other threads must not shut down a reused descriptor
            self._sock.close()

    def end_linger(self) -> None:
        """End the lingering: its thread closes it."""
        with self._lock:
            if self._linger is not None:
                self._linger.until = 0.0
            with contextlib.suppress(OSError):  # it may have gone by itself
                self._sock.shutdown(socket.SHUT_RDWR)

    def kill(self, query_only: bool) -> None:
        """Cancel the open request for a KILL, and end the session unless only the query was meant.

        The open request may be one that is still read, held by the gate, or not read yet: it is not sent then.
        """
        with self._lock:
            exchange = self._exchange
            self._killed = exchange is None and (self._due or self._unread())
        if exchange is not None:
            exchange.cancel()
        if not query_only:
            self._cut_off()

    def stop(self) -> None:
        """Serve only what has been received: a session between commands ends now, others after their command.

        A session that has just begun, or whose command is under way, answers it first, and so does one whose
        command has come and is not read yet.
        """
        with self._lock:
            self._closing = True
            lingers = self._idle and not self._has_input() and self._end_waiting()
        if lingers:
            self._queue_for_service()

    def _unread(self) -> bool:
        """Return whether the client has sent something. Call under the lock."""
        if self._waiting is None:  # over, or not waiting yet
            return False
        with contextlib.suppress(OSError):  # nothing to read
            return self._parser.begun or bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    def _cut_off(self) -> None:
        """Accept no more input: a waiting session ends now, others with their open request."""
        with self._lock:
            self._cut = True
            lingers = self._waiting is not None and self._end_waiting()
        if lingers:
            self._queue_for_service()

    @property
    def is_served(self) -> bool:
        """Whether a thread is serving it."""
        return self._waiting is None

    def idle_share(self, now: float) -> float:
        """Return the used share of the client's time limit; 0 while it waits for us."""
        waiting = self._waiting
        return (now - waiting[0]) / (waiting[1] - waiting[0]) if waiting else 0.0

    def eviction_order(self) -> tuple[bool, float]:
        """Sort key of evictions: longest idle first, since the last answer or connect; incomplete commands last."""
        return bool(self._rest), self._since

    def evict(self, at_once: bool = False) -> bool:
        """End the session unless its client has sent something; what crosses that it sends again on a new connection.

        at_once: its descriptor is needed now, so it does not linger.
        """
        with self._lock:
            if self._waiting is None or self._has_input():
                return False
            lingers = self._end_waiting(at_once)
        if lingers:
            self._queue_for_service()
        return True

    def _has_input(self) -> bool:
        """Return whether there is something to read: bytes, or the client's end. Call under the lock.

        What is done upon it comes next: the last look is one after which no other thread has the interpreter.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return has_unread(self._sock)
        except OSError:  # a reset is an end too
            return True
        return True

    def _end_waiting(self, at_once: bool = False) -> bool:
        """End a waiting session, from any thread; return whether it lingers.

        Under the lock: from here on nothing that is read is taken. An answer of long ago has arrived, so that
        nothing is lost with a reset: such a session is closed by the thread that this shutdown wakes.
        """
        self._idle, self._waiting = False, None
        linger = self._linger = lingering.Linger(0.0 if at_once else self._since + lingering.LINGER_TIME)
        lingers = time.monotonic() < linger.until
        with contextlib.suppress(OSError):  # it may have gone by itself
            self._sock.shutdown(socket.SHUT_WR if lingers else socket.SHUT_RDWR)
        return lingers

    def _queue_for_service(self) -> None:
        if self._linger is not None:
            self.server.lingers(self, self._linger.until)

    def _wait_for_command(self) -> bool:
        """Start waiting for the client, with its time limit; return whether to wait at all.

        The limits are on the whole of a command: a client that drips must not stay, nor a silent one.
        """
        begun, now = self._parser.begun, time.monotonic()
        self._rest = (self._rest or now + PACKET_LIMIT) if begun else 0.0
        limit = self._first or self._since + IDLE_LIMIT
        with self._lock:
            if self._cut or (self._closing and not self._first and not begun and not self._has_input()):
                return False
            self._waiting = self._since, min(limit, self._rest) if self._rest else limit
            self._idle = not self._first and not begun
            self._due, self._killed = False, self._killed and begun
        return True

    def _serve(self, buffer: memoryview, short: float) -> bool:
        """Read once, and answer the complete messages; return whether the session goes on."""
        with self._lock:  # from here on it can't be evicted
            self._idle, self._waiting, self._due = False, None, True
            self._unread_due = None
            if self._linger is not None:
                return False
        if not self._greeted:
            self._send(packets.packet(0, packets.greeting(self.number, _scramble())))
            self._greeted = True
        if not buffer:
            return True
        self._deferred_answer = self._unread_age(short)
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # nothing to read yet
            return True
        except OSError as error:
            if not is_short_of_memory(error):
                raise
            time.sleep(MEMORY_PAUSE)  # the input is kept, and its event repeats
            return True
        if not size:
            self._gone = True
            return False
        self._parser.feed(buffer[:size])
        self._taken = time.monotonic()
        while not self._cut and (message := self._parser.next()) is not None:
            self._rest = 0.0
            if not (self._answer(*message) if self._in else self._login(*message)):
                return False
            self._since = time.monotonic()
        return True

    def _answer(self, sequence: int, payload: bytes) -> bool:
        """Answer one command; return whether the session goes on."""
        self._first = 0.0
        if sequence != 0:
            raise packets.PacketError("Got packets out of order", 1156, "08S01", sequence)
        if payload[:1] == bytes([QUIT]):
            self._quit = True
            return False
        try:
            reply = self._command(payload)
        except threads.ThreadUnavailableError:  # of a thread that the request needed: it still gets its answer
            reply = packets.packet(1, FAILED)
        if not self._deadline.claim():  # overdue: it has been answered
            return False
        self._send(reply)
        return True

    def _unread_age(self, short: float) -> float:
        """Return the age in s of the unread input, by the kernel; 0 below MIN_WAIT.

        short is for how long no thread has been free, at most. Without that the processor may have been elsewhere.
        """
        waited = seconds_since_data(self._sock)
        if self._is_sampled and self.server.on_unread_age is not None:
            self.server.on_unread_age(waited)
        return min(short, waited) if short else waited * (waited >= MIN_WAIT)

    def _send(self, data: bytes) -> None:
        send_all(self._sock, data, WRITE_LIMIT)

    def _login(self, sequence: int, payload: bytes) -> bool:
        login = packets.login(payload)
        answer = packets.ok()
        if login.user != USER or login.auth:
            user = login.user.decode("utf-8", "replace")
            answer = packets.error(1045, "28000", f"Access denied for user '{user}'")
        elif login.database not in (b"", DATABASE):
            answer = self._no_database(login.database)
        self._send(packets.packet(sequence + 1, answer))
        self._in = answer == packets.ok()
        return self._in

    def _no_database(self, name: bytes) -> bytes:
        return packets.error(1049, "42000", f"Unknown database '{name.decode('utf-8', 'replace')}'")

    def _command(self, payload: bytes) -> bytes:
        """Return the answer to one command, as packets."""
        command, body = payload[0] if payload else 0, payload[1:]
        if command == QUERY:
            killed = statements.parse_kill(body)
            return packets.packet(1, self._kill(killed)) if killed else self._query(body)
        if command in (PING, RESET_CONNECTION):
            return packets.packet(1, packets.ok())
        if command == INIT_DB:
            return packets.packet(1, packets.ok() if body == DATABASE else self._no_database(body))
        if command == PROCESS_KILL and len(body) == 4:
            return packets.packet(1, self._kill(statements.Kill(int.from_bytes(body, "little"), False)))
        return packets.packet(1, UNKNOWN_COMMAND)

    def _kill(self, killed: statements.Kill) -> bytes:
        other = self.server.session(killed.connection)
        if other is None:
            return UNKNOWN_THREAD
        other.kill(killed.query_only)
        if other is self:  # KILL of itself: nothing else is open
            with self._lock:
                self._killed = False
        return packets.ok()

    def _query(self, text: bytes) -> bytes:
        with self._lock:
            self._due = True
        try:
            reply = self._run_request(text)
        finally:
            with self._lock:  # later KILLs and events are not for this request
                self._exchange, self._due, self._killed = None, False, False
        if self._departure.has_departed:
            raise ConnectionAbortedError("it left while its request was open")
        return reply

    def _run_request(self, text: bytes) -> bytes:
        """Run a request, and return its answer."""
        if self._refusing:
            self._refusing = False
            return answer(Rejected(OVERDUE_PUSHBACK))
        try:
            if self.server.gate is not None:
                passed = self._open_admitted(text, self.server.gate)
                if isinstance(passed, Deferred):
                    return answer(Rejected(passed.retry_after))
                if isinstance(passed, Cancelled):
                    return answer(passed)
                query, exchange = passed
            else:
                settings = self.server.settings  # the same for parsing and deciding
                query = statements.parse_query(text, settings, self._taken)
                if self._deferred_answer:  # its time has run since it arrived: an overdue one is rejected at once
                    query = dataclasses.replace(query, ttl=query.ttl - self._deferred_answer)
                self._deadline.begin(query.received_at + query.ttl)
                query.set_client_check(self.client_has_left)
                if self._killed or (self._deferred_answer and self.client_has_left()):
                    return answer(Cancelled())
                exchange = self.server.open(query, settings)
        except InvalidRequestError as error:
            log.event("request_unusable", error=str(error))
            return packets.packet(1, packets.error(1210, "HY000", f"Incorrect arguments: {error}"))
        except Exception as error:
            return self._failed_by(error)
        with self._lock:
            self._exchange, killed = exchange, self._killed
        if killed:
            exchange.cancel()
        self.server.watch(self)
        begun = time.monotonic()
        try:
            return answer(exchange.run())
        except Exception as error:
            return self._failed_by(error)
        finally:
            took = time.monotonic() - begun
            if took > query.ttl:
                log.event("answer_late", call=query.request_id.decode(), ttl=query.ttl, took=took)

    def _failed_by(self, error: Exception) -> bytes:
        """Return the answer to a request that an internal error ended.

        What must hold still ends a debug build's session: tests have to see it.
        """
        if isinstance(error, AssertionError | threads.ThreadUnavailableError):
            raise error
        log.event("request_fault", error=repr(error), trace=traceback.format_exc(limit=-3))
        return packets.packet(1, FAILED)

    def _open_admitted(self, text: bytes, gate: AdmissionGate) -> tuple[Query, Exchange] | Deferred | Cancelled:
        """Open an admitted request, parsed under the version of the rules that decides it.

        One that was given up while it was held is not opened.
        Raises Unusable; of a request that can't be read, only when it could have passed.
        """
        settings, overdue = self.server.settings, self._deferred_answer
        taken = self._taken  # later by the additional wait: the deadline stays the same
        for _ in range(READINGS):
            now = time.monotonic()
            try:
                query = statements.parse_query(text, settings, taken)
                self._deadline.begin(query.received_at + query.ttl - overdue)
                tenant = settings.tenants[query.tenant] if settings.tenants else ""
                until = now + _max_admission_wait(query.ttl - overdue)
                entered = gate.admit(settings.classes[query.cls].name, tenant, query.tables, until)
            except InvalidRequestError:  # under a version that may be replaced
                entered = gate.admit(None, "", 0, now + UNREAD_WAITS)
                if not (isinstance(entered, Deferred) or entered.waited):
                    raise
            if isinstance(entered, Deferred):
                return entered
            if entered.waited:
                held = time.monotonic() - now
                overdue, taken, settings = overdue + held, taken + held, self.server.settings
                query = statements.parse_query(text, settings, taken)
            if self._killed or (entered.waited and self.client_has_left()):
                return Cancelled()
            if overdue:  # its time has run since it arrived: an overdue one is rejected at once
                query = dataclasses.replace(query, ttl=query.ttl - overdue)
            query.set_client_check(self.client_has_left)
            try:
                return query, self.server.open(query, settings)
            except SettingsChangedError as error:
                settings = error.settings
        return Deferred(STILL_CHANGING, "the rules change faster than the request can be read")


def _max_admission_wait(ttl: float) -> float:
    """Return the s that a request with that time to live may be held, so that enough is left to serve or reject it."""
    return ttl - min(RESERVE_SHARE * ttl, RESERVE)


def answer(reply: Reply) -> bytes:
    """Return a reply as packets."""
    match reply:
        case Served(pages):
            rows = (line.split(b"\t") for page in pages for line in page.split(b"\n")[:-1])
            return packets.result_set(COLUMNS, rows, 1)
        case Rejected(retry_after):
            text = f"The query was refused, pushback={round(retry_after * 1e3)}"
            return packets.packet(1, packets.error(1226, "42000", text))
        case Failed():
            return packets.packet(1, FAILED)
        case Cancelled():
            return packets.packet(1, INTERRUPTED)


def _scramble() -> bytes:
    return bytes(1 + byte % 127 for byte in os.urandom(20))
