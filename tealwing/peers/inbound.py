"""The receiving side of the peer link: the listening socket, and the connections on which peers send."""

from __future__ import annotations

import contextlib
import resource
import socket
import threading
import time
from collections.abc import Callable
from math import ceil

from tealwing import log, threads
from tealwing.connection_reader import ConnectionReader
from tealwing.peers import frames, messages
from tealwing.peers.errors import LinkError
from tealwing.peers.peer_table import PeerTable, StateChange
from tealwing.peers.plan import Address, LinkTimes, Plan

BACKLOG = 64  # connections that wait to be accepted
ACCEPT_PAUSE = 0.05  # s before a failed accept is tried again
DESCRIPTOR_SHARE = 0.5  # of the process's descriptors that the link may use; the rest is for clients and engines
SPARE_INBOUND = 8  # connections beyond one per peer: a restarted peer's new one, or one that has not identified itself

MessageHandler = Callable[[str, bytes], None]  # peer's name, body; called on the reader's thread, so it must not block
StateHandler = Callable[[StateChange], None]


def check_descriptors(plan: Plan, limit: int) -> None:
    """Raise LinkError if the connections to and from all members need more than half of the descriptors."""
    needed = len(plan.linked_members()) + len(plan.members) - 1
    if needed > limit * DESCRIPTOR_SHARE:
        minimum = ceil(needed / DESCRIPTOR_SHARE)
        raise LinkError(
            f"peers: member {plan.name} has up to {needed} connections to and from {len(plan.members)} members, and the"
            f" process may open {limit} files, of which the link may take half; allowed: a limit of {minimum} or more"
            " (ulimit -n), or fewer members"
        )


