"""Time limits of blocking sockets, kept by the kernel."""

from __future__ import annotations

import errno
import socket
import struct
import time

Address = tuple[str, int]

OUT_OF_MEMORY_ERRORS = frozenset({errno.ENOMEM, errno.ENOBUFS})  # the call has done nothing, and may be made again
MEMORY_PAUSE = 0.01  # s before a call is made again that had no memory: the kernel frees some within milliseconds
OPTION_TRIES = 3  # of setting an option, at once: a connection without it is still better than none


def is_short_of_memory(error: OSError) -> bool:
    """Whether a call only lacked memory for a moment: its connection is as it was."""
    return error.errno in OUT_OF_MEMORY_ERRORS


def prepare(sock: socket.socket, write_limit: float) -> None:
    """Have what is written leave at once, and writes fail after write_limit seconds without progress.

    An option that the system does not set, after some tries, costs a delay and not the connection.
    """
    sock.settimeout(None)
    for _ in range(OPTION_TRIES):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_limit(sock, socket.SO_SNDTIMEO, write_limit)
            return
        except OSError:
            continue


def send_all(sock: socket.socket, data: bytes, limit: float) -> None:
    """Write all of the data; OSError where the peer has gone or has taken nothing for limit seconds.

    Unlike `socket.sendall` it goes on after a moment without memory: half an answer must not be the last of it.
    """
    left, until = memoryview(data), time.monotonic() + limit
    while left:
        try:
            left = left[sock.send(left) :]
            until = time.monotonic() + limit
        except OSError as error:
            if not is_short_of_memory(error) or time.monotonic() > until:
                raise
            time.sleep(MEMORY_PAUSE)


def set_limit(sock: socket.socket, option: int, seconds: float) -> None:
    """Let calls that read (SO_RCVTIMEO) or write (SO_SNDTIMEO) fail with BlockingIOError after some time."""
    whole, rest = divmod(seconds, 1)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(whole), int(rest * 1e6)))


MEMORY_INFO = 55  # Linux: SO_MEMINFO (socket(7)), of which the first number is what unread data takes
UNREAD = struct.Struct("=I")


def has_unread(sock: socket.socket) -> bool:
    """Whether data has come that nobody has read, by the kernel's books; False where it can't tell.

    Unlike a read this keeps the interpreter: no other thread runs between the answer and what is done upon it.
    """
    try:
        return bool(UNREAD.unpack(sock.getsockopt(socket.SOL_SOCKET, MEMORY_INFO, UNREAD.size))[0])
    except (OSError, struct.error):
        return False


LAST_DATA = struct.Struct("=52xI")  # of struct tcp_info (linux/tcp.h): tcpi_last_data_recv, milliseconds


def seconds_since_data(sock: socket.socket) -> float:
    """Seconds since data last came on a TCP connection, by the kernel's books; 0 where it can't tell."""
    try:
        return float(LAST_DATA.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.size))[0]) / 1e3
    except (OSError, struct.error):
        return 0.0
