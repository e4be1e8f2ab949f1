"""Snapshot files: atomic creation, chunked transfer and checksum verification."""

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

SNAPSHOT_HEADER = struct.Struct(">4sIQQ")  # magic, description length, body size, xxh3_64 of both
SNAPSHOT_MAGIC = b"\xa7TWS"


class SnapshotDescription(Record, frozen=True):
    """Metadata of a snapshot, stored before its body."""

    index: int
    term: int
    members: list[str]
    learners: list[str] = []  # noqa: RUF012 - msgspec copies it; absent in files without learners


class SnapshotFiles:
    """Snapshot files in the directory of one member; single-threaded, except for `write`."""

    def __init__(self, directory: Path, disk: Disk) -> None:
        self.directory, self.disk = directory, disk

    def newest(self) -> SnapshotMeta:
        """Return the newest snapshot and delete older ones.

        Raises StorageError if the newest snapshot is damaged.
        """
        newest = SnapshotMeta()
        for path in sorted(self.directory.glob("snapshot-*.snap"), reverse=True):
            meta = None if newest.index else check_snapshot(path)
            if meta is not None:
                newest = meta
            elif newest.index:
                path.unlink()
            else:
                raise StorageError(f"{path}: the newest snapshot is damaged: its checksum does not match its contents")
        return newest

    def incoming(self, newest: SnapshotMeta) -> tuple[int, int, int]:
        """Return index, term and bytes so far of a partly received snapshot, or zeros if none; delete outdated ones."""
        for path in self.directory.glob("incoming-*.part"):
            index, term = (int(part) for part in path.stem.removeprefix("incoming-").split("-"))
            if index > newest.index:
                return index, term, path.stat().st_size
            path.unlink()
        return 0, 0, 0

    def delete_incoming(self) -> None:
        """Delete partly received snapshots, as their last chunk may not be durable."""
        for path in self.directory.glob("incoming-*.part"):
            path.unlink()

    def write(
        self, index: int, term: int, members: tuple[str, ...], body: Iterable[bytes], learners: tuple[str, ...] = ()
    ) -> SnapshotMeta:
        """Write a local snapshot and return its metadata.

        The body is streamed in pieces to bound memory. This may run on another thread; `Storage.adopt_snapshot` then
        makes it the newest. Raises OSError if the write fails.
        """
        path = self.path(index, term)
        part = path.with_suffix(".tmp")
        names = (list(members), list(learners)) if learners else (list(members),)  # without learners as in older files
        description = encode((index, term, *names))
        hasher, size = xxhash.xxh3_64(description), 0
        try:
            with part.open("wb") as file:
                file.write(SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(description), 0, 0) + description)
                for piece in body:
                    self.disk.write(file, piece)
                    hasher.update(piece)
                    size += len(piece)
                file.seek(0)
                self.disk.write(file, SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(description), size, hasher.intdigest()))
                self.disk.sync(file)
            self.disk.rename(part, path)
            self.disk.sync_directory(self.directory)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
        return SnapshotMeta(index, term, members, path.stat().st_size, learners)

    def delete_others(self, meta: SnapshotMeta) -> None:
        """Delete all snapshots except the given one, ignoring errors."""
        keep = self.path(meta.index, meta.term)
        for path in self.directory.glob("snapshot-*.snap"):
            if path != keep:
                with contextlib.suppress(OSError):  # it is deleted at the next start
                    path.unlink()

    def read_chunk(self, meta: SnapshotMeta, offset: int) -> bytes | None:
        """Return a chunk of a snapshot file, header included, or None if the file no longer exists."""
        try:
            with self.path(meta.index, meta.term).open("rb") as file:
                file.seek(offset)
                return file.read(SNAPSHOT_CHUNK_BYTES)
        except FileNotFoundError:
            return None

    def write_chunk(self, index: int, term: int, offset: int, data: bytes) -> None:
        """Write and sync a chunk of a received snapshot at a byte offset.

        Raises OSError if the write fails.
        """
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
        """Yield the body of a snapshot in chunks."""
        with self.path(meta.index, meta.term).open("rb") as file:
            _, length, _, _ = SNAPSHOT_HEADER.unpack(file.read(SNAPSHOT_HEADER.size))
            file.seek(length, os.SEEK_CUR)
            while piece := file.read(SNAPSHOT_CHUNK_BYTES):
                yield piece

    def path(self, index: int, term: int) -> Path:
        """Return the path of the snapshot with an index and a term."""
        return self.directory / f"snapshot-{index:016d}-{term:012d}.snap"


def check_snapshot(path: Path) -> SnapshotMeta | None:
    """Return the metadata of a snapshot file, or None if it is missing, incomplete or damaged."""
    try:
        with path.open("rb") as file:
            head = file.read(SNAPSHOT_HEADER.size)
            if len(head) < SNAPSHOT_HEADER.size:
                return None
            magic, length, size, digest = SNAPSHOT_HEADER.unpack(head)
            if magic != SNAPSHOT_MAGIC or length > MAX_RECORD_BYTES:
                return None
            encoded = file.read(length)
            hasher, read = xxhash.xxh3_64(encoded), 0
            while piece := file.read(SNAPSHOT_CHUNK_BYTES):
                hasher.update(piece)
                read += len(piece)
    except FileNotFoundError:
        return None
    if read != size or hasher.intdigest() != digest:
        return None
    try:
        description = msgspec.msgpack.decode(encoded, type=SnapshotDescription)
    except msgspec.DecodeError:
        return None
    return SnapshotMeta(
        description.index,
        description.term,
        tuple(description.members),
        path.stat().st_size,
        tuple(description.learners),
    )
