"""The settings that one gateway is told at its start.

Times and durations are seconds, memory is in megabytes, rates are per second. Classes, zones and machine kinds are
numbers: their places in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PRIORITY_SHARES = (1, 4, 8, 16)  # shares of scarce cores and disks, by priority
DEFAULT_PRIORITY = 1  # of a query that names none
CAPACITY_UTILIZATION = 0.85  # busy share of the cores that counts as an engine's capacity in slow start


class Idempotency(Enum):
    """What repeating a request does."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which engines discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(holds: bool, name: str, value: object) -> None:
    if not holds:
        raise ValueError(f"impossible setting {name}: {value!r}")


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
    locks_tables: bool = False  # its group of tables, on its engine, while it runs
    waits_for_locks: bool = False  # while another holds its group there

    def __post_init__(self) -> None:
        _require(self.latency_objective > 0, "class aim", self.latency_objective)
        _require(self.deadline > 0, "class deadline", self.deadline)
        _require(self.priority_weight >= 0, "class worth", self.priority_weight)
        _require(self.threads >= 1, "class threads", self.threads)
        _require(self.idempotency_window >= 0, "class window", self.idempotency_window)


@dataclass(frozen=True, slots=True)
class MachineKind:
    """One kind of machine."""

    name: str
    cores: int
    memory: float

    def __post_init__(self) -> None:
        _require(self.cores >= 1, "kind cores", self.cores)
        _require(self.memory >= 0, "kind memory", self.memory)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows."""

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
        _require(self.connect_timeout > 0, "connect timeout", self.connect_timeout)
        _require(self.idle_timeout > 0, "connection idle time", self.idle_timeout)
        _require(self.attempts_per_connection >= 1, "multiplex", self.attempts_per_connection)
        _require(self.max_attempts >= 1, "max attempts", self.max_attempts)
        _require(self.max_retry_after >= 0, "max retry-after", self.max_retry_after)


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules; the optional ones are None where the rule is not set."""

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
        _require(0 < self.slow_start_share <= 1, "cold share", self.slow_start_share)
        _require(self.overload_multiple > 0, "fall multiple", self.overload_multiple)
        _require(self.overload_time > 0, "fall time", self.overload_time)
        for name in ("answer_slack", "poll_interval", "slow_start_time", "drain_grace", "ordering_settle_time"):
            _require(getattr(self, name) >= 0, name.replace("_", " "), getattr(self, name))


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result: per crossing attempt, per share of work wasted, per worth failed late."""

    cross_zone: float
    waste: float
    late_fail: float


@dataclass(frozen=True, slots=True)
class TenantQuota:
    """One client account: its share of the service, and the requests a second that lie within it, over all gateways."""

    name: str
    share: float
    rate: float

    def __post_init__(self) -> None:
        _require(0 <= self.share <= 1, "account share", self.share)
        _require(self.rate >= 0, "account rate", self.rate)


@dataclass(frozen=True, slots=True)
class Settings:
    """All that one gateway is told at its start."""

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
    tenant_quotas: tuple[TenantQuota, ...] = ()  # in the order of tenants; empty where shares are not told

    def __post_init__(self) -> None:
        _require(self.gateway_count >= 1, "gateways", self.gateway_count)
        _require(bool(self.classes), "classes", self.classes)
        _require(bool(self.machine_kinds), "kinds", self.machine_kinds)
        _require(self.tick >= 0, "tick", self.tick)
