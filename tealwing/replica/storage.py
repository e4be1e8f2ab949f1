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

from tealwing.replica.disk import Disk
from tealwing.replica.durability import Acknowledged
from tealwing.replica.messages import CHUNK, Entry, Record
from tealwing.replica.raft import Meta

MARK = b"\xa7TW1"
HEAD = struct.Struct(">4sIQ")  # mark, length, xxh3_64 of the payload
LONGEST = 16 << 20  # bytes of a record: an entry holds one command
SEGMENT = 8 << 20  # bytes after which the log goes on in a new file
SNAP_HEAD = struct.Struct(">4sIQQ")  # mark, length of the description, size of the body, xxh3_64 of both
SNAP_MARK = b"\xa7TWS"
PIECE = 1 << 20  # bytes of records that are encoded at once where the whole log is written


class StorageError(RuntimeError):
    """A disk whose content can't be trusted; the text says what and where."""


class FolderForgot(StorageError):
    """A folder that no longer has what this member has acknowledged; the text says what an operator can do."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"{folder}: it lacks what this member has acknowledged, and `stale` is 0; give it back its folder as it"
            " was, or remove the member and add it under another name"
        )


class Hard(Record, tag="h", frozen=True):
    """Term and vote, and how far the log is known to be committed: that may lag, and is never too much."""

    term: int
    vote: str
    commit: int = 0


class Stored(Record, tag="e", frozen=True):
    """One entry."""

    entry: Entry


class Installed(Record, tag="s", frozen=True):
    """A snapshot of another comes next: if it is there, entries after it that came before this are no more."""

    index: int
    term: int


class Described(Record, frozen=True):
    """What a snapshot is of."""

    index: int
    term: int
    members: list[str]
    learners: list[str] = []  # noqa: RUF012 - msgspec copies it; files without it have none


_encode = msgspec.msgpack.Encoder().encode
Written = Hard | Stored | Installed
_decoder: msgspec.msgpack.Decoder[Written] = msgspec.msgpack.Decoder(Written)


@dataclass(slots=True)
class Found:
    """What a start finds."""

    term: int = 0
    vote: str = ""
    commit: int = 0
    snapshot: Meta = field(default_factory=Meta)
    log: list[Entry] = field(default_factory=list)
    cut: int = 0  # bytes of a torn tail that were cut
    fresh: bool = True  # nothing was there
    incoming: tuple[int, int, int] = (0, 0, 0)
    forgot: bool = False  # a folder that was read anew lacks what was acknowledged


class Storage:
    """The folder of one member. One thread uses it."""

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder, self.disk = folder, disk or Disk()
        self._file: BinaryIO | None = None
        self._segments: dict[Path, int] = {}  # each file with the highest index that it may hold
        self._path_written: Path | None = None  # the file that is written, or was to be begun
        self._size = 0  # bytes of it that are known to be on the disk
        self._number = 0
        self._last = self._last_term = 0  # highest index written, and the term of its entry
        self._hard = Hard(0, "")
        self.snapshot = Meta()
        self.broken = ""  # why nothing more is written until the folder is read anew

    # The start

    def open(self) -> Found:
        """Read all; cut a torn tail. StorageError where something else is wrong."""
        self.folder.mkdir(parents=True, exist_ok=True)
        found = self._read()
        self._roll()
        return found

    def reopen(self, may_forget: bool) -> Found:
        """Read the folder anew after a failure, and have all of it on the disk once more; then it may be written again.

        Only what is known to be on the disk is read of the file that was written. That file is replaced by one with
        the whole log, as the pages of the old one may be lost though a later sync of it reports success.
        may_forget: a folder that lacks what was acknowledged is taken too, for a core that is unsure after a start.
        OSError or StorageError: not yet, it may be tried again.
        """
        self.close()
        acknowledged = self.acknowledged
        self._drop_incoming()
        found = self._read(self._path_written)
        found.forgot = not acknowledged.is_held_by(found)
        if found.forgot and not may_forget:
            self._remember(acknowledged)
            raise FolderForgot(self.folder)
        self._replace_log(found)
        self.broken = ""
        return found

    @property
    def acknowledged(self) -> Acknowledged:
        """What others may have been told that the disk has."""
        return Acknowledged(self._hard.term, self._hard.vote, self._last, self._last_term)

    def _remember(self, acknowledged: Acknowledged) -> None:
        """Keep what was acknowledged for the next try: the folder that was read had less."""
        self._hard = Hard(acknowledged.term, acknowledged.vote, self._hard.commit)
        self._last, self._last_term = acknowledged.last_index, acknowledged.last_term

    def _drop_incoming(self) -> None:
        """A snapshot that was being received is taken anew: its last piece may not be on the disk."""
        for path in self.folder.glob("incoming-*.part"):
            path.unlink()

    def _replace_log(self, found: Found) -> None:
        """Have term, vote and all entries in one new file, which takes the place of the one that was written last."""
        path = self._path_written or self._next_path()
        part = path.with_suffix(".tmp")
        size = 0
        with part.open("wb") as file:
            for data in _pieces([self._hard, *map(Stored, found.log)]):
                self.disk.write(file, data)
                size += len(data)
            self.disk.sync(file)
        self.disk.rename(part, path)
        self.disk.sync_folder(self.folder)
        self._file, self._path_written, self._size = path.open("ab"), path, size
        self._segments[path] = self._last

    def _read(self, unsure_file: Path | None = None) -> Found:
        """What the folder has; of unsure_file only what is known to be on the disk."""
        found = Found()
        for part in self.folder.glob("*.tmp"):
            part.unlink()
        self._segments = {}
        self.snapshot = found.snapshot = self._newest_snapshot()
        entries: dict[int, Entry] = {}
        last = 0
        paths = sorted(self.folder.glob("log-*.wal"))
        found.fresh = not paths and not found.snapshot.index
        for place, path in enumerate(paths):
            highest = 0
            limit = self._size if path == unsure_file else None
            for record in self._records(path, place == len(paths) - 1, found, limit):
                if isinstance(record, Hard):
                    found.term, found.vote, found.commit = record.term, record.vote, record.commit
                    self._hard = record
                    continue
                if isinstance(record, Installed):
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
            raise StorageError(f"{self.folder}: the log has entry {min(beyond)} and not entry {index}")
        self._last = index - 1
        self._last_term = found.log[-1].term if found.log else found.snapshot.term
        found.incoming = self._incoming_state()
        return found

    def _records(self, path: Path, last: bool, found: Found, limit: int | None = None) -> Iterator[Written]:
        """The records of a file; a limit is how many of its bytes are known to be whole, and no tail of them is cut."""
        data = path.read_bytes()[:limit]
        at = 0
        while at < len(data):
            payload = _record(data, at)
            if payload is None:
                if not last or limit is not None or _later_record(data, at + 1):
                    raise StorageError(f"{path}: a damaged record at byte {at}, with good ones after it")
                found.cut = len(data) - at
                with path.open("r+b") as file:
                    file.truncate(at)
                    self.disk.sync(file)
                return
            try:
                yield _decoder.decode(payload)
            except msgspec.DecodeError as error:
                raise StorageError(f"{path}: a record at byte {at} that is none: {error}") from None
            at += HEAD.size + len(payload)

    def _newest_snapshot(self) -> Meta:
        """The newest that is whole; those before it go."""
        newest = Meta()
        for path in sorted(self.folder.glob("snapshot-*.snap"), reverse=True):
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
        for path in self.folder.glob("incoming-*.part"):
            index, term = (int(word) for word in path.stem.removeprefix("incoming-").split("-"))
            if index > self.snapshot.index:
                return index, term, path.stat().st_size
            path.unlink()
        return 0, 0, 0

    # The log

    @property
    def commit(self) -> int:
        """How far the disk knows the log to be committed."""
        return self._hard.commit

    def save(self, hard: tuple[int, str] | None, entries: Iterable[Entry], commit: int = 0) -> None:
        """Have term and vote, and entries, on the disk when this returns. OSError: nobody knows, `reopen` before more.

        commit goes with what is written; it alone is written where neither of the others is given.
        """
        if self.broken:
            raise OSError(5, self.broken)
        records: list[Written] = []
        commit = max(commit, self._hard.commit)
        if hard is not None or commit > self._hard.commit:
            records.append(Hard(*(hard or (self._hard.term, self._hard.vote)), commit))
        records += [Stored(entry) for entry in entries]
        if not records:
            return
        self._append(records)
        assert self._path_written is not None
        for record in records:
            if isinstance(record, Hard):
                self._hard = record
            elif isinstance(record, Stored):
                self._last, self._last_term = record.entry.index, record.entry.term
                self._segments[self._path_written] = max(self._segments[self._path_written], self._last)
        if self._size >= SEGMENT:
            self._roll()

    def _append(self, records: Iterable[Written]) -> None:
        """Have records on the disk when this returns. OSError: nobody knows."""
        data = b"".join(_framed(_encode(record)) for record in records)
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
        return self.folder / f"log-{self._number:012d}.wal"

    def _roll(self) -> None:
        """Go on in a new file, which begins with term and vote: those of older files go with them."""
        self.close()
        path = self._next_path()
        self._path_written, self._size = path, 0
        try:
            self._file = path.open("ab")
            self._segments[path] = self._last
            self._append([self._hard])
            self.disk.sync_folder(self.folder)
        except OSError as error:
            self.broken = f"a new log file could not be begun: {error}"
            raise

    # Snapshots

    def write_snapshot(
        self, index: int, term: int, members: tuple[str, ...], body: Iterable[bytes], learners: tuple[str, ...] = ()
    ) -> Meta:
        """Write a snapshot of our own; the body in pieces, so that it is never whole in memory. OSError if it fails.

        May run on another thread than the rest; `adopt` then makes it the newest.
        """
        path = self._path(index, term)
        part = path.with_suffix(".tmp")
        names = (list(members), list(learners)) if learners else (list(members),)  # none: as it always was
        described = _encode((index, term, *names))
        digest, size = xxhash.xxh3_64(described), 0
        try:
            with part.open("wb") as file:
                file.write(SNAP_HEAD.pack(SNAP_MARK, len(described), 0, 0) + described)
                for piece in body:
                    self.disk.write(file, piece)
                    digest.update(piece)
                    size += len(piece)
                file.seek(0)
                self.disk.write(file, SNAP_HEAD.pack(SNAP_MARK, len(described), size, digest.intdigest()))
                self.disk.sync(file)
            self.disk.rename(part, path)
            self.disk.sync_folder(self.folder)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
        return Meta(index, term, members, path.stat().st_size, learners)

    def adopt(self, meta: Meta) -> None:
        """A snapshot is the newest: drop older ones, and log files that hold nothing after it, as far as they go."""
        self.snapshot = meta
        keep = self._path(meta.index, meta.term)
        for path in self.folder.glob("snapshot-*.snap"):
            if path != keep:
                with contextlib.suppress(OSError):  # the next start drops it
                    path.unlink()
        for path, highest in list(self._segments.items()):
            if path != self._path_written and highest <= meta.index:
                with contextlib.suppress(OSError):
                    path.unlink()
                del self._segments[path]

    def read_chunk(self, meta: Meta, offset: int) -> bytes | None:
        """A piece of a snapshot as it is on the disk, header and all; None where it is no more."""
        try:
            with self._path(meta.index, meta.term).open("rb") as file:
                file.seek(offset)
                return file.read(CHUNK)
        except FileNotFoundError:
            return None

    def write_chunk(self, index: int, term: int, offset: int, data: bytes) -> None:
        """A piece of a snapshot that is being received. OSError if it fails."""
        path = self.folder / f"incoming-{index}-{term}.part"
        for other in self.folder.glob("incoming-*.part"):
            if other != path:
                other.unlink()
        with path.open("r+b" if offset and path.exists() else "wb") as file:
            file.truncate(offset)
            file.seek(offset)
            self.disk.write(file, data)
            self.disk.sync(file)

    def install(self, index: int, term: int) -> Meta | None:
        """The received snapshot is whole: take it, and forget the log before it. None where its checksum is wrong."""
        part = self.folder / f"incoming-{index}-{term}.part"
        meta = check_snapshot(part)
        if meta is None or (meta.index, meta.term) != (index, term):
            part.unlink()
            return None
        self._append([Installed(index, term)])
        self.disk.rename(part, self._path(index, term))
        self.disk.sync_folder(self.folder)
        if index >= self._last:
            self._last, self._last_term = index, term
        self.adopt(meta)
        return meta

    def body(self, meta: Meta) -> Iterator[bytes]:
        """The body of a snapshot, in pieces."""
        with self._path(meta.index, meta.term).open("rb") as file:
            _, length, _, _ = SNAP_HEAD.unpack(file.read(SNAP_HEAD.size))
            file.seek(length, os.SEEK_CUR)
            while piece := file.read(CHUNK):
                yield piece

    def _path(self, index: int, term: int) -> Path:
        return self.folder / f"snapshot-{index:016d}-{term:012d}.snap"

    def close(self) -> None:
        """Use it no more."""
        if self._file is not None:
            self._file.close()
            self._file = None


def check_snapshot(path: Path) -> Meta | None:
    """What a snapshot is of; None where it is not whole."""
    try:
        with path.open("rb") as file:
            head = file.read(SNAP_HEAD.size)
            if len(head) < SNAP_HEAD.size:
                return None
            mark, length, size, digest = SNAP_HEAD.unpack(head)
            if mark != SNAP_MARK or length > LONGEST:
                return None
            described = file.read(length)
            found, got = xxhash.xxh3_64(described), 0
            while piece := file.read(CHUNK):
                found.update(piece)
                got += len(piece)
    except FileNotFoundError:
        return None
    if got != size or found.intdigest() != digest:
        return None
    try:
        what = msgspec.msgpack.decode(described, type=Described)
    except msgspec.DecodeError:
        return None
    return Meta(what.index, what.term, tuple(what.members), path.stat().st_size, tuple(what.learners))


def verify(folder: Path) -> list[str]:
    """What is wrong with a folder, without changing it; a torn tail is told and is no fault."""
    told = []
    for path in sorted(folder.glob("snapshot-*.snap")):
        if check_snapshot(path) is None:
            told.append(f"{path.name}: damaged")
    paths = sorted(folder.glob("log-*.wal"))
    for place, path in enumerate(paths):
        data, at = path.read_bytes(), 0
        while at < len(data):
            payload = _record(data, at)
            if payload is None:
                torn = place == len(paths) - 1 and not _later_record(data, at + 1)
                told.append(f"{path.name}: {'a torn tail' if torn else 'damaged'} at byte {at} of {len(data)}")
                break
            at += HEAD.size + len(payload)
    return told


def _pieces(records: Iterable[Written]) -> Iterator[bytes]:
    """Framed records, in pieces of about PIECE bytes."""
    piece = bytearray()
    for record in records:
        piece += _framed(_encode(record))
        if len(piece) >= PIECE:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


def _framed(payload: bytes) -> bytes:
    return HEAD.pack(MARK, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def _record(data: bytes, at: int) -> bytes | None:
    """The payload of the record at a place; None where none is whole there."""
    if len(data) - at < HEAD.size:
        return None
    mark, length, digest = HEAD.unpack_from(data, at)
    if mark != MARK or length > LONGEST or len(data) - at - HEAD.size < length:
        return None
    payload = data[at + HEAD.size : at + HEAD.size + length]
    return payload if xxhash.xxh3_64_intdigest(payload) == digest else None


def _later_record(data: bytes, at: int) -> bool:
    """Whether a whole record begins anywhere from a place on."""
    while (at := data.find(MARK, at)) >= 0:
        if _record(data, at) is not None:
            return True
        at += 1
    return False
