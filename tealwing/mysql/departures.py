"""Detect a client's departure from its socket, and recognize commands that are answered without opening a request."""

from __future__ import annotations

import select
import socket
import threading

from tealwing.mysql import packets, statements
from tealwing.sockets import is_short_of_memory, may_block_peer

# epoll events that report a client's departure while its request is open. EPOLLIN is left out: pipelined input must not
# wake a thread before the open request is answered. epoll always reports EPOLLHUP and EPOLLERR.
DEPARTURE_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT
QUERY = 0x03  # COM_QUERY


def departure_poll(sock: socket.socket) -> select.poll:
    """Return a poll object for `has_left`, valid while the socket is open."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    return poll


def has_left(sock: socket.socket, poll: select.poll | None = None) -> bool:
    """Return whether the peer has closed or reset the connection, or shut down its sending half; never blocks.

    With POLLRDHUP the end is seen even behind unread bytes; a system without it reports the end once they are read.
    """
    events = (poll or departure_poll(sock)).poll(0)
    if not events:  # on every platform the end of a connection makes it readable
        return False
    if events[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
        return True
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError as error:
        return not is_short_of_memory(error)


class ClientDeparture:
    """Lets any thread check whether a session's client has left; a lock serializes use of the poll object."""

    __slots__ = ("_lock", "_poll", "_sock", "has_departed")

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._lock = sock, threading.Lock()  # never held across a blocking call
        self._poll: select.poll | None = None  # created with the first request
        self.has_departed = False

    def check(self) -> bool:
        """Return whether the client has left; never blocks."""
        with self._lock:
            if self._poll is None:
                self._poll = departure_poll(self._sock)
            self.has_departed = self.has_departed or has_left(self._sock, self._poll)
            return self.has_departed

    def is_hidden(self) -> bool:
        """Return whether the client may have left unseen: so much input is unread that its end may not have arrived."""
        return may_block_peer(self._sock)

    def wait(self, seconds: float) -> None:
        """Wait until the client has left, for at most these seconds. Only the session's own thread may call this."""
        end = select.poll()
        end.register(self._sock, select.POLLRDHUP)
        end.poll(seconds * 1e3)


def brief_commands_length(sock: socket.socket, logged_in: bool, buffer: memoryview) -> int | None:
    """Return the length of the unread input if it consists of complete commands that are answered without blocking.

    These are all commands but queries, and KILL. Returns None if the input holds anything else, or if the socket is not
    writable: serving it may block. The input is only peeked at, not consumed. The end of the connection or a socket
    error counts as one byte, as reading reports it. logged_in: whether the client is logged in.
    """
    try:
        size = sock.recv_into(buffer, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return 0
    except OSError:
        return 1
    parser = packets.Parser()
    parser.feed(buffer[:size])
    try:
        while (message := parser.next()) is not None:
            is_command, logged_in = logged_in, True  # the first message is the login
            if is_command and message[1][:1] == bytes([QUERY]) and statements.parse_kill(message[1][1:]) is None:
                return None
    except packets.PacketError:
        return None
    writable = select.poll()
    writable.register(sock, select.POLLOUT)
    if parser.begun or not writable.poll(0):
        return None
    return size or 1
