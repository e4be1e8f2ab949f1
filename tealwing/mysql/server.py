"""The MySQL server: threads that wait for clients, and serve one session each at a time."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import threading
import time
import traceback
from collections.abc import Callable

from tealwing import interface, log, threads
from tealwing.exchange import Abandoned, Exchange, Failed, Open, Refused, Reply, Served, Unusable
from tealwing.mysql import packets, statements
from tealwing.sockets import Address, receive, set_limit, stamp

USER, DATABASE = b"app", b"reports"
COLUMNS = (b"column_1", b"column_2", b"column_3")  # engines send no names
FIRST_LIMIT = 2.0  # s from its connect in which a client logs in and sends its first command whole
PACKET_LIMIT = 2.0  # s for the rest of a command that has begun to come
IDLE_LIMIT = 60.0  # s between commands: usual clients close after 4, some ask once and stay for good
WRITE_LIMIT = 5  # s that a client may take nothing
SPARE = 11  # one place in so many is kept free for who comes next: what usual clients may not hold
FREE_THREADS = (4, 8)  # least and most that wait for clients: each is a task of a table that all processes share
BACKLOG = 256
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again
ACCEPT_WAIT = 0.25  # s that a thread waits on a shared queue before it looks whether its process stops
SAMPLED = 4  # of so many sessions one tells how long what it reads has waited: enough for a mean
READ_SIZE = 4 * 1024  # bytes of a thread's buffer: statements are short

QUIT, INIT_DB, QUERY, PROCESS_KILL, PING, RESET_CONNECTION = 0x01, 0x02, 0x03, 0x0C, 0x0E, 0x1F

UNKNOWN_COMMAND = packets.error(1047, "08S01", "Unknown command")
UNKNOWN_THREAD = packets.error(1094, "HY000", "Unknown thread id")
INTERRUPTED = packets.error(1317, "70100", "Query execution was interrupted")
FAILED = packets.error(1105, "HY000", "The query failed; it may have run")


class Session:
    """One client connection."""

    def __init__(self, server: Server, sock: socket.socket, number: int, buffer: bytearray) -> None:
        self.server, self.number = server, number
        self._sock, self._buffer = sock, memoryview(buffer)
        self._parser = packets.Parser()
        self._lock = threading.Lock()
        self._exchange: Exchange | None = None  # the request that is open, under the lock
        self._waiting: tuple[float, float] | None = None  # for its client: since when, and until when
        self._stamped = server.unread is not None and number % SAMPLED == 0
        if self._stamped:
            stamp(sock)
        self._taken = 0.0  # monotonic, when the last byte of the last message had been read
        self._parted = False  # closed to make room: what it still says is sent again elsewhere
        self._closing = False  # the gateway ends: close once what has come is answered, under the lock
        self._idle = False  # waiting for a further command, under the lock

    def run(self) -> None:
        """Serve the client until it goes."""
        first = time.monotonic() + FIRST_LIMIT
        try:
            self._sock.sendall(packets.packet(0, packets.greeting(self.number, _scramble())))
            if self._login(first):
                while (message := self._receive(first)) is not None:
                    first = 0.0
                    sequence, payload = message
                    if sequence != 0:
                        raise packets.PacketError("Got packets out of order", 1156, "08S01", sequence)
                    if payload[:1] == bytes([QUIT]):
                        break
                    try:
                        reply = self._command(payload)
                    except threads.NoThread:  # a thread the request needed: it gets its whole answer still
                        reply = packets.packet(1, FAILED)
                    self._sock.sendall(reply)
                    if self._closing:
                        break
        except packets.PacketError as error:  # malformed input ends this connection only
            text = packets.error(error.code, error.state, str(error))
            self._last_words(packets.packet(error.sequence + 1, text))
        except OSError as error:
            log.event("client_lost", error=str(error))
        finally:
            self.server.ended(self)
            self._sock.close()

    def kill(self, query_only: bool) -> None:
        """KILL: give the open request up, and end the session unless only the query was meant."""
        with self._lock:
            exchange = self._exchange
        if exchange is not None:
            exchange.abandon()
        if not query_only:
            with self._lock:
                self._closing = True
            self._shut()

    def stop(self) -> None:
        """Take no more from the client than has come: a session between commands ends now, others after one.

        A session that has just begun, or whose command is under way, answers it first: a shutdown of
        its reading side would end it before the command that its client is sending.
        """
        with self._lock:
            self._closing = True
            idle = self._idle
        if idle:
            self._shut()

    def _shut(self) -> None:
        with contextlib.suppress(OSError):  # it may have gone by itself
            self._sock.shutdown(socket.SHUT_RD)

    def waited(self, now: float) -> float:
        """The share of its time that the client has let pass; 0 while it waits for us."""
        waiting = self._waiting
        return (now - waiting[0]) / (waiting[1] - waiting[0]) if waiting else 0.0

    def part(self) -> bool:
        """Close at once, unless something of the client has come; what crosses that it sends again."""
        with self._lock:
            if self._waiting is None:
                return False
            with contextlib.suppress(OSError):  # nothing has come
                self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
                return False
            self._waiting, self._parted = None, True
        with contextlib.suppress(OSError):  # it may have gone by itself
            self._sock.shutdown(socket.SHUT_RDWR)
        return True

    def _receive(self, until: float = 0.0) -> tuple[int, bytes] | None:
        """The next message; None when the client has gone, or has not sent it whole in time.

        The limits are on the whole of it: a client that drips must not hold a thread, nor a silent one.
        """
        begun = now = time.monotonic()
        limit = until or now + IDLE_LIMIT
        while (message := self._parser.next()) is None:
            if self._parser.begun:
                limit = min(limit, now + PACKET_LIMIT)
            if now >= limit:
                return None
            set_limit(self._sock, socket.SO_RCVTIMEO, limit - now)
            self._waiting = begun, limit
            try:
                if until:  # a first command: dropped when it was parted with, as nothing was done for it
                    size = self._read()
                else:
                    with self._lock:
                        if self._closing and not self._parser.begun:
                            return None
                        self._idle = not self._parser.begun
                    self._sock.recv_into(self._buffer, 1, socket.MSG_PEEK)
                with self._lock:  # from here on it is not parted with: see part
                    self._idle = False
                    self._waiting = None
                    if self._parted:
                        return None
                    if not until:
                        size = self._read()
            except BlockingIOError:  # the limit has passed
                size = 0
            if not size:
                return None
            self._parser.feed(self._buffer[:size])
            now = time.monotonic()
        self._taken = now
        return message

    def _read(self) -> int:
        """Read what has come; of a sample of sessions, how long it waited for that is told."""
        if not self._stamped:
            return self._sock.recv_into(self._buffer)
        size, came = receive(self._sock, self._buffer)
        unread = self.server.unread
        if came is not None and unread is not None:
            unread(max(0.0, time.time() - came))
        return size

    def _login(self, until: float) -> bool:
        message = self._receive(until)
        if message is None:
            return False
        sequence, payload = message
        login = packets.login(payload)
        answer = packets.ok()
        if login.user != USER or login.auth:
            user = login.user.decode("utf-8", "replace")
            answer = packets.error(1045, "28000", f"Access denied for user '{user}'")
        elif login.database not in (b"", DATABASE):
            answer = self._no_database(login.database)
        self._sock.sendall(packets.packet(sequence + 1, answer))
        return answer == packets.ok()

    def _no_database(self, name: bytes) -> bytes:
        return packets.error(1049, "42000", f"Unknown database '{name.decode('utf-8', 'replace')}'")

    def _command(self, payload: bytes) -> bytes:
        """The whole answer to one command, as packets."""
        command, body = payload[0] if payload else 0, payload[1:]
        if command == QUERY:
            killed = statements.kill(body)
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
        return packets.ok()

    def _query(self, text: bytes) -> bytes:
        try:
            settings = self.server.settings  # one version for the reading and the deciding
            query = statements.query(text, settings, self._taken)
            exchange = self.server.open(query, settings)
        except Unusable as error:
            log.event("request_unusable", error=str(error))
            return packets.packet(1, packets.error(1210, "HY000", f"Incorrect arguments: {error}"))
        with self._lock:
            self._exchange = exchange
        begun = time.monotonic()
        try:
            return answer(exchange.run())
        finally:
            took = time.monotonic() - begun
            if took > query.ttl:
                log.event("answer_late", call=query.call.decode(), ttl=query.ttl, took=took)
            with self._lock:
                self._exchange = None

    def _last_words(self, data: bytes) -> None:
        with contextlib.suppress(OSError):  # the client may have gone already
            self._sock.sendall(data)
            self._sock.shutdown(socket.SHUT_WR)


def answer(reply: Reply) -> bytes:
    """A reply as packets."""
    match reply:
        case Served(pages):
            rows = (line.split(b"\t") for page in pages for line in page.split(b"\n")[:-1])
            return packets.result_set(COLUMNS, rows, 1)
        case Refused(retry_after):
            text = f"The query was refused, pushback={round(retry_after * 1e3)}"
            return packets.packet(1, packets.error(1226, "42000", text))
        case Failed():
            return packets.packet(1, FAILED)
        case Abandoned():
            return packets.packet(1, INTERRUPTED)


def _inherit(descriptor: int) -> socket.socket:
    """The listening TCP socket of a descriptor that the platform has handed over."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor} is not a listening TCP socket")
    listener.settimeout(ACCEPT_WAIT)  # poll, then accept: a stop of this process leaves the queue to the other
    return listener


