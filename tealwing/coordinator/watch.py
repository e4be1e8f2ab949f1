"""The watch of the coordinator: a thread that follows its events over reconnects."""

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
from collections.abc import Callable
from enum import Enum

from tealwing import interface, log
from tealwing.coordinator import updates
from tealwing.coordinator.backoff import Backoff
from tealwing.sockets import Address

CONNECT_TIMEOUT = 1.0  # s
# s without a complete line, drawn at random: all gateways lose a coordinator at once
SILENCE_TIMEOUT = (
    1.4,
    1.8,
)
RETRY_INTERVAL = (0.1, 1.5)  # s between connects, min and max: its events count as known 2 s after a break


class WatchEnd(Enum):
    """Why a watch ended, for the log and the metrics."""

    UNREACHED = "unreached"  # no connection was established
    BROKEN = "broken"  # the connection was reset, or a write failed
    CLOSED = "closed"  # the coordinator ended the stream
    SILENT = "silent"  # no complete line arrived in time
    MALFORMED = "malformed"  # an invalid line
    GAP = "gap"  # events are missing: the next watch requests them
    FAULT = "fault"  # an error of ours in applying an update
    MOVED = "moved"  # another coordinator is watched from now on


class _WatchEndedError(Exception):
    def __init__(self, end: WatchEnd, why: str) -> None:
        super().__init__(why)
        self.end = end


class MissingEventsError(updates.UpdateError):
    """Events between the last applied one and this one are missing."""


class WatchClient:
    """Passes each event on once and in order; the list stays while the coordinator is unreachable."""

    def __init__(
        self,
        address: Address,
        index: int,
        settings: interface.Settings,
        on_update: Callable[[updates.Update], None],
        on_watch_end: Callable[[str], None] = lambda end: None,
    ) -> None:
        """Take the callbacks: on_update applies an update completely, or raises and gets it again."""
        self.settings = settings  # in force: updates are parsed under them
        self._on_update, self._on_watch_end = on_update, on_watch_end
        self._address = address
        self._lock = threading.Lock()  # guards the address and the socket
        self._sock: socket.socket | None = None  # set before its connect: a move must not wait for that
        self._moves, self._moved = 0, threading.Event()
        self._backoff = Backoff(*RETRY_INTERVAL)
        self._complete_at = time.monotonic()  # monotonic; when the list was last known to be complete
        self.index = index  # of the last applied event

    @property
    def age(self) -> float:
        """Seconds since the list was last known to be complete."""
        return time.monotonic() - self._complete_at

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="coordinator", daemon=True).start()

    def move_to(self, address: Address) -> None:
        """Watch another coordinator from the last event on, at once: the old one sends no more."""
        with self._lock:
            self._address = address
            self._moves += 1
            if self._sock is not None:
                with contextlib.suppress(OSError):  # it may have ended already
                    self._sock.shutdown(socket.SHUT_RDWR)
        self._moved.set()

    def _run(self) -> None:
        while True:
            self._moved.clear()
            self._watch()
            self._moved.wait(self._backoff.next())

    def _watch(self) -> None:
        """Watch one connection to its end, and report why it ended."""
        with self._lock:
            address, moves = self._address, self._moves
        end, why, trace = WatchEnd.CLOSED, "the coordinator closed the connection", None
        try:
            with self._connect(address, moves) as sock:
                try:
                    self._follow(sock)
                finally:
                    with self._lock:  # before its descriptor is closed and reused
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
        except Exception as error:  # an error of ours must not end the watch forever: the event is requested again
            end, why, trace = WatchEnd.FAULT, repr(error), traceback.format_exc(limit=-3)
        with self._lock:
            if moves != self._moves:
                end, why = (
                    WatchEnd.MOVED,
                    f"{self._address[0]}:{self._address[1]} is followed from now on; before: {why}",
                )
        fields = {"trace": trace} if trace else {}
        log.event("watch_ended", reason=end.value, error=why, index=self.index, age=round(self.age, 3), **fields)
        self._on_watch_end(end.value)

    def _connect(self, address: Address, moves: int) -> socket.socket:
        """Return a connection to the address, set under the lock so that a move can shut it down."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors, though the budget reserves some
            raise _WatchEndedError(WatchEnd.UNREACHED, str(error)) from None
        try:
            sock.setblocking(False)
            with self._lock:
                if moves != self._moves:
                    raise OSError("moved before the connect")
                self._sock = sock
                code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            if not poll.poll(CONNECT_TIMEOUT * 1e3):
                raise TimeoutError("no connection in time")
            if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, os.strerror(code))
        except OSError as error:
            with self._lock:  # a move must not shut down a reused descriptor
                self._sock = None
            sock.close()
            raise _WatchEndedError(WatchEnd.UNREACHED, f"{address[0]}:{address[1]}: {error}") from None
        return sock

    def _follow(self, sock: socket.socket) -> None:
        limit = random.uniform(*SILENCE_TIMEOUT)
        lines, until = updates.LineParser(), time.monotonic() + limit
        sock.settimeout(limit)
        sock.sendall(b"follow %d\n" % self.index)
        while True:
            left = until - time.monotonic()  # dripping bytes without a line end counts as silence
            if left <= 0:
                raise _WatchEndedError(WatchEnd.SILENT, f"no whole line in {limit:.1f} s")
            sock.settimeout(left)
            try:
                data = sock.recv(64 * 1024)
            except TimeoutError:
                continue
            if not data:
                return
            for text in lines.feed(data):
                self.apply(updates.parse_line(text, self.settings))
                self._backoff.reset()  # only a valid line counts as a connection
                until = time.monotonic() + limit

    def apply(self, item: updates.Update | int) -> None:
        """Apply one line. A repeat is dropped; a gap ends the connection, and the next requests what is missing."""
        if isinstance(item, int):
            if item > self.index:  # events before it are missing
                raise MissingEventsError(f"the last event is {item}, and {self.index} is the last that came")
            self._complete_at = time.monotonic()
            return
        if item.index <= self.index:
            return
        if item.index != self.index + 1:
            raise MissingEventsError(f"event {item.index} came after {self.index}")
        try:
            self._on_update(item)
        except Exception as error:  # whatever it is: it must not count as the connection's
            raise _WatchEndedError(WatchEnd.FAULT, f"event {item.index}: {error!r}") from error
        self.index = item.index
