"""The MySQL server: sessions, and the threads that serve whichever client says something.

A client that says nothing holds a descriptor and no thread: all sessions between two commands wait in one epoll set,
with the listening socket, and each free thread takes what is ready next. A thread for each client was our way before;
at 200 gateways their clients between commands filled the machine's table of tasks.
"""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
import select
import socket
import threading
import time
import traceback
from collections import deque
from collections.abc import Callable

from tealwing import interface, log, threads
from tealwing.exchange import AdmissionGate, OpenExchange
from tealwing.mysql.departures import LEAVING
from tealwing.mysql.lingering import Lingering
from tealwing.mysql.session import Session
from tealwing.sockets import Address

SPARE = 11  # one place in so many is kept free for who comes next: what usual clients may not hold, and what may linger
FREE_THREADS = (4, 8)  # least and most that wait for clients: each is a task of a table that all processes share
BACKLOG = 256
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again
TIME_LIMIT_CHECK_INTERVAL = 0.25  # s between two looks at the time limits of clients, and at who is late to leave
SHORT = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}  # an accept fails with: a close may help
# What Linux tells of the connection that was to be accepted, by an accept that fails (accept(2)): the next one may be
# well, and is taken at once.
ABORTED = {
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH,
}  # fmt: skip
READ_SIZE = 4 * 1024  # bytes of a thread's buffer: statements are short
BRIEF_SIZE = 512  # bytes read at once where no thread is free: a login and a KILL, and answers that never wait
STAND_IN = 0.03  # s without a free thread before another stands in: most bursts are over by then, a KILL is in time

ARMED = select.EPOLLIN | select.EPOLLONESHOT


