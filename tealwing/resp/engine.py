"""Connections to one engine: opened as needed, shared by many attempts, read on the reader's one thread."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tealwing import log, threads
from tealwing.reader import Watch
from tealwing.resp import messages
from tealwing.sockets import Address, set_limit

WRITE_LIMIT = 0.25  # s that a write may wait for an engine which takes nothing
IDLE_SHARE = 0.8  # of the engine's idle time, after which a connection is not used again
MOST_CONNECTIONS = 16  # to one engine: clients hold a third of the descriptors, so fewer do
SPENT = 1000  # ids of the past that a connection remembers, many more than one round trip's
MESSAGE_LIMIT = 0.5  # s for the rest of a message that has begun: pages are short and engines near


class ConnectFailed(Exception):
    """No connection came up in time, or none took a byte: nothing ran."""


class Broken(Exception):
    """The connection failed after a byte had been written."""


class Withdrawn(Exception):
    """The attempt was taken back before a byte of it left: nothing ran."""


@dataclass(frozen=True, slots=True)
class Answer:
    """One message of the engine for an attempt."""

    stream: Stream
    word: bytes
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection ended under an attempt."""

    stream: Stream


Sink = Callable[[Answer | Lost], None]
Head = Callable[[], bytes]  # an attempt's fields, made when its bytes go out next; Withdrawn where they must not


@dataclass(eq=False, slots=True)
class Stream:
    """One attempt on one connection."""

    connection: Connection
    call: bytes
    sink: Sink = field(repr=False)

    def hurry(self, priority: int) -> None:
        """Tell the new priority."""
        self.connection.tell(b"hurry", self.call, b"%d" % priority)

    def turn(self, pages: range) -> None:
        """Ask for pages of the result, all at once."""
        self.connection.tell(*(part for n in pages for part in (b"turn", self.call, b"%d" % n)), size=3)

    def shut(self) -> None:
        """Want no more pages; those that still come are dropped."""
        self.connection.forget(self)
        self.connection.tell(b"shut", self.call)

    def never_mind(self) -> None:
        """Give the attempt up; what still comes for it is dropped."""
        self.connection.forget(self)
        self.connection.tell(b"never_mind", self.call)

    def ended(self) -> None:
        """The engine has said its last word."""
        self.connection.forget(self)

    def spoilt(self) -> None:
        """An answer can't be used: nothing more on its connection is to be trusted."""
        self.connection.forget(self)
        self.connection.close()


class Connection:
    """One open connection. The reader hands answers to the streams' sinks."""

    def __init__(self, sock: socket.socket, closed: Callable[[Connection], None]) -> None:
        self._sock, self._closed = sock, closed
        self._lock, self._writing = threading.Lock(), threading.Lock()
        self._streams: dict[bytes, Stream] = {}
        self._spent: dict[bytes, None] = {}  # in turn; a table, as every send looks here
        self._alive, self._retired = True, False
        self.idle_since = time.monotonic()
        self.reserved = 0  # attempts that hold a place here; the engine's lock guards it
        self._parser = messages.Parser()
        self._begun = 0.0  # when the message that waits for its rest cannot have begun yet

    def fileno(self) -> int:
        """The descriptor."""
        return self._sock.fileno()

    def takes(self, call: bytes) -> bool:
        """Whether an attempt of this id may go here: an answer to an earlier one must not be its own."""
        with self._lock:
            return self._alive and call not in self._streams and call not in self._spent

    @property
    def streams(self) -> int:
        """Attempts out here."""
        return len(self._streams)

    def want(self, stream: Stream, head: Head, body: bytes) -> None:
        """Send the attempt; ConnectFailed or Withdrawn where no byte of it left, Broken where some did."""
        with self._lock:
            if not self._alive:
                raise ConnectFailed("the connection has ended")
            log.must_hold(stream.call not in self._streams, "one attempt of an id on a connection")
            self._streams[stream.call] = stream
        try:
            self._write(lambda: messages.encode(b"want", stream.call, head(), body))
        except (ConnectFailed, Broken, Withdrawn):
            self.forget(stream)
            raise

    def tell(self, *parts: bytes, size: int = 0) -> None:
        """Send messages that get no answer, of size parts each; a failure ends the connection, no more."""
        size = size or len(parts)
        whole = b"".join(messages.encode(*parts[at : at + size]) for at in range(0, len(parts), size))
        try:
            self._write(lambda: whole)
        except (ConnectFailed, Broken):
            log.event("engine_write_failed", word=parts[0].decode())

    def forget(self, stream: Stream) -> None:
        """Hand nothing more to the stream."""
        with self._lock:
            self._spent[stream.call] = None
            if len(self._spent) > SPENT:
                del self._spent[next(iter(self._spent))]
            if self._streams.get(stream.call) is stream:
                del self._streams[stream.call]
                self.idle_since = time.monotonic()
            last = self._retired and not self._streams
        if last:
            self.close()

    def retire(self) -> None:
        """End the connection once nothing is out on it: its engine has gone, and may never close it."""
        with self._lock:
            self._retired = True
            last = not self._streams
        if last:
            self.close()

    def close(self) -> None:
        """End the connection; its reader then ends too."""
        with contextlib.suppress(OSError):  # it may have ended by itself
            self._sock.shutdown(socket.SHUT_RDWR)

    def discard(self) -> None:
        """End a connection that nobody reads: nothing else will close its descriptor."""
        with self._lock:
            self._alive = False
        with self._writing:
            self._sock.close()

    def _write(self, make: Callable[[], bytes]) -> None:
        """Send what make gives at its turn: what it says is then true as the first byte leaves."""
        with self._writing:
            data, sent = make(), 0
            try:
                while sent < len(data):
                    sent += self._sock.send(data[sent:])
            except OSError as error:  # also when the limit on writes has passed: half a message ends it all
                self.close()
                if sent:
                    raise Broken(str(error)) from None
                raise ConnectFailed(str(error)) from None

    def read(self, buffer: memoryview) -> float | None:
        """Hand on what has come; until when the rest of a message that has begun must come."""
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # there was nothing after all
            return self._begun + MESSAGE_LIMIT if self._parser.begun else None
        if not size:
            raise EOFError
        found = self._parser.feed(buffer[:size])
        for parts in found:
            self._hand_on(parts)
        if not self._parser.begun:
            self._begun = 0.0
            return None
        if found or not self._begun:  # on a busy connection most reads end within a further message
            self._begun = time.monotonic()
        return self._begun + MESSAGE_LIMIT

    def ended(self, why: Exception | None) -> None:
        """Nothing more is read: its attempts hear that it is lost."""
        if not isinstance(why, EOFError):  # malformed input ends this connection only
            log.event("engine_connection_failed", error=str(why))
        with self._lock:
            self._alive = False
            left = list(self._streams.values())
            self._streams.clear()
        self._closed(self)
        self.close()  # a writer that waits for the engine to take something waits no more
        with self._writing:
            self._sock.close()
        for stream in left:
            stream.sink(Lost(stream))

    def _hand_on(self, parts: list[bytes]) -> None:
        if len(parts) != 4:
            raise messages.RespError(f"a message of {len(parts)} parts")
        call, word, fields, body = parts
        with self._lock:
            stream = self._streams.get(call)
        if stream is not None:  # else it was given up: a late answer
            stream.sink(Answer(stream, word, messages.fields(fields), body))


