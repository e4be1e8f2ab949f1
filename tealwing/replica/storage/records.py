"""Records of the log files, their framing on disk, the recovered state, and the storage errors."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import xxhash

from tealwing.replica.errors import ReplicaError
from tealwing.replica.messages import Entry, Record
from tealwing.replica.raft import SnapshotMeta

RECORD_MAGIC = b"\xa7TW1"
RECORD_HEADER = struct.Struct(">4sIQ")  # magic, payload length, xxh3_64 of the payload
MAX_RECORD_BYTES = 16 << 20  # maximum bytes of a record, which holds at most one command
WRITE_BATCH_BYTES = 1 << 20  # bytes encoded at a time when the whole log is rewritten


class StorageError(ReplicaError):
    """The files on disk are damaged or inconsistent; the message names the file and the position."""


class AcknowledgedDataLostError(StorageError):
    """The directory lacks acknowledged state; the message names what the operator can do."""

    def __init__(self, directory: Path) -> None:
        super().__init__(
            f"{directory}: votes or entries that this member has acknowledged are missing, and `stale` is 0; restore"
            " the directory as it was, or remove the member and add it under another name"
        )


class HardState(Record, tag="h", frozen=True):
    """Current term, vote and commit index; the commit index may lag, but is never too high."""

    term: int
    vote: str
    commit: int = 0


class EntryRecord(Record, tag="e", frozen=True):
    """Record of a log entry."""

    entry: Entry


class SnapshotInstalled(Record, tag="s", frozen=True):
    """Marker written before a received snapshot is installed.

    If that snapshot exists, entries after its index that were recorded before this marker are discarded.
    """

    index: int
    term: int


encode = msgspec.msgpack.Encoder().encode
LogRecord = HardState | EntryRecord | SnapshotInstalled
_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


@dataclass(slots=True)
class StoredState:
    """State recovered from the directory at startup."""

    term: int = 0
    vote: str = ""
    commit: int = 0
    snapshot: SnapshotMeta = field(default_factory=SnapshotMeta)
    log: list[Entry] = field(default_factory=list)
    truncated_bytes: int = 0  # bytes of a torn tail that were truncated
    fresh: bool = True  # whether the directory had no log and no snapshot
    incoming: tuple[int, int, int] = (0, 0, 0)  # index, term and bytes so far of a partly received snapshot
    lost_acknowledged: bool = False  # whether acknowledged state is missing; set by `reopen`


def decode(payload: bytes) -> LogRecord:
    """Return the decoded record of a payload.

    Raises msgspec.DecodeError if the payload is not a valid record.
    """
    return _decoder.decode(payload)


def batches(records: Iterable[LogRecord]) -> Iterator[bytes]:
    """Yield the framed records in batches of at least WRITE_BATCH_BYTES bytes, the last one excepted."""
    piece = bytearray()
    for record in records:
        piece += frame(encode(record))
        if len(piece) >= WRITE_BATCH_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


def frame(payload: bytes) -> bytes:
    """Return the payload with its header of magic, length and checksum."""
    return RECORD_HEADER.pack(RECORD_MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def payload_at(data: bytes, at: int) -> bytes | None:
    """Return the payload of the record at offset `at`, or None if there is no valid record."""
    if len(data) - at < RECORD_HEADER.size:
        return None
    magic, length, digest = RECORD_HEADER.unpack_from(data, at)
    if magic != RECORD_MAGIC or length > MAX_RECORD_BYTES or len(data) - at - RECORD_HEADER.size < length:
        return None
    payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
    return payload if xxhash.xxh3_64_intdigest(payload) == digest else None


def has_later_record(data: bytes, at: int) -> bool:
    """Return whether a valid record begins at offset `at` or later."""
    while (at := data.find(RECORD_MAGIC, at)) >= 0:
        if payload_at(data, at) is not None:
            return True
        at += 1
    return False
