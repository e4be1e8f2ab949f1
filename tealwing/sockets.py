"""Time limits of blocking sockets, kept by the kernel."""

from __future__ import annotations

import socket
import struct

Address = tuple[str, int]


def set_limit(sock: socket.socket, option: int, seconds: float) -> None:
    """Let calls that read (SO_RCVTIMEO) or write (SO_SNDTIMEO) fail with BlockingIOError after some time."""
    whole, rest = divmod(seconds, 1)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(whole), int(rest * 1e6)))
