"""The settings that one gateway receives at its start.

Times and durations are seconds, memory is in megabytes, rates are per second. Classes, zones and machine kinds are
given by their indices in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PRIORITY_SHARES = (1, 4, 8, 16)  # shares of scarce cores and disks, by priority
DEFAULT_PRIORITY = 1  # of a query without a priority
CAPACITY_UTILIZATION = 0.85  # busy share of the cores that counts as an engine's capacity in slow start


class Idempotency(Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which engines discard repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(valid: bool, name: str, value: object, expected: str) -> None:
    if not valid:
        raise ValueError(f"invalid setting {name}: {value!r}, expected {expected}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective: float
    objective_per_work: float
    deadline: float
    priority_weight: float
    late_weight_share: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window: float
    ordered: bool
    threads: int
    zones: frozenset[int] | None
    machine_kinds: frozenset[int] | None
    locks_tables: bool = False  # a query locks its group of tables on its engine while it runs
    waits_for_locks: bool = False  # a query waits while another one locks its group on the engine

    def __post_init__(self) -> None:
        _require(self.latency_objective > 0, "class TargetNs in seconds", self.latency_objective, "a number above 0")
        _require(self.deadline > 0, "class DeadlineNs in seconds", self.deadline, "a number above 0")
        _require(self.priority_weight >= 0, "class Credit", self.priority_weight, "a number of at least 0")
        _require(self.threads >= 1, "class WidthByClass", self.threads, "a number of at least 1")
        _require(
            self.idempotency_window >= 0, "class WindowNs in seconds", self.idempotency_window, "a number of at least 0"
        )


@dataclass(frozen=True, slots=True)
class MachineKind:
    """One kind of machine."""

    name: str
    cores: int
    memory: float

    def __post_init__(self) -> None:
        _require(self.cores >= 1, "CoresByKind", self.cores, "a number of at least 1")
        _require(self.memory >= 0, "RamOfKindMb", self.memory, "a number of at least 0")


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the deployment, and which optional features it supports."""

    cancellation: bool
    hedging: bool
    health_checks: bool
    peer_messages: bool
    retry_after: bool
    max_attempts: int
    max_retry_after: float
    connect_timeout: float = 1.0
    idle_timeout: float = 30.0
    attempts_per_connection: int = 100

    def __post_init__(self) -> None:
        _require(self.connect_timeout > 0, "ConnectTimeoutNs in seconds", self.connect_timeout, "a number above 0")
        _require(self.idle_timeout > 0, "ConnIdleNs in seconds", self.idle_timeout, "a number above 0")
        _require(self.attempts_per_connection >= 1, "Multiplex", self.attempts_per_connection, "a number of at least 1")
        _require(self.max_attempts >= 1, "MaxAttempts", self.max_attempts, "a number of at least 1")
        _require(
            self.max_retry_after >= 0, "MaxRetryAfterNs in seconds", self.max_retry_after, "a number of at least 0"
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the platform's rules on sends; retry_budget_floor is None where there is no retry budget."""

    answer_slack: float
    poll_interval: float
    slow_start_share: float
    slow_start_time: float
    drain_grace: float
    overload_multiple: float
    overload_time: float
    ordering_settle_time: float
    retry_budget_floor: float | None
    retry_budget_share: float
    retry_budget_window: float

    def __post_init__(self) -> None:
        _require(0 < self.slow_start_share <= 1, "ColdShare", self.slow_start_share, "a number above 0 and at most 1")
        _require(self.overload_multiple > 0, "FallMultiple", self.overload_multiple, "a number above 0")
        _require(self.overload_time > 0, "TipAfterNs in seconds", self.overload_time, "a number above 0")
        for name in ("answer_slack", "poll_interval", "slow_start_time", "drain_grace", "ordering_settle_time"):
            value = getattr(self, name)
            _require(value >= 0, f"{name.replace('_', ' ')} in seconds", value, "a number of at least 0")


@dataclass(frozen=True, slots=True)
class Prices:
    """Penalties on a run's score: per cross-zone attempt, per share of work wasted, per weight of late failures."""

    cross_zone: float
    waste: float
    late_failure: float


@dataclass(frozen=True, slots=True)
class TenantQuota:
    """The quota of one client account: its share of the service, and its requests per second over all gateways."""

    name: str
    share: float
    rate: float

    def __post_init__(self) -> None:
        _require(0 <= self.share <= 1, "account Share", self.share, "a number from 0 to 1")
        _require(self.rate >= 0, "account QuotaRps", self.rate, "a number of at least 0")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that one gateway receives at its start."""

    instance_number: int
    gateway_count: int
    zone: int
    zones: tuple[str, ...]
    machine_kinds: tuple[MachineKind, ...]
    classes: tuple[RequestClass, ...]
    limits: Limits
    rules: Rules
    prices: Prices
    polls_discovery: bool
    report_fields: tuple[str, ...]
    heeds_memory_grants: bool
    heeds_priorities: bool
    max_grant_share: float
    progress_interval: float
    reports_cost: bool
    memory_shortage_policy: str
    clients_mark_retries: bool
    tick: float
    tenants: tuple[str, ...] = ()
    tenant_quotas: tuple[TenantQuota, ...] = ()  # in the order of tenants; empty where the quotas are not configured

    def __post_init__(self) -> None:
        _require(self.gateway_count >= 1, "Siblings (gateways)", self.gateway_count, "a number of at least 1")
        _require(bool(self.classes), "Grades (classes)", self.classes, "at least one class")
        _require(bool(self.machine_kinds), "Kinds", self.machine_kinds, "at least one machine kind")
        _require(self.tick >= 0, "TickNs in seconds", self.tick, "a number of at least 0")
