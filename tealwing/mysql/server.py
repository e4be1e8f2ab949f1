"""The MySQL server: sessions, and a pool of threads that serve the sessions with input.

An idle client holds a descriptor but no thread: all sessions between two commands wait in one epoll set, together with
the listening socket, and each free thread takes the next ready one. A thread per client does not scale: the idle
clients of 200 gateways filled the machine's table of tasks.
"""

from __future__ import annotations

import contextlib
import errno
import os
import random
import select
import socket
import threading
import time
import traceback
from collections import deque
from collections.abc import Callable

from tealwing import interface, log, memory, threads
from tealwing.exchange import AdmissionGate, OpenExchange
from tealwing.mysql.connection_ids import MAX_SEQUENCE, ONLY_PROCESS, ConnectionIds
from tealwing.mysql.departures import DEPARTURE_EVENTS
from tealwing.mysql.kills import KillForwarder, KillOutcome
from tealwing.mysql.lingering import Lingering
from tealwing.mysql.session import Session
from tealwing.mysql.statements import Kill
from tealwing.sockets import Address

RESERVE_DIVISOR = 11  # 1/11 of the client places is reserved for new clients and lingering connections
FREE_THREADS = (4, 8)  # min and max idle threads; the limit on tasks is shared by all processes of the machine
BACKLOG = 256
ACCEPT_PAUSE = 0.05  # s before a failed accept is retried
TIME_LIMIT_CHECK_INTERVAL = 0.25  # s between two checks of the clients' time limits
RESOURCE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}  # of accept; closing a descriptor may help
# errors of accept that concern only the connection to be accepted (accept(2)): the next one is accepted at once
CONNECTION_ERRORS = {
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH,
}  # fmt: skip
READ_SIZE = 4 * 1024  # bytes of a thread's buffer: statements are short
BRIEF_SIZE = 512  # bytes read for a session while no thread is free: enough for a login and a KILL
BUSY_DELAY = 0.03  # s without a free thread before brief commands are served; most bursts are over by then

INPUT_EVENTS = select.EPOLLIN | select.EPOLLONESHOT