def _scramble() -> bytes:
    return bytes(1 + byte % 127 for byte in os.urandom(20))


class Server:
    """Listens, and keeps the sessions by their connection ids."""

    def __init__(
        self,
        address: Address,
        most: int,
        settings: interface.Settings,
        open_: Open,
        inherited: int | None = None,
    ) -> None:
        """Listen on the address, or on the listening socket of descriptor `inherited` (OSError if it is none)."""
        self.settings, self.open = settings, open_
        self.unread: Callable[[float], None] | None = None  # hears how long what was read had waited
        self._most = most
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._sessions: dict[int, Session] = {}
        self._threads = self._free = 0  # all, and those that wait for clients
        self._stopping = threading.Event()
        self.shared = inherited is not None  # the queue is another process's too
        self._listener = socket.create_server(address, backlog=BACKLOG) if inherited is None else _inherit(inherited)

    def start(self) -> None:
        """Accept clients from now on."""
        self._start_thread()

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return host, port

    def session(self, number: int) -> Session | None:
        """The session of a connection id."""
        with self._changed:
            return self._sessions.get(number)

    def ended(self, session: Session) -> None:
        """A session is over."""
        with self._changed:
            self._sessions.pop(session.number, None)
            self._changed.notify_all()

    def stop_listening(self) -> None:
        """Accept no more; what has connected already is still served."""
        self._stopping.set()
        if self.shared:  # a shutdown would end the queue for the other process too: the threads see the flag
            return
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RD)  # wakes the threads that wait for clients

    def finish(self, seconds: float) -> bool:
        """Let each session end with its open request; whether all did in time."""
        with self._changed:
            sessions = list(self._sessions.values())
        for session in sessions:
            session.stop()
        until = time.monotonic() + seconds
        while True:  # on a shared queue a thread may take one more client while it has not yet seen the flag
            with self._changed:
                if self._changed.wait_for(lambda: not self._sessions, min(ACCEPT_WAIT, until - time.monotonic())):
                    return True
                late = [session for session in self._sessions.values() if session not in sessions]
            if time.monotonic() >= until:
                return False
            for session in late:
                session.stop()
            sessions.extend(late)

    def _work(self) -> None:
        """One session after another. The thread is there before its client: starting one takes too long.

        Its buffer lasts as it does: one made for each read and cut to what came left holes in the heap.
        """
        buffer = bytearray(READ_SIZE)
        while not self._stopping.is_set():
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:  # a shared queue without clients for a while
                continue
            except OSError as error:  # the end, or descriptors have run out for now
                if not self._stopping.wait(ACCEPT_PAUSE):
                    log.event("accept_failed", error=str(error))
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_limit(sock, socket.SO_SNDTIMEO, WRITE_LIMIT)
            session = Session(self, sock, next(self._numbers) & 0xFFFFFFFF, buffer)
            with self._changed:
                self._sessions[session.number] = session
                self._free -= 1
                short = self._free < FREE_THREADS[0] and self._threads < self._most
                crowded = len(self._sessions) > self._most - self._most // SPARE
            if short and not self._start_thread():  # the machine is short of tasks: ours is the ceiling now
                with self._changed:
                    crowded = crowded or self._free <= 0
            if crowded:
                self._make_room()
            try:
                session.run()
            except Exception:  # a fault of ours ends one session, not the thread that other clients need
                log.must_hold(False, f"a session ends by itself: {traceback.format_exc(limit=-3)}")
            with self._changed:
                enough = self._free >= FREE_THREADS[1]
                self._free += not enough
                self._threads -= enough
                self._changed.notify_all()
            if enough:
                return

    def _start_thread(self) -> bool:
        """Whether a further thread waits for clients now.

        Where none can be had, those that there are part with the client that has let most of its time
        pass, so that one who connects finds a thread before its time is over and not at its end.
        """
        with self._changed:
            self._threads, self._free = self._threads + 1, self._free + 1
        try:
            threads.start(self._work, "session")
        except threads.NoThread:  # logged there; the thread that asked goes on accepting after its session
            with self._changed:
                self._threads, self._free = self._threads - 1, self._free - 1
            return False
        return True

    def _make_room(self) -> None:
        """Part with the client that has let most of its time pass: usual ones need the thread.

        That is one that says nothing sooner than one that has asked and holds its connection open.
        """
        now = time.monotonic()
        with self._changed:
            waiting = [session for session in self._sessions.values() if session.waited(now) > 0]
        waiting.sort(key=lambda session: session.waited(now), reverse=True)
        for session in waiting:
            if session.part():
                return
