"""The number of the version that this gateway has closed for, on its disk before anybody is told.

After a start it says up to which change the gateway must know the outcome before it decides anything. It is never
erased, only put in the place of by later ones.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

import xxhash

from tealwing.replica.storage.disk import Disk

NAME = "rules-mark"  # in the folder of the replicated log: who loses one loses both
LARGEST = 200  # bytes of the file


class MarkDamaged(RuntimeError):
    """The file is there and is not what was written."""

    remedy = (
        "nothing is to be done if the fleet's quorum is there: the gateway holds all requests until the log has told"
        " which changes it may have closed for, and then writes the file anew"
    )


class Mark:
    """The file. One thread uses it at a time."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        self._folder, self._path, self._disk = folder, folder / NAME, disk
        self.number = 0

    def read(self) -> int:
        """The number; 0 where none was ever written. MarkDamaged where it can't be trusted, OSError as it comes."""
        try:
            with self._path.open("rb") as file:
                data = file.read(LARGEST)
        except FileNotFoundError:
            return 0
        head, _, digest = data.strip().rpartition(b" ")
        word, _, number = head.partition(b" ")
        if word != b"closed-for" or not number.isdigit() or digest != _digest(head):
            raise MarkDamaged(f"{self._path}: damaged; {MarkDamaged.remedy}")
        self.number = int(number)
        return self.number

    def write(self, number: int) -> None:
        """Have the number on the disk when this returns. OSError: it is not, or nobody knows; it may be tried again."""
        head = b"closed-for %d" % number
        part = self._path.with_suffix(".part")
        try:
            with part.open("wb") as file:
                self._disk.write(file, head + b" " + _digest(head) + b"\n")
                self._disk.sync(file)
            self._disk.rename(part, self._path)
            self._disk.sync_directory(self._folder)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
        self.number = number


def _digest(head: bytes) -> bytes:
    return xxhash.xxh3_64_hexdigest(head).encode()
