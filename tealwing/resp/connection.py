"""One connection to an engine: the attempts multiplexed on it, and the dispatch of the answers read from it."""

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

WRITE_TIMEOUT = 0.25  # s that a write may wait while the engine reads nothing
WRITE_CHECK_INTERVAL = 0.05  # s between checks of a blocked write for a withdrawn attempt: half of a client's 0.1 s
MAX_USED_IDS = 1000  # ids of finished attempts that a connection remembers; far more than finish in a round trip
MESSAGE_TIMEOUT = 0.5  # s for the rest of an incomplete message: pages are short and engines are on the local network
TERMINATOR_BYTES = 2  # bytes of the CRLF that ends a message: an engine may act before it receives them
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer sends nothing more


@dataclass(frozen=True, slots=True)
class Answer:
    """A message from an engine to an attempt."""

    stream: Stream
    status: bytes
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamLost:
    """The connection ended while an attempt was in flight on it."""

    stream: Stream


Sink = Callable[[Answer | StreamLost], None]
# Returns an attempt's fields right before it is written; may raise AttemptWithdrawnError.
SendFields = Callable[[], bytes]


@dataclass(eq=False, slots=True)
class Stream:
    """An attempt in flight on a connection."""

    connection: Connection
    request_id: bytes
    sink: Sink = field(repr=False)

    def reprioritize(self, priority: int) -> None:
        """Send the attempt's new priority to the engine."""
        self.connection.send_messages(b"hurry", self.request_id, b"%d" % priority)

    def fetch_pages(self, pages: range) -> None:
        """Request pages of the result, in one write."""
        self.connection.send_messages(*(part for n in pages for part in (b"turn", self.request_id, b"%d" % n)), size=3)

    def close_result(self) -> None:
        """Notify the engine that no more pages are needed; pages that still arrive are dropped."""
        self.connection.cancel(self, b"shut")

    def cancel(self) -> None:
        """Cancel the attempt; messages that still arrive for it are dropped."""
        self.connection.cancel(self, b"never_mind")

    def finish(self) -> None:
        """Release the stream after the engine's last message."""
        self.connection.detach(self)

    def fail_connection(self) -> None:
        """Close the connection after an invalid answer: further data on it can't be trusted."""
        self.connection.close(self)