def _inherit(descriptor: int) -> socket.socket:
    """The listening TCP socket of a descriptor that the platform has handed over."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor} is not a listening TCP socket")
    return listener


class Server:
    """Listens, keeps the sessions by their connection ids, and the threads that serve them."""

    def __init__(
        self,
        address: Address,
        max_clients: int,
        settings: interface.Settings,
        open_: OpenExchange,
        inherited: int | None = None,
        max_threads: int | None = None,
    ) -> None:
        """Listen on the address, or on the listening socket of descriptor `inherited` (OSError if it is none).

        most is the number of clients at once; most_threads that of commands under way at once (most if None).
        """
        self.settings, self.open = settings, open_
        self.gate: AdmissionGate | None = None  # what requests pass first, where rules are agreed on
        self.on_unread_age: Callable[[float], None] | None = None  # hears how long what was read had waited
        self._max_clients, self._spare = max_clients, max(1, max_clients // SPARE)
        self._max_threads = min(max_clients, max_threads or max_clients)
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._sessions: dict[int, Session] = {}
        self._lingering: Lingering[Session] = Lingering(self._spare)  # whose session is over, but not yet closed
        self._waiting: dict[int, Session] = {}  # by descriptor: those in the epoll set
        self._armed: set[int] = set()  # of these, those armed for reading: who has the event takes its descriptor out
        self._deferred: deque[Session] = deque()  # ready, and taken out of the epoll set by who stands in
        self._threads = self._free = 0  # all, and those that wait for something to do
        self._is_short_of_descriptors = 0.0  # monotonic, since when no thread has been free; 0: one has
        self._busy = threading.Event()  # no thread is free
        self._unarmed: deque[Session] = deque()  # that wait for their client, but could not be armed
        self._accept_fails = False  # since the last client that was accepted
        self._listener_unarmed = False  # the listening socket could not be armed
        self._full = False  # nobody is accepted until a descriptor is free, or a session that may be evicted
        self._stopping, self._over = threading.Event(), threading.Event()
        self.shared = inherited is not None  # the queue is another process's too
        self._listener = socket.create_server(address, backlog=BACKLOG) if inherited is None else _inherit(inherited)
        self._listener.setblocking(False)  # of several that wait, one may come too late
        self._ready = select.epoll()  # each takes an event once, and waits for more where it is armed again
        self._ready.register(self._listener, ARMED)
        self._ends, self._alive = os.pipe()  # once its other end is closed it is ready for every thread
        self._ready.register(self._ends, 0)

    def start(self) -> None:
        """Accept clients from now on."""
        if not self._start_thread():
            raise OSError("no thread can be started to serve clients")
        threads.start(self._check_time_limits, "session-limits")

    def apply_settings(self, settings: interface.Settings, max_threads: int) -> None:
        """Read what comes under these settings; threads above their number go as they have nothing to do."""
        self.settings, self._max_threads = settings, min(self._max_clients, max_threads)

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._listener.getsockname()
        return host, port

    @property
    def connections(self) -> int:
        """Clients' connections that are open, those among them that linger."""
        with self._changed:
            return self._descriptor_count()

    def session(self, number: int) -> Session | None:
        """The session of a connection id."""
        with self._changed:
            return self._sessions.get(number)

    def ended(self, session: Session) -> None:
        """A session is over; its descriptor is closed next."""
        with self._changed:
            self._sessions.pop(session.number, None)
            self._lingering.remove(session.number)
            self._armed.discard(session.fileno())
            if self._waiting.pop(session.fileno(), None) is not None:
                self._ready.unregister(session.fileno())
            full, self._full = self._full, False
            self._changed.notify_all()
        if full:
            self._listen()

    def lingers(self, session: Session, until: float) -> None:
        """A session is over, and its connection still read until then at most."""
        with self._changed:
            if self._sessions.pop(session.number, None) is None:  # closed already, by another thread
                return
            oldest = self._lingering.add(session.number, session, until)
            full, self._full = self._full, False
            self._changed.notify_all()
        if oldest is not None:
            oldest.end_linger()
        if full:  # what lingers goes before a client has to wait
            self._listen()

    def stop_listening(self) -> None:
        """Accept no more; what has connected already is still served."""
        with self._changed:
            self._stopping.set()
            # whom the machine has accepted may have written a request; a shared queue is the other process's
            waiting = [] if self.shared else self._accept_waiting()
        with contextlib.suppress(OSError):
            self._ready.unregister(self._listener)
        if not self.shared:  # a shutdown would end the queue for the other process too
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RD)
        for session in waiting:
            if session.run(memoryview(b"")):  # the greeting: what its client sends is then waited for
                self._wait_for_client(session)

    def finish(self, seconds: float) -> bool:
        """Let each session end with its open request; whether all did in time. Then the threads end."""
        with self._changed:
            sessions = list(self._sessions.values())
        for session in sessions:
            session.stop()
        until = time.monotonic() + seconds
        while True:  # a thread may take one more client while it has not yet seen that none is wanted
            with self._changed:
                self._changed.wait_for(self._empty, min(TIME_LIMIT_CHECK_INTERVAL, until - time.monotonic()))
                overdue = [session for session in self._sessions.values() if session not in sessions]
                left, empty = len(self._sessions), self._empty()
            if empty or (not left and time.monotonic() >= until):
                break
            if time.monotonic() >= until:
                return False
            for session in overdue:
                session.stop()
            sessions.extend(overdue)
        with self._changed:  # nothing is owed any more
            lingering = self._lingering.expired(float("inf"))
        for session in lingering:
            session.end_linger()
        with self._changed:
            self._changed.wait_for(self._empty, TIME_LIMIT_CHECK_INTERVAL)
        self._end()
        return True

    def _empty(self) -> bool:
        return not self._sessions and not self._lingering

    def _end(self) -> None:
        """Let the threads go."""
        if not self._over.is_set():
            self._over.set()
            self._busy.set()
            os.close(self._alive)

    def _run_worker(self) -> None:
        """Serve one client after another, each as far as what it has sent goes.

        The thread is there before its client: starting one takes too long. Its buffer lasts as it does: one made
        for each read and cut to what came left holes in the heap.
        """
        buffer = memoryview(bytearray(READ_SIZE))
        while True:
            session = self._next_session()
            if session is None:
                return
            with self._changed:
                self._free -= 1
                more = self._free < FREE_THREADS[0] and self._threads < self._max_threads
                since = self._is_short_of_descriptors
                if self._free <= 0 and not since:
                    self._is_short_of_descriptors = time.monotonic()
            if more:
                self._start_thread()
            if self._free <= 0:  # each that takes a client looks here: the last free one too
                self._all_threads_busy()
            try:
                if session.run(buffer, time.monotonic() - since if since else 0.0):
                    self._wait_for_client(session)  # from here on it may be another thread's
            except Exception:  # a fault of ours ends one session, not the thread that other clients need
                log.check_invariant(False, f"a session ends by itself: {traceback.format_exc(limit=-3)}")
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
        """A new client, or one that has said something or gone; None at the end."""
        while not self._over.is_set():
            if self._deferred:
                with contextlib.suppress(IndexError):  # another thread has had it
                    return self._deferred.popleft()
            short = self._is_short_of_descriptors
            ready = self._ready.poll(0 if short else None, 1)
            if not ready:  # nobody waits for a thread any more
                self._is_short_of_descriptors = 0.0
                continue
            number = ready[0][0]
            session = self._accept() if number == self._listener.fileno() else self._claim(number)
            if session is not None:
                return session
        return None

    def _claim(self, number: int) -> Session | None:
        """The session of a descriptor that is ready, to be served by who has it first.

        A session with a request open is nobody's to take: what is ready of it is its client's end. An event may be
        an old one, taken before the descriptor was armed anew: so it is a hint, and what holds is asked for.
        """
        with self._changed:
            session, mine = self._waiting.get(number), number in self._armed
            self._armed.discard(number)
        if session is None or mine:
            return session
        session.check_departure()
        return None

    def _accept(self) -> Session | None:
        """Take a new client, if one is still there, and let the next thread take the next."""
        try:
            with self._changed:  # accepting never blocks here; what is taken after the stop would be nobody's
                if self._stopping.is_set():
                    return None
                full = self._full = self._descriptor_count() >= self._max_clients
                if not full:
                    session = self._take_client()
                is_full = self._descriptor_count() > self._max_clients - self._spare
                log.check_invariant(
                    self._descriptor_count() <= self._max_clients, "clients hold no more descriptors than they may"
                )
        except OSError as error:  # taken by another; or descriptors have run out for now
            if not isinstance(error, BlockingIOError) and error.errno not in ABORTED:
                self._accept_later(error)
            self._listen()
            return None
        self._accept_fails = False
        if full:  # the client that has come waits until a descriptor is closed
            self._free_one(at_once=True)
            return None
        self._listen()
        if is_full:
            self._free_one(at_once=False)
        return session

    def _accept_waiting(self) -> list[Session]:
        """Take the clients that wait to be accepted, as far as there is room for them. Under the lock."""
        found = []
        with contextlib.suppress(OSError):  # none waits, or descriptors have run out
            while self._descriptor_count() < self._max_clients:
                found.append(self._take_client())
        return found

    def _take_client(self) -> Session:
        """Accept the next client; OSError where there is none. Under the lock: this never blocks."""
        sock, _ = self._listener.accept()
        session = Session(self, sock, next(self._numbers) & 0xFFFFFFFF)
        self._sessions[session.number] = session
        return session

    def _accept_later(self, error: OSError) -> None:
        """Wait a moment after a failed accept, and free a descriptor if that may help; one log line an episode."""
        if error.errno in SHORT:
            self._free_one(at_once=True)
        if not self._accept_fails and not self._stopping.is_set():
            self._accept_fails = True
            log.event("accept_failed", error=str(error))
        self._stopping.wait(ACCEPT_PAUSE)

    def _listen(self) -> None:
        """Have the next new client taken; where the system has no room for that now, a little later."""
        if self._stopping.is_set():
            return
        try:
            self._ready.modify(self._listener, ARMED)
        except OSError:  # or stopped between the two
            self._listener_unarmed = True

    def _wait_for_client(self, session: Session) -> None:
        """Have the session served when its client says something; another thread may have it at once."""
        number = session.descriptor
        try:
            with self._changed:
                self._armed.add(number)
                full, self._full = self._full, False
                self._arm(number, session, ARMED)
        except OSError:  # the system's room for what is waited for has run out: what the client sends is still owed
            with self._changed:
                self._armed.discard(number)
            self._unarmed.append(session)
        if full:  # now there is one that may be evicted
            self._listen()

    def watch(self, session: Session) -> None:
        """Hear of it when the client leaves. By the thread that has its request open: the only one to arm it now."""
        try:
            self._arm(session.descriptor, session, LEAVING)
        except OSError as error:  # no room: what is asked before each send still holds
            log.event("client_unwatched", error=str(error))

    def _arm(self, number: int, session: Session, events: int) -> None:
        """Have the next of these events of its descriptor taken, and no other; by the thread that has the session."""
        new = number not in self._waiting
        self._waiting[number] = session
        try:
            if new:
                self._ready.register(number, events)
            else:
                self._ready.modify(number, events)
        except OSError:
            if new:  # else it is still registered, and only not armed
                del self._waiting[number]
            raise

    def _start_thread(self) -> bool:
        """Whether a further thread waits for clients now; where none can be had, those that are there go on."""
        with self._changed:
            if self._threads >= self._max_threads:  # another has started one since this was looked at
                return False
            self._threads, self._free = self._threads + 1, self._free + 1
            if self._busy.is_set():
                self._busy.clear()
        try:
            threads.start(self._run_worker, "session")
        except threads.ThreadUnavailableError:  # logged there, once an episode
            with self._changed:
                self._threads, self._free = self._threads - 1, self._free - 1
            return False
        return True

    def _check_time_limits(self) -> None:
        """Evict the clients whose time is over, close what has lingered long enough, and answer overdue requests."""
        buffer = memoryview(bytearray(READ_SIZE))
        while not self._pause(TIME_LIMIT_CHECK_INTERVAL):
            self._arm_again()
            self._answer_overdue(buffer)
            now = time.monotonic()
            with self._changed:
                over = [session for session in self._sessions.values() if session.idle_share(now) >= 1]
                lingered = self._lingering.expired(now)
            for session in over:
                session.evict()
            for session in lingered:
                session.end_linger()

    def _arm_again(self) -> None:
        """Arm what could not be armed when it was due."""
        if self._listener_unarmed:
            self._listener_unarmed = False
            self._listen()
        for _ in range(len(self._unarmed)):
            self._wait_for_client(self._unarmed.popleft())

    def _answer_overdue(self, buffer: memoryview) -> None:
        """Answer each request whose time is over: one that its thread holds up, or that waits for a thread."""
        now = time.monotonic()
        with self._changed:
            served = [session for session in self._sessions.values() if session.is_served]
            aside = list(self._deferred)
            self._deferred.clear()  # from here on these are ours
        failed = sum(session.answer_overdue(now) for session in served)
        overdue = [session for session in aside if session.unread_overdue(now, buffer)]
        for session in overdue:
            if session.refuse_overdue(buffer):
                self._wait_for_client(session)
        self._requeue_deferred([session for session in aside if session not in overdue])
        if failed or overdue:
            log.event("requests_overdue", failed=failed, refused=len(overdue))

    def _requeue_deferred(self, aside: list[Session]) -> None:
        """Have sessions that were taken out of what is put aside served next, in their order."""
        with self._changed:
            if self._free <= 0:
                self._deferred.extendleft(reversed(aside))
                return
        for session in aside:  # a thread has become free meanwhile, and has found nothing: it is woken by each
            self._wait_for_client(session)

    def _descriptor_count(self) -> int:
        """Descriptors that clients hold. Under the lock."""
        return len(self._sessions) + len(self._lingering)

    def _pause(self, seconds: float) -> bool:
        """Let time pass, and stand in meanwhile while no thread is free; whether the end has come."""
        until = time.monotonic() + seconds
        while not self._over.is_set() and (left := until - time.monotonic()) > 0:
            if self._busy.wait(left) and not self._over.wait(min(STAND_IN, left)):
                self._stand_in(until)
        return self._over.is_set()

    def _stand_in(self, until: float) -> None:
        """While no session thread is free, take what is ready, and see to what can't wait for one.

        That is a KILL, from its connect on, and the end of a client whose request is open: both may be what frees a
        thread. They need none of their own: this one has little else to do, and nothing here waits, as commands that
        may are only peeked at and put aside, unread, for the next session thread that is free.
        """
        buffer = memoryview(bytearray(BRIEF_SIZE))
        while self._free <= 0 and not self._over.is_set() and (left := until - time.monotonic()) > 0:
            try:
                for number, _ in self._ready.poll(left, 1):
                    session = self._accept() if number == self._listener.fileno() else self._claim(number)
                    if session is not None:
                        self._serve_brief(session, buffer)
            except Exception:  # a fault of ours must not end the looking
                log.check_invariant(False, f"standing in goes on: {traceback.format_exc(limit=-3)}")
                return

    def _serve_brief(self, session: Session, buffer: memoryview) -> None:
        going = session.run_brief(buffer)
        if going is None:
            with self._changed:
                if self._free <= 0:  # who is free next looks there first
                    self._deferred.append(session)
                    return
        if going is not False:
            self._wait_for_client(session)

    def _all_threads_busy(self) -> None:
        with self._changed:
            if self._free <= 0 and not self._busy.is_set():
                self._busy.set()

    def _free_one(self, at_once: bool) -> None:
        """Have one descriptor more free: of what lingers, or else of the longest idle client.

        at_once: a client waits for it already.
        """
        with self._changed:
            oldest = self._lingering.oldest()
        if oldest is not None:
            oldest.end_linger()
        else:
            self._evict_idlest(at_once)

    def _evict_idlest(self, at_once: bool) -> None:
        """Evict the client that has been idle for longest, of those that have sent nothing: nothing is owed to it."""
        now = time.monotonic()
        with self._changed:
            waiting = [session for session in self._sessions.values() if session.idle_share(now) > 0]
        waiting.sort(key=Session.eviction_order)
        for session in waiting:
            if session.evict(at_once):
                return
