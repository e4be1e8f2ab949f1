"""Connections to one engine: opened as needed, shared by many attempts, read on the reader's one thread."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from tealwing import log, threads
from tealwing.connection_reader import Watch
from tealwing.resp import messages
from tealwing.resp.quota import ConnectionQuota
from tealwing.sockets import Address, prepare

WRITE_TIMEOUT = 0.25  # s that a write may wait for an engine which takes nothing
WRITE_LOOK = 0.05  # s of these between two looks whether the attempt is still wanted: half of a client's 0.1 s
IDLE_SHARE = 0.8  # of the engine's idle time, after which a connection is not used again
MAX_CONNECTIONS = 16  # to one engine: clients hold a third of the descriptors, so fewer do
SPENT_IDS = 1000  # ids of the past that a connection remembers, many more than one round trip's
MESSAGE_TIMEOUT = 0.5  # s for the rest of a message that has begun: pages are short and engines near
LAST_END = 2  # bytes of the line end that closes a message: an engine may act before it has them
OVER = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer says nothing more


class ConnectError(Exception):
    """No connection came up in time, or the attempt never came whole to the engine: nothing ran."""


class ConnectionEndedError(ConnectError):
    """The connection had ended before a byte of the attempt left: another may be taken."""


class ConnectionBrokenError(Exception):
    """The connection failed when the attempt may have come whole to the engine."""


class AttemptWithdrawnError(Exception):
    """The attempt was taken back before a byte of it left: nothing ran."""


@dataclass(frozen=True, slots=True)
class Answer:
    """One message of the engine for an attempt."""

    stream: Stream
    status: bytes
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamLost:
    """The connection ended under an attempt."""

    stream: Stream


Sink = Callable[[Answer | StreamLost], None]
SendFields = Callable[[], bytes]  # an attempt's fields, made when its bytes go out next; Withdrawn where they must not


@dataclass(eq=False, slots=True)
class Stream:
    """One attempt on one connection."""

    connection: Connection
    request_id: bytes
    sink: Sink = field(repr=False)

    def reprioritize(self, priority: int) -> None:
        """Tell the new priority."""
        self.connection.send_messages(b"hurry", self.request_id, b"%d" % priority)

    def fetch_pages(self, pages: range) -> None:
        """Ask for pages of the result, all at once."""
        self.connection.send_messages(*(part for n in pages for part in (b"turn", self.request_id, b"%d" % n)), size=3)

    def close_result(self) -> None:
        """Want no more pages; those that still come are dropped."""
        self.connection.cancel(self, b"shut")

    def cancel(self) -> None:
        """Give the attempt up; what still comes for it is dropped."""
        self.connection.cancel(self, b"never_mind")

    def finish(self) -> None:
        """The engine has said its last word."""
        self.connection.detach(self)

    def fail_connection(self) -> None:
        """An answer can't be used: nothing more on its connection is to be trusted."""
        self.connection.close(self)