def _inherit(descriptor: int) -> socket.socket:
    """Return the listening TCP socket of an inherited descriptor. Raises OSError if it is none."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor} is not a listening TCP socket")
    return listener


def _connection_ids(process: int) -> ConnectionIds:
    return ConnectionIds(process, random.randrange(MAX_SEQUENCE))


class Server:
    """Accepts clients; owns their sessions, by connection id, and the threads that serve them."""

    def __init__(
        self,
        address: Address,
        max_clients: int,
        settings: interface.Settings,
        open_: OpenExchange,
        inherited: int | None = None,
        max_threads: int | None = None,
        memory_limit: int = memory.DEFAULT_LIMIT,
    ) -> None:
        """Listen on the address, or on the listening socket of descriptor `inherited` (OSError if it is none).

        max_clients bounds the connected clients; max_threads bounds the commands served at once (default: max_clients);
        memory_limit is the limit of the process in bytes.
        """
        self.settings, self.open = settings, open_
        self.gate: AdmissionGate | None = None  # set if the fleet agrees on rules
        self.on_unread_age: Callable[[float], None] | None = None  # called with the age (s) of the input read
        self._max_clients, self._reserved_places = max_clients, max(1, max_clients // RESERVE_DIVISOR)
        self._max_threads = min(max_clients, max_threads or max_clients)
        self._memory_limit, self._memory_peaks = memory_limit, memory.PeakLog(memory_limit)
        self.account = memory.Account(memory.budget(memory_limit).account)  # of all clients together
        self._ids = _connection_ids(ONLY_PROCESS)
        self._forwarder: KillForwarder | None = None  # set while other processes may serve the same clients
        # its lock guards the sessions, lingering connections, armed descriptors and thread counts; notified when a
        # session ends or a thread has served one
        self._changed = threading.Condition()
        self._sessions: dict[int, Session] = {}  # by connection id
        # sessions that have ended, but whose connections are still open, by connection id
        self._lingering: Lingering[Session] = Lingering(self._reserved_places)
        self._waiting: dict[int, Session] = {}  # by descriptor: sessions in the epoll set
        self._armed: set[int] = set()  # descriptors armed for input; the thread that claims one's event removes it
        self._deferred: deque[Session] = deque()  # ready sessions waiting for a free thread
        self._threads = self._free = 0  # number of threads, and of idle ones
        # monotonic; when the last free thread took a session; 0 once a free thread finds no ready session
        self._busy_since = 0.0
        self._busy = threading.Event()  # set while no thread is free
        self._unarmed: deque[Session] = deque()  # sessions that epoll had no room to arm; retried periodically
        self._accept_fails = False  # accept has failed since the last accepted client; logged once per episode
        self._listener_unarmed = False  # epoll had no room to arm the listening socket; retried periodically
        self._accept_blocked = False  # no client is accepted until a descriptor is free or a session may be evicted
        self._stopping = threading.Event()  # set once no more clients are accepted
        self._over = threading.Event()  # set once all threads of the server must end
        self.shared = inherited is not None  # the accept queue is shared with another process
        self._listener = socket.create_server(address, backlog=BACKLOG) if inherited is None else _inherit(inherited)
        self._listener.setblocking(False)  # several threads may try to accept the same client
        self._ready = select.epoll()  # one-shot: each event disarms its descriptor
        self._ready.register(self._listener, INPUT_EVENTS)
        self._end_reader, self._end_writer = os.pipe()  # closing the writer wakes every thread
        self._ready.register(self._end_reader, 0)  # epoll reports the hangup (EPOLLHUP) without being asked to

    def share_clients(self, process: int, forwarder: KillForwarder) -> None:
        """Serve the clients together with other processes, as the one with this number. Call before `start`."""
        self._ids, self._forwarder = _connection_ids(process), forwarder

    def start(self) -> None:
        """Start accepting clients."""
        if not self._start_thread():
            raise OSError("cannot start a thread to serve clients; check the limits on tasks and memory")
        threads.start(self._check_time_limits, "session-limits")

    def apply_settings(self, settings: interface.Settings, max_threads: int) -> None:
        """Parse new requests under these settings; threads beyond max_threads end once idle."""
        self.settings, self._max_threads = settings, min(self._max_clients, max_threads)

    @property
    def address(self) -> Address:
        """The address of the listening socket."""
        host, port = self._listener.getsockname()
        return host, port

    @property
    def connections(self) -> int:
        """Number of open client connections, lingering ones included."""
        with self._changed:
            return self._descriptor_count()

    def gauges(self) -> dict[str, int]:
        """Return the gauges of clients and of the process's memory, in KiB."""
        with self._changed:
            clients, sessions = self._descriptor_count(), list(self._sessions.values())
        return {
            "clients": clients,
            "clients_incomplete": sum(session.held_bytes > 0 for session in sessions),
            "input_held_kb": sum(session.held_bytes for session in sessions) // 1024,
            "memory_kb": memory.resident_bytes() // 1024,
            "memory_reserved_kb": self.account.taken // 1024,
            "memory_reserved_peak_kb": self.account.peak // 1024,
        }

    def session(self, number: int) -> Session | None:
        """Return the session of a connection id; None if it has ended."""
        with self._changed:
            return self._sessions.get(number)

    def reserve(self, reservation: memory.Reservation, size: int) -> bool:
        """Resize a session's reservation; return whether it fits.

        While memory is short, the commands that have been incomplete for longest are rejected: the clients that wrote
        them are slow or have stopped, and nothing of them has been run.
        """
        while not reservation.resize(size):
            if not self._refuse_oldest_incomplete():
                return False
        return True

    def _refuse_oldest_incomplete(self) -> bool:
        with self._changed:
            holders = [session for session in self._sessions.values() if session.has_reservation]
        holders.sort(key=lambda session: session.incomplete_order)
        return any(session.refuse_incomplete() for session in holders)

    def kill(self, statement: Kill) -> KillOutcome:
        """Apply a KILL of a connection of this process, or forward it to the process that owns the connection."""
        if self.apply_kill(statement):
            return KillOutcome.APPLIED
        return self._forwarder.forward(statement) if self._forwarder else KillOutcome.UNKNOWN_CONNECTION

    def apply_kill(self, statement: Kill) -> bool:
        """Apply a KILL of a connection of this process; return False if this process has no such connection."""
        session = self.session(statement.connection)
        if session is not None:
            session.kill(statement.query_only)
        return session is not None

    def remove(self, session: Session) -> None:
        """Remove a session that has ended; the caller closes its descriptor next."""
        with self._changed:
            self._sessions.pop(session.number, None)
            self._lingering.remove(session.number)
            self._armed.discard(session.fileno())
            if self._waiting.pop(session.fileno(), None) is not None:
                self._ready.unregister(session.fileno())
            was_blocked, self._accept_blocked = self._accept_blocked, False
            self._changed.notify_all()
        if was_blocked:
            self._arm_listener()

    def move_to_lingering(self, session: Session, until: float) -> None:
        """Remove a session that has ended; its connection lingers until the monotonic time `until` at most."""
        with self._changed:
            if self._sessions.pop(session.number, None) is None:  # another thread has closed it
                return
            oldest = self._lingering.add(session.number, session, until)
            was_blocked, self._accept_blocked = self._accept_blocked, False
            self._changed.notify_all()
        if oldest is not None:
            oldest.end_linger()
        if was_blocked:  # a lingering connection can be closed for a waiting client
            self._arm_listener()

    def stop_listening(self) -> None:
        """Stop accepting clients; connected ones are still served."""
        with self._changed:
            self._stopping.set()
            # clients in the accept queue may have sent a request; a shared queue is left to the other process's accepts
            waiting = [] if self.shared else self._accept_waiting()
        with contextlib.suppress(OSError):
            self._ready.unregister(self._listener)
        if not self.shared:  # a shutdown would close a shared queue for the other process too
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RD)
        for session in waiting:
            if session.run(memoryview(b"")):  # sends the greeting
                self._wait_for_client(session)

    def finish(self, seconds: float) -> bool:
        """End each session after its open request, then the threads; return whether all sessions ended in time."""
        with self._changed:
            sessions = list(self._sessions.values())
        for session in sessions:
            session.stop()
        until = time.monotonic() + seconds
        while True:  # a thread may have accepted one more client before it noticed the stop
            with self._changed:
                self._changed.wait_for(self._is_empty, min(TIME_LIMIT_CHECK_INTERVAL, until - time.monotonic()))
                accepted_late = [session for session in self._sessions.values() if session not in sessions]
                left, empty = len(self._sessions), self._is_empty()
            if empty or (not left and time.monotonic() >= until):
                break
            if time.monotonic() >= until:
                return False
            for session in accepted_late:
                session.stop()
            sessions.extend(accepted_late)
        with self._changed:  # all answers have been sent
            lingering = self._lingering.expired(float("inf"))
        for session in lingering:
            session.end_linger()
        with self._changed:
            self._changed.wait_for(self._is_empty, TIME_LIMIT_CHECK_INTERVAL)
        self._end_threads()
        return True

    def _is_empty(self) -> bool:
        return not self._sessions and not self._lingering

    def _end_threads(self) -> None:
        """End all threads."""
        if not self._over.is_set():
            self._over.set()
            self._busy.set()
            os.close(self._end_writer)

    def _run_worker(self) -> None:
        """Serve one ready session after another, each until its input is used up.

        Threads are started ahead of the clients, as starting one takes too long. A thread reuses one buffer: a buffer
        allocated for each read and shrunk to the data received fragmented the heap.
        """
        buffer = memoryview(bytearray(READ_SIZE))
        while True:
            session = self._next_session()
            if session is None:
                return
            with self._changed:
                self._free -= 1
                more = self._free < FREE_THREADS[0] and self._threads < self._max_threads
                since = self._busy_since
                if self._free <= 0 and not since:
                    self._busy_since = time.monotonic()
            if more:
                self._start_thread()
            if self._free <= 0:  # this may have been the last free thread
                self._mark_all_threads_busy()
            try:
                if session.run(buffer, time.monotonic() - since if since else 0.0):
                    self._wait_for_client(session)  # from here on another thread may serve it
            except Exception:  # an internal error ends one session, not the thread
                log.check_invariant(False, f"serving a session raises no exception: {traceback.format_exc(limit=-3)}")
            with self._changed:
                enough = self._free >= FREE_THREADS[1]
                self._free += not enough
                self._threads -= enough
                if self._busy.is_set():
                    self._busy.clear()
                self._changed.notify_all()
            if enough:
                return

    def _next_session(self) -> Session | None:
        """Return the next session with input, a new client or a closed connection; None when the server ends."""
        while not self._over.is_set():
            if self._deferred:
                with contextlib.suppress(IndexError):  # another thread has taken the last one
                    return self._deferred.popleft()
            busy_since = self._busy_since
            ready = self._ready.poll(0 if busy_since else None, 1)
            if not ready:  # no session waits for a thread
                self._busy_since = 0.0
                continue
            descriptor = ready[0][0]
            session = self._accept() if descriptor == self._listener.fileno() else self._claim(descriptor)
            if session is not None:
                return session
        return None

    def _claim(self, descriptor: int) -> Session | None:
        """Return the session of a ready descriptor to the first thread that claims it; None to any other.

        A session with an open request cannot be claimed: its event reports that the client may have left. An event may
        be stale, fetched before its descriptor was armed again, so it is only a hint: the socket itself is checked.
        """
        with self._changed:
            session, was_armed = self._waiting.get(descriptor), descriptor in self._armed
            self._armed.discard(descriptor)
        if session is None or was_armed:
            return session
        session.check_departure()
        return None

    def _accept(self) -> Session | None:
        """Accept a client, if one is still waiting, and arm the listener for the next one."""
        try:
            with self._changed:  # never blocks; no client may be accepted after stop_listening
                if self._stopping.is_set():
                    return None
                no_place = self._accept_blocked = self._descriptor_count() >= self._max_clients
                if not no_place:
                    session = self._accept_client()
                uses_reserve = self._descriptor_count() > self._max_clients - self._reserved_places
                log.check_invariant(
                    self._descriptor_count() <= self._max_clients, "clients hold at most max_clients descriptors"
                )
        except OSError as error:  # another thread accepted the client, or descriptors ran out
            if not isinstance(error, BlockingIOError) and error.errno not in CONNECTION_ERRORS:
                self._pause_accept(error)
            self._arm_listener()
            return None
        self._accept_fails = False
        if no_place:  # the client waits until a descriptor is closed
            self._free_descriptor(at_once=True)
            return None
        self._arm_listener()
        if uses_reserve:
            self._free_descriptor(at_once=False)
        return session

    def _accept_waiting(self) -> list[Session]:
        """Accept the clients in the accept queue, up to max_clients. Call under the lock."""
        found = []
        with contextlib.suppress(OSError):  # the queue is empty, or descriptors ran out
            while self._descriptor_count() < self._max_clients:
                found.append(self._accept_client())
        return found

    def _accept_client(self) -> Session:
        """Accept the next client; never blocks. Raises OSError if accept fails. Call under the lock."""
        sock, _ = self._listener.accept()
        session = Session(self, sock, self._ids.next(self._is_used))
        self._sessions[session.number] = session
        return session

    def _is_used(self, number: int) -> bool:
        """Return whether an open connection has this id. Call under the lock."""
        return number in self._sessions or number in self._lingering

    def _pause_accept(self, error: OSError) -> None:
        """Pause after a failed accept, and free a descriptor if that may help; logs the first failure of an episode."""
        if error.errno in RESOURCE_ERRORS:
            self._free_descriptor(at_once=True)
        if not self._accept_fails and not self._stopping.is_set():
            self._accept_fails = True
            log.event("accept_failed", error=str(error))
        self._stopping.wait(ACCEPT_PAUSE)

    def _arm_listener(self) -> None:
        """Arm the listener for the next client; retried later if epoll is out of room."""
        if self._stopping.is_set():
            return
        try:
            self._ready.modify(self._listener, INPUT_EVENTS)
        except OSError:  # out of room, or stopped meanwhile
            self._listener_unarmed = True

    def _wait_for_client(self, session: Session) -> None:
        """Arm the session for its client's next input; another thread may serve it at once."""
        descriptor = session.descriptor
        try:
            with self._changed:
                self._armed.add(descriptor)
                was_blocked, self._accept_blocked = self._accept_blocked, False
                self._arm(descriptor, session, INPUT_EVENTS)
        except OSError:  # epoll is out of room: retried later, so that the client is still answered
            with self._changed:
                self._armed.discard(descriptor)
            self._unarmed.append(session)
        if was_blocked:  # this session may now be evicted for a waiting client
            self._arm_listener()

    def watch_departure(self, session: Session) -> None:
        """Watch for the client's departure. Only the thread of its open request may call this."""
        try:
            self._arm(session.descriptor, session, DEPARTURE_EVENTS)
        except OSError as error:  # out of room: the check before each send remains
            log.event("client_unwatched", error=str(error))

    def _arm(self, descriptor: int, session: Session, events: int) -> None:
        """Arm the descriptor for the next of these events. Only the thread that serves the session may call this."""
        new = descriptor not in self._waiting
        self._waiting[descriptor] = session
        try:
            if new:
                self._ready.register(descriptor, events)
            else:
                self._ready.modify(descriptor, events)
        except OSError:
            if new:  # otherwise it stays registered, but is not armed
                del self._waiting[descriptor]
            raise

    def _start_thread(self) -> bool:
        """Start one more thread; return whether it was started. If not, the existing ones go on."""
        with self._changed:
            if self._threads >= self._max_threads:  # another thread has started the last allowed one meanwhile
                return False
            self._threads, self._free = self._threads + 1, self._free + 1
            if self._busy.is_set():
                self._busy.clear()
        try:
            threads.start(self._run_worker, "session")
        except threads.ThreadUnavailableError:  # logged where it is raised, once per episode
            with self._changed:
                self._threads, self._free = self._threads - 1, self._free - 1
            return False
        return True

    def _check_time_limits(self) -> None:
        """Evict clients past their time limit, close expired lingering connections, and answer overdue requests."""
        buffer = memoryview(bytearray(READ_SIZE))
        while not self._pause(TIME_LIMIT_CHECK_INTERVAL):
            self._retry_arming()
            self._answer_overdue(buffer)
            self._log_memory_peak()
            now = time.monotonic()
            with self._changed:
                timed_out = [session for session in self._sessions.values() if session.idle_share(now) >= 1]
                expired = self._lingering.expired(now)
            for session in timed_out:
                session.evict()
            for session in expired:
                session.end_linger()

    def _log_memory_peak(self) -> None:
        """Log a new peak of resident memory with what may have caused it."""
        if self._memory_peaks.is_peak(memory.resident_bytes()):
            log.event("memory_peak", limit_kb=self._memory_limit // 1024, threads=self._threads, **self.gauges())

    def _retry_arming(self) -> None:
        """Arm the listener and the sessions that could not be armed before."""
        if self._listener_unarmed:
            self._listener_unarmed = False
            self._arm_listener()
        for _ in range(len(self._unarmed)):
            self._wait_for_client(self._unarmed.popleft())

    def _answer_overdue(self, buffer: memoryview) -> None:
        """Answer each overdue request, whether its thread is blocked or it still waits for a thread."""
        now = time.monotonic()
        with self._changed:
            served = [session for session in self._sessions.values() if session.is_served]
            deferred = list(self._deferred)
            self._deferred.clear()  # from here on only this thread may serve them
        failed = sum(session.answer_overdue(now) for session in served)
        overdue = [session for session in deferred if session.is_unread_request_overdue(now, buffer)]
        for session in overdue:
            if session.refuse_overdue(buffer):
                self._wait_for_client(session)
        self._requeue_deferred([session for session in deferred if session not in overdue])
        if failed or overdue:
            log.event("requests_overdue", failed=failed, refused=len(overdue))

    def _requeue_deferred(self, deferred: list[Session]) -> None:
        """Put deferred sessions back at the head of the queue, in their order."""
        with self._changed:
            if self._free <= 0:
                self._deferred.extendleft(reversed(deferred))
                return
        for session in deferred:  # arming them wakes threads that became free meanwhile
            self._wait_for_client(session)

    def _descriptor_count(self) -> int:
        """Return the number of descriptors held by clients. Call under the lock."""
        return len(self._sessions) + len(self._lingering)

    def _pause(self, seconds: float) -> bool:
        """Sleep, but serve brief commands while no thread is free; return whether the server has ended."""
        until = time.monotonic() + seconds
        while not self._over.is_set() and (left := until - time.monotonic()) > 0:
            if self._busy.wait(left) and not self._over.wait(min(BUSY_DELAY, left)):
                self._serve_while_busy(until)
        return self._over.is_set()

    def _serve_while_busy(self, until: float) -> None:
        """While no session thread is free, claim ready sessions, and serve the commands that cannot wait for one.

        These are a KILL, including its connect and login, and the departure of a client whose request is open: both may
        free a thread. This thread never blocks on them: a command that may block is only peeked at, and its session is
        deferred, unread, to the next free session thread.
        """
        buffer = memoryview(bytearray(BRIEF_SIZE))
        while self._free <= 0 and not self._over.is_set() and (left := until - time.monotonic()) > 0:
            try:
                for descriptor, _ in self._ready.poll(left, 1):
                    session = self._accept() if descriptor == self._listener.fileno() else self._claim(descriptor)
                    if session is not None:
                        self._serve_brief(session, buffer)
            except Exception:  # an internal error must not end the periodic checks
                log.check_invariant(
                    False, f"serving brief commands raises no exception: {traceback.format_exc(limit=-3)}"
                )
                return

    def _serve_brief(self, session: Session, buffer: memoryview) -> None:
        keep_open = session.run_brief(buffer)
        if keep_open is None:
            with self._changed:
                if self._free <= 0:  # the next free thread takes deferred sessions first
                    self._deferred.append(session)
                    return
        if keep_open is not False:
            self._wait_for_client(session)

    def _mark_all_threads_busy(self) -> None:
        with self._changed:
            if self._free <= 0 and not self._busy.is_set():
                self._busy.set()

    def _free_descriptor(self, at_once: bool) -> None:
        """Free one descriptor: that of the oldest lingering connection, else of the client that has been idle longest.

        at_once: a client is already waiting for it, so the evicted session does not linger.
        """
        with self._changed:
            oldest = self._lingering.oldest()
        if oldest is not None:
            oldest.end_linger()
        else:
            self._evict_idlest(at_once)

    def _evict_idlest(self, at_once: bool) -> None:
        """Evict the longest idle of the clients that have no unread input and wait for no answer."""
        now = time.monotonic()
        with self._changed:
            waiting = [session for session in self._sessions.values() if session.idle_share(now) > 0]
        waiting.sort(key=Session.eviction_order)
        for session in waiting:
            if session.evict(at_once):
                return
