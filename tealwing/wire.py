"""The binary wire: frames and records to the records of tealwing.interface, and back. Decides nothing."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO

from tealwing import interface as api

NS = 1_000_000_000
COST_UNIT = 4096  # an answer's cost note: milliseconds of work times this, plus memory
NEED_UNIT_MB = 4.0  # in steps of so many megabytes
EVERY_PEER = 0xFFFFFFFF
LONGEST_TIMER_NS = 71 * 60 * NS

RESULTS = {
    100: api.AttemptResult.OK,
    301: api.AttemptResult.ERROR,
    302: api.AttemptResult.FULL,
    303: api.AttemptResult.TIMEOUT,
    304: api.AttemptResult.CONNECT_FAILED,
    305: api.AttemptResult.RESET,
    306: api.AttemptResult.CANCELLED,
    307: api.AttemptResult.NOT_SENT,
}
EFFECTS = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.KEYED,
    "once": api.Idempotency.NOT_IDEMPOTENT,
}
HEAD = struct.Struct(">QII")
ENTRY = struct.Struct(">IBHHBfQ")


class WireError(Exception):
    """The input breaks the wire's format."""


@dataclass(frozen=True, slots=True)
class Init:
    """An instance begins."""

    seed: int
    facts: bytes


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance is dead."""


class Reader:
    """A cursor over one batch."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def unpack(self, shape: struct.Struct) -> tuple[Any, ...]:
        """The next fields of a fixed shape."""
        if self.at + shape.size > len(self.data):
            raise WireError(f"a record is cut off at byte {self.at} of {len(self.data)}")
        fields = shape.unpack_from(self.data, self.at)
        self.at += shape.size
        return fields

    def take(self, count: int) -> bytes:
        """The next count bytes."""
        if self.at + count > len(self.data):
            raise WireError(f"a record is cut off at byte {self.at} of {len(self.data)}")
        self.at += count
        return self.data[self.at - count : self.at]


_CODE, _INST = struct.Struct(">B"), struct.Struct(">H")
_INIT, _UPDATE = struct.Struct(">QI"), struct.Struct(">BQB")
_JOB, _FINISHED = struct.Struct(">IfQQQHfBB"), struct.Struct(">IHIHQBIB")
_FLOWING, _HINT = struct.Struct(">IHIQ"), struct.Struct(">IHIBf")
_STATUS, _MEMO = struct.Struct(">IHQB"), struct.Struct(">HH")
_TOKEN, _ID, _CATALOG = struct.Struct(">Q"), struct.Struct(">I"), struct.Struct(">BI")


def _enum(kind: Any, value: int) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"unknown {kind.__name__} {value}") from None


def _result(code: int) -> api.AttemptResult:
    if code not in RESULTS:
        raise WireError(f"unknown outcome {code}")
    return RESULTS[code]


def _report(reader: Reader, count: int) -> tuple[float, ...]:
    return reader.unpack(struct.Struct(f">{count}f")) if count else ()


def _entry(fields: tuple[Any, ...]) -> api.EngineListEntry:
    engine, zone, kind, cell, health, weight, started = fields
    return api.EngineListEntry(engine, zone, kind, cell, _enum(api.Health, health), weight, started / NS)


WireEvent = api.Event | Init | Teardown


