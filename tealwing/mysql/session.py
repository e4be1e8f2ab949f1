"""A client's session with the MySQL server: login, commands, and the close of the connection."""

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

from tealwing import log, memory, threads
from tealwing.exchange import (
    AdmissionGate,
    Cancelled,
    Deferred,
    Exchange,
    InvalidRequestError,
    OpenExchange,
    Query,
    Rejected,
    SettingsChangedError,
)
from tealwing.mysql import departures, lingering, overdue, packets, replies, statements
from tealwing.mysql.command_parser import CommandParser
from tealwing.mysql.kills import KillOutcome
from tealwing.sockets import MEMORY_PAUSE, has_unread, is_short_of_memory, prepare, seconds_since_data, send_all

USER, DATABASE = b"app", b"reports"
FIRST_LIMIT = 2.0  # s from the connect to the first complete command, login included
PACKET_LIMIT = 2.0  # s within which an incomplete command must be completed
IDLE_LIMIT = 60.0  # s between commands
WRITE_LIMIT = 5  # s that a send may go without progress
MAX_PARSES = 3  # of one request: it is parsed again when the rules change meanwhile
UNPARSED_WAIT = 1.0  # s that the gate may hold a request that cannot be parsed: its time to live is unknown
OVERDUE_PUSHBACK = 0.2  # s of pushback for a request that no thread read in time
MAX_READ_AHEAD = 128 * 1024  # bytes of further input that are read while a request waits to be sent
READ_AHEAD_SIZE = 16 * 1024  # bytes of each read
ARRIVAL_TIME = 0.005  # s in which a client on the local network sends more after input has been read
UNREAD_PUSHBACK = 0.2  # s of pushback for a request ahead of too much unread input
MEMORY_PUSHBACK = 0.5  # s of pushback for a request that does not fit into memory
RULES_CHANGE_PUSHBACK = 0.2  # s of pushback for a request whose rules changed during each parse
MAX_SERVE_RESERVE = 0.25  # s of a held request's time to live that are kept for serving it, at most
SERVE_RESERVE_SHARE = 0.5  # share of a held request's time to live that is kept for serving it, up to MAX_SERVE_RESERVE
MIN_UNREAD_AGE = 0.02  # s; a smaller age of the unread input counts as 0
SAMPLE_INTERVAL = 4  # every 4th session reports the age of the input that it reads

QUIT, INIT_DB, QUERY, PROCESS_KILL, PING, RESET_CONNECTION = 0x01, 0x02, 0x03, 0x0C, 0x0E, 0x1F


class SessionHost(Protocol):
    """The interface of the server that a session uses."""

    settings: Any
    open: OpenExchange
    gate: AdmissionGate | None
    on_unread_age: Callable[[float], None] | None
    account: memory.Account

    def reserve(self, reservation: memory.Reservation, size: int) -> bool:
        """Resize a session's reservation, at the cost of other clients' incomplete commands; return whether it fits."""

    def kill(self, statement: statements.Kill) -> KillOutcome:
        """Apply a KILL of a connection of this gateway, whichever of its processes owns the connection."""

    def remove(self, session: Session) -> None:
        """Remove a session that has ended."""

    def move_to_lingering(self, session: Session, until: float) -> None:
        """Remove a session that has ended; its connection lingers until the monotonic time `until` at most."""

    def watch_departure(self, session: Session) -> None:
        """Watch for the departure of a client whose request is open."""


