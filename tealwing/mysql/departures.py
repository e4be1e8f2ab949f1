"""Detect by its socket that a client has left, and recognize commands that are answered without a request."""

from __future__ import annotations

import select
import socket
import threading

from tealwing.mysql import packets, statements
from tealwing.sockets import is_short_of_memory

# What tells that a client has left while its request is open. There is no interest in reading: what it sends ahead
# waits its turn and wakes nobody. Hang-ups and errors are always told.
LEAVING = select.EPOLLRDHUP | select.EPOLLONESHOT
QUERY = 0x03


def watcher(sock: socket.socket) -> select.poll:
    """Return a poll object for `has_left`, valid while the socket is open."""
    found = select.poll()
    found.register(sock, select.POLLIN | select.POLLRDHUP)
    return found


def has_left(sock: socket.socket, found: select.poll | None = None) -> bool:
    """Return whether the peer has closed or reset the connection, or its sending half, even behind unread bytes.

    It never waits. A system that does not tell an end behind unread bytes (POLLRDHUP) tells it once they are read.
    """
    events = (found or watcher(sock)).poll(0)
    if not events:  # an end is readable too: this holds on every platform
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
    """Check, by any thread, of whether one session's client has left; serializes the poll object."""

    __slots__ = ("_lock", "_poll", "_sock", "has_departed")

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._lock = sock, threading.Lock()  # never held while anything is waited for
        self._poll: select.poll | None = None  # created with the first request
        self.has_departed = False

    def check(self) -> bool:
        """Return whether the client has left; never blocks."""
        with self._lock:
            if self._poll is None:
                self._poll = watcher(self._sock)
            self.has_departed = self.has_departed or has_left(self._sock, self._poll)
            return self.has_departed


def brief_commands_length(sock: socket.socket, inside: bool, buffer: memoryview) -> int | None:
    """Return the number of bytes read, if all are complete commands that are answered at once, KILL included.

    None where anything else has come, or the client does not take what it is answered: that may have to wait. inside
    tells whether the client is logged in. Nothing is read. An end, or an error, counts as a byte: reading it says so.
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
            command, inside = inside, True  # the login precedes the commands
            if command and message[1][:1] == bytes([QUERY]) and statements.parse_kill(message[1][1:]) is None:
                return None
    except packets.PacketError:
        return None
    taking = select.poll()
    taking.register(sock, select.POLLOUT)
    if parser.begun or not taking.poll(0):
        return None
    return size or 1
