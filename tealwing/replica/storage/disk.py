"""Disk operations of the storage layer, in one class that tests can make fail.

The contents of a file are durable once `sync` has returned, and its name once `sync_directory` has returned.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path
from typing import BinaryIO


class Disk:
    """Disk writes, syncs and renames, with fault injection by `inject_fault`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._fault, self._left = "", 0  # the injected fault, and how many operations it still affects
        self.failed = 0  # operations that failed by an injected fault

    def inject_fault(self, fault: str, count: int) -> None:
        """Make the next `count` operations fail with `fsync`, `short` (a partial write) or `full`; `none` ends it."""
        with self._lock:
            self._fault, self._left = ("", 0) if fault == "none" else (fault, count)

    def _take_fault(self, *faults: str) -> str:
        """Return the injected fault and count one operation against it, if it is one of `faults`; otherwise ""."""
        with self._lock:
            if not self._left or self._fault not in faults:
                return ""
            self._left -= 1
            self.failed += 1
            return self._fault

    def write(self, file: BinaryIO, data: bytes) -> None:
        """Write all data and flush the buffer.

        Raises OSError if the write fails; any part of the data may have been written.
        """
        fault = self._take_fault("short", "full")
        if fault == "short":
            file.write(data[: len(data) // 2])
            file.flush()
            raise OSError(5, "Input/output error (injected fault: partial write)")
        if fault == "full":
            raise OSError(28, "No space left on device (injected fault)")
        file.write(data)
        file.flush()

    def sync(self, file: BinaryIO) -> None:
        """Make the contents of a file durable.

        Raises OSError if the sync fails.
        """
        if self._take_fault("fsync"):
            raise OSError(5, "Input/output error (injected fault: failed fsync)")
        os.fdatasync(file.fileno())

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target; durable after `sync_directory`."""
        source.rename(target)

    def sync_directory(self, directory: Path) -> None:
        """Make the names in a directory durable."""
        number = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)
