"""Free ports for a trial's listeners, below those that the system gives to connections: none is taken in between."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST, COUNT = 10_000, 20_000  # ports; Linux gives 32,768 and above to connections
_next = iter(())  # type: Iterator[int]


def _walk() -> Iterator[int]:
    at = os.getpid() * 397 % COUNT  # two trials on one machine begin at different places
    while True:
        yield FIRST + at
        at = (at + 1) % COUNT


def free_port() -> int:
    """A port on 127.0.0.1 that nobody listens on, and that this process has not given before."""
    global _next
    for _ in range(COUNT):
        try:
            port = next(_next)
        except StopIteration:
            _next = _walk()
            port = next(_next)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")
