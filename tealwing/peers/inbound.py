"""A connection on which a peer speaks, read by the link's reader."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import TYPE_CHECKING

from tealwing.peers import frames, messages
from tealwing.peers.plan import LinkTimes

if TYPE_CHECKING:
    from tealwing.peers.link import Link


class InboundConnection:
    """A connection on which a peer speaks."""

    def __init__(self, link: Link, sock: socket.socket, times: LinkTimes) -> None:
        self._link, self._sock, self._times = link, sock, times
        self._parser = frames.Parser()
        self.name, self.incarnation = "", 0
        self.deadline = time.monotonic() + times.hello_timeout

    def fileno(self) -> int:
        """The descriptor."""
        return self._sock.fileno()

    def read(self, buffer: memoryview) -> float | None:
        """Hand on what has come; until when the next whole frame must have come."""
        try:
            size = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self.deadline
        if not size:
            raise EOFError
        self._link.received_bytes += size
        for payload in self._parser.feed(buffer[:size]):
            self._link.receive(self, messages.decode(payload))
            self.deadline = time.monotonic() + self._times.idle_timeout
        return self.deadline

    def ended(self, why: Exception | None) -> None:
        """It is read no more."""
        self.close()
        self._link.connection_ended(self, why)

    def close(self) -> None:
        """End it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def shutdown(self) -> None:
        """Have the reader end it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
