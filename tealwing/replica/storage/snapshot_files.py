"""The files of snapshots: written beside, synced and renamed; received in pieces; checked by their header."""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
import xxhash

from tealwing.replica.messages import SNAPSHOT_CHUNK_BYTES, Record
from tealwing.replica.raft import SnapshotMeta
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.records import MAX_RECORD_BYTES, StorageError, encode

SNAPSHOT_HEADER = struct.Struct(">4sIQQ")  # mark, length of the description, size of the body, xxh3_64 of both
SNAPSHOT_MAGIC = b"\xa7TWS"


class SnapshotDescription(Record, frozen=True):
    """What a snapshot is of."""

    index: int
    term: int
    members: list[str]
    learners: list[str] = []  # noqa: RUF012 - msgspec copies it; files without it have none


class SnapshotFiles:
    """The snapshots in one member's directory. One thread uses it, but for `write`."""

    def __init__(self, directory: Path, disk: Disk) -> None:
        self.directory, self.disk = directory, disk

    def newest(self) -> SnapshotMeta:
        """The newest that is whole; those before it go."""
        newest = SnapshotMeta()
        for path in sorted(self.directory.glob("snapshot-*.snap"), reverse=True):
            meta = None if newest.index else check_snapshot(path)
            if meta is not None:
                newest = meta
            elif newest.index:
                path.unlink()
            else:
                raise StorageError(f"{path}: a snapshot whose checksum does not match")
        return newest

    def incoming(self, newest: SnapshotMeta) -> tuple[int, int, int]:
        """Index, term and size of a snapshot that was being received."""
        for path in self.directory.glob("incoming-*.part"):
            index, term = (int(word) for word in path.stem.removeprefix("incoming-").split("-"))
            if index > newest.index:
                return index, term, path.stat().st_size
            path.unlink()
        return 0, 0, 0

    def delete_incoming(self) -> None:
        """A snapshot that was being received is taken anew: its last piece may not be on the disk."""
        for path in self.directory.glob("incoming-*.part"):
            path.unlink()

    def write(
        self, index: int, term: int, members: tuple[str, ...], body: Iterable[bytes], learners: tuple[str, ...] = ()
    ) -> SnapshotMeta:
        """Write a snapshot of our own; the body in pieces, so that it is never whole in memory. OSError if it fails.

        May run on another thread than the rest; `Storage.adopt_snapshot` then makes it the newest.
        """
        path = self.path(index, term)
        part = path.with_suffix(".tmp")
        names = (list(members), list(learners)) if learners else (list(members),)  # none: as it always was
        described = encode((index, term, *names))
        digest, size = xxhash.xxh3_64(described), 0
        try:
            with part.open("wb") as file:
                file.write(SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(described), 0, 0) + described)
                for piece in body:
                    self.disk.write(file, piece)
                    digest.update(piece)
                    size += len(piece)
                file.seek(0)
                self.disk.write(file, SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(described), size, digest.intdigest()))
                self.disk.sync(file)
            self.disk.rename(part, path)
            self.disk.sync_directory(self.directory)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
        return SnapshotMeta(index, term, members, path.stat().st_size, learners)

    def delete_others(self, meta: SnapshotMeta) -> None:
        """Delete all snapshots but one, as far as that goes."""
        keep = self.path(meta.index, meta.term)
        for path in self.directory.glob("snapshot-*.snap"):
            if path != keep:
                with contextlib.suppress(OSError):  # the next start drops it
                    path.unlink()

    def read_chunk(self, meta: SnapshotMeta, offset: int) -> bytes | None:
        """A piece of a snapshot as it is on the disk, header and all; None where it is no more."""
        try:
            with self.path(meta.index, meta.term).open("rb") as file:
                file.seek(offset)
                return file.read(SNAPSHOT_CHUNK_BYTES)
        except FileNotFoundError:
            return None

    def write_chunk(self, index: int, term: int, offset: int, data: bytes) -> None:
        """A piece of a snapshot that is being received. OSError if it fails."""
        path = self.directory / f"incoming-{index}-{term}.part"
        for other in self.directory.glob("incoming-*.part"):
            if other != path:
                other.unlink()
        with path.open("r+b" if offset and path.exists() else "wb") as file:
            file.truncate(offset)
            file.seek(offset)
            self.disk.write(file, data)
            self.disk.sync(file)

    def body(self, meta: SnapshotMeta) -> Iterator[bytes]:
        """The body of a snapshot, in pieces."""
        with self.path(meta.index, meta.term).open("rb") as file:
            _, length, _, _ = SNAPSHOT_HEADER.unpack(file.read(SNAPSHOT_HEADER.size))
            file.seek(length, os.SEEK_CUR)
            while piece := file.read(SNAPSHOT_CHUNK_BYTES):
                yield piece

    def path(self, index: int, term: int) -> Path:
        """Return where the snapshot of an index and a term is."""
        return self.directory / f"snapshot-{index:016d}-{term:012d}.snap"


def check_snapshot(path: Path) -> SnapshotMeta | None:
    """What a snapshot is of; None where it is not whole."""
    try:
        with path.open("rb") as file:
            head = file.read(SNAPSHOT_HEADER.size)
            if len(head) < SNAPSHOT_HEADER.size:
                return None
            mark, length, size, digest = SNAPSHOT_HEADER.unpack(head)
            if mark != SNAPSHOT_MAGIC or length > MAX_RECORD_BYTES:
                return None
            described = file.read(length)
            found, got = xxhash.xxh3_64(described), 0
            while piece := file.read(SNAPSHOT_CHUNK_BYTES):
                found.update(piece)
                got += len(piece)
    except FileNotFoundError:
        return None
    if got != size or found.intdigest() != digest:
        return None
    try:
        what = msgspec.msgpack.decode(described, type=SnapshotDescription)
    except msgspec.DecodeError:
        return None
    return SnapshotMeta(what.index, what.term, tuple(what.members), path.stat().st_size, tuple(what.learners))