class Decoder:
    """Turns batches into events; keeps the numbered lists, which belong to the process."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[api.EngineListEntry, ...]] = {}

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, WireEvent]]:
        """Each event of a batch with its instance, in order."""
        reader = Reader(body)
        for _ in range(count):
            (code,) = reader.unpack(_CODE)
            if code == 60:
                number, length = reader.unpack(_CATALOG)
                raw = reader.take(length * ENTRY.size)
                self.lists[number] = tuple(_entry(fields) for fields in ENTRY.iter_unpack(raw))
                continue
            (instance,) = reader.unpack(_INST)
            yield instance, self._event(code, reader)
        if reader.at != len(body):
            raise WireError(f"{len(body) - reader.at} bytes are left over after the last record")

    def _event(self, code: int, reader: Reader) -> WireEvent:
        if code == 20:
            id_, attempt, engine, result, elapsed, over, cost, n = reader.unpack(_FINISHED)
            return api.AttemptOutcome(
                id_,
                attempt,
                engine,
                _result(result),
                elapsed / NS,
                bool(over),
                cost // COST_UNIT / 1e3,
                cost % COST_UNIT * NEED_UNIT_MB,
                _report(reader, n),
            )
        if code == 100:
            id_, data, cost, key, left, tenant, need, cls, bits = reader.unpack(_JOB)
            return api.Request(
                id_,
                cls,
                left / NS,
                data,
                cost / NS if bits & 1 else None,
                key,
                tenant,
                need,
                bool(bits & 2),
                bool(bits & 4),
            )
        if code == 90:
            return api.TimerFired(*reader.unpack(_TOKEN))
        if code == 30:
            id_, attempt, engine, kind, amount = reader.unpack(_HINT)
            return api.AttemptProgress(id_, attempt, engine, _enum(api.ProgressKind, kind), amount)
        if code == 70:
            return api.ClientGone(*reader.unpack(_ID))
        if code == 120:
            kind, version, number = reader.unpack(_UPDATE)
            kind = _enum(api.EngineListKind, kind)
            if kind is not api.EngineListKind.FAILED and number not in self.lists:
                raise WireError(f"list {number} was never sent")
            entries = () if kind is api.EngineListKind.FAILED else self.lists[number]
            return api.EngineList(kind, version, entries)
        if code == 80:
            seed, length = reader.unpack(_INIT)
            return Init(seed, reader.take(length))
        if code == 50:
            return Teardown()
        if code == 40:
            engine, result, elapsed, n = reader.unpack(_STATUS)
            return api.HealthCheckResult(engine, _result(result), elapsed / NS, _report(reader, n))
        if code == 110:
            id_, attempt, engine, elapsed = reader.unpack(_FLOWING)
            return api.StreamStarted(id_, attempt, engine, elapsed / NS)
        if code == 10:
            sender, length = reader.unpack(_MEMO)
            return api.PeerMessage(sender, reader.take(length))
        raise WireError(f"unknown record code {code}")


def read_batch(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """The next batch as clock, record count and body; None at the end of the input."""
    head = stream.read(HEAD.size)
    if not head:
        return None
    if len(head) < HEAD.size:
        raise WireError(f"the input ends inside a header, after {len(head)} bytes")
    clock, length, count = HEAD.unpack(head)
    if length < 4 and (length or count):
        raise WireError(f"a header's length of {length} is too small")
    length = max(0, length - 4)  # it counts the record count too; an empty batch may say 0
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"the input ends inside a batch, after {len(body)} of {length} bytes")
    return clock / NS, count, body


def _ns(seconds: float) -> int:
    return max(0, math.ceil(seconds * NS))


_SEND, _REFUSE, _TWO = struct.Struct(">BHIqI"), struct.Struct(">BHIQ"), struct.Struct(">BHI")
_CANCEL, _TIMER, _TUNE = struct.Struct(">BHIH"), struct.Struct(">BHQQ"), struct.Struct(">BHIBf")
_TEXT, _TELL, _WANT, _BARE = (struct.Struct(s) for s in (">BHH", ">BHIH", ">BHB", ">BH"))


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return _TEXT.pack(code, instance, len(raw)) + raw


def bug(instance: int, text: str) -> bytes:
    """The record that tells of a failure in the decision code."""
    return _text(100, instance, text)


def encode(instance: int, action: api.Action) -> bytes:
    """One action as its record."""
    match action:
        case api.Send(id_, engine, timeout):
            return _SEND.pack(10, instance, id_, int(timeout * NS), engine)
        case api.SetResources(id_, priority, memory):
            return _TUNE.pack(130, instance, id_, priority, memory)
        case api.SetTimer(delay, token):
            return _TIMER.pack(50, instance, min(_ns(delay), LONGEST_TIMER_NS), token)
        case api.Reject(id_, retry_after, _):
            return _REFUSE.pack(20, instance, id_, _ns(retry_after))
        case api.Fail(id_):
            return _TWO.pack(30, instance, id_)
        case api.CancelAttempt(id_, attempt):
            return _CANCEL.pack(40, instance, id_, attempt)
        case api.CheckHealth(engine):
            return _TWO.pack(60, instance, engine)
        case api.CloseIdleConnections(engine):
            return _TWO.pack(70, instance, engine)
        case api.SendToPeer(peer, data):
            return _TELL.pack(80, instance, EVERY_PEER if peer is None else peer, len(data)) + data
        case api.Log(text):
            return _text(90, instance, text)
        case api.Subscribe(wanted):
            return _WANT.pack(110, instance, wanted)
        case api.FetchEngineList():
            return _BARE.pack(120, instance)
    raise TypeError(f"not an action: {action!r}")


def reply(records: list[bytes]) -> bytes:
    """A whole reply."""
    body = b"".join(records)
    return struct.pack(">II", len(records), len(body)) + body


class Facts:
    """A JSON object of the settings, with errors that name what is missing or wrong."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ValueError(f"setting {path or 'Facts'} is not an object")
        self.data, self.path = data, path

    def get(self, name: str, kind: type, *default: Any) -> Any:
        """One value of the kind; the default stands for a key that the wire lets be absent."""
        where = f"{self.path}.{name}" if self.path else name
        value = self.data.get(name)
        if value is None:
            if default:
                return default[0]
            raise ValueError(f"missing setting {where}")
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
            raise ValueError(f"impossible setting {where}: {value!r}")
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError(f"impossible setting {where}: {value!r}")
        return value

    def seconds(self, name: str, *default: float) -> float:
        """A duration, told in nanoseconds."""
        value: float = self.get(name, float, *(d * NS for d in default))
        return value / NS

    def sub(self, name: str) -> Facts:
        """An object within this one."""
        return Facts(self.get(name, dict), f"{self.path}.{name}" if self.path else name)

    def choice(self, name: str, words: dict[str, Any]) -> Any:
        """One of the wire's words."""
        word = self.get(name, str)
        if word not in words:
            raise ValueError(f"impossible setting {self.path}.{name}: {word!r}")
        return words[word]

    def places(self, name: str) -> frozenset[int] | None:
        """A set of places in a settings list; None where the key is absent."""
        values = self.get(name, list, None)
        if values is None:
            return None
        if not all(isinstance(v, int) and not isinstance(v, bool) for v in values):
            raise ValueError(f"impossible setting {self.path}.{name}: {values!r}")
        return frozenset(values)


