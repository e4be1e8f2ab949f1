"""The simulator's binary wire: batches of records, read into events.

The wire's names of records and outcomes stand here alone, beside the terms of `tealwing.interface` that they map to.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, BinaryIO

from tealwing import interface as api
from tealwing.wire.errors import WireError

NS = 1_000_000_000  # nanoseconds in a second
COST_UNIT = 4096  # an outcome's cost: milliseconds of work times this, plus memory in units
MEMORY_UNIT_MB = 4.0  # of the memory in an outcome's cost


class EventCode(IntEnum):
    """The codes of the records of a batch, by the wire's names."""

    MEMO = 10
    FINISHED = 20
    HINT_UPDATE = 30
    STATUS_BACK = 40
    TEARDOWN = 50
    CATALOG = 60
    HANGUP = 70
    INIT = 80
    TIMEOUT_FIRED = 90
    JOB_IN = 100
    FLOWING = 110
    UPDATE = 120


OUTCOMES = {
    100: api.AttemptResult.OK,
    301: api.AttemptResult.ERROR,
    302: api.AttemptResult.FULL,
    303: api.AttemptResult.TIMEOUT,
    304: api.AttemptResult.CONNECT_FAILED,
    305: api.AttemptResult.RESET,
    306: api.AttemptResult.CANCELLED,
    307: api.AttemptResult.NOT_SENT,  # the wire's "moot"
}

HAS_COST, IS_CLIENT_RETRY, IS_WRITE = 1, 2, 4  # bits of the options of JOB_IN

_BATCH_HEAD = struct.Struct(">QII")  # clock in ns, length of the rest, count of records
_LIST_ENTRY = struct.Struct(">IBHHBfQ")
_CODE, _INSTANCE = struct.Struct(">B"), struct.Struct(">H")
_REQUEST_ID, _TOKEN = struct.Struct(">I"), struct.Struct(">Q")
_JOB_IN = struct.Struct(">IfQQQHfBB")
_FINISHED = struct.Struct(">IHIHQBIB")
_FLOWING = struct.Struct(">IHIQ")
_HINT_UPDATE = struct.Struct(">IHIBf")
_STATUS_BACK = struct.Struct(">IHQB")
_MEMO = struct.Struct(">HH")
_CATALOG = struct.Struct(">BI")
_UPDATE = struct.Struct(">BQB")
_INIT = struct.Struct(">QI")


@dataclass(frozen=True, slots=True)
class Init:
    """An instance begins; facts is the settings' JSON text."""

    seed: int
    facts: bytes


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance is dead."""


WireEvent = api.Event | Init | Teardown


class Reader:
    """A cursor over one batch."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def unpack(self, shape: struct.Struct) -> tuple[Any, ...]:
        """Return the next fields of a fixed shape. Raises WireError where the batch ends before."""
        if self.at + shape.size > len(self.data):
            raise WireError(f"a record is cut off at byte {self.at} of {len(self.data)}")
        fields = shape.unpack_from(self.data, self.at)
        self.at += shape.size
        return fields

    def take(self, count: int) -> bytes:
        """Return the next count bytes. Raises WireError where the batch ends before."""
        if self.at + count > len(self.data):
            raise WireError(f"a record is cut off at byte {self.at} of {len(self.data)}")
        self.at += count
        return self.data[self.at - count : self.at]


