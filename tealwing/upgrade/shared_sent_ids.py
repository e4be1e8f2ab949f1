"""The table of sent request ids that the processes of one gateway share: a file in their directory.

The kernel releases the lock of a process that ends. One that is stopped while it holds the lock, for some
microseconds of each claim, delays the others by LOCK_LIMIT at most. The file is opened for each claim: a descriptor
that stayed open would be missing elsewhere at the smallest limit.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import threading
import time
from collections.abc import Iterator
from pathlib import Path

from tealwing.gateway.sent_ids import BUCKET_BYTES, TABLE_BYTES, SentIds, Table, TableUnavailableError

FILE_NAME = "sent-ids"
PRIVATE_FILE = 0o600  # permissions
LOCK_LIMIT = 0.05  # s that a claim waits for another process
LOCK_RETRY_INTERVAL = 0.001  # s


class _FileTable:
    """The open file."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def read(self, at: int) -> bytes:
        return os.pread(self._descriptor, BUCKET_BYTES, at)

    def write(self, at: int, bucket: bytes) -> None:
        os.pwrite(self._descriptor, bucket, at)


class SharedTable:
    """Opens and locks the file for one access at a time of this process."""

    def __init__(self, path: Path) -> None:
        """Make the file if it is missing. Raises OSError."""
        self._path = path
        self._threads = threading.Lock()  # a record lock is the process's, and ends as it closes the file anywhere
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, PRIVATE_FILE)
        try:
            os.posix_fallocate(descriptor, 0, TABLE_BYTES)  # later writes can't fail for want of space
        finally:
            os.close(descriptor)

    @contextlib.contextmanager
    def locked(self) -> Iterator[Table]:
        """Lock the table among threads and processes, which the close of the file ends."""
        with self._threads:
            try:
                descriptor = os.open(self._path, os.O_RDWR | os.O_NOFOLLOW)
            except OSError as error:
                raise TableUnavailableError(f"{self._path}: {error.strerror}") from None
            try:
                self._lock(descriptor)
                yield _FileTable(descriptor)
            except OSError as error:
                raise TableUnavailableError(f"{self._path}: {error.strerror}") from None
            finally:
                os.close(descriptor)

    def _lock(self, descriptor: int) -> None:
        until = time.monotonic() + LOCK_LIMIT
        while True:
            try:
                fcntl.lockf(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except OSError as error:  # mostly as another process holds it
                if time.monotonic() > until:
                    raise TableUnavailableError(
                        f"{self._path}: locked for {LOCK_LIMIT:g} s: {error.strerror}"
                    ) from None
            time.sleep(LOCK_RETRY_INTERVAL)


def open_shared(directory: Path) -> SentIds:
    """Return the ids that the processes of this directory share. Raises OSError."""
    return SentIds(SharedTable(directory / FILE_NAME))
