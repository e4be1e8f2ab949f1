"""One connection to an engine: attempts that share it, and the reader's side of it."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from tealwing import log
from tealwing.resp import messages
from tealwing.resp.errors import AttemptWithdrawnError, ConnectError, ConnectionBrokenError, ConnectionEndedError

WRITE_TIMEOUT = 0.25  # s that a write may wait for an engine which takes nothing
WRITE_LOOK = 0.05  # s of these between two checks whether the attempt is still wanted: half of a client's 0.1 s
SPENT_IDS = 1000  # ids of the past that a connection remembers, many more than one round trip's
MESSAGE_TIMEOUT = 0.5  # s for the rest of a message that has begun: pages are short and engines near
LAST_END = 2  # bytes of the line end that closes a message: an engine may act before it has them
OVER = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer sends nothing more


@dataclass(frozen=True, slots=True)
class Answer:
    """One message of an engine for an attempt."""

    stream: Stream
    status: bytes
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamLost:
    """The connection ended while an attempt was in flight on it."""

    stream: Stream


Sink = Callable[[Answer | StreamLost], None]
SendFields = Callable[
    [], bytes
]  # returns an attempt's fields right before it is written; may raise AttemptWithdrawnError


@dataclass(eq=False, slots=True)
class Stream:
    """One attempt on one connection."""

    connection: Connection
    request_id: bytes
    sink: Sink = field(repr=False)

    def reprioritize(self, priority: int) -> None:
        """Send a new priority."""
        self.connection.send_messages(b"hurry", self.request_id, b"%d" % priority)

    def fetch_pages(self, pages: range) -> None:
        """Request pages of the result, in one write."""
        self.connection.send_messages(*(part for n in pages for part in (b"turn", self.request_id, b"%d" % n)), size=3)

    def close_result(self) -> None:
        """Request no more pages; those that still arrive are dropped."""
        self.connection.cancel(self, b"shut")

    def cancel(self) -> None:
        """Cancel the attempt; what still arrives for it is dropped."""
        self.connection.cancel(self, b"never_mind")

    def finish(self) -> None:
        """Release the stream after the engine's last message."""
        self.connection.detach(self)

    def fail_connection(self) -> None:
        """End the connection after an invalid answer: nothing more on it can be trusted."""
        self.connection.close(self)