class Decoder:
    """Turns batches into events; holds the numbered engine lists, which belong to the process."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[api.EngineListEntry, ...]] = {}
        self._handlers: dict[int, Callable[[Reader], WireEvent]] = {
            EventCode.FINISHED: _attempt_outcome,
            EventCode.JOB_IN: _request,
            EventCode.TIMEOUT_FIRED: _timer_fired,
            EventCode.HINT_UPDATE: _attempt_progress,
            EventCode.HANGUP: _client_gone,
            EventCode.UPDATE: self._engine_list,
            EventCode.INIT: _init,
            EventCode.TEARDOWN: lambda _: Teardown(),
            EventCode.STATUS_BACK: _health_check_result,
            EventCode.FLOWING: _stream_started,
            EventCode.MEMO: _peer_message,
        }

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, WireEvent]]:
        """Yield each event of a batch with its instance, in order. Raises WireError for malformed input."""
        reader = Reader(body)
        for _ in range(count):
            (code,) = reader.unpack(_CODE)
            if code == EventCode.CATALOG:
                self._store_list(reader)
                continue
            (instance,) = reader.unpack(_INSTANCE)
            handler = self._handlers.get(code)
            if handler is None:
                raise WireError(f"unknown record code {code}")
            yield instance, handler(reader)
        if reader.at != len(body):
            raise WireError(f"{len(body) - reader.at} bytes are left over after the last record")

    def _store_list(self, reader: Reader) -> None:
        number, length = reader.unpack(_CATALOG)
        raw = reader.take(length * _LIST_ENTRY.size)
        self.lists[number] = tuple(_list_entry(fields) for fields in _LIST_ENTRY.iter_unpack(raw))

    def _engine_list(self, reader: Reader) -> api.EngineList:
        code, version, number = reader.unpack(_UPDATE)
        kind = _enum(api.EngineListKind, code)
        if kind is api.EngineListKind.FAILED:
            return api.EngineList(kind, version, ())
        if number not in self.lists:
            raise WireError(f"list {number} was never sent")
        return api.EngineList(kind, version, self.lists[number])


def _enum(kind: Any, value: int) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {kind.__name__} {value}") from None


def _result(code: int) -> api.AttemptResult:
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


def _load_report(reader: Reader, count: int) -> tuple[float, ...]:
    return reader.unpack(struct.Struct(f">{count}f")) if count else ()


def _list_entry(fields: tuple[Any, ...]) -> api.EngineListEntry:
    engine, zone, kind, cell, health, weight, started = fields
    return api.EngineListEntry(engine, zone, kind, cell, _enum(api.Health, health), weight, started / NS)


def _attempt_outcome(reader: Reader) -> api.AttemptOutcome:
    id_, attempt, engine, result, elapsed, ended, cost, report_length = reader.unpack(_FINISHED)
    return api.AttemptOutcome(
        id_,
        attempt,
        engine,
        _result(result),
        elapsed / NS,
        bool(ended),
        cost // COST_UNIT / 1e3,
        cost % COST_UNIT * MEMORY_UNIT_MB,
        _load_report(reader, report_length),
    )


def _request(reader: Reader) -> api.Request:
    id_, dataset, cost, key, remaining, tenant, memory, cls, options = reader.unpack(_JOB_IN)
    return api.Request(
        id_,
        cls,
        remaining / NS,
        dataset,
        cost / NS if options & HAS_COST else None,
        key,
        tenant,
        memory,
        bool(options & IS_CLIENT_RETRY),
        bool(options & IS_WRITE),
    )


def _timer_fired(reader: Reader) -> api.TimerFired:
    return api.TimerFired(*reader.unpack(_TOKEN))


def _attempt_progress(reader: Reader) -> api.AttemptProgress:
    id_, attempt, engine, kind, amount = reader.unpack(_HINT_UPDATE)
    return api.AttemptProgress(id_, attempt, engine, _enum(api.ProgressKind, kind), amount)


def _client_gone(reader: Reader) -> api.ClientGone:
    return api.ClientGone(*reader.unpack(_REQUEST_ID))


def _init(reader: Reader) -> Init:
    seed, length = reader.unpack(_INIT)
    return Init(seed, reader.take(length))


def _health_check_result(reader: Reader) -> api.HealthCheckResult:
    engine, result, elapsed, report_length = reader.unpack(_STATUS_BACK)
    return api.HealthCheckResult(engine, _result(result), elapsed / NS, _load_report(reader, report_length))


def _stream_started(reader: Reader) -> api.StreamStarted:
    id_, attempt, engine, elapsed = reader.unpack(_FLOWING)
    return api.StreamStarted(id_, attempt, engine, elapsed / NS)


def _peer_message(reader: Reader) -> api.PeerMessage:
    sender, length = reader.unpack(_MEMO)
    return api.PeerMessage(sender, reader.take(length))


def read_batch(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """Return the next batch as clock in seconds, record count and body; None at the end of the input."""
    head = stream.read(_BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < _BATCH_HEAD.size:
        raise WireError(f"the input ends inside a header, after {len(head)} bytes")
    clock, length, count = _BATCH_HEAD.unpack(head)
    if length < 4 and (length or count):
        raise WireError(f"a header's length of {length} is too small")
    length = max(0, length - 4)  # it counts the record count too; an empty batch may say 0
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"the input ends inside a batch, after {len(body)} of {length} bytes")
    return clock / NS, count, body
