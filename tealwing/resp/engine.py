"""Connections to one engine: opened on demand, shared by many attempts, and all read by one reader thread."""

from __future__ import annotations

import socket
import threading
import time
from math import inf

from tealwing import threads
from tealwing.connection_reader import Watch
from tealwing.resp.connection import WRITE_CHECK_INTERVAL, Connection, SendFields, Sink, Stream
from tealwing.resp.errors import ConnectError, ConnectionEndedError
from tealwing.resp.quota import ConnectionQuota
from tealwing.sockets import Address, prepare

IDLE_TIMEOUT_FRACTION = 0.8  # of the engine's idle timeout; a connection that was idle for longer is not used again
MAX_CONNECTIONS = 16  # to one engine: few suffice, as clients hold about a third of the descriptors


class Engine:
    """The connections to one process of an engine, at one address. A restarted process gets a new Engine."""

    def __init__(
        self,
        address: Address,
        max_streams: int,
        connect_timeout: float,
        idle_timeout: float,
        watch: Watch,
        quota: ConnectionQuota | None = None,
    ) -> None:
        """Set the address and the limits; `quota` bounds the connections to all engines together, None: no bound."""
        self.address, self._watch, self._quota = address, watch, quota or ConnectionQuota()
        self._max_streams, self._connect_timeout, self._idle_timeout = max_streams, connect_timeout, idle_timeout
        self._changed = threading.Condition()
        self._open: list[Connection] = []
        self._opening = False
        self._failures = 0  # number of failed connects
        self._retired = self._draining = False

    def send(self, request_id: bytes, get_fields: SendFields, body: bytes, sink: Sink, limit: float) -> Stream:
        """Send one attempt; waits at most for a connect and a write. `get_fields` is called right before the write."""
        until = time.monotonic() + min(limit, self._connect_timeout)

        def get_checked_fields() -> bytes:
            fields = get_fields()
            if self._retired or self._draining:  # may have changed during the wait for a connect or a write
                self._check_accepts_attempts()
            return fields

        while True:
            connection, is_new = self._reserve(request_id, until)
            stream = Stream(connection, request_id, sink)
            try:
                connection.submit(stream, get_checked_fields, body)
                return stream
            except ConnectionEndedError:  # mostly while it was idle: try another connection
                if is_new:  # an engine that accepts and closes at once is not retried forever
                    raise

    def set_draining(self, draining: bool) -> None:
        """Set whether the engine is draining: attempts in flight continue, and no more are sent.

        The grace period that the rules allow is not used. It starts when the coordinator is notified, possibly seconds
        before this gateway learns of it, and a draining engine may reject attempts that still arrive.
        """
        with self._changed:
            self._draining = draining
            self._changed.notify_all()  # attempts that wait for a connect fail now, and may use another engine

    def set_limits(self, max_streams: int, connect_timeout: float, idle_timeout: float) -> None:
        """Set the limits for further attempts; attempts in flight keep their connections."""
        with self._changed:
            self._max_streams, self._connect_timeout, self._idle_timeout = max_streams, connect_timeout, idle_timeout

    def close_idle(self) -> None:
        """Close the connections that no attempt uses."""
        with self._changed:
            all_open = list(self._open)
        for connection in all_open:
            connection.close_unused()

    def idle_connections(self) -> list[Connection]:
        """Return the connections that no attempt uses."""
        with self._changed:
            return [one for one in self._open if not one.stream_count and not one.reserved_count]

    def retire(self) -> None:
        """Send no further attempts; attempts in flight run to their end."""
        with self._changed:
            self._retired = True
            all_open = list(self._open)
            self._changed.notify_all()
        for connection in all_open:
            connection.retire()

    def _check_accepts_attempts(self) -> None:
        """Raise ConnectError if the newest engine list allows no send."""
        if self._retired:
            raise ConnectError(f"the engine at {self.address} has been removed or replaced")
        if self._draining:
            raise ConnectError(f"the engine at {self.address} drains and accepts no attempts")

    def _reserve(self, request_id: bytes, until: float) -> tuple[Connection, bool]:
        """Return a connection with a reserved slot, and whether it was opened for this attempt.

        One thread at a time opens a connection. The others wait for the connect, and fail if it fails.
        """
        with self._changed:
            while True:
                if self._retired or self._draining:
                    self._check_accepts_attempts()
                for connection in self._open:
                    if connection.reserve(request_id, self._max_streams, IDLE_TIMEOUT_FRACTION * self._idle_timeout):
                        return connection, False
                if not self._opening:
                    if len(self._open) >= MAX_CONNECTIONS:
                        raise ConnectError(f"all {MAX_CONNECTIONS} connections to {self.address} are in use")
                    self._opening = True
                    break
                failures = self._failures
                if not self._changed.wait(until - time.monotonic()) or self._failures != failures:
                    raise ConnectError(f"no connection to the engine at {self.address} was established in time")
        opened: Connection | None = None
        reserved = False
        try:
            reserved = self._quota.acquire(until)
            if not reserved:
                raise ConnectError("connections to engines hold all the descriptors of their quota")
            opened = self._connect(until - time.monotonic())
            opened.reserve(request_id, self._max_streams, inf)
            try:
                self._watch(opened)
            except (
                threads.ThreadUnavailableError,
                OSError,
            ) as error:  # nothing was sent: the policy may choose another engine
                opened.discard()
                opened = None
                raise ConnectError(f"no thread reads the connection to the engine at {self.address}: {error}") from None
            return opened, True
        finally:
            with self._changed:
                self._opening = False
                if opened is None:
                    self._failures += 1
                elif opened.is_alive:  # else `_drop` has run already, and the entry would never be removed
                    self._open.append(opened)
                    if self._retired:
                        opened.retire()
                self._changed.notify_all()
            if reserved and opened is None:
                self._quota.release()

    def _connect(self, limit: float) -> Connection:
        if limit <= 0:
            raise ConnectError(f"no time is left to connect to the engine at {self.address}")
        try:
            sock = socket.create_connection(self.address, timeout=limit)
        except OSError as error:
            raise ConnectError(str(error)) from None
        try:
            prepare(sock, WRITE_CHECK_INTERVAL)  # blocking; the kernel enforces the timeout of each write call
            return Connection(sock, self._drop)
        except OSError as error:
            sock.close()
            raise ConnectError(str(error)) from None

    def _drop(self, connection: Connection) -> None:
        with self._changed:
            if connection in self._open:
                self._open.remove(connection)
        self._quota.release()