def _class(facts: Facts, threads: int, holds: bool, waits: bool) -> api.RequestClass:
    groups = {group.value: group for group in api.IdempotencyScope}
    return api.RequestClass(
        name=facts.get("Name", str),
        latency_objective=facts.seconds("TargetNs"),
        objective_per_work=facts.get("AimStretch", float, 0.0),
        deadline=facts.seconds("DeadlineNs"),
        priority_weight=facts.get("Credit", float),
        late_weight_share=facts.get("LateShare", float, 0.0),
        idempotency=facts.choice("Effect", EFFECTS),
        idempotency_scope=facts.choice("Group", groups) if "Group" in facts.data else api.IdempotencyScope.ALL,
        idempotency_window=facts.seconds("WindowNs", 0.0),
        ordered=facts.get("FifoByKey", bool, False),
        threads=threads,
        zones=facts.places("ConfinedTo"),
        machine_kinds=facts.places("BoundTo"),
        locks_tables=holds,
        waits_for_locks=waits,
    )


def _account(facts: Facts) -> api.TenantQuota:
    share, rate = facts.get("Share", float, 1.0), facts.get("QuotaRps", float, 0.0)
    return api.TenantQuota(facts.get("Name", str), share, rate)


def _listed(facts: Facts, name: str, length: int) -> list[Any]:
    values: list[Any] = facts.get(name, list)
    if len(values) < length or not all(isinstance(v, (int, float)) for v in values):
        raise ValueError(f"impossible setting {facts.path}.{name}: {values!r}")
    return values