class Session:
    """One client connection, served by one thread at a time."""

    def __init__(self, server: SessionHost, sock: socket.socket, number: int) -> None:
        self.server, self.number = server, number  # number: the connection id
        self._sock = sock
        self.descriptor = sock.fileno()  # valid while the session is open
        self._departure = departures.ClientDeparture(sock)
        prepare(sock, WRITE_LIMIT)
        self._parser = CommandParser(server.account, server.reserve)
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None  # the open request's; under the lock
        self._last_answer_at = time.monotonic()  # monotonic; before the first answer, the time of the connect
        # monotonic deadline of the first command; 0 once it has come
        self._first_due = self._last_answer_at + FIRST_LIMIT
        self._incomplete_due = 0.0  # monotonic deadline of an incomplete command; 0 without one
        # since when and until when the session waits for its client; None while it is served; under the lock
        self._waiting: tuple[float, float] | None = None
        self._is_sampled = number % SAMPLE_INTERVAL == 0  # reports the age of its input
        self._greeted = self._logged_in = False
        self._received_at = 0.0  # monotonic; when input was last read
        self._waited_unread = 0.0  # s that this input had waited unread
        self._linger: lingering.Linger | None = None  # set once the session drops its input; under the lock
        self._client_closed = False  # the client has closed its side, and all input is read
        self._quit = False  # the client has sent QUIT
        self._closes_after_input = False  # once all received commands are answered; under the lock
        self._closes_after_command = False  # once the command in progress is answered; under the lock
        self._idle = False  # waits between two commands, with none incomplete; under the lock
        self._may_have_unanswered_command = False  # the input being served may hold one; under the lock
        self._killed = False  # a KILL came before the request's exchange existed; under the lock
        self._deadline = overdue.AnswerDeadline()
        self._unread_due: float | None = None  # monotonic deadline of an unread request; None: unknown
        self._refusing = False  # the next request is rejected without being parsed, as it is overdue

    def fileno(self) -> int:
        """The client socket's file descriptor; -1 once closed."""
        return self._sock.fileno()

    def run(self, buffer: memoryview, busy_for: float = 0.0) -> bool:
        """Serve the received input; return whether to wait for more. Otherwise the session is closed.

        busy_for bounds the time (s) that the input waited because no thread was free.
        """
        keep_open = False
        try:
            keep_open = self._serve_or_linger(buffer, busy_for)
        finally:
            if not keep_open:
                self.close()
        return keep_open

    def _serve_or_linger(self, buffer: memoryview, busy_for: float) -> bool:
        """Serve the input, or drop it once the session has ended; return whether to wait for more."""
        try:
            if self._serve(buffer, busy_for):
                if self._wait_for_command():
                    return True
            elif self._client_closed:
                return False
        except packets.PacketError as error:  # malformed input ends this connection only
            log.client_event("client_input_malformed", connection=self.number, error=str(error))
            text = packets.error(error.code, error.state, str(error))
            with contextlib.suppress(OSError):  # the client may have left already
                self._send(packets.packet(error.sequence + 1, text))
        except OSError as error:
            log.client_event("client_lost", connection=self.number, error=str(error))
            return False
        return self._linger_on(buffer)

    def _linger_on(self, buffer: memoryview) -> bool:
        """After the last answer, shut down the sending side and drop further input; return whether to wait for more."""
        with self._lock:
            new = self._linger is None
            linger = self._linger = self._linger or lingering.Linger(time.monotonic() + lingering.LINGER_TIME)
        if new and not self._quit:  # at once, so that the client sends no more commands, which would be dropped
            self._end_sending()
        before = linger.bytes_left
        if not linger.drop(self._sock, buffer, time.monotonic):
            return False
        if new:
            if self._quit and linger.bytes_left == before and not self._parser.begun:
                return False  # the client sent nothing after its QUIT
            self._parser.drop()
            self._end_sending()
            self.server.move_to_lingering(self, linger.until)
        return True

    def _end_sending(self) -> None:
        """Shut down the sending side; idempotent."""
        with contextlib.suppress(OSError):  # the client may have closed the connection
            self._sock.shutdown(socket.SHUT_WR)

    def run_brief(self, buffer: memoryview) -> bool | None:
        """Serve like `run`, but never block: return None, with nothing read, if serving the input might block."""
        if not self._greeted:
            return self.run(buffer[:0])
        size = None if self._parser.begun else departures.brief_commands_length(self._sock, self._logged_in, buffer)
        return None if size is None else self.run(buffer[:size])

    def is_unread_request_overdue(self, now: float, buffer: memoryview) -> bool:
        """Return whether a request that waits unread is overdue.

        Only the thread that claimed the session may call this.
        """
        if self._unread_due is None:
            size = 0
            with contextlib.suppress(OSError):  # there is no unread input
                size = self._sock.recv_into(buffer, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if (ttl := overdue.time_to_live(self._parser.unread + bytes(buffer[:size]))) is not None:
                self._unread_due = now - seconds_since_data(self._sock) + ttl
        return self._unread_due is not None and now >= self._unread_due

    def refuse_overdue(self, buffer: memoryview) -> bool:
        """Reject the overdue unread request without blocking or reading beyond it; return the same as `run`."""
        keep_open, self._refusing = True, True
        while keep_open and self._refusing and self._has_input():
            keep_open = self.run(buffer[: self._parser.missing_bytes])
        self._refusing = False
        return keep_open

    def answer_overdue(self, now: float) -> bool:
        """Fail the open request if it is overdue, in place of its blocked thread; return whether it was overdue.

        This ends the session: the client's next command would wait for the same blocked thread.
        """
        if not self._deadline.is_overdue(now):
            return False
        # Closing the descriptor takes this lock too, so the request's thread, on finding the answer claimed, cannot
        # shut down or close the connection before the answer is sent.
        with self._lock:
            if not self._deadline.claim_overdue(now):
                return False
            self._closes_after_command = True
            if self._exchange is not None:
                self._exchange.cancel()  # before the answer: nothing may be sent to an engine after it
            left = packets.packet(1, replies.FAILED)
            with contextlib.suppress(OSError):  # the client has left, or does not read
                while left:
                    left = left[self._sock.send(left, socket.MSG_DONTWAIT) :]
                self._sock.shutdown(socket.SHUT_WR)
        return True

    def client_has_left(self) -> bool:
        """Return whether the client of the open request has left, or shut down its sending half.

        The gateway must not shut down its own receiving side during a request: that would look the same.
        """
        return self._departure.check()

    def client_may_have_left(self) -> bool:
        """Return whether the client of the open request has left, or may have left unseen: nothing is sent for it."""
        return self._departure.check() or self._departure.is_hidden()

    def check_departure(self) -> None:
        """Cancel the open request if the client has left.

        The socket is checked rather than trusting the event, which may be older than the request or be caused by the
        gateway's own shutdown of the socket.
        """
        with self._lock:  # while there is an exchange, the socket is open
            exchange = self._exchange if self._exchange is not None and self.client_has_left() else None
        if exchange is not None:
            exchange.cancel()

    def close(self) -> None:
        """Remove the session from the server and close its socket."""
        self.server.remove(self)
        with self._lock:  # other threads must not shut down a reused descriptor
            self._parser.drop()
            self._sock.close()

    def end_linger(self) -> None:
        """End the lingering now; the thread that the shutdown wakes closes the socket."""
        with self._lock:
            if self._linger is not None:
                self._linger.until = 0.0
            with contextlib.suppress(OSError):  # the client may have closed the connection
                self._sock.shutdown(socket.SHUT_RDWR)

    def kill(self, query_only: bool) -> None:
        """Cancel the open request for a KILL; end the session too, unless query_only.

        A request that is unread, being parsed or held by the gate is cancelled too, and not sent to an engine.
        """
        with self._lock:
            exchange = self._exchange
            self._killed = exchange is None and (self._may_have_unanswered_command or self._has_incoming_command())
        if exchange is not None:
            exchange.cancel()
        if not query_only:
            self._cut_off()

    def stop(self) -> None:
        """Serve only received commands: an idle session ends now, any other after its commands are answered.

        A session still answers a command in progress, incomplete or unread, and a new session its first command.
        """
        with self._lock:
            self._closes_after_input = True
            lingers = self._idle and not self._has_input() and self._end_waiting()
        if lingers:
            self._start_lingering()

    def _has_incoming_command(self) -> bool:
        """Return whether a waiting session has unread or incomplete input. Call under the lock."""
        if self._waiting is None:  # ended, or being served
            return False
        with contextlib.suppress(OSError):  # there is no unread input
            return self._parser.begun or bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    def _cut_off(self) -> None:
        """Serve no more commands: a waiting session ends now, any other after its command in progress."""
        with self._lock:
            self._closes_after_command = True
            lingers = self._waiting is not None and self._end_waiting()
        if lingers:
            self._start_lingering()

    @property
    def is_served(self) -> bool:
        """Whether a thread is serving the session."""
        return self._waiting is None

    @property
    def held_bytes(self) -> int:
        """Number of bytes of an incomplete command that the session holds."""
        return self._parser.held_bytes

    def idle_share(self, now: float) -> float:
        """Return the used share of the client's time limit; 0 while the session is served."""
        waiting = self._waiting
        return (now - waiting[0]) / (waiting[1] - waiting[0]) if waiting else 0.0

    def eviction_order(self) -> tuple[bool, float]:
        """Sort key of evictions: longest idle first, since the last answer or connect; incomplete commands last."""
        return bool(self._incomplete_due), self._last_answer_at

    def evict(self, at_once: bool = False) -> bool:
        """End the session unless it has unread input; return whether it was ended.

        The client resends on a new connection what it sends while this one is being closed. at_once: the descriptor is
        needed now, so the connection does not linger.
        """
        with self._lock:
            if self._waiting is None or self._has_input():
                return False
            lingers = self._end_waiting(at_once)
        if lingers:
            self._start_lingering()
        return True

    def refuse_incomplete(self) -> bool:
        """Reject the large command that the client has not sent whole, and end the session; return whether it did.

        Any thread may call this. Commands that are whole, or that have unread input, are left to their own thread.
        """
        with self._lock:
            if self._waiting is None or not self._parser.has_reservation or self._has_input():
                return False
            with contextlib.suppress(OSError):  # the client has left, or does not read
                self._sock.send(replies.encode(Rejected(MEMORY_PUSHBACK)), socket.MSG_DONTWAIT)
            log.client_event("command_refused", connection=self.number, reason="memory", held=self.held_bytes)
            self._last_answer_at = time.monotonic()
            lingers = self._end_waiting()
        if lingers:
            self._start_lingering()
        return True

    @property
    def incomplete_order(self) -> float:
        """Sort key: the session whose command has been incomplete for longest first."""
        return self._incomplete_due

    @property
    def has_reservation(self) -> bool:
        """Whether the session has reserved memory."""
        return self._parser.has_reservation

    def _has_input(self) -> bool:
        """Return whether there is unread input: bytes, or the end of the connection. Call under the lock.

        The last check does not release the interpreter lock, so that no other thread runs before the caller acts on it.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return has_unread(self._sock)
        except OSError:  # a reset ends the connection too
            return True
        return True

    def _end_waiting(self, at_once: bool = False) -> bool:
        """End a waiting session, from any thread; return whether it lingers. Call under the lock.

        From here on all input is dropped. If the last answer was sent more than LINGER_TIME ago, it has arrived and a
        reset cannot destroy it: such a session does not linger; the thread that the shutdown wakes closes it.
        """
        self._idle, self._waiting = False, None
        self._parser.drop()
        linger = self._linger = lingering.Linger(0.0 if at_once else self._last_answer_at + lingering.LINGER_TIME)
        lingers = time.monotonic() < linger.until
        with contextlib.suppress(OSError):  # the client may have closed the connection
            self._sock.shutdown(socket.SHUT_WR if lingers else socket.SHUT_RDWR)
        return lingers

    def _start_lingering(self) -> None:
        if self._linger is not None:
            self.server.move_to_lingering(self, self._linger.until)

    def _wait_for_command(self) -> bool:
        """Start waiting for the client, with a time limit; return False if the session ends instead.

        The limits hold for a whole command, so that a client that sends byte by byte is cut off as a silent one is.
        """
        begun, now = self._parser.begun, time.monotonic()
        self._incomplete_due = (self._incomplete_due or now + PACKET_LIMIT) if begun else 0.0
        due = self._first_due or self._last_answer_at + IDLE_LIMIT
        with self._lock:
            if self._closes_after_command or (
                self._closes_after_input and not self._first_due and not begun and not self._has_input()
            ):
                return False
            self._waiting = self._last_answer_at, min(due, self._incomplete_due) if self._incomplete_due else due
            self._idle = not self._first_due and not begun
            self._may_have_unanswered_command = False
            self._killed = self._killed and begun
        return True

    def _serve(self, buffer: memoryview, busy_for: float) -> bool:
        """Read once, and answer all complete messages; return whether the session continues."""
        with self._lock:  # from here on the session cannot be evicted
            self._idle, self._waiting, self._unread_due = False, None, None
            self._may_have_unanswered_command = True
            if self._linger is not None:
                return False
        if not self._greeted:
            self._send(packets.packet(0, packets.greeting(self.number, _scramble())))
            self._greeted = True
        if not buffer:
            return True
        self._waited_unread = self._unread_age(busy_for)
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # nothing to read yet
            return True
        except OSError as error:
            if not is_short_of_memory(error):
                raise
            time.sleep(MEMORY_PAUSE)  # the input stays in the socket, and epoll reports it again
            return True
        if not size:
            self._client_closed = True
            return False
        self._parser.feed(buffer[:size])
        self._received_at = time.monotonic()
        while not self._closes_after_command and (message := self._parser.next_message()) is not None:
            self._incomplete_due = 0.0
            if not (self._answer(message) if self._logged_in else self._login(message)):
                return False
            self._last_answer_at = time.monotonic()
        return self._reserve_incomplete()

    def _reserve_incomplete(self) -> bool:
        """Reserve memory for the incomplete command; without it, reject the command and return False."""
        if self._closes_after_command or self._parser.reserve_held():  # a session that ends drops its input
            return True
        log.client_event("command_refused", connection=self.number, reason="memory", held=self.held_bytes)
        self._send(replies.encode(Rejected(MEMORY_PUSHBACK)))
        return False

    def _read_ahead(self) -> bool:
        """Read further input, so that the end of the connection can be seen; return whether it could be now."""
        while self._departure.is_hidden():
            if self._parser.held_bytes >= MAX_READ_AHEAD or not self._parser.reserve_held(READ_AHEAD_SIZE):
                return False
            try:
                self._parser.feed(self._sock.recv(READ_AHEAD_SIZE, socket.MSG_DONTWAIT))
            except OSError as error:
                # what the kernel holds may lack its beginning, and is not readable yet
                if isinstance(error, BlockingIOError) or is_short_of_memory(error):
                    return False
                raise
            if not self._departure.is_hidden():
                self._departure.wait(ARRIVAL_TIME)  # the client may send more now, and so close the window again
        return True

    def _answer(self, message: packets.Message) -> bool:
        """Answer one command; return whether the session continues."""
        self._first_due = 0.0
        if message.sequence != 0:
            raise packets.PacketError("Got packets out of order", 1156, "08S01", message.sequence)
        if message.command == QUIT and message.payload:
            self._quit = True
            return False
        try:
            reply = self._command(message)
        except threads.ThreadUnavailableError:  # the request needed another thread; the client still gets an answer
            reply = packets.packet(1, replies.FAILED)
        if not self._deadline.claim():  # answer_overdue has answered it
            return False
        self._send(reply)
        self._parser.end_request()
        return True

    def _unread_age(self, busy_for: float) -> float:
        """Return the age in s of the unread input, as the kernel reports it; 0 below MIN_UNREAD_AGE.

        A positive busy_for, the time (s) in which no thread was free, caps the age. With 0, threads were free, and a
        large age means that they got no processor time.
        """
        waited = seconds_since_data(self._sock)
        if self._is_sampled and self.server.on_unread_age is not None:
            self.server.on_unread_age(waited)
        return min(busy_for, waited) if busy_for else waited * (waited >= MIN_UNREAD_AGE)

    def _send(self, data: bytes) -> None:
        send_all(self._sock, data, WRITE_LIMIT)

    def _login(self, message: packets.Message) -> bool:
        login = packets.login(message.payload)
        answer = packets.ok()
        if login.user != USER or login.auth:
            user = login.user.decode("utf-8", "replace")
            answer = packets.error(1045, "28000", f"Access denied for user '{user}'")
        elif login.database not in (b"", DATABASE):
            answer = self._unknown_database(login.database)
        self._send(packets.packet(message.sequence + 1, answer))
        self._logged_in = answer == packets.ok()
        self._parser.accept_commands()
        return self._logged_in

    def _unknown_database(self, name: bytes) -> bytes:
        return packets.error(1049, "42000", f"Unknown database '{name.decode('utf-8', 'replace')}'")

    def _command(self, message: packets.Message) -> bytes:
        """Execute one command, and return its response packets."""
        command = message.command
        if command == QUERY:
            kill = statements.parse_kill(message.body)
            return packets.packet(1, self._kill(kill)) if kill else self._query(message)
        body = bytes(message.body)
        if command in (PING, RESET_CONNECTION):
            return packets.packet(1, packets.ok())
        if command == INIT_DB:
            return packets.packet(1, packets.ok() if body == DATABASE else self._unknown_database(body))
        if command == PROCESS_KILL and len(body) == 4:
            return packets.packet(1, self._kill(statements.Kill(int.from_bytes(body, "little"), False)))
        return packets.packet(1, replies.UNKNOWN_COMMAND)

    def _kill(self, statement: statements.Kill) -> bytes:
        """Kill the session that the statement names; return the payload of the answer."""
        outcome = self.server.kill(statement)
        if statement.connection == self.number:  # a session that kills itself has no other open request
            with self._lock:
                self._killed = False
        return replies.KILL_ANSWERS[outcome]

    def _query(self, message: packets.Message) -> bytes:
        with self._lock:
            self._may_have_unanswered_command = True
        try:
            reply = self._run_request(message)
        finally:
            with self._lock:  # later KILLs and events do not concern this request
                self._exchange, self._killed = None, False
                self._may_have_unanswered_command = False
        if self._departure.has_departed:
            raise ConnectionAbortedError("the client left while its request was open")
        return reply

    def _run_request(self, message: packets.Message) -> bytes:
        """Run a request, and return its response packets; releases the message once its statement is copied."""
        if self._refusing:
            self._refusing = False
            return replies.encode(Rejected(OVERDUE_PUSHBACK))
        if not self._read_ahead():
            log.client_event("request_refused", connection=self.number, reason="unread")
            return replies.encode(Rejected(UNREAD_PUSHBACK))
        size = len(message.payload)
        if not self._parser.reserve_command(size):
            log.client_event("request_refused", connection=self.number, reason="memory", size=size)
            return replies.encode(Rejected(MEMORY_PUSHBACK))
        try:
            if self.server.gate is not None:
                outcome = self._open_admitted(message.body, self.server.gate)
                if isinstance(outcome, Deferred):
                    return replies.encode(Rejected(outcome.retry_after))
                if isinstance(outcome, Cancelled):
                    return replies.encode(outcome)
                query, exchange = outcome
            else:
                settings = self.server.settings  # the same version for parsing and for the decision
                query = statements.parse_query(message.body, settings, self._received_at)
                if self._waited_unread:  # the ttl counts from the arrival; an overdue request is rejected at once
                    query = dataclasses.replace(query, ttl=query.ttl - self._waited_unread)
                self._deadline.begin(query.received_at + query.ttl)
                query.set_client(self.client_may_have_left, self._parser.reserve_more)
                if self._killed or (self._waited_unread and self.client_has_left()):
                    return replies.encode(Cancelled())
                exchange = self.server.open(query, settings)
        except InvalidRequestError as error:
            log.client_event("request_unusable", connection=self.number, error=str(error))
            return packets.packet(1, packets.error(1210, "HY000", f"Incorrect arguments: {error}"))
        except Exception as error:
            return self._answer_internal_error(error)
        message.release()
        with self._lock:
            self._exchange, killed = exchange, self._killed
        if killed:
            exchange.cancel()
        self.server.watch_departure(self)
        begun = time.monotonic()
        try:
            return replies.encode(exchange.run())
        except Exception as error:
            return self._answer_internal_error(error)
        finally:
            took = time.monotonic() - begun
            if took > query.ttl:
                call = query.request_id.decode()
                log.client_event("answer_late", connection=self.number, call=call, ttl=query.ttl, took=took)

    def _answer_internal_error(self, error: Exception) -> bytes:
        """Return the error packet for a request that an internal error ended.

        Raises an AssertionError again, as it has to end a debug build's session where tests notice it, and a
        ThreadUnavailableError, which `_answer` handles.
        """
        if isinstance(error, AssertionError | threads.ThreadUnavailableError):
            raise error
        log.event("request_fault", connection=self.number, error=repr(error), trace=traceback.format_exc(limit=-3))
        return packets.packet(1, replies.FAILED)

    def _open_admitted(
        self, text: bytes | memoryview, gate: AdmissionGate
    ) -> tuple[Query, Exchange] | Deferred | Cancelled:
        """Open a request once the gate admits it, parsed under the version of the rules that decides it.

        A request that is killed, or whose client leaves, while the gate holds it is not opened. Raises
        InvalidRequestError for a request that cannot be parsed, but only if the gate would admit it without a wait.
        """
        settings, time_waited = self.server.settings, self._waited_unread
        received_at = self._received_at  # plus the time held, by which the ttl is reduced: the deadline stays the same
        for _ in range(MAX_PARSES):
            now = time.monotonic()
            try:
                query = statements.parse_query(text, settings, received_at)
                self._deadline.begin(query.received_at + query.ttl - time_waited)
                tenant = settings.tenants[query.tenant] if settings.tenants else ""
                until = now + _max_admission_wait(query.ttl - time_waited)
                admission = gate.admit(settings.classes[query.cls].name, tenant, query.tables, until)
            except InvalidRequestError:  # perhaps only under a version that is being replaced
                admission = gate.admit(None, "", 0, now + UNPARSED_WAIT)
                if not (isinstance(admission, Deferred) or admission.waited):
                    raise
            if isinstance(admission, Deferred):
                return admission
            if admission.waited:
                held = time.monotonic() - now
                time_waited, received_at, settings = time_waited + held, received_at + held, self.server.settings
                query = statements.parse_query(text, settings, received_at)
            if self._killed or (admission.waited and self.client_has_left()):
                return Cancelled()
            if time_waited:  # the ttl counts from the arrival; an overdue request is rejected at once
                query = dataclasses.replace(query, ttl=query.ttl - time_waited)
            query.set_client(self.client_may_have_left, self._parser.reserve_more)
            try:
                return query, self.server.open(query, settings)
            except SettingsChangedError as error:
                settings = error.settings
        return Deferred(RULES_CHANGE_PUSHBACK, "the rules change faster than the request can be read")


def _max_admission_wait(ttl: float) -> float:
    """Return how long (s) the gate may hold a request with this time to live, so that time is left to answer it."""
    return ttl - min(SERVE_RESERVE_SHARE * ttl, MAX_SERVE_RESERVE)


def _scramble() -> bytes:
    return bytes(1 + byte % 127 for byte in os.urandom(20))
