"""A disk that fails at chosen operations, and that shows the contents of a directory after a power loss.

It behaves as file systems do after a failed sync: the dirty data is lost, though it can still be read, and later syncs
of the same file report success without writing it. A power loss leaves the names as of the directory's last sync.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import BinaryIO

from tealwing.replica.storage.disk import Disk


class LossyDisk(Disk):
    """Disk that counts its operations, makes a range of them fail, and tracks which data is durable."""

    def __init__(self) -> None:
        super().__init__()
        self.operations = 0
        self._first, self._count, self._written = 0, 0, 0.0
        self._durable: dict[int, bytes] = {}  # durable contents by inode
        self._lost: dict[int, list[tuple[int, int]]] = {}  # byte ranges lost in a failed sync, by inode
        self._names: dict[str, int] = {}  # inode by durable name
        self._held: dict[int, int] = {}  # open descriptors by inode, so that no inode is reused

    def fail_at(self, first: int, count: int = 1, written: float = 0.0) -> None:
        """Make `count` operations from `first` on fail; a failing write writes the share `written` of its bytes."""
        self._first, self._count, self._written = first, count, written

    def next_must_fail(self) -> bool:
        """Count one operation and return whether it must fail."""
        self.operations += 1
        return self._first <= self.operations < self._first + self._count

    def write(self, file: BinaryIO, data: bytes) -> None:
        if not self.next_must_fail():
            super().write(file, data)
            return
        file.write(data[: round(len(data) * self._written)])
        file.flush()
        raise OSError(28, "No space left on device")

    def sync(self, file: BinaryIO) -> None:
        inode = os.fstat(file.fileno()).st_ino
        if inode not in self._held:
            self._held[inode] = os.dup(file.fileno())
        file.flush()
        content = Path(file.name).read_bytes()
        before = self._durable.get(inode, b"")
        if self.next_must_fail():
            self._lost.setdefault(inode, []).append((len(before), len(content)))
            raise OSError(5, "Input/output error")
        kept = bytearray(content)
        for begin, end in self._lost.get(inode, []):
            kept[begin:end] = bytes(len(kept[begin:end]))
        self._durable[inode] = bytes(kept)

    def rename(self, source: Path, target: Path) -> None:
        if self.next_must_fail():
            raise OSError(30, "Read-only file system")
        super().rename(source, target)

    def sync_directory(self, folder: Path) -> None:
        if self.next_must_fail():
            raise OSError(5, "Input/output error")
        self._names = {path.name: path.stat().st_ino for path in folder.iterdir()}

    def after_power_loss(self, folder: Path) -> Path:
        """Create a directory with the contents that a power loss would leave."""
        folder.mkdir()
        for name, inode in self._names.items():
            (folder / name).write_bytes(self._durable.get(inode, b""))
        return folder

    def close(self) -> None:
        for descriptor in self._held.values():
            os.close(descriptor)
        self._held.clear()
