"""Time limits of blocking sockets, enforced by the kernel, and what the kernel knows about unread data."""

from __future__ import annotations

import errno
import socket
import struct
import time

Address = tuple[str, int]

OUT_OF_MEMORY_ERRORS = frozenset({errno.ENOMEM, errno.ENOBUFS})  # the call had no effect and can be repeated
MEMORY_PAUSE = 0.01  # s before a call that lacked memory is repeated: the kernel frees some within milliseconds
OPTION_TRIES = 3  # immediate attempts to set an option: a connection without the option is better than none


def is_short_of_memory(error: OSError) -> bool:
    """Return whether a call failed only because the kernel was short of memory: the connection is unaffected."""
    return error.errno in OUT_OF_MEMORY_ERRORS


def prepare(sock: socket.socket, write_limit: float) -> None:
    """Make the socket blocking, without Nagle's algorithm; writes fail after write_limit seconds without progress.

    If the options can't be set after OPTION_TRIES attempts, the connection is used without them: delays may be longer.
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
    """Write all of the data. Raises OSError if the peer has closed, or has read nothing for `limit` seconds.

    Unlike `socket.sendall`, it continues after a short lack of kernel memory, which must not truncate an answer.
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
    """Make reads (SO_RCVTIMEO) or writes (SO_SNDTIMEO) fail with BlockingIOError after this many seconds."""
    whole, rest = divmod(seconds, 1)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(whole), int(rest * 1e6)))


SO_MEMINFO = 55  # Linux, socket(7)
MEMINFO = struct.Struct("=II")  # the first values: the memory of unread data, and its limit (SO_RCVBUF)


def _memory_of_unread(sock: socket.socket) -> tuple[int, int]:
    """Return the kernel's memory of unread data in bytes, and its limit; zeros if unknown.

    Unlike a read, this call keeps the interpreter lock: no other thread runs between the check and the caller's action.
    """
    try:
        used, limit = MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size))
    except (OSError, struct.error):
        return 0, 0
    return used, limit


def has_unread(sock: socket.socket) -> bool:
    """Return whether the kernel holds unread data of the socket; False if unknown."""
    return _memory_of_unread(sock)[0] > 0


def may_block_peer(sock: socket.socket) -> bool:
    """Return whether so much is unread that the peer may not be able to send more, not even the end of the connection.

    The kernel closes the receive window only while less than half of it is free.
    """
    used, limit = _memory_of_unread(sock)
    return 2 * used > limit


LAST_RECV = struct.Struct("=52xI")  # tcpi_last_data_recv in struct tcp_info (linux/tcp.h), ms


def seconds_since_data(sock: socket.socket) -> float:
    """Return the seconds since the kernel last received data on a TCP connection; 0 if unknown."""
    try:
        return float(LAST_RECV.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECV.size))[0]) / 1e3
    except (OSError, struct.error):
        return 0.0
