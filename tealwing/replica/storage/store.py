"""Persistent log and snapshots of one member.

The log consists of segment files of records, each with a magic number, its length and a checksum. A record is durable
before any message that depends on it is sent. Of several records for one index the last is valid, and it removes all
entries after that index. An incomplete record at the end of the last segment is a torn write and is truncated at
startup. An invalid record followed by valid ones is damage: startup fails, as truncating there could lose acknowledged
state.

A snapshot is written to a temporary file, which is synced and renamed, and the directory is synced. Its name contains
index and term. The file begins with a header that has the size and a checksum of everything after it.

After a failed operation nothing more is written until `reopen` has read the directory again: see durability.py.
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

SEGMENT_BYTES = 8 << 20  # bytes at which a new segment is started


class Storage:
    """Log and snapshots in the directory of one member; single-threaded."""

    def __init__(self, directory: Path, disk: Disk | None = None) -> None:
        self.directory, self.disk = directory, disk or Disk()
        self.snapshot_files = SnapshotFiles(self.directory, self.disk)
        self._file: BinaryIO | None = None
        self._segments: dict[Path, int] = {}  # highest index that each segment may contain
        self._segment_path: Path | None = None  # the current segment, even if its creation failed
        self._size = 0  # bytes of the current segment known to be durable
        self._number = 0  # number of the newest segment
        self._last = self._last_term = 0  # index and term of the last entry written
        self._hard_state = HardState(0, "")
        self.snapshot = SnapshotMeta()
        self.broken = ""  # why writes are rejected until `reopen`; empty if they are accepted

    # Recovery

    def open(self) -> StoredState:
        """Recover the state, truncate a torn tail and start a segment. Raises StorageError if files are damaged."""
        self.directory.mkdir(parents=True, exist_ok=True)
        found = self._load()
        self._roll()
        return found

    def reopen(self, allow_loss: bool) -> StoredState:
        """Recover the state after a failed operation, rewrite the log and allow writes again.

        Of the current segment only the bytes known to be durable are read. It is replaced by a file with the whole
        log, as pages of the old file may be lost even if a later sync of it reports success. With `allow_loss` a
        directory that lacks acknowledged state is accepted, for a core that restarts as unconfirmed.

        Raises OSError or StorageError if the recovery failed; the call may be repeated.
        """
        self.close()
        acknowledged = self.acknowledged
        self.snapshot_files.delete_incoming()
        found = self._load(self._segment_path)
        found.lost_acknowledged = not acknowledged.is_covered_by(found)
        if found.lost_acknowledged and not allow_loss:
            self._restore_acknowledged(acknowledged)
            raise AcknowledgedDataLostError(self.directory)
        self._replace_log(found)
        self.broken = ""
        return found

    @property
    def acknowledged(self) -> Acknowledged:
        """State that this member may have acknowledged to others."""
        return Acknowledged(self._hard_state.term, self._hard_state.vote, self._last, self._last_term)

    def _restore_acknowledged(self, acknowledged: Acknowledged) -> None:
        """Keep the acknowledged state for the next `reopen`, as the directory lacks a part of it."""
        self._hard_state = HardState(acknowledged.term, acknowledged.vote, self._hard_state.commit)
        self._last, self._last_term = acknowledged.last_index, acknowledged.last_term

    def _replace_log(self, found: StoredState) -> None:
        """Write the hard state and all entries to a new file that replaces the current segment."""
        path = self._segment_path or self._next_path()
        temporary = path.with_suffix(".tmp")
        size = 0
        with temporary.open("wb") as file:
            for data in batches([self._hard_state, *map(EntryRecord, found.log)]):
                self.disk.write(file, data)
                size += len(data)
            self.disk.sync(file)
        self.disk.rename(temporary, path)
        self.disk.sync_directory(self.directory)
        self._file, self._segment_path, self._size = path.open("ab"), path, size
        self._segments[path] = self._last

    def _load(self, unconfirmed_file: Path | None = None) -> StoredState:
        """Return the state in the directory; of `unconfirmed_file` read only the bytes known to be durable."""
        found = StoredState()
        for temporary in self.directory.glob("*.tmp"):
            temporary.unlink()
        self._segments = {}
        self.snapshot = found.snapshot = self.snapshot_files.newest()
        entries: dict[int, Entry] = {}
        last = 0
        paths = sorted(self.directory.glob("log-*.wal"))
        found.fresh = not paths and not found.snapshot.index
        for position, path in enumerate(paths):
            highest = 0
            limit = self._size if path == unconfirmed_file else None
            for record in self._records(path, position == len(paths) - 1, found, limit):
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
                    entries.pop(index, None)  # overwritten by the entries of a later leader
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
            raise StorageError(
                f"{self.directory}: the log has entry {min(beyond)}, but entry {index} before it is missing"
            )
        self._last = index - 1
        self._last_term = found.log[-1].term if found.log else found.snapshot.term
        found.incoming = self.snapshot_files.incoming(self.snapshot)
        return found

    def _records(self, path: Path, last: bool, found: StoredState, limit: int | None = None) -> Iterator[LogRecord]:
        """Yield the records of a segment; with a `limit` read only that many bytes, and truncate no torn tail.

        Raises StorageError if a record is damaged and is not a torn tail of the last segment.
        """
        data = path.read_bytes()[:limit]
        at = 0
        while at < len(data):
            payload = payload_at(data, at)
            if payload is None:
                if not last or limit is not None or has_later_record(data, at + 1):
                    raise StorageError(
                        f"{path}: a damaged record at byte {at}, which is not a torn write at the log's end"
                    )
                found.truncated_bytes = len(data) - at
                with path.open("r+b") as file:
                    file.truncate(at)
                    self.disk.sync(file)
                return
            try:
                yield decode(payload)
            except msgspec.DecodeError as error:
                raise StorageError(f"{path}: the record at byte {at} can't be decoded: {error}") from None
            at += RECORD_HEADER.size + len(payload)

    # The log

    @property
    def commit(self) -> int:
        """Commit index in the last hard state written."""
        return self._hard_state.commit

    def save(self, hard: tuple[int, str] | None, entries: Iterable[Entry], commit: int = 0) -> None:
        """Append hard state (term and vote) and entries, durable on return.

        A commit index above the stored one is written with them, or alone if neither is given.

        Raises OSError if this write or an earlier one failed; the contents of the disk are then unknown until `reopen`.
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
        assert self._segment_path is not None
        for record in records:
            if isinstance(record, HardState):
                self._hard_state = record
            elif isinstance(record, EntryRecord):
                self._last, self._last_term = record.entry.index, record.entry.term
                self._segments[self._segment_path] = max(self._segments[self._segment_path], self._last)
        if self._size >= SEGMENT_BYTES:
            self._roll()

    def _append(self, records: Iterable[LogRecord]) -> None:
        """Append records, durable on return. Raises OSError if the write failed; the file's state is then unknown."""
        data = b"".join(frame(encode(record)) for record in records)
        assert self._file is not None
        try:
            self.disk.write(self._file, data)
            self.disk.sync(self._file)
        except OSError as error:
            self.broken = f"a write failed, and the contents of the disk are unknown: {error}"
            raise
        self._size += len(data)

    def _next_path(self) -> Path:
        self._number += 1
        return self.directory / f"log-{self._number:012d}.wal"

    def _roll(self) -> None:
        """Start a new segment with the hard state as its first record, as the older segments may be deleted."""
        self.close()
        path = self._next_path()
        self._segment_path, self._size = path, 0
        try:
            self._file = path.open("ab")
            self._segments[path] = self._last
            self._append([self._hard_state])
            self.disk.sync_directory(self.directory)
        except OSError as error:
            self.broken = f"a new log segment could not be created: {error}"
            raise

    # Snapshots

    def adopt_snapshot(self, meta: SnapshotMeta) -> None:
        """Make a snapshot the newest; delete older ones and segments without entries after it, ignoring errors."""
        self.snapshot = meta
        self.snapshot_files.delete_others(meta)
        for path, highest in list(self._segments.items()):
            if path != self._segment_path and highest <= meta.index:
                with contextlib.suppress(OSError):
                    path.unlink()
                del self._segments[path]

    def install_snapshot(self, index: int, term: int) -> SnapshotMeta | None:
        """Install a completely received snapshot and return its metadata, or None if it is damaged."""
        received = self.directory / f"incoming-{index}-{term}.part"
        meta = check_snapshot(received)
        if meta is None or (meta.index, meta.term) != (index, term):
            received.unlink()
            return None
        self._append([SnapshotInstalled(index, term)])
        self.disk.rename(received, self.snapshot_files.path(index, term))
        self.disk.sync_directory(self.directory)
        if index >= self._last:
            self._last, self._last_term = index, term
        self.adopt_snapshot(meta)
        return meta

    def close(self) -> None:
        """Close the current segment."""
        if self._file is not None:
            self._file.close()
            self._file = None


def verify(directory: Path) -> list[str]:
    """Return the problems found in a directory without changing it; a torn tail is listed, but is not damage."""
    problems = []
    for path in sorted(directory.glob("snapshot-*.snap")):
        if check_snapshot(path) is None:
            problems.append(f"{path.name}: damaged")
    paths = sorted(directory.glob("log-*.wal"))
    for position, path in enumerate(paths):
        data, at = path.read_bytes(), 0
        while at < len(data):
            payload = payload_at(data, at)
            if payload is None:
                torn = position == len(paths) - 1 and not has_later_record(data, at + 1)
                problems.append(f"{path.name}: {'a torn tail' if torn else 'damaged'} at byte {at} of {len(data)}")
                break
            at += RECORD_HEADER.size + len(payload)
    return problems
