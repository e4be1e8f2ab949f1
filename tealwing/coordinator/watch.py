"""The coordinator watch: a thread that follows the coordinator's events and reconnects when a connection ends."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
import time
import traceback
from collections.abc import Callable
from enum import Enum

from tealwing import interface, log
from tealwing.coordinator import updates
from tealwing.coordinator.backoff import Backoff, SilenceLimit
from tealwing.sockets import Address

CONNECT_TIMEOUT = 1.0  # s
# s without a complete line until a watch ends; random, as all gateways lose a coordinator at the same time
SILENCE_TIMEOUT = (1.4, 1.8)
FIRST_LINE_GROWTH = 1.5  # of that limit for the first line, after each watch in series that ended without a line
MAX_FIRST_LINE_TIMEOUT = 4.0  # s
RETRY_INTERVAL = (0.1, 1.5)  # s between connects, min and max; events must be known 2 s after a lost connection


class WatchEnd(Enum):
    """Why a watch ended, for the log and the metrics."""

    UNREACHED = "unreached"  # no connection was established
    BROKEN = "broken"  # the connection was reset, or a write failed
    CLOSED = "closed"  # the coordinator ended the stream
    SILENT = "silent"  # no complete line arrived in time
    MALFORMED = "malformed"  # a line was invalid
    GAP = "gap"  # events were missing, which the next watch requests
    FAULT = "fault"  # the gateway failed to apply an update
    MOVED = "moved"  # the configuration named another coordinator


class _WatchEndedError(Exception):
    def __init__(self, end: WatchEnd, why: str) -> None:
        super().__init__(why)
        self.end = end


class MissingEventsError(updates.UpdateError):
    """Events between the last applied one and this one are missing."""


class WatchClient:
    """Applies each event of the coordinator once and in order; the engine list is kept while it is unreachable."""

    def __init__(
        self,
        address: Address,
        index: int,
        settings: interface.Settings,
        on_update: Callable[[updates.Update], None],
        on_watch_end: Callable[[str], None] = lambda end: None,
    ) -> None:
        """Watch the address from the event after `index` on.

        on_update applies an update completely, or raises and gets it again; on_watch_end gets the reason of each end.
        """
        self.settings = settings  # the settings in force, under which updates are parsed
        self._on_update, self._on_watch_end = on_update, on_watch_end
        self._address = address
        self._lock = threading.Lock()  # guards the address, the count of moves and the socket
        self._sock: socket.socket | None = None  # set before the connect, so that a move can interrupt it
        self._moves, self._moved = 0, threading.Event()
        self._backoff = Backoff(*RETRY_INTERVAL)
        self._silence = SilenceLimit(SILENCE_TIMEOUT, FIRST_LINE_GROWTH, MAX_FIRST_LINE_TIMEOUT)
        self._complete_at = time.monotonic()  # when the list was last known to be complete
        self.index = index  # number of the last applied event

    @property
    def age(self) -> float:
        """Seconds since the list was last known to be complete."""
        return time.monotonic() - self._complete_at

    def start(self) -> None:
        """Start the watch thread."""
        threading.Thread(target=self._run, name="coordinator", daemon=True).start()

    def move_to(self, address: Address) -> None:
        """Watch another coordinator from the last applied event on, and end the watch of the old one at once."""
        with self._lock:
            self._address = address
            self._moves += 1
            if self._sock is not None:
                with contextlib.suppress(OSError):  # the connection may have ended already
                    self._sock.shutdown(socket.SHUT_RDWR)
        self._moved.set()

    def _run(self) -> None:
        while True:
            self._moved.clear()
            self._watch()
            self._moved.wait(self._backoff.next())

    def _watch(self) -> None:
        """Follow one connection to its end, and report why it ended."""
        with self._lock:
            address, moves = self._address, self._moves
        end, why, trace = WatchEnd.CLOSED, "the coordinator closed the connection", None
        try:
            with self._connect(address, moves) as sock:
                try:
                    self._follow(sock)
                finally:
                    with self._lock:  # a move must not shut down a reused descriptor
                        self._sock = None
        except _WatchEndedError as error:
            end, why = error.end, str(error)
            trace = traceback.format_exc(limit=-3) if end is WatchEnd.FAULT else None
        except MissingEventsError as error:
            end, why = WatchEnd.GAP, str(error)
        except updates.UpdateError as error:
            end, why = WatchEnd.MALFORMED, str(error)
        except OSError as error:
            end, why = WatchEnd.BROKEN, str(error)
        except Exception as error:  # an internal error must not end the thread: the next watch requests the event again
            end, why, trace = WatchEnd.FAULT, repr(error), traceback.format_exc(limit=-3)
        with self._lock:
            if moves != self._moves:
                end, why = (
                    WatchEnd.MOVED,
                    f"{self._address[0]}:{self._address[1]} is the new coordinator; the old watch ended: {why}",
                )
        fields = {"trace": trace} if trace else {}
        log.event("watch_ended", reason=end.value, error=why, index=self.index, age=round(self.age, 3), **fields)
        self._on_watch_end(end.value)

    def _connect(self, address: Address, moves: int) -> socket.socket:
        """Return a connection to the address, set under the lock so that a move can shut it down."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor is free, although the budget reserves some
            raise _WatchEndedError(WatchEnd.UNREACHED, str(error)) from None
        try:
            sock.setblocking(False)
            with self._lock:
                if moves != self._moves:
                    raise OSError("the coordinator's address changed before the connect")
                self._sock = sock
                code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            if not poll.poll(CONNECT_TIMEOUT * 1e3):
                raise TimeoutError(f"no connection within {CONNECT_TIMEOUT} s")
            if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, os.strerror(code))
        except OSError as error:
            with self._lock:  # a move must not shut down a reused descriptor
                self._sock = None
            sock.close()
            raise _WatchEndedError(WatchEnd.UNREACHED, f"{address[0]}:{address[1]}: {error}") from None
        return sock

    def _follow(self, sock: socket.socket) -> None:
        """Request the events after the last applied one, and apply lines until the stream ends."""
        limit, heard = self._silence.first(), False
        lines, until = updates.LineParser(), time.monotonic() + limit
        sock.settimeout(limit)
        sock.sendall(b"follow %d\n" % self.index)
        while True:
            left = until - time.monotonic()  # bytes without a line end count as silence
            if left <= 0:
                if not heard:
                    self._silence.lengthen()
                raise _WatchEndedError(WatchEnd.SILENT, f"no complete line within {limit:.1f} s")
            sock.settimeout(left)
            try:
                data = sock.recv(64 * 1024)
            except TimeoutError:
                continue
            if not data:
                return
            for text in lines.feed(data):
                self.apply(updates.parse_line(text, self.settings))
                if not heard:  # only a valid line shows that the coordinator works
                    self._backoff.reset()
                    self._silence.reset()
                    limit, heard = self._silence.regular(), True
                until = time.monotonic() + limit

    def apply(self, item: updates.Update | int) -> None:
        """Apply one parsed line; drop a repeated event. Raises MissingEventsError for a gap, which ends the watch."""
        if isinstance(item, int):
            if item > self.index:  # events up to it are missing
                raise MissingEventsError(
                    f"the coordinator's last event is {item}, the last one received is {self.index}"
                )
            self._complete_at = time.monotonic()
            return
        if item.index <= self.index:
            return
        if item.index != self.index + 1:
            raise MissingEventsError(f"event {item.index} followed event {self.index}, expected {self.index + 1}")
        try:
            self._on_update(item)
        except Exception as error:  # even an OSError here is no failure of the connection
            raise _WatchEndedError(WatchEnd.FAULT, f"event {item.index}: {error!r}") from error
        self.index = item.index
