"""The records of the log files: their frame on the disk, what a start reads of them, and the errors of a directory."""

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
RECORD_HEADER = struct.Struct(">4sIQ")  # mark, length, xxh3_64 of the payload
MAX_RECORD_BYTES = 16 << 20  # bytes of a record: an entry holds one command
WRITE_BATCH_BYTES = 1 << 20  # bytes of records that are encoded at once where the whole log is written


class StorageError(ReplicaError):
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


encode = msgspec.msgpack.Encoder().encode
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


def decode(payload: bytes) -> LogRecord:
    """Return the record of a payload; raise msgspec.DecodeError where it is none."""
    return _decoder.decode(payload)


def batches(records: Iterable[LogRecord]) -> Iterator[bytes]:
    """Framed records, in pieces of about PIECE bytes."""
    piece = bytearray()
    for record in records:
        piece += frame(encode(record))
        if len(piece) >= WRITE_BATCH_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


def frame(payload: bytes) -> bytes:
    """Return a payload with its mark, length and checksum before it."""
    return RECORD_HEADER.pack(RECORD_MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def payload_at(data: bytes, at: int) -> bytes | None:
    """The payload of the record at a place; None where none is whole there."""
    if len(data) - at < RECORD_HEADER.size:
        return None
    mark, length, digest = RECORD_HEADER.unpack_from(data, at)
    if mark != RECORD_MAGIC or length > MAX_RECORD_BYTES or len(data) - at - RECORD_HEADER.size < length:
        return None
    payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
    return payload if xxhash.xxh3_64_intdigest(payload) == digest else None


def has_later_record(data: bytes, at: int) -> bool:
    """Whether a whole record begins anywhere from a place on."""
    while (at := data.find(RECORD_MAGIC, at)) >= 0:
        if payload_at(data, at) is not None:
            return True
        at += 1
    return False
