"""One thread that reads many connections, of engines or of peers, so that the number of threads stays constant.

With a thread for each connection, half of all threads of a machine with 200 gateways and 80 engines were readers (28
of a gateway's 53 on a day with 30 engines), and a thread that could not be started lost its connection. The sockets
stay blocking; this thread waits with epoll until one is readable.
"""

from __future__ import annotations

import select
import threading
import time
import traceback
from collections.abc import Callable
from typing import Protocol

from tealwing import log, threads

BUFFER_BYTES = 64 * 1024  # bytes, allocated once: a buffer for each read, cut to the received size, fragmented the heap
MAX_EVENTS = 64  # connections read between two checks of the time limits
NEW_LIMITS_CHECK_INTERVAL = 0.5  # s between two checks of new connections' limits, if no other is due earlier
ERROR_PAUSE = 0.05  # s to wait after an unexpected error in the loop, so that it does not spin


class Readable(Protocol):
    """A connection that the reader waits for and reads."""

    def fileno(self) -> int:
        """Return the file descriptor, which stays open until `ended` is called."""

    def read(self, buffer: memoryview) -> float | None:
        """Read once, without blocking. Returns the monotonic time by which more must arrive, or None for no limit.

        Raises EOFError, OSError or ValueError if the connection has ended or must be closed.
        """

    def ended(self, why: Exception | None) -> None:
        """Close the connection, which the reader has dropped; `why` is the error that ended it."""


class ConnectionReader:
    """Reads the connections passed to `watch`, on one thread, which starts with the first of them."""

    def __init__(self, name: str = "engine-reader", limited: bool = False) -> None:
        """Set the thread's name; `limited`: `watch` gets time limits, which the thread wakes up to check."""
        self._name, self._limited = name, limited
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, Readable] = {}
        self._limits: dict[int, float] = {}  # monotonic time by which more must arrive; used by the reader thread only
        self._new_limits: list[tuple[int, Readable, float]] = []  # time limits of new connections; guarded by the lock
        self._started = False

    def start(self) -> None:
        """Start the thread unless it runs. Raises ThreadUnavailableError if the system refuses it."""
        with self._lock:
            if not self._started:
                threads.start(self._run, self._name)
                self._started = True

    def watch(self, connection: Readable, limit: float | None = None) -> None:
        """Read the connection from now on, until it ends. Raises ThreadUnavailableError or OSError on failure.

        `limit` is the monotonic time by which the first message must be complete; later limits come from `read`.
        """
        self.start()
        number = connection.fileno()
        with self._lock:
            self._watched[number] = connection
            if limit is not None:
                self._new_limits.append((number, connection, limit))
        try:
            self._poll.register(number, select.EPOLLIN)
        except OSError:
            with self._lock:
                del self._watched[number]
            raise

    def _run(self) -> None:
        buffer = memoryview(bytearray(BUFFER_BYTES))
        while True:
            try:
                for number, _ in self._poll.poll(self._time_to_next_limit(), MAX_EVENTS):
                    self._read(number, buffer)
                self._expire()
            except Exception:  # an internal error must not stop the reading of all connections
                log.check_invariant(False, f"the {self._name} loop raises no error: {traceback.format_exc(limit=-3)}")
                time.sleep(ERROR_PAUSE)

    def _time_to_next_limit(self) -> float | None:
        """Return the seconds until the next time limit or the next check for new limits; None if there is neither."""
        remaining = max(0.0, min(self._limits.values()) - time.monotonic()) if self._limits else None
        if not self._limited:
            return remaining
        return NEW_LIMITS_CHECK_INTERVAL if remaining is None else min(remaining, NEW_LIMITS_CHECK_INTERVAL)

    def _read(self, number: int, buffer: memoryview) -> None:
        connection = self._watched.get(number)
        if connection is None:
            return
        try:
            limit = connection.read(buffer)
        except (EOFError, OSError, ValueError) as error:
            self._end(number, connection, error)
        except Exception as error:  # an internal error ends this connection, not the others
            log.check_invariant(
                False,
                f"the {self._name} reads a connection without an internal error: {traceback.format_exc(limit=-3)}",
            )
            self._end(number, connection, error)
        else:
            if limit is None:
                self._limits.pop(number, None)
            else:
                self._limits[number] = limit

    def _expire(self) -> None:
        """End the connections whose message was not complete by its time limit."""
        if self._new_limits:
            with self._lock:
                new_limits, self._new_limits = self._new_limits, []
            for number, connection, limit in new_limits:
                # a limit from a read takes precedence; and another connection may have reused the descriptor
                if self._watched.get(number) is connection:
                    self._limits.setdefault(number, limit)
        if not self._limits:
            return
        now = time.monotonic()
        for number in [number for number, limit in self._limits.items() if limit <= now]:
            self._end(number, self._watched[number], ValueError("a message was not complete by its time limit"))

    def _end(self, number: int, connection: Readable, why: Exception | None) -> None:
        self._limits.pop(number, None)
        with self._lock:
            del self._watched[number]
        self._poll.unregister(number)  # before the descriptor is closed and can be reused
        connection.ended(why)


Watch = Callable[[Readable], None]
