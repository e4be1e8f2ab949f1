"""A disk whose n-th operation fails, and what of a folder would be there after a power loss.

It behaves as file systems do after a failed sync: what was dirty is lost, though it can still be read, and later syncs
of the same file report success without it. Names are there after a power loss as of the last sync of their folder.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import BinaryIO

from tealwing.replica.storage.disk import Disk


class LossyDisk(Disk):
    """Counts its operations; from the first that is to fail, so many fail one after the other."""

    def __init__(self) -> None:
        super().__init__()
        self.operations = 0
        self._first, self._count, self._written = 0, 0, 0.0
        self._durable: dict[int, bytes] = {}  # by inode: what a power loss leaves
        self._lost: dict[int, list[tuple[int, int]]] = {}  # by inode: ranges that no later sync writes
        self._names: dict[str, int] = {}  # by name, as of the last sync of the folder: its inode
        self._held: dict[int, int] = {}  # descriptors, so that no inode is used for a second file

    def fail_at(self, first: int, count: int = 1, written: float = 0.0) -> None:
        """Have operations first to first + count - 1 fail; a write after so large a share of its bytes."""
        self._first, self._count, self._written = first, count, written

    def is_failing(self) -> bool:
        """Count one operation; whether it is to fail."""
        self.operations += 1
        return self._first <= self.operations < self._first + self._count

    def write(self, file: BinaryIO, data: bytes) -> None:
        if not self.is_failing():
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
        if self.is_failing():
            self._lost.setdefault(inode, []).append((len(before), len(content)))
            raise OSError(5, "Input/output error")
        kept = bytearray(content)
        for begin, end in self._lost.get(inode, []):
            kept[begin:end] = bytes(len(kept[begin:end]))
        self._durable[inode] = bytes(kept)

    def rename(self, source: Path, target: Path) -> None:
        if self.is_failing():
            raise OSError(30, "Read-only file system")
        super().rename(source, target)

    def sync_directory(self, folder: Path) -> None:
        if self.is_failing():
            raise OSError(5, "Input/output error")
        self._names = {path.name: path.stat().st_ino for path in folder.iterdir()}

    def after_power_loss(self, folder: Path) -> Path:
        """Write what would be left to a folder, which is new."""
        folder.mkdir()
        for name, inode in self._names.items():
            (folder / name).write_bytes(self._durable.get(inode, b""))
        return folder

    def close(self) -> None:
        for descriptor in self._held.values():
            os.close(descriptor)
        self._held.clear()
