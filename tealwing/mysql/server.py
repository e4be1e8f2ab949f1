"""The MySQL server: sessions, and a pool of threads that serve whichever client sends something.

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

SPARE = 11  # one place in so many is reserved for new clients and lingering connections
FREE_THREADS = (4, 8)  # min and max idle threads: the machine's tasks are shared by all processes
BACKLOG = 256
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again
TIME_LIMIT_CHECK_INTERVAL = 0.25  # s between two checks of the clients' time limits
SHORT = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}  # errors of accept that closing a descriptor may help
# What Linux tells of the connection that was to be accepted, by an accept that fails (accept(2)): the next one may be
# well, and is taken at once.
ABORTED = {
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH,
}  # fmt: skip
READ_SIZE = 4 * 1024  # bytes of a thread's buffer: statements are short
BRIEF_SIZE = 512  # read where no thread is free: enough for a login and a KILL
STAND_IN = 0.03  # s without a free thread before the watcher serves brief commands: most bursts are over by then

ARMED = select.EPOLLIN | select.EPOLLONESHOT


def _inherit(descriptor: int) -> socket.socket:
    """Return the listening TCP socket of an inherited descriptor."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"LB_ACCEPT_FD: descriptor {descriptor} is not a listening TCP socket")
    return listener


class Server:
    """Listens, and owns the sessions by connection id and the threads that serve them."""

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
        self.gate: AdmissionGate | None = None  # if the fleet agrees on rules
        self.on_unread_age: Callable[[float], None] | None = None  # receives the age in s of what was read
        self._max_clients, self._spare = max_clients, max(1, max_clients // SPARE)
        self._max_threads = min(max_clients, max_threads or max_clients)
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._sessions: dict[int, Session] = {}
        # ended sessions whose connection is not closed yet
        self._lingering: Lingering[Session] = Lingering(self._spare)
        self._waiting: dict[int, Session] = {}  # by descriptor: sessions in the epoll set
        self._armed: set[int] = set()  # those armed for reading; whoever gets the event removes the descriptor
        self._deferred: deque[Session] = deque()  # ready sessions that wait for a free thread
        self._threads = self._free = 0  # all threads, and the idle ones
        self._is_short_of_descriptors = 0.0  # monotonic; since when no thread has been free, 0: one is
        self._busy = threading.Event()  # no thread is free
        self._unarmed: deque[Session] = deque()  # sessions that could not be armed
        self._accept_fails = False  # since the last accepted client
        self._listener_unarmed = False  # the listening socket could not be armed
        self._full = False  # no client is accepted until a descriptor is free or a session may be evicted
        self._stopping, self._over = threading.Event(), threading.Event()
        self.shared = inherited is not None  # the accept queue is shared with another process
        self._listener = socket.create_server(address, backlog=BACKLOG) if inherited is None else _inherit(inherited)
        self._listener.setblocking(False)  # several threads may try to accept one client
        self._ready = select.epoll()  # one-shot: a descriptor is armed again for further events
        self._ready.register(self._listener, ARMED)
        self._ends, self._alive = os.pipe()  # closing the other end wakes every thread
        self._ready.register(self._ends, 0)

    def start(self) -> None:
        """Start accepting clients."""
        if not self._start_thread():
            raise OSError("no thread can be started to serve clients")
        threads.start(self._check_time_limits, "session-limits")

    def apply_settings(self, settings: interface.Settings, max_threads: int) -> None:
        """Parse new requests under these settings; surplus threads end once idle."""
        self.settings, self._max_threads = settings, min(self._max_clients, max_threads)

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        host, port = self._listener.getsockname()
        return host, port

    @property
    def connections(self) -> int:
        """Number of open client connections, lingering ones included."""
        with self._changed:
            return self._descriptor_count()

    def session(self, number: int) -> Session | None:
        """Return the session of a connection id."""
        with self._changed:
            return self._sessions.get(number)

    def ended(self, session: Session) -> None:
        """Drop a session that is over; its descriptor is closed next."""
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
        """Drop a session that is over, and read its connection until then at most."""
        with self._changed:
            if self._sessions.pop(session.number, None) is None:  # closed already by another thread
                return
            oldest = self._lingering.add(session.number, session, until)
            full, self._full = self._full, False
            self._changed.notify_all()
        if oldest is not None:
            oldest.end_linger()
        if full:  # lingering connections are closed before a client has to wait
            self._listen()

    def stop_listening(self) -> None:
        """Stop accepting; connected clients are still served."""
        with self._changed:
            self._stopping.set()
            # clients in the accept queue may have sent a request; a shared queue is left to the other process
            waiting = [] if self.shared else self._accept_waiting()
        with contextlib.suppress(OSError):
            self._ready.unregister(self._listener)
        if not self.shared:  # a shutdown would end a shared queue
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RD)
        for session in waiting:
            if session.run(memoryview(b"")):  # sends the greeting
                self._wait_for_client(session)

    def finish(self, seconds: float) -> bool:
        """End each session with its open request, then the threads; return whether all ended in time."""
        with self._changed:
            sessions = list(self._sessions.values())
        for session in sessions:
            session.stop()
        until = time.monotonic() + seconds
        while True:  # a thread may accept one more client before it notices the stop
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
        with self._changed:  # no answer is owed any more
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
        """End the threads."""
        if not self._over.is_set():
            self._over.set()
            self._busy.set()
            os.close(self._alive)

    def _run_worker(self) -> None:
        """Serve one client after another, each as far as its input goes.

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
            if self._free <= 0:  # checked by the last free thread too
                self._all_threads_busy()
            try:
                if session.run(buffer, time.monotonic() - since if since else 0.0):
                    self._wait_for_client(session)  # from here on another thread may have it
            except Exception:  # an error of ours ends one session, not the thread
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
        """Return the session of a new client, or of one that sent something or left; None at the end."""
        while not self._over.is_set():
            if self._deferred:
                with contextlib.suppress(IndexError):  # another thread has taken it
                    return self._deferred.popleft()
            short = self._is_short_of_descriptors
            ready = self._ready.poll(0 if short else None, 1)
            if not ready:  # no client waits for a thread
                self._is_short_of_descriptors = 0.0
                continue
            number = ready[0][0]
            session = self._accept() if number == self._listener.fileno() else self._claim(number)
            if session is not None:
                return session
        return None

    def _claim(self, number: int) -> Session | None:
        """Return the session of a ready descriptor to the first thread that claims it.

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
        """Accept a new client, if one is still waiting, and arm the listener for the next."""
        try:
            with self._changed:  # never blocks; nothing may be accepted after the stop
                if self._stopping.is_set():
                    return None
                full = self._full = self._descriptor_count() >= self._max_clients
                if not full:
                    session = self._take_client()
                is_full = self._descriptor_count() > self._max_clients - self._spare
                log.check_invariant(
                    self._descriptor_count() <= self._max_clients, "clients hold no more descriptors than they may"
                )
        except OSError as error:  # accepted by another thread, or out of descriptors
            if not isinstance(error, BlockingIOError) and error.errno not in ABORTED:
                self._accept_later(error)
            self._listen()
            return None
        self._accept_fails = False
        if full:  # the client waits until a descriptor is closed
            self._free_one(at_once=True)
            return None
        self._listen()
        if is_full:
            self._free_one(at_once=False)
        return session

    def _accept_waiting(self) -> list[Session]:
        """Accept the waiting clients, as far as descriptors allow. Call under the lock."""
        found = []
        with contextlib.suppress(OSError):  # none waits, or out of descriptors
            while self._descriptor_count() < self._max_clients:
                found.append(self._take_client())
        return found

    def _take_client(self) -> Session:
        """Accept the next client; never blocks. Raises OSError if there is none. Call under the lock."""
        sock, _ = self._listener.accept()
        session = Session(self, sock, next(self._numbers) & 0xFFFFFFFF)
        self._sessions[session.number] = session
        return session

    def _accept_later(self, error: OSError) -> None:
        """Pause after a failed accept, and free a descriptor if that may help; logs once an episode."""
        if error.errno in SHORT:
            self._free_one(at_once=True)
        if not self._accept_fails and not self._stopping.is_set():
            self._accept_fails = True
            log.event("accept_failed", error=str(error))
        self._stopping.wait(ACCEPT_PAUSE)

    def _listen(self) -> None:
        """Arm the listener for the next client, or retry later if the system lacks room."""
        if self._stopping.is_set():
            return
        try:
            self._ready.modify(self._listener, ARMED)
        except OSError:  # or stopped meanwhile
            self._listener_unarmed = True

    def _wait_for_client(self, session: Session) -> None:
        """Serve the session when its client sends something; another thread may get it at once."""
        number = session.descriptor
        try:
            with self._changed:
                self._armed.add(number)
                full, self._full = self._full, False
                self._arm(number, session, ARMED)
        except OSError:  # epoll is out of room: what the client sends must still be answered
            with self._changed:
                self._armed.discard(number)
            self._unarmed.append(session)
        if full:  # now a session may be evicted
            self._listen()

    def watch(self, session: Session) -> None:
        """Watch for the client's departure. Call by the thread of its open request, the only one to arm it."""
        try:
            self._arm(session.descriptor, session, LEAVING)
        except OSError as error:  # no room: the check before each send remains
            log.event("client_unwatched", error=str(error))

    def _arm(self, number: int, session: Session, events: int) -> None:
        """Arm the descriptor for the next of these events. Call by the thread that has the session."""
        new = number not in self._waiting
        self._waiting[number] = session
        try:
            if new:
                self._ready.register(number, events)
            else:
                self._ready.modify(number, events)
        except OSError:
            if new:  # else it is registered, but not armed
                del self._waiting[number]
            raise

    def _start_thread(self) -> bool:
        """Start a further thread; return whether there is one, else the others go on."""
        with self._changed:
            if self._threads >= self._max_threads:  # another thread has started one meanwhile
                return False
            self._threads, self._free = self._threads + 1, self._free + 1
            if self._busy.is_set():
                self._busy.clear()
        try:
            threads.start(self._run_worker, "session")
        except threads.ThreadUnavailableError:  # logged where it is raised, once an episode
            with self._changed:
                self._threads, self._free = self._threads - 1, self._free - 1
            return False
        return True

    def _check_time_limits(self) -> None:
        """Evict clients past their time limit, close expired lingering connections, and answer overdue requests."""
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
        """Arm the sessions that could not be armed before."""
        if self._listener_unarmed:
            self._listener_unarmed = False
            self._listen()
        for _ in range(len(self._unarmed)):
            self._wait_for_client(self._unarmed.popleft())

    def _answer_overdue(self, buffer: memoryview) -> None:
        """Answer each overdue request, whether its thread is held up or it waits for a thread."""
        now = time.monotonic()
        with self._changed:
            served = [session for session in self._sessions.values() if session.is_served]
            aside = list(self._deferred)
            self._deferred.clear()  # from here on only this thread has them
        failed = sum(session.answer_overdue(now) for session in served)
        overdue = [session for session in aside if session.unread_overdue(now, buffer)]
        for session in overdue:
            if session.refuse_overdue(buffer):
                self._wait_for_client(session)
        self._requeue_deferred([session for session in aside if session not in overdue])
        if failed or overdue:
            log.event("requests_overdue", failed=failed, refused=len(overdue))

    def _requeue_deferred(self, aside: list[Session]) -> None:
        """Queue deferred sessions again, first and in their order."""
        with self._changed:
            if self._free <= 0:
                self._deferred.extendleft(reversed(aside))
                return
        for session in aside:  # wakes threads that became free meanwhile
            self._wait_for_client(session)

    def _descriptor_count(self) -> int:
        """Return the number of descriptors held by clients. Call under the lock."""
        return len(self._sessions) + len(self._lingering)

    def _pause(self, seconds: float) -> bool:
        """Sleep, serving brief commands while no thread is free; return whether the server ends."""
        until = time.monotonic() + seconds
        while not self._over.is_set() and (left := until - time.monotonic()) > 0:
            if self._busy.wait(left) and not self._over.wait(min(STAND_IN, left)):
                self._stand_in(until)
        return self._over.is_set()

    def _stand_in(self, until: float) -> None:
        """While no session thread is free, claim ready sessions, and serve commands that can't wait for one.

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
            except Exception:  # an error of ours must not end the checks
                log.check_invariant(False, f"standing in goes on: {traceback.format_exc(limit=-3)}")
                return

    def _serve_brief(self, session: Session, buffer: memoryview) -> None:
        going = session.run_brief(buffer)
        if going is None:
            with self._changed:
                if self._free <= 0:  # the next free thread looks there first
                    self._deferred.append(session)
                    return
        if going is not False:
            self._wait_for_client(session)

    def _all_threads_busy(self) -> None:
        with self._changed:
            if self._free <= 0 and not self._busy.is_set():
                self._busy.set()

    def _free_one(self, at_once: bool) -> None:
        """Free one descriptor: of a lingering connection, else of the client that has been idle longest.

        at_once: a client waits for it already.
        """
        with self._changed:
            oldest = self._lingering.oldest()
        if oldest is not None:
            oldest.end_linger()
        else:
            self._evict_idlest(at_once)

    def _evict_idlest(self, at_once: bool) -> None:
        """Evict the client that has been idle longest, of those that have sent nothing and are owed nothing."""
        now = time.monotonic()
        with self._changed:
            waiting = [session for session in self._sessions.values() if session.idle_share(now) > 0]
        waiting.sort(key=Session.eviction_order)
        for session in waiting:
            if session.evict(at_once):
                return
