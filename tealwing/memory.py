"""Divides the process's memory among its users, and counts what clients' commands and results take of it.

The platform ends a process that passes its limit. A bound for each client is not enough, as their number multiplies it:
one account is shared by all clients, and what does not fit is refused.
"""

from __future__ import annotations

import os
import threading
from dataclasses import dataclass
from pathlib import Path

MIB = 1024 * 1024
DEFAULT_LIMIT = 192 * MIB  # bytes, if the configuration gives no limit
PROCESS_BYTES = 23 * MIB  # bytes of a process without load, all clients connected and idle
THREAD_BYTES = 32 * 1024  # bytes of a thread that serves a small request: its stack and its objects
THREADS_SHARE = 0.35  # share of the remaining memory for threads
ACCOUNT_SHARE = 0.35  # share of it for the account: the heap fragments, and copies exist for moments
MIN_SPARE_BYTES = 2 * MIB  # bytes that are divided however small the limit is


@dataclass(frozen=True, slots=True)
class Budget:
    """What the users of memory may take: bytes of the account, and the number of threads."""

    account: int
    threads: int


def budget(limit: int) -> Budget:
    """Divide a limit in bytes."""
    spare = max(limit - PROCESS_BYTES, MIN_SPARE_BYTES)
    return Budget(int(spare * ACCOUNT_SHARE), int(spare * THREADS_SHARE) // THREAD_BYTES)


class Account:
    """Bytes taken of a bounded amount, shared by threads."""

    def __init__(self, size: int) -> None:
        """Create an account of `size` bytes, with none taken."""
        self._size = size
        self._lock = threading.Lock()
        self._taken = self._peak = 0

    @property
    def taken(self) -> int:
        """Number of bytes taken now."""
        return self._taken

    @property
    def peak(self) -> int:
        """Largest number of bytes that were taken at once."""
        return self._peak

    def take(self, size: int) -> bool:
        """Take bytes if as many are left; return whether they were taken."""
        with self._lock:
            if self._taken + size > self._size:
                return False
            self._taken += size
            self._peak = max(self._peak, self._taken)
            return True

    def give_back(self, size: int) -> None:
        """Return bytes that were taken."""
        with self._lock:
            self._taken -= size


class Reservation:
    """One user's part of an account. One thread at a time may use it."""

    __slots__ = ("_account", "size")

    def __init__(self, account: Account) -> None:
        """Reserve nothing yet."""
        self._account = account
        self.size = 0

    def resize(self, size: int) -> bool:
        """Reserve this many bytes in all; return whether they were there, with nothing changed if not."""
        if size > self.size and not self._account.take(size - self.size):
            return False
        if size < self.size:
            self._account.give_back(self.size - size)
        self.size = size
        return True

    def add(self, size: int) -> bool:
        """Reserve more bytes; return whether they were there."""
        return self.resize(self.size + size)

    def release(self) -> None:
        """Reserve nothing any more."""
        self.resize(0)


_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STATM = Path("/proc/self/statm")  # proc(5): sizes in pages, the resident one is the second


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not report it."""
    try:
        return int(_STATM.read_bytes().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


class PeakLog:
    """Decides when a new peak of resident memory is logged: at the first value, and at each sixteenth of the limit."""

    STEPS = 16  # log lines up to the limit

    def __init__(self, limit: int) -> None:
        """Observe a process with this limit in bytes."""
        self._step = max(1, limit // self.STEPS)
        self._next = 0

    def is_peak(self, resident: int) -> bool:
        """Return whether to log this many resident bytes."""
        if resident < self._next:
            return False
        self._next = (resident // self._step + 1) * self._step
        return True
