"""The log and the snapshots of one member on its disk.

The log is files of records, each with a mark, its length and a checksum; a record is on the disk before anything that
rests on it is said. Of entries with one index the later record counts, and cuts all that came after that index. A
record at the end that is not whole was being written when the power went: it is cut at the start. A bad record with
good ones after it is no torn tail but a damaged disk, and the start ends with that: cutting there would forget what
was promised.

Snapshots are written beside, synced, renamed, and their folder synced; the name says index and term. The first bytes
are a header with the size and a checksum of all that follows.

After a failed operation nothing more is written until `reopen` has read the folder anew: see durability.py.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

import msgspec
import xxhash

from tealwing.replica.messages import SNAPSHOT_CHUNK_BYTES, Entry, Record
from tealwing.replica.raft import SnapshotMeta
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.durability import Acknowledged

RECORD_MAGIC = b"\xa7TW1"
RECORD_HEADER = struct.Struct(">4sIQ")  # mark, length, xxh3_64 of the payload
MAX_RECORD_BYTES = 16 << 20  # bytes of a record: an entry holds one command
SEGMENT_BYTES = 8 << 20  # bytes after which the log goes on in a new file
SNAPSHOT_HEADER = struct.Struct(">4sIQQ")  # mark, length of the description, size of the body, xxh3_64 of both
SNAPSHOT_MAGIC = b"\xa7TWS"
WRITE_BATCH_BYTES = 1 << 20  # bytes of records that are encoded at once where the whole log is written


class StorageError(RuntimeError):
    """A disk whose content can't be trusted; the text says what and where."""


