"""Remembers the ids of requests that were sent to an engine, so that an id that comes again is not run again.

Clients give each request, and each retry, an id of its own. An id that comes again, after its client has left or at
another process of the same gateway, belongs to a request that may have run or still runs.
"""

from __future__ import annotations

import threading
from contextlib import AbstractContextManager
from typing import Protocol

ID_BYTES = 8  # of an id: 16 hexadecimal digits
IDS_PER_BUCKET = 8  # the oldest one makes room
BUCKETS = 2048
BUCKET_BYTES = IDS_PER_BUCKET * ID_BYTES
TABLE_BYTES = BUCKETS * BUCKET_BYTES
_VALUES = 1 << (8 * ID_BYTES)


class TableUnavailableError(Exception):
    """The table can't be used now: another process holds its lock, or it can't be opened."""


class Table(Protocol):
    """TABLE_BYTES that are zeros at first, of this process or shared with others."""

    def read(self, at: int) -> bytes:
        """Return the bucket at this offset."""

    def write(self, at: int, bucket: bytes) -> None:
        """Replace the bucket at this offset."""


class TableAccess(Protocol):
    """Gives access to a table under its lock."""

    def locked(self) -> AbstractContextManager[Table]:
        """Return the table, locked until the context ends. Entering may raise TableUnavailableError."""


class MemoryTable:
    """A table of this process alone."""

    def __init__(self) -> None:
        self._bytes = bytearray(TABLE_BYTES)
        self._lock = threading.Lock()

    def locked(self) -> AbstractContextManager[Table]:
        """Lock the table among the threads."""
        return self

    def __enter__(self) -> Table:
        self._lock.acquire()
        return self

    def __exit__(self, *error: object) -> None:
        self._lock.release()

    def read(self, at: int) -> bytes:
        """Return the bucket at this offset."""
        return bytes(self._bytes[at : at + BUCKET_BYTES])

    def write(self, at: int, bucket: bytes) -> None:
        """Replace the bucket at this offset."""
        self._bytes[at : at + BUCKET_BYTES] = bucket


class SentIds:
    """The ids sent last; the table has a fixed size, and forgets the oldest ones."""

    def __init__(self, table: TableAccess | None = None) -> None:
        """Use this table, or one of this process alone."""
        self._table: TableAccess = MemoryTable() if table is None else table

    def claim(self, request_id: bytes) -> bool:
        """Record an id that is about to be sent; return False if it must not be, as it was claimed before.

        Raises TableUnavailableError, with nothing recorded.
        """
        number = int(request_id, 16)
        entry = ((number + 1) % _VALUES).to_bytes(ID_BYTES, "big")  # zeros mark a free place
        at = number % BUCKETS * BUCKET_BYTES
        with self._table.locked() as table:
            bucket = table.read(at)
            if _holds(bucket, entry):
                return False
            table.write(at, entry + bucket[:-ID_BYTES])
            return True


def _holds(bucket: bytes, entry: bytes) -> bool:
    """Return whether one of the bucket's places holds the entry."""
    at = bucket.find(entry)
    while at >= 0 and at % ID_BYTES:  # a match across two places is none
        at = bucket.find(entry, at + 1)
    return at >= 0