class Engine:
    """One process of one engine, at one address. A later process gets an Engine of its own."""

    def __init__(
        self, address: Address, streams: int, connect_limit: float, idle_limit: float, watch: Watch
    ) -> None:
        self.address, self._watch = address, watch
        self._streams, self._connect_limit, self._idle_limit = streams, connect_limit, idle_limit
        self._changed = threading.Condition()
        self._open: list[Connection] = []
        self._opening = False
        self._failures = 0  # connects that failed so far
        self._retired = False

    def send(self, call: bytes, head: Head, body: bytes, sink: Sink, limit: float) -> Stream:
        """Send one attempt; blocks for a connect's time at most. head is asked right before the bytes go out."""
        connection = self._reserve(call, min(limit, self._connect_limit))
        try:
            stream = Stream(connection, call, sink)
            connection.want(stream, head, body)
            return stream
        finally:
            with self._changed:
                connection.reserved -= 1

    def limit(self, streams: int, connect_limit: float, idle_limit: float) -> None:
        """Keep these limits from now on; what is out on a connection already stays there."""
        with self._changed:
            self._streams, self._connect_limit, self._idle_limit = streams, connect_limit, idle_limit

    def close_idle(self) -> None:
        """Close what no attempt uses."""
        with self._changed:
            idle = [c for c in self._open if not c.streams and not c.reserved]
        for connection in idle:
            connection.close()

    def retire(self) -> None:
        """Send nothing more; attempts that are out run to their end."""
        with self._changed:
            self._retired = True
            left = list(self._open)
        for connection in left:
            connection.retire()

    def _reserve(self, call: bytes, limit: float) -> Connection:
        """A place on a connection. One thread opens a new one; the others wait for it and share its fate."""
        until = time.monotonic() + limit
        with self._changed:
            while True:
                if self._retired:
                    raise ConnectFailed("the engine is gone")
                for connection in self._open:
                    if self._usable(connection, call):
                        connection.reserved += 1
                        return connection
                if not self._opening:
                    if len(self._open) >= MOST_CONNECTIONS:
                        raise ConnectFailed("too many connections")
                    self._opening = True
                    break
                failures = self._failures
                if not self._changed.wait(until - time.monotonic()) or self._failures != failures:
                    raise ConnectFailed("no connection in time")
        opened: Connection | None = None
        try:
            opened = self._connect(limit)
            try:
                self._watch(opened)
            except (threads.NoThread, OSError) as error:  # nothing was sent: the module may try elsewhere
                opened.discard()
                opened = None
                raise ConnectFailed(f"nobody reads the connection: {error}") from None
            return opened
        finally:
            with self._changed:
                self._opening = False
                if opened is None:
                    self._failures += 1
                else:
                    opened.reserved += 1
                    self._open.append(opened)
                    if self._retired:
                        opened.retire()
                self._changed.notify_all()

    def _usable(self, connection: Connection, call: bytes) -> bool:
        out = connection.streams + connection.reserved
        if not out and time.monotonic() > connection.idle_since + IDLE_SHARE * self._idle_limit:
            connection.close()  # the engine is about to: a request must not cross that
            return False
        return out < self._streams and connection.takes(call)

    def _connect(self, limit: float) -> Connection:
        if limit <= 0:
            raise ConnectFailed("no time left")
        try:
            sock = socket.create_connection(self.address, timeout=limit)
        except OSError as error:
            raise ConnectFailed(str(error)) from None
        sock.settimeout(None)  # blocking from here on; the kernel keeps the limit on writes
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_limit(sock, socket.SO_SNDTIMEO, WRITE_LIMIT)
        return Connection(sock, self._drop)

    def _drop(self, connection: Connection) -> None:
        with self._changed:
            if connection in self._open:
                self._open.remove(connection)