class Connection:
    """One open connection. The reader hands answers to the streams' sinks.

    An attempt takes a place before it is sent and holds it to its end. Whether the connection closes is decided and
    done under the lock under which places are taken, so that no attempt finds itself on one that was closed as unused.
    """

    def __init__(self, sock: socket.socket, closed: Callable[[Connection], None]) -> None:
        self._sock, self._closed = sock, closed
        self._writing = threading.Lock()  # one message at a time; taken before the other lock
        self._lock = threading.Lock()  # guards all below; never held while the socket is waited for
        self._reserved_ids: set[bytes] = set()  # ids of attempts that are to be written
        self._streams: dict[bytes, Stream] = {}
        self._spent_ids: dict[bytes, None] = {}  # in order; a dict, as every send looks an id up
        self._alive = True  # until it is read no more
        self._leaving = False  # takes no further attempt, and closes with the last one
        self.idle_since = time.monotonic()
        self._parser = messages.Parser()
        self._begun = 0.0  # monotonic; a time before the incomplete message began
        self._look = select.poll()  # used under the write lock only
        self._look.register(sock, select.POLLIN | select.POLLRDHUP)

    def fileno(self) -> int:
        """The file descriptor."""
        return self._sock.fileno()

    @property
    def is_alive(self) -> bool:
        """Whether the connection is still read."""
        return self._alive

    @property
    def stream_count(self) -> int:
        """Number of attempts in flight."""
        return len(self._streams)

    @property
    def reserved_count(self) -> int:
        """Number of attempts that are to be written."""
        return len(self._reserved_ids)

    def reserve(self, request_id: bytes, max_streams: int, patience: float) -> bool:
        """Reserve a place for an attempt of this id; return False if it may not use this connection.

        A connection that was idle for longer than patience closes: the engine is about to, and no send must cross that.
        """
        with self._lock:
            if self._leaving:
                return False
            taken = len(self._reserved_ids) + len(self._streams)
            if not taken and time.monotonic() > self.idle_since + patience:
                self._shut_down()
                return False
            # an answer to an earlier attempt of that id must not be taken for its own
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
        """Release a place of which no byte was written, which leaves the idle time as it is."""
        with self._lock:
            self._reserved_ids.discard(request_id)
            self._close_if_leaving()

    def submit(self, stream: Stream, head: SendFields, body: bytes) -> None:
        """Send the attempt. Raises ConnectError or AttemptWithdrawnError if nothing ran, else ConnectionBrokenError.

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
                    self.detach(stream)  # before `ended` may run: the end is reported once
                    raise
        except BaseException:
            self.release(stream.request_id)
            raise

    def send_messages(self, *parts: bytes, size: int = 0) -> None:
        """Send messages that get no answer, of `size` parts each; a failure only ends the connection."""
        size = size or len(parts)
        data = b"".join(messages.encode(*parts[at : at + size]) for at in range(0, len(parts), size))
        try:
            with self._writing:
                if self._alive:
                    self._write(data)
        except (ConnectError, ConnectionBrokenError):
            log.event("engine_write_failed", word=parts[0].decode())

    def detach(self, stream: Stream) -> None:
        """Detach the stream and release its place."""
        with self._lock:
            self._release_stream(stream)
            if self._leaving:
                self._close_if_leaving()

    def cancel(self, stream: Stream, message: bytes) -> None:
        """Detach the stream and notify the engine; a leaving connection closes after that."""
        with self._lock:
            self._release_stream(stream)
        self.send_messages(message, stream.request_id)
        if self._leaving:
            with self._lock:
                self._close_if_leaving()

    def retire(self) -> None:
        """Close once no attempt has a place: the engine has gone, and may never close it."""
        with self._lock:
            self._leaving = True
            self._close_if_leaving()

    def close_unused(self) -> None:
        """Close if no attempt has a place."""
        with self._lock:
            if not self._reserved_ids and not self._streams:
                self._shut_down()

    def close(self, spoilt: Stream | None = None) -> None:
        """Close, whatever is in flight; the reader ends too. The stream `spoilt` is not notified."""
        with self._lock:
            if spoilt is not None:
                self._release_stream(spoilt)
            self._shut_down()

    def discard(self) -> None:
        """Close a connection that is not read: nothing else closes its descriptor."""
        with self._lock:
            self._alive = False
            self._shut_down()
        with self._writing, self._lock:
            self._sock.close()

    def _release_stream(self, stream: Stream) -> None:
        """Release the place of a sent attempt. Call under the lock."""
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]
            self.idle_since = time.monotonic()
            self._spent_ids[stream.request_id] = None
            if len(self._spent_ids) > SPENT_IDS:
                del self._spent_ids[next(iter(self._spent_ids))]

    def _close_if_leaving(self) -> None:
        """Close a leaving connection without attempts. Call under the lock."""
        if self._leaving and not self._reserved_ids and not self._streams:
            self._shut_down()

    def _shut_down(self) -> None:
        """Shut the socket down; never blocks. Call under the lock: a closed descriptor may be reused."""
        self._leaving = True
        with contextlib.suppress(OSError):  # it may have ended by itself
            self._sock.shutdown(socket.SHUT_RDWR)

    def _is_ended_by_engine(self) -> bool:
        """Return whether the engine has ended the connection, perhaps unnoticed by the reader: a write would be lost.

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
                self._leaving = True  # the reader ends it after what is still buffered
        return over

    def _write(self, data: bytes, head: SendFields | None = None) -> None:
        """Write under the write lock. A failure ends the connection: half a message may have left.

        head is asked again while the engine takes nothing: it raises Withdrawn where the attempt is wanted no more.
        """
        sent, until = 0, inf
        try:
            while sent < len(data):
                with contextlib.suppress(BlockingIOError):  # the engine took nothing for WRITE_LOOK
                    sent += self._sock.send(data[sent:])
                if sent == len(data):
                    return
                until = min(until, time.monotonic() + WRITE_TIMEOUT)
                if time.monotonic() > until:  # the engine takes a little now and then
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
        """Dispatch what has arrived; return the monotonic time by which the rest of a message must arrive."""
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # a spurious wake-up
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
        """Close after the last read, and notify the attempts in flight."""
        if not isinstance(why, EOFError):  # malformed input ends this connection only
            log.event("engine_connection_failed", error=str(why))
        with self._lock:
            self._alive = False
            self._shut_down()  # wakes a writer that waits for the engine
        self._closed(self)
        with self._writing, self._lock:  # a writer has finished or failed by now
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
        if stream is not None:  # else it was cancelled: a late answer
            stream.sink(Answer(stream, status, messages.fields(fields), body))
