"""Connection ids that no other process of the same gateway gives to its clients; no I/O.

A KILL holds a connection id and nothing else, and can reach a process that did not assign that id: during an upgrade
two processes accept the same gateway's clients, and after a restart a client may still send the id of a connection to
the former process. The highest byte of an id is therefore the number of its process, and each process starts its
sequence at a random number.
"""

from __future__ import annotations

from collections.abc import Callable

SEQUENCE_BITS = 24  # of the 32 bits of a connection id; the bits above them hold the number of the process
MAX_SEQUENCE = (1 << SEQUENCE_BITS) - 1
ONLY_PROCESS = 0  # number of a process that shares its clients with no other
MAX_PROCESS = 255  # largest number of a process


def process_of(connection: int) -> int:
    """Return the number of the process that gives this connection id; no process has a number above MAX_PROCESS."""
    return connection >> SEQUENCE_BITS


class ConnectionIds:
    """Gives the connection ids of one process. The caller serializes the calls."""

    def __init__(self, process: int, first: int) -> None:
        """Count from `first`, taken into 1..MAX_SEQUENCE. Raises ValueError if the process number is out of range."""
        if not 0 <= process <= MAX_PROCESS:
            raise ValueError(f"process number {process} is not in 0..{MAX_PROCESS}")
        self._base = process << SEQUENCE_BITS
        self._sequence = first % MAX_SEQUENCE + 1

    def next(self, is_used: Callable[[int], bool]) -> int:
        """Return the next connection id that is not in use; never 0. Fewer than MAX_SEQUENCE may be in use."""
        while True:
            found = self._base | self._sequence
            self._sequence = self._sequence % MAX_SEQUENCE + 1
            if not is_used(found):
                return found