class Connection:
    """One open connection. The reader passes answers to the streams' sinks.

    An attempt reserves a slot before it is sent and holds it until it ends. The decision to close and the shutdown
    happen under the lock that guards the slots, so that no attempt gets a slot on a connection closed as unused.
    """

    def __init__(self, sock: socket.socket, on_end: Callable[[Connection], None]) -> None:
        """`on_end` is called once the reader has stopped reading the connection, before its descriptor is closed."""
        self._sock, self._on_end = sock, on_end
        self._write_lock = threading.Lock()  # serializes writes; acquired before `_lock`
        self._lock = threading.Lock()  # guards the fields below; never held while waiting for the socket
        self._reserved_ids: set[bytes] = set()  # ids of attempts with a slot that are not written yet
        self._streams: dict[bytes, Stream] = {}
        self._used_ids: dict[bytes, None] = {}  # oldest first; a dict, because every send looks an id up
        self._alive = True  # False once the reader has stopped reading the connection
        self._retired = False  # accepts no further attempt, and closes with the last one
        self.idle_since = time.monotonic()
        self._parser = messages.Parser()
        self._message_begun_at = 0.0  # monotonic, no later than the start of the incomplete message; 0: none
        self._end_poll = select.poll()  # used under the write lock only
        self._end_poll.register(sock, select.POLLIN | select.POLLRDHUP)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._sock.fileno()

    @property
    def is_alive(self) -> bool:
        """Whether the reader still reads the connection."""
        return self._alive

    @property
    def stream_count(self) -> int:
        """Number of attempts in flight."""
        return len(self._streams)

    @property
    def reserved_count(self) -> int:
        """Number of attempts with a slot that are not written yet."""
        return len(self._reserved_ids)

    def reserve(self, request_id: bytes, max_streams: int, max_idle: float) -> bool:
        """Reserve a slot for an attempt with this id; return False if it may not use this connection.

        A connection that was idle for longer than max_idle seconds is closed: the engine is about to close it, and a
        request sent at that moment would be lost.
        """
        with self._lock:
            if self._retired:
                return False
            held = len(self._reserved_ids) + len(self._streams)
            if not held and time.monotonic() > self.idle_since + max_idle:
                self._shut_down()
                return False
            # a late answer to an earlier attempt with this id would be delivered to this one
            if (
                held >= max_streams
                or request_id in self._reserved_ids
                or request_id in self._streams
                or request_id in self._used_ids
            ):
                return False
            self._reserved_ids.add(request_id)
            return True

    def release(self, request_id: bytes) -> None:
        """Release the slot of an attempt of which no byte was written; the idle time is unchanged."""
        with self._lock:
            self._reserved_ids.discard(request_id)
            self._close_if_retired()

    def submit(self, stream: Stream, get_fields: SendFields, body: bytes) -> None:
        """Send the attempt. Raises ConnectError or AttemptWithdrawnError if nothing ran, else ConnectionBrokenError.

        The outcome is reported once: by one of these errors, or to the stream's sink.
        """
        try:
            with self._write_lock:
                if self._is_ended_by_engine():
                    raise ConnectionEndedError("the connection has ended before the attempt was sent")
                data = messages.encode(b"want", stream.request_id, get_fields(), body)
                with self._lock:
                    log.check_invariant(stream.request_id not in self._streams, "one attempt per id on a connection")
                    self._reserved_ids.discard(stream.request_id)
                    self._streams[stream.request_id] = stream
                try:
                    self._write(data, get_fields)
                except (ConnectError, ConnectionBrokenError, AttemptWithdrawnError):
                    self.detach(stream)  # before `ended` runs, which would report the failure again
                    raise
        except BaseException:
            self.release(stream.request_id)
            raise

    def send_messages(self, *parts: bytes, size: int = 0) -> None:
        """Send messages of `size` parts each that the engine does not answer; a failure only ends the connection."""
        size = size or len(parts)
        data = b"".join(messages.encode(*parts[at : at + size]) for at in range(0, len(parts), size))
        try:
            with self._write_lock:
                if self._alive:
                    self._write(data)
        except (ConnectError, ConnectionBrokenError):
            log.event("engine_write_failed", word=parts[0].decode())

    def detach(self, stream: Stream) -> None:
        """Detach the stream and release its slot."""
        with self._lock:
            self._release_stream(stream)
            if self._retired:
                self._close_if_retired()

    def cancel(self, stream: Stream, message: bytes) -> None:
        """Detach the stream and send the message to the engine; a retired connection closes after its last attempt."""
        with self._lock:
            self._release_stream(stream)
        self.send_messages(message, stream.request_id)
        if self._retired:
            with self._lock:
                self._close_if_retired()

    def retire(self) -> None:
        """Close once no attempt has a slot: the engine has been removed, and may never close the connection itself."""
        with self._lock:
            self._retired = True
            self._close_if_retired()

    def close_unused(self) -> None:
        """Close the connection if no attempt has a slot."""
        with self._lock:
            if not self._reserved_ids and not self._streams:
                self._shut_down()

    def close(self, failed_stream: Stream | None = None) -> None:
        """Close the connection, also with attempts in flight; the reader drops it. `failed_stream` is not notified."""
        with self._lock:
            if failed_stream is not None:
                self._release_stream(failed_stream)
            self._shut_down()

    def discard(self) -> None:
        """Close a connection that the reader does not watch: nothing else closes its descriptor."""
        with self._lock:
            self._alive = False
            self._shut_down()
        with self._write_lock, self._lock:
            self._sock.close()

    def _release_stream(self, stream: Stream) -> None:
        """Release the slot of a sent attempt. The caller holds `_lock`."""
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]
            self.idle_since = time.monotonic()
            self._used_ids[stream.request_id] = None
            if len(self._used_ids) > MAX_USED_IDS:
                del self._used_ids[next(iter(self._used_ids))]

    def _close_if_retired(self) -> None:
        """Close a retired connection that has no attempts. The caller holds `_lock`."""
        if self._retired and not self._reserved_ids and not self._streams:
            self._shut_down()

    def _shut_down(self) -> None:
        """Shut the socket down without blocking. The caller holds `_lock`: a closed descriptor may be reused."""
        self._retired = True
        with contextlib.suppress(OSError):  # the peer may have closed it already
            self._sock.shutdown(socket.SHUT_RDWR)

    def _is_ended_by_engine(self) -> bool:
        """Return whether the engine has ended the connection, seen by the reader or not: a write would be lost.

        An end behind unread answers is found by poll. Where poll does not report it, an end is found only if no unread
        data precedes it.
        """
        if not self._alive:
            return True
        found = self._end_poll.poll(0)
        if not found:
            return False
        ended = bool(found[0][1] & PEER_CLOSED_EVENTS)
        if not ended:
            try:
                ended = not self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:  # the reader has read the data in the meantime
                return False
            except OSError:
                ended = True
        if ended:
            with self._lock:
                self._retired = True  # the reader closes it after the buffered data
        return ended

    def _write(self, data: bytes, get_fields: SendFields | None = None) -> None:
        """Write the data; the caller holds the write lock.

        A failure shuts the connection down, as part of a message may have been sent.

        While the engine reads nothing, get_fields is called again: it raises AttemptWithdrawnError if the attempt was
        withdrawn in the meantime.
        """
        sent, until, view = 0, inf, memoryview(data)
        try:
            while sent < len(data):
                with contextlib.suppress(BlockingIOError):  # the engine read nothing for WRITE_CHECK_INTERVAL
                    sent += self._sock.send(view[sent:])
                if sent == len(data):
                    return
                until = min(until, time.monotonic() + WRITE_TIMEOUT)
                if time.monotonic() > until:  # even if the engine reads a few bytes at a time
                    raise TimeoutError(f"the engine read too little: {sent} of {len(data)} bytes in {WRITE_TIMEOUT} s")
                if get_fields is not None and sent < len(data) - TERMINATOR_BYTES:
                    get_fields()
        except AttemptWithdrawnError:
            self.close()
            raise
        except OSError as error:
            self.close()
            if sent < len(data) - TERMINATOR_BYTES:
                raise ConnectError(str(error)) from None
            raise ConnectionBrokenError(str(error)) from None

    def read(self, buffer: memoryview) -> float | None:
        """Dispatch the messages that have arrived.

        Returns the monotonic time by which the rest of an incomplete message must arrive, None if there is none.
        """
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:  # a spurious wake-up
            return self._message_begun_at + MESSAGE_TIMEOUT if self._parser.begun else None
        if not size:
            raise EOFError
        found = self._parser.feed(buffer[:size])
        for parts in found:
            self._dispatch(parts)
        if self._parser.fault is not None:
            raise self._parser.fault
        if not self._parser.begun:
            self._message_begun_at = 0.0
            return None
        # a new message has begun; on a busy connection most reads end within a message
        if found or not self._message_begun_at:
            self._message_begun_at = time.monotonic()
        return self._message_begun_at + MESSAGE_TIMEOUT

    def ended(self, why: Exception | None) -> None:
        """Close the connection after its last read, and notify the attempts in flight."""
        if not isinstance(why, EOFError):  # malformed input ends only this connection
            log.event("engine_connection_failed", error=str(why))
        with self._lock:
            self._alive = False
            self._shut_down()  # wakes a writer that is blocked on the engine
        self._on_end(self)
        with self._write_lock, self._lock:  # a writer has finished or failed by now
            left = list(self._streams.values())
            self._streams.clear()
            self._sock.close()
        for stream in left:
            stream.sink(StreamLost(stream))

    def _dispatch(self, parts: list[bytes]) -> None:
        if len(parts) != 4:
            raise messages.RespError(f"a message has {len(parts)} parts, not the 4 of an answer")
        call, status, fields, body = parts
        with self._lock:
            stream = self._streams.get(call)
        if stream is not None:  # else the answer is late: its attempt was cancelled or has finished
            stream.sink(Answer(stream, status, messages.fields(fields), body))