class AcknowledgedDataLostError(StorageError):
    """A folder that no longer has what this member has acknowledged; the text says what an operator can do."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"{folder}: it lacks what this member has acknowledged, and `stale` is 0; give it back its folder as it"
            " was, or remove the member and add it under another name"
        )


class HardState(Record, tag="h", frozen=True):
    """Term and vote, and how far the log is known to be committed: that may lag, and is never too much."""

    term: int
    vote: str
    commit: int = 0


class EntryRecord(Record, tag="e", frozen=True):
    """One entry."""

    entry: Entry


class SnapshotInstalled(Record, tag="s", frozen=True):
    """A snapshot of another comes next: if it is there, entries after it that came before this are no more."""

    index: int
    term: int


class SnapshotDescription(Record, frozen=True):
    """What a snapshot is of."""

    index: int
    term: int
    members: list[str]
    learners: list[str] = []  # noqa: RUF012 - msgspec copies it; files without it have none


_encode = msgspec.msgpack.Encoder().encode
LogRecord = HardState | EntryRecord | SnapshotInstalled
_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


@dataclass(slots=True)
class StoredState:
    """What a start finds."""

    term: int = 0
    vote: str = ""
    commit: int = 0
    snapshot: SnapshotMeta = field(default_factory=SnapshotMeta)
    log: list[Entry] = field(default_factory=list)
    truncated_bytes: int = 0  # bytes of a torn tail that were cut
    fresh: bool = True  # nothing was there
    incoming: tuple[int, int, int] = (0, 0, 0)
    lost_acknowledged: bool = False  # a folder that was read anew lacks what was acknowledged


class Storage:
    """The folder of one member. One thread uses it."""

    def __init__(self, directory: Path, disk: Disk | None = None) -> None:
        self.directory, self.disk = directory, disk or Disk()
        self._file: BinaryIO | None = None
        self._segments: dict[Path, int] = {}  # each file with the highest index that it may hold
        self._path_written: Path | None = None  # the file that is written, or was to be begun
        self._size = 0  # bytes of it that are known to be on the disk
        self._number = 0
        self._last = self._last_term = 0  # highest index written, and the term of its entry
        self._hard_state = HardState(0, "")
        self.snapshot = SnapshotMeta()
        self.broken = ""  # why nothing more is written until the folder is read anew

    # The start

    def open(self) -> StoredState:
        """Read all; cut a torn tail. StorageError where something else is wrong."""
        self.directory.mkdir(parents=True, exist_ok=True)
        found = self._load()
        self._roll()
        return found

    def reopen(self, allow_loss: bool) -> StoredState:
        """Read the folder anew after a failure, and have all of it on the disk once more; then it may be written again.

        Only what is known to be on the disk is read of the file that was written. That file is replaced by one with
        the whole log, as the pages of the old one may be lost though a later sync of it reports success.
        may_forget: a folder that lacks what was acknowledged is taken too, for a core that is unsure after a start.
        OSError or StorageError: not yet, it may be tried again.
        """
        self.close()
        acknowledged = self.acknowledged
        self._delete_incoming()
        found = self._load(self._path_written)
        found.lost_acknowledged = not acknowledged.is_covered_by(found)
        if found.lost_acknowledged and not allow_loss:
            self._restore_acknowledged(acknowledged)
            raise AcknowledgedDataLostError(self.directory)
        self._replace_log(found)
        self.broken = ""
        return found

    @property
    def acknowledged(self) -> Acknowledged:
        """What others may have been told that the disk has."""
        return Acknowledged(self._hard_state.term, self._hard_state.vote, self._last, self._last_term)

    def _restore_acknowledged(self, acknowledged: Acknowledged) -> None:
        """Keep what was acknowledged for the next try: the folder that was read had less."""
        self._hard_state = HardState(acknowledged.term, acknowledged.vote, self._hard_state.commit)
        self._last, self._last_term = acknowledged.last_index, acknowledged.last_term

    def _delete_incoming(self) -> None:
        """A snapshot that was being received is taken anew: its last piece may not be on the disk."""
        for path in self.directory.glob("incoming-*.part"):
            path.unlink()

    def _replace_log(self, found: StoredState) -> None:
        """Have term, vote and all entries in one new file, which takes the place of the one that was written last."""
        path = self._path_written or self._next_path()
        part = path.with_suffix(".tmp")
        size = 0
        with part.open("wb") as file:
            for data in _batches([self._hard_state, *map(EntryRecord, found.log)]):
                self.disk.write(file, data)
                size += len(data)
            self.disk.sync(file)
        self.disk.rename(part, path)
        self.disk.sync_directory(self.directory)
        self._file, self._path_written, self._size = path.open("ab"), path, size
        self._segments[path] = self._last

    def _load(self, unconfirmed_file: Path | None = None) -> StoredState:
        """What the folder has; of unsure_file only what is known to be on the disk."""
        found = StoredState()
        for part in self.directory.glob("*.tmp"):
            part.unlink()
        self._segments = {}
        self.snapshot = found.snapshot = self._newest_snapshot()
        entries: dict[int, Entry] = {}
        last = 0
        paths = sorted(self.directory.glob("log-*.wal"))
        found.fresh = not paths and not found.snapshot.index
        for place, path in enumerate(paths):
            highest = 0
            limit = self._size if path == unconfirmed_file else None
            for record in self._records(path, place == len(paths) - 1, found, limit):
                if isinstance(record, HardState):
                    found.term, found.vote, found.commit = record.term, record.vote, record.commit
                    self._hard_state = record
                    continue
                if isinstance(record, SnapshotInstalled):
                    if found.snapshot.index >= record.index:
                        entries = {i: entry for i, entry in entries.items() if i <= record.index}
                        last = min(last, record.index)
                    continue
                entry = record.entry
                for index in range(entry.index + 1, last + 1):
                    entries.pop(index, None)  # what a new leader's entries took the place of
                entries[entry.index], last = entry, entry.index
                highest = max(highest, entry.index)
            self._segments[path] = highest
            self._number = max(self._number, int(path.stem.removeprefix("log-")))
        index = found.snapshot.index + 1
        while index in entries:
            found.log.append(entries[index])
            index += 1
        beyond = [i for i in entries if i >= index]
        if beyond:
            raise StorageError(f"{self.directory}: the log has entry {min(beyond)} and not entry {index}")
        self._last = index - 1
        self._last_term = found.log[-1].term if found.log else found.snapshot.term
        found.incoming = self._incoming_state()
        return found

    def _records(self, path: Path, last: bool, found: StoredState, limit: int | None = None) -> Iterator[LogRecord]:
        """The records of a file; a limit is how many of its bytes are known to be whole, and no tail of them is cut."""
        data = path.read_bytes()[:limit]
        at = 0
        while at < len(data):
            payload = _payload_at(data, at)
            if payload is None:
                if not last or limit is not None or _has_later_record(data, at + 1):
                    raise StorageError(f"{path}: a damaged record at byte {at}, with good ones after it")
                found.truncated_bytes = len(data) - at
                with path.open("r+b") as file:
                    file.truncate(at)
                    self.disk.sync(file)
                return
            try:
                yield _decoder.decode(payload)
            except msgspec.DecodeError as error:
                raise StorageError(f"{path}: a record at byte {at} that is none: {error}") from None
            at += RECORD_HEADER.size + len(payload)

    def _newest_snapshot(self) -> SnapshotMeta:
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

    def _incoming_state(self) -> tuple[int, int, int]:
        """Index, term and size of a snapshot that was being received."""
        for path in self.directory.glob("incoming-*.part"):
            index, term = (int(word) for word in path.stem.removeprefix("incoming-").split("-"))
            if index > self.snapshot.index:
                return index, term, path.stat().st_size
            path.unlink()
        return 0, 0, 0

    # The log

    @property
    def commit(self) -> int:
        """How far the disk knows the log to be committed."""
        return self._hard_state.commit

    def save(self, hard: tuple[int, str] | None, entries: Iterable[Entry], commit: int = 0) -> None:
        """Have term and vote, and entries, on the disk when this returns. OSError: nobody knows, `reopen` before more.

        commit goes with what is written; it alone is written where neither of the others is given.
        """
        if self.broken:
            raise OSError(5, self.broken)
        records: list[LogRecord] = []
        commit = max(commit, self._hard_state.commit)
        if hard is not None or commit > self._hard_state.commit:
            records.append(HardState(*(hard or (self._hard_state.term, self._hard_state.vote)), commit))
        records += [EntryRecord(entry) for entry in entries]
        if not records:
            return
        self._append(records)
        assert self._path_written is not None
        for record in records:
            if isinstance(record, HardState):
                self._hard_state = record
            elif isinstance(record, EntryRecord):
                self._last, self._last_term = record.entry.index, record.entry.term
                self._segments[self._path_written] = max(self._segments[self._path_written], self._last)
        if self._size >= SEGMENT_BYTES:
            self._roll()

    def _append(self, records: Iterable[LogRecord]) -> None:
        """Have records on the disk when this returns. OSError: nobody knows."""
        data = b"".join(_frame(_encode(record)) for record in records)
        assert self._file is not None
        try:
            self.disk.write(self._file, data)
            self.disk.sync(self._file)
        except OSError as error:
            self.broken = f"a write failed, and what the disk has is not known: {error}"
            raise
        self._size += len(data)

    def _next_path(self) -> Path:
        self._number += 1
        return self.directory / f"log-{self._number:012d}.wal"

    def _roll(self) -> None:
        """Go on in a new file, which begins with term and vote: those of older files go with them."""
        self.close()
        path = self._next_path()
        self._path_written, self._size = path, 0
        try:
            self._file = path.open("ab")
            self._segments[path] = self._last
            self._append([self._hard_state])
            self.disk.sync_directory(self.directory)
        except OSError as error:
            self.broken = f"a new log file could not be begun: {error}"
            raise

    # Snapshots

    def write_snapshot(
        self, index: int, term: int, members: tuple[str, ...], body: Iterable[bytes], learners: tuple[str, ...] = ()
    ) -> SnapshotMeta:
        """Write a snapshot of our own; the body in pieces, so that it is never whole in memory. OSError if it fails.

        May run on another thread than the rest; `adopt` then makes it the newest.
        """
        path = self._snapshot_path(index, term)
        part = path.with_suffix(".tmp")
        names = (list(members), list(learners)) if learners else (list(members),)  # none: as it always was
        described = _encode((index, term, *names))
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

    def adopt_snapshot(self, meta: SnapshotMeta) -> None:
        """A snapshot is the newest: drop older ones, and log files that hold nothing after it, as far as they go."""
        self.snapshot = meta
        keep = self._snapshot_path(meta.index, meta.term)
        for path in self.directory.glob("snapshot-*.snap"):
            if path != keep:
                with contextlib.suppress(OSError):  # the next start drops it
                    path.unlink()
        for path, highest in list(self._segments.items()):
            if path != self._path_written and highest <= meta.index:
                with contextlib.suppress(OSError):
                    path.unlink()
                del self._segments[path]

    def read_chunk(self, meta: SnapshotMeta, offset: int) -> bytes | None:
        """A piece of a snapshot as it is on the disk, header and all; None where it is no more."""
        try:
            with self._snapshot_path(meta.index, meta.term).open("rb") as file:
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

    def install_snapshot(self, index: int, term: int) -> SnapshotMeta | None:
        """The received snapshot is whole: take it, and forget the log before it. None where its checksum is wrong."""
        part = self.directory / f"incoming-{index}-{term}.part"
        meta = check_snapshot(part)
        if meta is None or (meta.index, meta.term) != (index, term):
            part.unlink()
            return None
        self._append([SnapshotInstalled(index, term)])
        self.disk.rename(part, self._snapshot_path(index, term))
        self.disk.sync_directory(self.directory)
        if index >= self._last:
            self._last, self._last_term = index, term
        self.adopt_snapshot(meta)
        return meta

    def snapshot_body(self, meta: SnapshotMeta) -> Iterator[bytes]:
        """The body of a snapshot, in pieces."""
        with self._snapshot_path(meta.index, meta.term).open("rb") as file:
            _, length, _, _ = SNAPSHOT_HEADER.unpack(file.read(SNAPSHOT_HEADER.size))
            file.seek(length, os.SEEK_CUR)
            while piece := file.read(SNAPSHOT_CHUNK_BYTES):
                yield piece

    def _snapshot_path(self, index: int, term: int) -> Path:
        return self.directory / f"snapshot-{index:016d}-{term:012d}.snap"

    def close(self) -> None:
        """Use it no more."""
        if self._file is not None:
            self._file.close()
            self._file = None


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


def verify(directory: Path) -> list[str]:
    """What is wrong with a folder, without changing it; a torn tail is told and is no fault."""
    problems = []
    for path in sorted(directory.glob("snapshot-*.snap")):
        if check_snapshot(path) is None:
            problems.append(f"{path.name}: damaged")
    paths = sorted(directory.glob("log-*.wal"))
    for place, path in enumerate(paths):
        data, at = path.read_bytes(), 0
        while at < len(data):
            payload = _payload_at(data, at)
            if payload is None:
                torn = place == len(paths) - 1 and not _has_later_record(data, at + 1)
                problems.append(f"{path.name}: {'a torn tail' if torn else 'damaged'} at byte {at} of {len(data)}")
                break
            at += RECORD_HEADER.size + len(payload)
    return problems


def _batches(records: Iterable[LogRecord]) -> Iterator[bytes]:
    """Framed records, in pieces of about PIECE bytes."""
    piece = bytearray()
    for record in records:
        piece += _frame(_encode(record))
        if len(piece) >= WRITE_BATCH_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


def _frame(payload: bytes) -> bytes:
    return RECORD_HEADER.pack(RECORD_MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def _payload_at(data: bytes, at: int) -> bytes | None:
    """The payload of the record at a place; None where none is whole there."""
    if len(data) - at < RECORD_HEADER.size:
        return None
    mark, length, digest = RECORD_HEADER.unpack_from(data, at)
    if mark != RECORD_MAGIC or length > MAX_RECORD_BYTES or len(data) - at - RECORD_HEADER.size < length:
        return None
    payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
    return payload if xxhash.xxh3_64_intdigest(payload) == digest else None


def _has_later_record(data: bytes, at: int) -> bool:
    """Whether a whole record begins anywhere from a place on."""
    while (at := data.find(RECORD_MAGIC, at)) >= 0:
        if _payload_at(data, at) is not None:
            return True
        at += 1
    return False
