"""The persisted marker: the number of the version that this gateway has closed for, on disk before that is reported.

After a start the gateway must know the outcome of that version before it decides anything. The marker is never deleted,
only replaced by later ones.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

import xxhash

from tealwing.replica.storage.disk import Disk

FILE_NAME = "rules-mark"  # in the folder of the replicated log, so that both are lost together
MAX_FILE_BYTES = 200  # more than a marker takes


class MarkerDamagedError(RuntimeError):
    """The marker's file exists, and its content is not what was written."""

    remedy = (
        "no action is needed while the fleet has a quorum: the gateway holds all requests until the log shows"
        " which changes it may have closed for, then rewrites the file"
    )

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: damaged; {self.remedy}")
        self.path = path


class PersistedMarker:
    """The marker's file; not thread-safe."""

    def __init__(self, directory: Path, disk: Disk) -> None:
        self._directory, self._path, self._disk = directory, directory / FILE_NAME, disk
        self.number = 0

    def read(self) -> int:
        """Return the number on disk; 0 if none was ever written. Raises MarkerDamagedError or OSError."""
        try:
            with self._path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return 0
        head, _, digest = data.strip().rpartition(b" ")
        keyword, _, number = head.partition(b" ")
        if keyword != b"closed-for" or not number.isdigit() or digest != _digest(head):
            raise MarkerDamagedError(self._path)
        self.number = int(number)
        return self.number

    def write(self, number: int) -> None:
        """Write the number durably. After an OSError the number may or may not be on disk, and a retry is safe."""
        head = b"closed-for %d" % number
        part = self._path.with_suffix(".part")
        try:
            with part.open("wb") as file:
                self._disk.write(file, head + b" " + _digest(head) + b"\n")
                self._disk.sync(file)
            self._disk.rename(part, self._path)
            self._disk.sync_directory(self._directory)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
        self.number = number


def _digest(head: bytes) -> bytes:
    return xxhash.xxh3_64_hexdigest(head).encode()
