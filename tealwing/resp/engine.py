"""Connections to one engine: opened as needed, shared by many attempts, read on the reader's one thread."""

from __future__ import annotations

import socket
import threading
import time
from math import inf

from tealwing import threads
from tealwing.connection_reader import Watch
from tealwing.resp.connection import WRITE_LOOK, Connection, SendFields, Sink, Stream
from tealwing.resp.errors import ConnectError, ConnectionEndedError
from tealwing.resp.quota import ConnectionQuota
from tealwing.sockets import Address, prepare

IDLE_SHARE = 0.8  # of the engine's idle time, after which a connection is not used again
MAX_CONNECTIONS = 16  # to one engine: clients hold a third of the descriptors, so fewer do


class Engine:
    """One process of one engine, at one address. A later process gets another Engine."""

    def __init__(
        self,
        address: Address,
        streams: int,
        connect_limit: float,
        idle_limit: float,
        watch: Watch,
        quota: ConnectionQuota | None = None,
    ) -> None:
        """Prepare connections to an address; `quota` bounds those of all engines together, None does not."""
        self.address, self._watch, self._quota = address, watch, quota or ConnectionQuota()
        self._streams, self._connect_limit, self._idle_limit = streams, connect_limit, idle_limit
        self._changed = threading.Condition()
        self._open: list[Connection] = []
        self._opening = False
        self._failures = 0  # number of failed connects
        self._retired = self._draining = False

    def send(self, request_id: bytes, head: SendFields, body: bytes, sink: Sink, limit: float) -> Stream:
        """Send one attempt; blocks for a connect at most. `head` is called right before the bytes are written."""
        until = time.monotonic() + min(limit, self._connect_limit)

        def checked() -> bytes:
            fields = head()
            if self._retired or self._draining:  # checked again after waiting for a connect or write
                self._check()
            return fields

        while True:
            connection, fresh = self._reserve(request_id, until)
            stream = Stream(connection, request_id, sink)
            try:
                connection.submit(stream, checked, body)
                return stream
            except ConnectionEndedError:  # mostly while it was idle: try another
                if fresh:  # an engine that accepts and closes is not retried forever
                    raise

    def set_draining(self, draining: bool) -> None:
        """Set whether the engine is draining: attempts in flight go on, and no more are sent.

        The rules' grace is not used up. It counts from when the coordinator was told, which may be seconds before we
        hear of it, and an engine that drains may turn away what still comes.
        """
        with self._changed:
            self._draining = draining
            self._changed.notify_all()  # waiters may use another engine

    def set_limits(self, streams: int, connect_limit: float, idle_limit: float) -> None:
        """Set the limits; attempts in flight stay where they are."""
        with self._changed:
            self._streams, self._connect_limit, self._idle_limit = streams, connect_limit, idle_limit

    def close_idle(self) -> None:
        """Close unused connections."""
        with self._changed:
            all_open = list(self._open)
        for connection in all_open:
            connection.close_unused()

    def idle_connections(self) -> list[Connection]:
        """Return the unused connections."""
        with self._changed:
            return [one for one in self._open if not one.stream_count and not one.reserved_count]

    def retire(self) -> None:
        """Send nothing more; attempts in flight run to their end."""
        with self._changed:
            self._retired = True
            left = list(self._open)
            self._changed.notify_all()
        for connection in left:
            connection.retire()

    def _check(self) -> None:
        """Raise ConnectError if the newest list allows no send."""
        if self._retired:
            raise ConnectError("the engine is gone")
        if self._draining:
            raise ConnectError("the engine drains")

    def _reserve(self, request_id: bytes, until: float) -> tuple[Connection, bool]:
        """Return a connection with a reserved place, and whether it was opened for that.

        One thread opens a new one; the others wait for it and share its fate.
        """
        with self._changed:
            while True:
                if self._retired or self._draining:
                    self._check()
                for connection in self._open:
                    if connection.reserve(request_id, self._streams, IDLE_SHARE * self._idle_limit):
                        return connection, False
                if not self._opening:
                    if len(self._open) >= MAX_CONNECTIONS:
                        raise ConnectError("too many connections")
                    self._opening = True
                    break
                failures = self._failures
                if not self._changed.wait(until - time.monotonic()) or self._failures != failures:
                    raise ConnectError("no connection in time")
        opened: Connection | None = None
        place = False
        try:
            place = self._quota.acquire(until)
            if not place:
                raise ConnectError("connections to engines hold all the descriptors that they may")
            opened = self._connect(until - time.monotonic())
            opened.reserve(request_id, self._streams, inf)
            try:
                self._watch(opened)
            except (
                threads.ThreadUnavailableError,
                OSError,
            ) as error:  # nothing was sent: the module may choose another engine
                opened.discard()
                opened = None
                raise ConnectError(f"nobody reads the connection: {error}") from None
            return opened, True
        finally:
            with self._changed:
                self._opening = False
                if opened is None:
                    self._failures += 1
                elif opened.is_alive:  # else `_drop` has run already, and it would stay in the table forever
                    self._open.append(opened)
                    if self._retired:
                        opened.retire()
                self._changed.notify_all()
            if place and opened is None:
                self._quota.release()

    def _connect(self, limit: float) -> Connection:
        if limit <= 0:
            raise ConnectError("no time left")
        try:
            sock = socket.create_connection(self.address, timeout=limit)
        except OSError as error:
            raise ConnectError(str(error)) from None
        try:
            prepare(sock, WRITE_LOOK)  # blocking from here on; the kernel enforces the write timeout
            return Connection(sock, self._drop)
        except OSError as error:
            sock.close()
            raise ConnectError(str(error)) from None

    def _drop(self, connection: Connection) -> None:
        with self._changed:
            if connection in self._open:
                self._open.remove(connection)
        self._quota.release()