def settings(text: bytes) -> api.Settings:
    """The settings of an instance from its JSON text."""
    try:
        facts = Facts(json.loads(text))
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        raise WireError(f"the settings are not JSON: {error}") from None
    family, allowed, rules = facts.sub("FamilyInfo"), facts.sub("Allowed"), facts.sub("Contract")
    prices, report = facts.sub("Prices"), facts.sub("Report")
    grades, kinds = facts.get("Grades", list), facts.get("Kinds", list)
    accounts = facts.get("Accounts", list, [])
    threads = _listed(family, "WidthByClass", len(grades))
    cores, memory = _listed(family, "CoresByKind", len(kinds)), _listed(family, "RamOfKindMb", len(kinds))
    # loads and what waits for them; older settings tell of none
    none = [False] * len(grades)
    holds, waits = family.get("HoldsTables", list, none), family.get("ClassWaits", list, none)
    if len(holds) < len(grades) or len(waits) < len(grades):
        raise ValueError(f"impossible setting {family.path}: HoldsTables or ClassWaits is too short")
    return api.Settings(
        instance_number=facts.get("Me", int),
        gateway_count=facts.get("Siblings", int),
        zone=facts.get("Zone", int),
        zones=tuple(facts.get("Zones", list)),
        machine_kinds=tuple(
            api.MachineKind(str(k), c, float(m)) for k, c, m in zip(kinds, cores, memory, strict=False)
        ),
        classes=tuple(
            _class(Facts(g, f"Grades[{i}]"), threads[i], bool(holds[i]), bool(waits[i])) for i, g in enumerate(grades)
        ),
        limits=api.Limits(
            cancellation=allowed.get("Cancelling", bool),
            hedging=allowed.get("MayDuplicate", bool),
            health_checks=allowed.get("Probing", bool, False),
            peer_messages=allowed.get("Peers", bool, False),
            retry_after=allowed.get("RetryAfter", bool),
            max_attempts=allowed.get("MaxAttempts", int),
            max_retry_after=allowed.seconds("MaxRetryAfterNs", 0.0),
            connect_timeout=allowed.seconds("ConnectTimeoutNs", 1.0),
            idle_timeout=allowed.seconds("ConnIdleNs", 30.0),
            attempts_per_connection=allowed.get("Multiplex", int, 100),
        ),
        rules=api.Rules(
            answer_slack=rules.seconds("AnswerSlackNs"),
            poll_interval=rules.seconds("AskWithinNs", 0.0),
            slow_start_share=rules.get("ColdShare", float),
            slow_start_time=rules.seconds("ColdNs"),
            drain_grace=rules.seconds("DrainGraceNs"),
            overload_multiple=rules.get("FallMultiple", float),
            overload_time=rules.seconds("TipAfterNs"),
            ordering_settle_time=rules.seconds("SettleAfterDoubtNs", 0.0),
            retry_budget_floor=rules.get("ExtraFree", float, None),
            retry_budget_share=rules.get("ExtraPerRequest", float, 0.0),
            retry_budget_window=rules.seconds("BudgetSpanNs", 0.0),
        ),
        prices=api.Prices(
            prices.get("CrossZone", float, 0.0),
            prices.get("Waste", float, 0.0),
            prices.get("LateFail", float, 0.0),
        ),
        polls_discovery=facts.choice("Discovery", {"push": False, "ask": True}),
        report_fields=() if report.get("Via", str) == "silent" else tuple(report.get("Columns", list, [])),
        heeds_memory_grants=family.get("TakesGrants", bool, False),
        heeds_priorities=family.get("RanksHeeded", bool, False),
        max_grant_share=family.get("MostGrant", float, 1.0),
        progress_interval=family.seconds("TellsEveryNs", 0.0),
        reports_cost=family.get("TellsCost", bool, False),
        memory_shortage_policy=family.get("Overbooked", str, "wait"),
        clients_mark_retries=facts.sub("Clients").get("MarksRetry", bool, False),
        tick=facts.seconds("TickNs"),
        tenants=tuple(Facts(a, f"Accounts[{i}]").get("Name", str) for i, a in enumerate(accounts)),
        tenant_quotas=tuple(_account(Facts(a, f"Accounts[{i}]")) for i, a in enumerate(accounts)),
    )
