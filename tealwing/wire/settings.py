"""The parser of the platform's JSON settings, which returns `tealwing.interface.Settings`.

It maps the platform's keys to the names that the rest of the program uses.
"""

from __future__ import annotations

import json
import math
from typing import Any

from tealwing import interface as api
from tealwing.wire.errors import WireError

NS = 1_000_000_000  # nanoseconds in a second
RETRY_BUDGET_KEYS = ("ExtraFree", "ExtraPerRequest", "BudgetSpanNs")
IDEMPOTENCY = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.KEYED,
    "once": api.Idempotency.NOT_IDEMPOTENT,
}


class SettingsObject:
    """A JSON object of the settings; its errors name the key that is missing or has an invalid value."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, dict):
            raise ValueError(
                f"{f'setting {path}' if path else 'the settings'}: expected a JSON object, got a {type(data).__name__}"
            )
        self.data, self.path = data, path

    def get(self, name: str, kind: type, *default: Any) -> Any:
        """Return the key's value, which must be of the kind; a default makes the key optional."""
        where = f"{self.path}.{name}" if self.path else name
        value = self.data.get(name)
        if value is None:
            if default:
                return default[0]
            raise ValueError(f"missing setting {where}, expected a value of type {kind.__name__}")
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
            raise ValueError(f"invalid setting {where}: {value!r}, expected a value of type {kind.__name__}")
        if isinstance(value, float) and not math.isfinite(value):
            raise ValueError(f"invalid setting {where}: {value!r}, expected a finite number")
        return value

    def has(self, name: str) -> bool:
        """Whether the key is present."""
        return self.data.get(name) is not None

    def seconds(self, name: str, *default: float) -> float:
        """Return a duration in seconds; the key has nanoseconds."""
        value: float = self.get(name, float, *(d * NS for d in default))
        return value / NS

    def sub(self, name: str) -> SettingsObject:
        """Return the object that is the key's value."""
        return SettingsObject(self.get(name, dict), f"{self.path}.{name}" if self.path else name)

    def choice(self, name: str, values: dict[str, Any]) -> Any:
        """Return the value that the key's word maps to."""
        value = self.get(name, str)
        if value not in values:
            raise ValueError(f"invalid setting {self.path}.{name}: {value!r}, expected one of {list(values)}")
        return values[value]

    def indices(self, name: str) -> frozenset[int] | None:
        """Return a set of indices into a list of the settings; None if the key is absent."""
        values = self.get(name, list, None)
        if values is None:
            return None
        if not all(isinstance(v, int) and not isinstance(v, bool) for v in values):
            raise ValueError(f"invalid setting {self.path}.{name}: {values!r}, expected a list of integers")
        return frozenset(values)


def _idempotency(document: SettingsObject) -> tuple[api.Idempotency, api.IdempotencyScope, float]:
    """Return a class's effect, and the scope and window (s) in which repeats of its requests are discarded.

    A class whose requests have keys must name scope and window. Other classes don't use them, unless rules give them
    another effect: without the keys they then allow the least.
    """
    groups = {group.value: group for group in api.IdempotencyScope}
    effect: api.Idempotency = document.choice("Effect", IDEMPOTENCY)
    is_keyed = effect is api.Idempotency.KEYED
    scope = api.IdempotencyScope.CELL
    if is_keyed or document.has("Group"):
        scope = document.choice("Group", groups)
    window = document.seconds("WindowNs") if is_keyed else document.seconds("WindowNs", 0.0)
    return effect, scope, window


def _class(document: SettingsObject, threads: int, locks: bool, waits: bool) -> api.RequestClass:
    effect, scope, window = _idempotency(document)
    return api.RequestClass(
        name=document.get("Name", str),
        latency_objective=document.seconds("TargetNs"),
        objective_per_work=document.get("AimStretch", float, 0.0),
        deadline=document.seconds("DeadlineNs"),
        priority_weight=document.get("Credit", float),
        late_weight_share=document.get("LateShare", float, 0.0),
        idempotency=effect,
        idempotency_scope=scope,
        idempotency_window=window,
        ordered=document.get("FifoByKey", bool, False),
        threads=threads,
        zones=document.indices("ConfinedTo"),
        machine_kinds=document.indices("BoundTo"),
        locks_tables=locks,
        waits_for_locks=waits,
    )


