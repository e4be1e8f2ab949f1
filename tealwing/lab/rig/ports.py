"""Free ports for a trial's listeners, below the ephemeral range: no outgoing connection can take one before its use."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST, COUNT = 10_000, 20_000  # ports; the ephemeral range of Linux begins at 32,768
_next = iter(())  # type: Iterator[int]


def _candidates() -> Iterator[int]:
    at = os.getpid() * 397 % COUNT  # the process id has concurrent trials on one machine begin at different ports
    while True:
        yield FIRST + at
        at = (at + 1) % COUNT


def free_port() -> int:
    """Return a port on 127.0.0.1 that is not bound, and that this process has not returned before."""
    global _next
    for _ in range(COUNT):
        try:
            port = next(_next)
        except StopIteration:
            _next = _candidates()
            port = next(_next)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port on 127.0.0.1 from {FIRST} to {FIRST + COUNT - 1}: end the processes that listen there")