class Connection:
    """One open connection. The reader hands answers to the streams' sinks.

    An attempt takes a place before it is sent and holds it to its end. Whether the connection closes is decided and
    done under the lock under which places are taken, so that no attempt finds itself on one that was closed as unused.
    """

    def __init__(self, sock: socket.socket, closed: Callable[[Connection], None]) -> None:
        self._sock, self._closed = sock, closed
        self._writing = threading.Lock()  # one message at a time; taken before the other where both are
        self._lock = threading.Lock()  # of all that follows; nothing waits for the socket under it
        self._reserved_ids: set[bytes] = set()  # ids of attempts that are to be written here
        self._streams: dict[bytes, Stream] = {}
        self._spent_ids: dict[bytes, None] = {}  # in turn; a table, as every send looks here
        self._alive = True  # until nobody reads it any more
        self._leaving = False  # no attempt takes a place any more; it closes with the last that has one
        self.idle_since = time.monotonic()
        self._parser = messages.Parser()
        self._begun = 0.0  # when the message that waits for its rest cannot have begun yet
        self._look = select.poll()  # of its own: used under the lock of writes only
        self._look.register(sock, select.POLLIN | select.POLLRDHUP)

    def fileno(self) -> int:
        """The descriptor."""
        return self._sock.fileno()

    @property
    def is_alive(self) -> bool:
        """Whether it is still read."""
        return self._alive

    @property
    def stream_count(self) -> int:
        """Attempts out here."""
        return len(self._streams)

    @property
    def reserved_count(self) -> int:
        """Attempts that are to be written here."""
        return len(self._reserved_ids)

    def reserve(self, request_id: bytes, max_streams: int, patience: float) -> bool:
        """Take a place for an attempt of this id; False where it may not go here.

        A connection that was idle for longer than patience closes: the engine is about to, and no send must cross that.
        """
        with self._lock:
            if self._leaving:
                return False
            taken = len(self._reserved_ids) + len(self._streams)
            if not taken and time.monotonic() > self.idle_since + patience:
                self._shut_down()
                return False
            # an answer to an earlier attempt of the id must not be its own
            if (
                taken >= max_streams
                or request_id in self._reserved_ids
                or request_id in self._streams
                or request_id in self._spent_ids
            ):
                return False
            self._reserved_ids.add(request_id)
            return True

    def release(self, request_id: bytes) -> None:
        """Give back a place of which no byte was written: the engine, and its idle clock, know nothing of it."""
        with self._lock:
            self._reserved_ids.discard(request_id)
            self._close_if_leaving()

    def submit(self, stream: Stream, head: SendFields, body: bytes) -> None:
        """Send the attempt; ConnectFailed or Withdrawn where it never came whole to the engine, else Broken.

        Either it hears one of these and nothing more, or its sink does what comes, to one end.
        """
        try:
            with self._writing:
                if self._is_ended_by_engine():
                    raise ConnectionEndedError("the connection has ended")
                data = messages.encode(b"want", stream.request_id, head(), body)
                with self._lock:
                    log.check_invariant(stream.request_id not in self._streams, "one attempt of an id on a connection")
                    self._reserved_ids.discard(stream.request_id)
                    self._streams[stream.request_id] = stream
                try:
                    self._write(data, head)
                except (ConnectError, ConnectionBrokenError, AttemptWithdrawnError):
                    self.detach(stream)  # before `ended` may look: it hears of its end once
                    raise
        except BaseException:
            self.release(stream.request_id)
            raise

    def send_messages(self, *parts: bytes, size: int = 0) -> None:
        """Send messages that get no answer, of size parts each; a failure ends the connection, no more."""
        size = size or len(parts)
        data = b"".join(messages.encode(*parts[at : at + size]) for at in range(0, len(parts), size))
        try:
            with self._writing:
                if self._alive:
                    self._write(data)
        except (ConnectError, ConnectionBrokenError):
            log.event("engine_write_failed", word=parts[0].decode())

    def detach(self, stream: Stream) -> None:
        """Hand nothing more to the stream, and give its place back."""
        with self._lock:
            self._release_stream(stream)
            if self._leaving:
                self._close_if_leaving()

    def cancel(self, stream: Stream, message: bytes) -> None:
        """Hand nothing more to the stream, and tell the engine; a connection that leaves closes after that."""
        with self._lock:
            self._release_stream(stream)
        self.send_messages(message, stream.request_id)
        if self._leaving:
            with self._lock:
                self._close_if_leaving()

    def retire(self) -> None:
        """End the connection once no attempt has a place: its engine has gone, and may never close it."""
        with self._lock:
            self._leaving = True
            self._close_if_leaving()

    def close_unused(self) -> None:
        """End the connection if no attempt has a place."""
        with self._lock:
            if not self._reserved_ids and not self._streams:
                self._shut_down()

    def close(self, spoilt: Stream | None = None) -> None:
        """End the connection, whatever is out on it; its reader then ends too. The stream spoilt hears nothing more."""
        with self._lock:
            if spoilt is not None:
                self._release_stream(spoilt)
            self._shut_down()

    def discard(self) -> None:
        """End a connection that nobody reads: nothing else will close its descriptor."""
        with self._lock:
            self._alive = False
            self._shut_down()
        with self._writing, self._lock:
            self._sock.close()

    def _release_stream(self, stream: Stream) -> None:
        """Under the lock: the stream's attempt, which was sent, is over."""
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]
            self.idle_since = time.monotonic()
            self._spent_ids[stream.request_id] = None
            if len(self._spent_ids) > SPENT_IDS:
                del self._spent_ids[next(iter(self._spent_ids))]

    def _close_if_leaving(self) -> None:
        """Under the lock: close what is to leave and is used no more."""
        if self._leaving and not self._reserved_ids and not self._streams:
            self._shut_down()

    def _shut_down(self) -> None:
        """Under the lock, as a descriptor that is closed meanwhile may be another's; this waits for nothing."""
        self._leaving = True
        with contextlib.suppress(OSError):  # it may have ended by itself
            self._sock.shutdown(socket.SHUT_RDWR)

    def _is_ended_by_engine(self) -> bool:
        """Whether the engine has ended it, though the reader may not know yet: what is written now would be lost.

        Also behind answers that are unread. Where that can't be told, an end that has nothing before it is seen.
        """
        if not self._alive:
            return True
        found = self._look.poll(0)
        if not found:
            return False
        over = bool(found[0][1] & OVER)
        if not over:
            try:
                over = not self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:  # the reader was faster
                return False
            except OSError:
                over = True
        if over:
            with self._lock:
                self._leaving = True  # the reader ends it in its turn, after what it still holds
        return over

    def _write(self, data: bytes, head: SendFields | None = None) -> None:
        """Under the lock of writes. What fails ends it all: half a message may have left.

        head is asked again while the engine takes nothing: it raises Withdrawn where the attempt is wanted no more.
        """
        sent, until = 0, inf
        try:
            while sent < len(data):
                with contextlib.suppress(BlockingIOError):  # nothing was taken for WRITE_LOOK
                    sent += self._sock.send(data[sent:])
                if sent == len(data):
                    return
                until = min(until, time.monotonic() + WRITE_TIMEOUT)
                if time.monotonic() > until:  # an engine that takes a little now and then
                    raise TimeoutError("the engine takes too little")
                if head is not None and sent < len(data) - LAST_END:
                    head()
        except AttemptWithdrawnError:
            self.close()
            raise
        except OSError as error:
            self.close()
            if sent < len(data) - LAST_END:
                raise ConnectError(str(error)) from None
            raise ConnectionBrokenError(str(error)) from None

    def read(self, buffer: memoryview) -> float | None:
        """Hand on what has come; until when the rest of a message that has begun must come."""
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # there was nothing after all
            return self._begun + MESSAGE_TIMEOUT if self._parser.begun else None
        if not size:
            raise EOFError
        found = self._parser.feed(buffer[:size])
        for parts in found:
            self._dispatch(parts)
        if self._parser.fault is not None:
            raise self._parser.fault
        if not self._parser.begun:
            self._begun = 0.0
            return None
        if found or not self._begun:  # on a busy connection most reads end within a further message
            self._begun = time.monotonic()
        return self._begun + MESSAGE_TIMEOUT

    def ended(self, why: Exception | None) -> None:
        """Nothing more is read: its attempts hear that it is lost."""
        if not isinstance(why, EOFError):  # malformed input ends this connection only
            log.event("engine_connection_failed", error=str(why))
        with self._lock:
            self._alive = False
            self._shut_down()  # a writer that waits for the engine to take something waits no more
        self._closed(self)
        with self._writing, self._lock:  # whoever was writing has got through, or has heard that it failed
            left = list(self._streams.values())
            self._streams.clear()
            self._sock.close()
        for stream in left:
            stream.sink(StreamLost(stream))

    def _dispatch(self, parts: list[bytes]) -> None:
        if len(parts) != 4:
            raise messages.RespError(f"a message of {len(parts)} parts")
        call, status, fields, body = parts
        with self._lock:
            stream = self._streams.get(call)
        if stream is not None:  # else it was given up: a late answer
            stream.sink(Answer(stream, status, messages.fields(fields), body))


