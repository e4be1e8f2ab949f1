"""The few things that storage asks of a disk, in one place: so that the laboratory can have them fail.

A file that was written is on the disk once `sync` of it has returned, and its name once `sync_folder` has.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path
from typing import BinaryIO


class Disk:
    """Writes and syncs; `fail` has the next of them fail as a disk might."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._fault, self._left = "", 0
        self.failed = 0

    def inject_fault(self, fault: str, count: int) -> None:
        """The next so many operations fail: `fsync`, `short` (a write that is cut) or `full`; `none` ends it."""
        with self._lock:
            self._fault, self._left = ("", 0) if fault == "none" else (fault, count)

    def _take_fault(self, *faults: str) -> str:
        with self._lock:
            if not self._left or self._fault not in faults:
                return ""
            self._left -= 1
            self.failed += 1
            return self._fault

    def write(self, file: BinaryIO, data: bytes) -> None:
        """Write all of it, or raise OSError with any part of it written."""
        fault = self._take_fault("short", "full")
        if fault == "short":
            file.write(data[: len(data) // 2])
            file.flush()
            raise OSError(5, "Input/output error (a write cut short by the laboratory)")
        if fault == "full":
            raise OSError(28, "No space left on device (the laboratory)")
        file.write(data)
        file.flush()

    def sync(self, file: BinaryIO) -> None:
        """Have what was written on the disk."""
        if self._take_fault("fsync"):
            raise OSError(5, "Input/output error (an fsync that failed by the laboratory)")
        os.fdatasync(file.fileno())

    def rename(self, source: Path, target: Path) -> None:
        """Give a file another name, whose former file goes; on the disk after `sync_folder`."""
        source.rename(target)

    def sync_directory(self, directory: Path) -> None:
        """Have the names in a folder on the disk."""
        number = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)
