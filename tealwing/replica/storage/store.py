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
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

from tealwing.replica.messages import Entry
from tealwing.replica.raft import SnapshotMeta
from tealwing.replica.storage.disk import Disk
from tealwing.replica.storage.durability import Acknowledged
from tealwing.replica.storage.records import (
    RECORD_HEADER,
    AcknowledgedDataLostError,
    EntryRecord,
    HardState,
    LogRecord,
    SnapshotInstalled,
    StorageError,
    StoredState,
    batches,
    decode,
    encode,
    frame,
    has_later_record,
    payload_at,
)  # fmt: skip
from tealwing.replica.storage.snapshot_files import SnapshotFiles, check_snapshot

SEGMENT_BYTES = 8 << 20  # bytes after which the log goes on in a new file


class Storage:
    """The folder of one member. One thread uses it."""

    def __init__(self, directory: Path, disk: Disk | None = None) -> None:
        self.directory, self.disk = directory, disk or Disk()
        self.snapshot_files = SnapshotFiles(self.directory, self.disk)
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
        self.snapshot_files.delete_incoming()
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

    def _replace_log(self, found: StoredState) -> None:
        """Have term, vote and all entries in one new file, which takes the place of the one that was written last."""
        path = self._path_written or self._next_path()
        part = path.with_suffix(".tmp")
        size = 0
        with part.open("wb") as file:
            for data in batches([self._hard_state, *map(EntryRecord, found.log)]):
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
        self.snapshot = found.snapshot = self.snapshot_files.newest()
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
        found.incoming = self.snapshot_files.incoming(self.snapshot)
        return found

    def _records(self, path: Path, last: bool, found: StoredState, limit: int | None = None) -> Iterator[LogRecord]:
        """The records of a file; a limit is how many of its bytes are known to be whole, and no tail of them is cut."""
        data = path.read_bytes()[:limit]
        at = 0
        while at < len(data):
            payload = payload_at(data, at)
            if payload is None:
                if not last or limit is not None or has_later_record(data, at + 1):
                    raise StorageError(f"{path}: a damaged record at byte {at}, with good ones after it")
                found.truncated_bytes = len(data) - at
                with path.open("r+b") as file:
                    file.truncate(at)
                    self.disk.sync(file)
                return
            try:
                yield decode(payload)
            except msgspec.DecodeError as error:
                raise StorageError(f"{path}: a record at byte {at} that is none: {error}") from None
            at += RECORD_HEADER.size + len(payload)

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
        data = b"".join(frame(encode(record)) for record in records)
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

    def adopt_snapshot(self, meta: SnapshotMeta) -> None:
        """A snapshot is the newest: drop older ones, and log files that hold nothing after it, as far as they go."""
        self.snapshot = meta
        self.snapshot_files.delete_others(meta)
        for path, highest in list(self._segments.items()):
            if path != self._path_written and highest <= meta.index:
                with contextlib.suppress(OSError):
                    path.unlink()
                del self._segments[path]

    def install_snapshot(self, index: int, term: int) -> SnapshotMeta | None:
        """The received snapshot is whole: take it, and forget the log before it. None where its checksum is wrong."""
        part = self.directory / f"incoming-{index}-{term}.part"
        meta = check_snapshot(part)
        if meta is None or (meta.index, meta.term) != (index, term):
            part.unlink()
            return None
        self._append([SnapshotInstalled(index, term)])
        self.disk.rename(part, self.snapshot_files.path(index, term))
        self.disk.sync_directory(self.directory)
        if index >= self._last:
            self._last, self._last_term = index, term
        self.adopt_snapshot(meta)
        return meta

    def close(self) -> None:
        """Use it no more."""
        if self._file is not None:
            self._file.close()
            self._file = None


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
            payload = payload_at(data, at)
            if payload is None:
                torn = place == len(paths) - 1 and not has_later_record(data, at + 1)
                problems.append(f"{path.name}: {'a torn tail' if torn else 'damaged'} at byte {at} of {len(data)}")
                break
            at += RECORD_HEADER.size + len(payload)
    return problems
