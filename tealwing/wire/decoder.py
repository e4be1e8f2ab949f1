"""The decoder of the simulator's binary protocol: reads batches of records into events.

Only this module has the protocol's names of records and outcomes, with the terms of `tealwing.interface` they map to.
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
COST_UNIT = 4096  # an outcome's cost is milliseconds of work times COST_UNIT, plus memory in units of MEMORY_UNIT_MB
MEMORY_UNIT_MB = 4.0


class EventCode(IntEnum):
    """The codes of the records of a batch, by the protocol's names."""

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
    307: api.AttemptResult.NOT_SENT,  # "moot" in the protocol
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
    """An instance starts; settings_json is the JSON text of its settings."""

    seed: int
    settings_json: bytes


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance ends; its state is dropped."""


WireEvent = api.Event | Init | Teardown


class Reader:
    """A cursor over the records of one batch."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def unpack(self, shape: struct.Struct) -> tuple[Any, ...]:
        """Return the next fields, of a fixed layout. Raises WireError if the batch ends before them."""
        if self.at + shape.size > len(self.data):
            raise WireError(
                f"truncated record: {shape.size} bytes expected at byte {self.at}, the batch has {len(self.data)}"
            )
        fields = shape.unpack_from(self.data, self.at)
        self.at += shape.size
        return fields

    def take(self, count: int) -> bytes:
        """Return the next count bytes. Raises WireError if the batch ends before them."""
        if self.at + count > len(self.data):
            raise WireError(
                f"truncated record: {count} bytes expected at byte {self.at}, the batch has {len(self.data)}"
            )
        self.at += count
        return self.data[self.at - count : self.at]


class Decoder:
    """Decodes batches into events; keeps the numbered engine lists, which all instances of the process share."""

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
                raise WireError(f"unknown record code {code}, expected a code of EventCode")
            yield instance, handler(reader)
        if reader.at != len(body):
            raise WireError(
                f"{len(body) - reader.at} bytes follow the last of the {count} records of a batch, expected none"
            )

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
            raise WireError(f"unknown engine list {number}: a CATALOG record must define it first")
        return api.EngineList(kind, version, self.lists[number])


def _enum(kind: Any, value: int) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {kind.__name__} {value}, expected one of {[m.value for m in kind]}") from None


def _result(code: int) -> api.AttemptResult:
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome {code}, expected one of {sorted(OUTCOMES)}")
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
        raise WireError(f"the input ends in a batch header, after {len(head)} of {_BATCH_HEAD.size} bytes")
    clock, length, count = _BATCH_HEAD.unpack(head)
    if length < 4 and (length or count):
        raise WireError(f"a batch of {count} records has length {length}, expected at least 4")
    length = max(0, length - 4)  # the length includes the record count; an empty batch may have 0
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"the input ends in a batch, after {len(body)} of {length} bytes")
    return clock / NS, count, body