def _account(document: SettingsObject) -> api.TenantQuota:
    share, rate = document.get("Share", float), document.get("QuotaRps", float)
    return api.TenantQuota(document.get("Name", str), share, rate)


def _number_list(document: SettingsObject, name: str, length: int) -> list[Any]:
    values: list[Any] = document.get(name, list)
    if len(values) < length or not all(isinstance(v, (int, float)) for v in values):
        raise ValueError(f"invalid setting {document.path}.{name}: {values!r}, expected at least {length} numbers")
    return values


def _retry_budget(document: SettingsObject) -> tuple[float | None, float, float]:
    """Return the retry budget's floor, share and window in s; the floor is None if there is no budget.

    Its three keys are present together or not at all: without one of them the others would bound nothing.
    """
    if not any(document.has(name) for name in RETRY_BUDGET_KEYS):
        return None, 0.0, 0.0
    floor, share = document.get("ExtraFree", float), document.get("ExtraPerRequest", float)
    return floor, share, document.seconds("BudgetSpanNs")


def parse_settings(text: bytes) -> api.Settings:
    """Return the settings of an instance from their JSON text; raise WireError or ValueError if they are invalid."""
    try:
        document = SettingsObject(json.loads(text))
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        raise WireError(f"the settings are not valid JSON: {error}") from None
    family, allowed, rules = document.sub("FamilyInfo"), document.sub("Allowed"), document.sub("Contract")
    prices, report = document.sub("Prices"), document.sub("Report")
    grades, kinds = document.get("Grades", list), document.get("Kinds", list)
    accounts = document.get("Accounts", list, [])
    budget_floor, budget_share, budget_window = _retry_budget(rules)
    threads = _number_list(family, "WidthByClass", len(grades))
    cores = _number_list(family, "CoresByKind", len(kinds))
    memory = _number_list(family, "RamOfKindMb", len(kinds))
    # older settings have neither key: no class locks tables or waits for locks
    none = [False] * len(grades)
    locks, waits = family.get("HoldsTables", list, none), family.get("ClassWaits", list, none)
    if len(locks) < len(grades) or len(waits) < len(grades):
        raise ValueError(
            f"invalid setting {family.path}: HoldsTables has {len(locks)} entries and ClassWaits {len(waits)},"
            f" expected one per class, {len(grades)}"
        )
    return api.Settings(
        instance_number=document.get("Me", int),
        gateway_count=document.get("Siblings", int),
        zone=document.get("Zone", int),
        zones=tuple(document.get("Zones", list)),
        machine_kinds=tuple(
            api.MachineKind(str(k), c, float(m)) for k, c, m in zip(kinds, cores, memory, strict=False)
        ),
        classes=tuple(
            _class(SettingsObject(g, f"Grades[{i}]"), threads[i], bool(locks[i]), bool(waits[i]))
            for i, g in enumerate(grades)
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
            retry_budget_floor=budget_floor,
            retry_budget_share=budget_share,
            retry_budget_window=budget_window,
        ),
        prices=api.Prices(
            prices.get("CrossZone", float, 0.0),
            prices.get("Waste", float, 0.0),
            prices.get("LateFail", float, 0.0),
        ),
        polls_discovery=document.choice("Discovery", {"push": False, "ask": True}),
        report_fields=() if report.get("Via", str) == "silent" else tuple(report.get("Columns", list, [])),
        heeds_memory_grants=family.get("TakesGrants", bool, False),
        heeds_priorities=family.get("RanksHeeded", bool, False),
        max_grant_share=family.get("MostGrant", float, 1.0),
        progress_interval=family.seconds("TellsEveryNs", 0.0),
        reports_cost=family.get("TellsCost", bool, False),
        memory_shortage_policy=family.get("Overbooked", str, "wait"),
        clients_mark_retries=document.sub("Clients").get("MarksRetry", bool, False),
        tick=document.seconds("TickNs"),
        tenants=tuple(SettingsObject(a, f"Accounts[{i}]").get("Name", str) for i, a in enumerate(accounts)),
        tenant_quotas=tuple(_account(SettingsObject(a, f"Accounts[{i}]")) for i, a in enumerate(accounts)),
    )