class Engine:
    """One process of one engine, at one address. A later process gets an Engine of its own."""

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
        self._failures = 0  # connects that failed so far
        self._retired = self._draining = False

    def send(self, request_id: bytes, head: SendFields, body: bytes, sink: Sink, limit: float) -> Stream:
        """Send one attempt; blocks for a connect's time at most. head is asked right before the bytes go out."""
        until = time.monotonic() + min(limit, self._connect_limit)

        def checked() -> bytes:
            fields = head()
            if self._retired or self._draining:  # again: connects and writes were waited for
                self._check()
            return fields

        while True:
            connection, fresh = self._reserve(request_id, until)
            stream = Stream(connection, request_id, sink)
            try:
                connection.submit(stream, checked, body)
                return stream
            except ConnectionEndedError:  # while it was idle, mostly: no reason to lose an attempt
                if fresh:  # an engine that takes connections and ends them is not asked again and again
                    raise

    def set_draining(self, draining: bool) -> None:
        """Whether the list has it draining: what is out runs on, and nothing more is sent.

        The rules' grace is not used up. It counts from when the coordinator was told, which may be seconds before we
        hear of it, and an engine that drains may turn away what still comes.
        """
        with self._changed:
            self._draining = draining
            self._changed.notify_all()  # who waits for a connection may go elsewhere

    def set_limits(self, streams: int, connect_limit: float, idle_limit: float) -> None:
        """Keep these limits from now on; what is out on a connection already stays there."""
        with self._changed:
            self._streams, self._connect_limit, self._idle_limit = streams, connect_limit, idle_limit

    def close_idle(self) -> None:
        """Close what no attempt uses."""
        with self._changed:
            all_open = list(self._open)
        for connection in all_open:
            connection.close_unused()

    def idle_connections(self) -> list[Connection]:
        """The connections that no attempt uses."""
        with self._changed:
            return [one for one in self._open if not one.stream_count and not one.reserved_count]

    def retire(self) -> None:
        """Send nothing more; attempts that are out run to their end."""
        with self._changed:
            self._retired = True
            left = list(self._open)
            self._changed.notify_all()
        for connection in left:
            connection.retire()

    def _check(self) -> None:
        """ConnectFailed where the newest list allows no send."""
        if self._retired:
            raise ConnectError("the engine is gone")
        if self._draining:
            raise ConnectError("the engine drains")

    def _reserve(self, request_id: bytes, until: float) -> tuple[Connection, bool]:
        """A place on a connection, and whether that was opened for it.

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
            except (threads.ThreadUnavailableError, OSError) as error:  # nothing was sent: the module may try elsewhere
                opened.discard()
                opened = None
                raise ConnectError(f"nobody reads the connection: {error}") from None
            return opened, True
        finally:
            with self._changed:
                self._opening = False
                if opened is None:
                    self._failures += 1
                elif opened.is_alive:  # else `_drop` was here before, and would leave it in the table for good
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
            prepare(sock, WRITE_LOOK)  # blocking from here on; the kernel keeps the limit on writes
            return Connection(sock, self._drop)
        except OSError as error:
            sock.close()
            raise ConnectError(str(error)) from None

    def _drop(self, connection: Connection) -> None:
        with self._changed:
            if connection in self._open:
                self._open.remove(connection)
        self._quota.release()
