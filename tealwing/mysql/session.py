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
FIRST_LIMIT = 2.0  # s from its connect in which a client logs in and sends its first command whole
PACKET_LIMIT = 2.0  # s for the rest of a command that has begun to come
IDLE_LIMIT = 60.0  # s between commands: usual clients close after 4, some ask once and stay for good
WRITE_LIMIT = 5  # s that a client may take nothing
READINGS = 3  # of one request: once more for each change of the rules that it meets
UNREAD_WAITS = 1.0  # s that a request without a known time may be held
OVERDUE_PUSHBACK = 0.2  # s of pushback for one that no thread came to in its time: most bursts are over by then
STILL_CHANGING = 0.2  # s of pushback for one that met a change at each reading
RESERVE, RESERVE_SHARE = 0.25, 0.5  # of a held request's time, that is kept for what follows: at most s, and a share
MIN_WAIT = 0.02  # s unread that count: less is the usual way to a thread, and far below the slack of a deadline
SAMPLED = 4  # of so many sessions one tells how long what it reads has waited: enough for a mean

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
    """One client connection."""

    def __init__(self, server: SessionHost, sock: socket.socket, number: int) -> None:
        self.server, self.number = server, number
        self._sock = sock
        self.descriptor = sock.fileno()  # for the thread that has the session: its number, as long as it is open
        self._departure = departures.ClientDeparture(sock)
        prepare(sock, WRITE_LIMIT)
        self._parser = packets.Parser()
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None  # the request that is open, under the lock
        self._since = time.monotonic()  # when the client was last answered
        self._first = self._since + FIRST_LIMIT  # until when its first command is due; 0 after that
        self._rest = 0.0  # until when the rest of a command that has begun is due
        self._waiting: tuple[float, float] | None = None  # for its client: since when, and until when, under the lock
        self._is_sampled = number % SAMPLED == 0  # how long what it reads has waited
        self._greeted = self._in = False
        self._taken = 0.0  # monotonic, when the last byte of the last message had been read
        self._deferred_answer = 0.0  # s that it had waited unread by then
        self._linger: lingering.Linger | None = None  # it is over: what it still says is dropped, under the lock
        self._gone = False  # its client has ended its side, and all that it said is read
        self._quit = False  # its client has said that it says no more
        self._closing = False  # the gateway ends: close once what has come is answered, under the lock
        self._cut = False  # killed: close once its open request is answered, under the lock
        self._idle = False  # waiting for a further command, under the lock
        self._due = False  # a command has come, or may have, and is not yet answered, under the lock
        self._killed = False  # by a KILL that came before the exchange of what is due was there, under the lock
        self._deadline = overdue.AnswerDeadline()
        self._unread_due: float | None = None  # monotonic, of a request that waits unread; None where it is not known
        self._refusing = False  # the next request is refused unread: its time is over

    def fileno(self) -> int:
        """The client's descriptor."""
        return self._sock.fileno()

    def run(self, buffer: memoryview, short: float = 0.0) -> bool:
        """Serve what has come; whether the client is waited for again. Else the session is over and closed.

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
        """Serve, or drop what comes after the end."""
        try:
            if self._serve(buffer, short):
                if self._wait_for_command():
                    return True
            elif self._gone:
                return False
        except packets.PacketError as error:  # malformed input ends this connection only
            text = packets.error(error.code, error.state, str(error))
            with contextlib.suppress(OSError):  # the client may have gone already
                self._send(packets.packet(error.sequence + 1, text))
        except OSError as error:
            log.event("client_lost", error=str(error))
            return False
        return self._lingers(buffer)

    def _lingers(self, buffer: memoryview) -> bool:
        """After its last answer: end our side, and drop what comes; whether more of that is waited for."""
        with self._lock:
            new = self._linger is None
            linger = self._linger = self._linger or lingering.Linger(time.monotonic() + lingering.LINGER_TIME)
        if new and not self._quit:  # at once, so that nobody sends what would be dropped
            self._end_sending()
        before = linger.left
        if not linger.drop(self._sock, buffer, time.monotonic):
            return False
        if new:
            if self._quit and linger.left == before and not self._parser.begun:
                return False  # nothing is unread, and no more is to come
            self._end_sending()
            self.server.lingers(self, linger.until)
        return True

    def _end_sending(self) -> None:
        """Tell the client that no more comes from us; once or twice is the same."""
        with contextlib.suppress(OSError):  # it may have gone by itself
            self._sock.shutdown(socket.SHUT_WR)

    def run_brief(self, buffer: memoryview) -> bool | None:
        """As run, and never waits; None, with nothing read, where what has come may have to: a request most of all."""
        if not self._greeted:
            return self.run(buffer[:0])
        size = None if self._parser.begun else departures.brief_commands_length(self._sock, self._in, buffer)
        return None if size is None else self.run(buffer[:size])

    def unread_overdue(self, now: float, buffer: memoryview) -> bool:
        """Whether the time of a request that waits unread for a thread is over; by who has the session."""
        if self._unread_due is None:
            size = 0
            with contextlib.suppress(OSError):  # nothing more has come
                size = self._sock.recv_into(buffer, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if (left := overdue.time_to_live(self._parser.unread + bytes(buffer[:size]))) is not None:
                self._unread_due = now - seconds_since_data(self._sock) + left
        return self._unread_due is not None and now >= self._unread_due

    def refuse_overdue(self, buffer: memoryview) -> bool:
        """Refuse the request that has waited unread for too long, and wait for nothing; as run. It reads no further."""
        going, self._refusing = True, True
        while going and self._refusing and self._has_input():
            going = self.run(buffer[: self._parser.missing_bytes])
        self._refusing = False
        return going

    def answer_overdue(self, now: float) -> bool:
        """Fail the open request if its time is over, in place of its thread, which still waits; whether that was so.

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
                self._exchange.cancel()  # first, and it never waits: nothing more is sent once the client has heard
            left = packets.packet(1, FAILED)
            with contextlib.suppress(OSError):  # the client has gone, or takes nothing
                while left:
                    left = left[self._sock.send(left, socket.MSG_DONTWAIT) :]
                self._sock.shutdown(socket.SHUT_WR)
        return True

    def client_has_left(self) -> bool:
        """Whether the client of the open request has left; one that has shut its sending half has too.

        We never shut our reading side under an open request: what would seem the same.
        """
        return self._departure.check()

    def check_departure(self) -> None:
        """The client may have left: if it has, give its open request up.

        What is asked is the socket, not the event that came: that may be older than the request, or our own doing.
        """
        with self._lock:  # while there is an exchange its thread does not close the socket
            exchange = self._exchange if self._exchange is not None and self.client_has_left() else None
        if exchange is not None:
            exchange.cancel()

    def close(self) -> None:
        """It is over."""
        self.server.ended(self)
        with self._lock:  # no other thread shuts a descriptor that may be another's by then
            self._sock.close()

    def end_linger(self) -> None:
        """It has lingered for long enough: have its thread close it."""
        with self._lock:
            if self._linger is not None:
                self._linger.until = 0.0
            with contextlib.suppress(OSError):  # it may have gone by itself
                self._sock.shutdown(socket.SHUT_RDWR)

    def kill(self, query_only: bool) -> None:
        """KILL: give the open request up, and end the session unless only the query was meant.

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
        """Take no more from the client than has come: a session between commands ends now, others after one.

        A session that has just begun, or whose command is under way, answers it first, and so does one whose
        command has come and is not read yet.
        """
        with self._lock:
            self._closing = True
            lingers = self._idle and not self._has_input() and self._end_waiting()
        if lingers:
            self._queue_for_service()

    def _unread(self) -> bool:
        """Whether the client that is waited for has sent something. Under the lock."""
        if self._waiting is None:  # it is over, or its thread has not begun
            return False
        with contextlib.suppress(OSError):  # nothing has come
            return self._parser.begun or bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    def _cut_off(self) -> None:
        """Take no more from the client at all: a session that waits ends now, others with their open request."""
        with self._lock:
            self._cut = True
            lingers = self._waiting is not None and self._end_waiting()
        if lingers:
            self._queue_for_service()

    @property
    def is_served(self) -> bool:
        """Whether a thread has it, and not the wait for its client: a request may be open."""
        return self._waiting is None

    def idle_share(self, now: float) -> float:
        """The share of its time that the client has let pass; 0 while it waits for us."""
        waiting = self._waiting
        return (now - waiting[0]) / (waiting[1] - waiting[0]) if waiting else 0.0

    def eviction_order(self) -> tuple[bool, float]:
        """By what the longest idle client goes first, from its last answer or connect; half a command goes last."""
        return bool(self._rest), self._since

    def evict(self, at_once: bool = False) -> bool:
        """End it unless something of the client has come; what crosses that it sends again on a new connection.

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
        """Whether there is something to read: bytes, or the client's end. Under the lock.

        What is done upon it comes next: the last look is one after which no other thread has the interpreter.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return has_unread(self._sock)
        except OSError:  # its end too
            return True
        return True

    def _end_waiting(self, at_once: bool = False) -> bool:
        """End a session that waits for its client, whichever thread it is that ends it; whether it lingers.

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
        """Give the client its time to say something; whether it may.

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
        """Read once, and answer the messages that are whole; whether the session goes on."""
        with self._lock:  # from here on it is not evicted: see evict
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
        except BlockingIOError:  # nothing has come yet
            return True
        except OSError as error:
            if not is_short_of_memory(error):
                raise
            time.sleep(MEMORY_PAUSE)  # what has come is still there, and is told again
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
        """One command; whether the session goes on."""
        self._first = 0.0
        if sequence != 0:
            raise packets.PacketError("Got packets out of order", 1156, "08S01", sequence)
        if payload[:1] == bytes([QUIT]):
            self._quit = True
            return False
        try:
            reply = self._command(payload)
        except threads.ThreadUnavailableError:  # a thread the request needed: it gets its whole answer still
            reply = packets.packet(1, FAILED)
        if not self._deadline.claim():  # its time was over, and it has been answered
            return False
        self._send(reply)
        return True

    def _unread_age(self, short: float) -> float:
        """Seconds that what has come has waited to be read, by the kernel's books; 0 for what is usual.

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
        """The whole answer to one command, as packets."""
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
        if other is self:  # what this client sends next is no open request
            with self._lock:
                self._killed = False
        return packets.ok()

    def _query(self, text: bytes) -> bytes:
        with self._lock:
            self._due = True
        try:
            reply = self._run_request(text)
        finally:
            with self._lock:  # from here on a KILL, or an event of the descriptor, is not for this request
                self._exchange, self._due, self._killed = None, False, False
        if self._departure.has_departed:
            raise ConnectionAbortedError("it left while its request was open")
        return reply

    def _run_request(self, text: bytes) -> bytes:
        """The answer to a request."""
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
                settings = self.server.settings  # one version for the reading and the deciding
                query = statements.parse_query(text, settings, self._taken)
                if self._deferred_answer:  # its time has run since it came: past its deadline it is refused at once
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
        """The answer to a request that a fault of ours ended: its client is owed one all the same.

        What must hold still ends a debug build's session: tests have to see it.
        """
        if isinstance(error, AssertionError | threads.ThreadUnavailableError):
            raise error
        log.event("request_fault", error=repr(error), trace=traceback.format_exc(limit=-3))
        return packets.packet(1, FAILED)

    def _open_admitted(self, text: bytes, gate: AdmissionGate) -> tuple[Query, Exchange] | Deferred | Cancelled:
        """Open a request that the gate lets in, read under the version of the rules that then decides it.

        One that was given up while it was held is not opened.
        Raises Unusable; of a request that can't be read, only when it could have passed.
        """
        settings, overdue = self.server.settings, self._deferred_answer
        taken = self._taken  # later by what late has more than the session's: its end stays the same
        for _ in range(READINGS):
            now = time.monotonic()
            try:
                query = statements.parse_query(text, settings, taken)
                self._deadline.begin(query.received_at + query.ttl - overdue)
                tenant = settings.tenants[query.tenant] if settings.tenants else ""
                until = now + _max_admission_wait(query.ttl - overdue)
                entered = gate.admit(settings.classes[query.cls].name, tenant, query.tables, until)
            except InvalidRequestError:  # under a version that may be going
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
            if overdue:  # its time has run since it came: past its deadline it is refused at once
                query = dataclasses.replace(query, ttl=query.ttl - overdue)
            query.set_client_check(self.client_has_left)
            try:
                return query, self.server.open(query, settings)
            except SettingsChangedError as error:
                settings = error.settings
        return Deferred(STILL_CHANGING, "the rules change faster than the request can be read")


def _max_admission_wait(ttl: float) -> float:
    """Seconds that a request with so many left may be held: what is left then must do to refuse or to serve it."""
    return ttl - min(RESERVE_SHARE * ttl, RESERVE)


def answer(reply: Reply) -> bytes:
    """A reply as packets."""
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
