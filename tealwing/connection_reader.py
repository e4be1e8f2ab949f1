"""One thread that waits for many connections, of engines or of peers, so that threads do not grow with them.

A thread for each connection is the plainer way, and was ours. Two hundred gateways and eighty engines made it half
of all threads of the machine's table of tasks (28 of 53 in a gateway of a day with 30 engines), and a thread that
could not be started lost its connection. The sockets stay blocking: only their turn to be read is waited for here.
"""

from __future__ import annotations

import select
import threading
import time
import traceback
from collections.abc import Callable
from typing import Protocol

from tealwing import log, threads

BUFFER = 64 * 1024  # bytes, which last: one made for each read and cut to what came left holes in the heap
MAX_EVENTS = 64  # connections read between two looks at the time limits
NEW_LIMITS_INTERVAL = 0.5  # s between two looks for new connections' limits, where none else is due
ERROR_PAUSE = 0.05  # s before waiting again after a fault of the wait itself: no spinning


class Readable(Protocol):
    """A connection whose turn to be read is waited for."""

    def fileno(self) -> int:
        """Its descriptor, open until `ended` has been called."""

    def read(self, buffer: memoryview) -> float | None:
        """Read once, without blocking. The monotonic time by which the rest must have come; None: no limit.

        Raises EOFError, OSError or ValueError where the connection is at its end.
        """

    def ended(self, why: Exception | None) -> None:
        """It is read no more: close it."""


class ConnectionReader:
    """Reads the connections that it is given, on one thread of that name that starts with the first."""

    def __init__(self, name: str = "engine-reader", limited: bool = False) -> None:
        """limited: connections come with a limit on their silence, so that it looks at times now and then."""
        self._name, self._limited = name, limited
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, Readable] = {}
        self._limits: dict[int, float] = {}  # monotonic, of those in the midst of a message; the thread's own
        self._fresh: list[tuple[int, Readable, float]] = []  # limits of connections that are new, under the lock
        self._started = False

    def start(self) -> None:
        """Have the thread, once; NoThread where the system gives none."""
        with self._lock:
            if not self._started:
                threads.start(self._run, self._name)
                self._started = True

    def watch(self, connection: Readable, limit: float | None = None) -> None:
        """Read the connection from now on, until it ends; NoThread or OSError where that can't be.

        limit is the monotonic time by which it must have said something whole, as `read` gives it later.
        """
        self.start()
        number = connection.fileno()
        with self._lock:
            self._watched[number] = connection
            if limit is not None:
                self._fresh.append((number, connection, limit))
        try:
            self._poll.register(number, select.EPOLLIN)
        except OSError:
            with self._lock:
                del self._watched[number]
            raise

    def _run(self) -> None:
        buffer = memoryview(bytearray(BUFFER))
        while True:
            try:
                for number, _ in self._poll.poll(self._time_to_next_limit(), MAX_EVENTS):
                    self._read(number, buffer)
                self._expire()
            except Exception:  # a fault of ours must not end all reading
                log.check_invariant(False, f"the {self._name} goes on: {traceback.format_exc(limit=-3)}")
                time.sleep(ERROR_PAUSE)

    def _time_to_next_limit(self) -> float | None:
        """Seconds until the first time limit, or until new connections' limits are looked at."""
        left = max(0.0, min(self._limits.values()) - time.monotonic()) if self._limits else None
        if not self._limited:
            return left
        return NEW_LIMITS_INTERVAL if left is None else min(left, NEW_LIMITS_INTERVAL)

    def _read(self, number: int, buffer: memoryview) -> None:
        connection = self._watched.get(number)
        if connection is None:
            return
        try:
            limit = connection.read(buffer)
        except (EOFError, OSError, ValueError) as error:
            self._end(number, connection, error)
        except Exception as error:  # a fault of ours ends one connection, not the others
            log.check_invariant(False, f"the {self._name} reads a connection: {traceback.format_exc(limit=-3)}")
            self._end(number, connection, error)
        else:
            if limit is None:
                self._limits.pop(number, None)
            else:
                self._limits[number] = limit

    def _expire(self) -> None:
        """End the connections whose message did not end in time."""
        if self._fresh:
            with self._lock:
                fresh, self._fresh = self._fresh, []
            for number, connection, limit in fresh:
                # what it has said meanwhile counts, not its start; and a later one may have its descriptor
                if self._watched.get(number) is connection:
                    self._limits.setdefault(number, limit)
        if not self._limits:
            return
        now = time.monotonic()
        for number in [number for number, limit in self._limits.items() if limit <= now]:
            self._end(number, self._watched[number], ValueError("a message that does not end"))

    def _end(self, number: int, connection: Readable, why: Exception | None) -> None:
        self._limits.pop(number, None)
        with self._lock:
            del self._watched[number]
        self._poll.unregister(number)  # before its descriptor is closed, and another's may be the same
        connection.ended(why)


Watch = Callable[[Readable], None]