class PeerListener:
    """Accepts connections, admits those that identify themselves as a peer's, and dispatches messages by channel."""

    def __init__(self, plan: Plan, table: PeerTable, lock: threading.Lock, on_change: StateHandler) -> None:
        """Listen at the plan's address; LinkError if it is not available.

        Args:
            plan: The members and this gateway's settings.
            table: The peers and their states, read and changed under `lock`.
            lock: The link's lock, which guards the table and the connections.
            on_change: Called without the lock when a message changes its sender's state.
        """
        address = plan.address(plan.name)
        assert address is not None  # the section's check ensures it
        check_descriptors(plan, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        try:
            self._socket = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            raise LinkError(f"peers: member {plan.name} {address[0]}:{address[1]}: {error.strerror}") from None
        self._plan, self._table, self._lock, self._on_change = plan, table, lock, on_change
        self._handlers: dict[int, MessageHandler] = {}  # by channel
        self._reader = ConnectionReader("peer-reader", limited=True)
        self._stopped = threading.Event()
        self._connection_errors = 0
        self.connections: set[InboundConnection] = set()
        self.received = self.received_bytes = 0  # messages and bytes, written by the reader's thread

    @property
    def address(self) -> Address:
        """The address at which the listener accepts connections."""
        host, port = self._socket.getsockname()
        return host, port

    def on(self, channel: int, handler: MessageHandler) -> None:
        """Register the handler of a channel's messages; to be called before the start."""
        self._handlers[channel] = handler

    def start(self) -> None:
        """Start the thread that reads and the thread that accepts."""
        self._reader.start()
        threads.start(self._accept, "peer-accept")

    def close(self) -> None:
        """Accept no more connections."""
        self._stopped.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)
        self._socket.close()

    def receive(self, connection: InboundConnection, message: messages.Message) -> None:
        """Handle one message on the reader's thread. FrameError ends the connection."""
        now = time.monotonic()
        self.received += 1
        change = None
        if not connection.name:
            change = self._admit(connection, message, now)
        elif isinstance(message, messages.Hello):
            raise frames.FrameError(f"a second hello of {connection.name}; allowed: one, at the start of a connection")
        else:
            with self._lock:
                change = self._table.record_contact(connection.name, now)
                data = isinstance(message, messages.Data)
                is_new = data and self._table.accept_message(connection.name, connection.incarnation, message.sequence)
            if is_new and isinstance(message, messages.Data) and (handler := self._handlers.get(message.channel)):
                self._dispatch(handler, connection.name, message.body)
        if change is not None:
            self._on_change(change)

    def connection_ended(self, connection: InboundConnection, why: Exception | None) -> None:
        """Forget a connection that has been closed; log unexpected causes."""
        with self._lock:
            self.connections.discard(connection)
        if not isinstance(why, (EOFError, OSError)) and not self._stopped.is_set():
            self._connection_errors += 1
            errors = self._connection_errors
            if errors & (errors - 1) == 0:  # only at powers of two, so that a flood of errors writes few lines
                log.event("peer_connection_ended", peer=connection.name or None, why=str(why), so_far=errors)

    def _admit(self, connection: InboundConnection, message: messages.Message, now: float) -> StateChange | None:
        if not isinstance(message, messages.Hello):
            raise frames.FrameError("a message before the hello; allowed: the hello first")
        if (message.fleet, message.to) != (self._plan.fleet, self._plan.name):
            raise frames.FrameError(
                f"a hello of {message.name} for {message.to} of fleet {message.fleet!r};"
                f" this is {self._plan.name} of {self._plan.fleet!r}"
            )
        with self._lock:
            is_member, change = self._table.accept_hello(message.name, message.incarnation, now)
            earlier = [c for c in self.connections if c.name == message.name]
        if not is_member:
            raise frames.FrameError(f"a hello of {message.name}, which is not a member of fleet {self._plan.fleet!r}")
        connection.name, connection.incarnation = message.name, message.incarnation
        for other in earlier:  # only the last connection of a peer counts
            other.shutdown()
        return change

    def _dispatch(self, handler: MessageHandler, name: str, body: bytes) -> None:
        try:
            handler(name, body)
        except ValueError as error:  # the handler can't decode the body: the connection ends
            raise frames.FrameError(f"an invalid message of {name}: {error}") from None

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                if self._stopped.wait(ACCEPT_PAUSE):
                    return
                log.event("accept_failed", error=str(error))
                continue
            connection = InboundConnection(self, sock, self._plan.times)
            with self._lock:
                full = len(self.connections) >= len(self._table.names()) + SPARE_INBOUND
                if not full:
                    self.connections.add(connection)
            if full:  # connections without a hello are closed after `hello_timeout` seconds, which makes room
                connection.close()
                continue
            try:
                self._reader.watch(connection, connection.deadline)
            except (threads.ThreadUnavailableError, OSError):
                connection.close()
                with self._lock:
                    self.connections.discard(connection)


class InboundConnection:
    """A connection on which a peer sends, read by the listener's reader (a `connection_reader.Readable`)."""

    def __init__(self, listener: PeerListener, sock: socket.socket, times: LinkTimes) -> None:
        self._listener, self._sock, self._times = listener, sock, times
        self._parser = frames.Parser()
        self.name, self.incarnation = "", 0  # of the peer, set when its hello has arrived
        self.deadline = time.monotonic() + times.hello_timeout

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._sock.fileno()

    def read(self, buffer: memoryview) -> float | None:
        """Handle the received bytes; return the monotonic time by which the next complete frame must arrive."""
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self.deadline
        if not size:
            raise EOFError
        self._listener.received_bytes += size
        for payload in self._parser.feed(buffer[:size]):
            self._listener.receive(self, messages.decode(payload))
            self.deadline = time.monotonic() + self._times.idle_timeout
        return self.deadline

    def ended(self, why: Exception | None) -> None:
        """Close the connection, which the reader has dropped."""
        self.close()
        self._listener.connection_ended(self, why)

    def close(self) -> None:
        """Shut down and close the socket."""
        self.shutdown()
        self._sock.close()

    def shutdown(self) -> None:
        """Shut down the socket, so that the reader ends the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
