"""The records that pass between a gateway and its host: settings, events and actions.

Times and durations are seconds, memory is in megabytes, rates are per second. Engines, requests, classes,
zones and kinds are plain numbers; a class, zone or kind is its place in the settings. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


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


class Health(Enum):
    """An engine's state in the engine list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EngineListKind(Enum):
    """What a list event carries."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class AttemptResult(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class ProgressKind(Enum):
    """What a progress note tells."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


# What the contract says

NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
WAITING_FOR_LOAD = 2.0  # the amount of a note of NoteKind.WAITS when a load holds the attempt's tables
PRIORITY_SHARES = (1, 4, 8, 16)  # of short cores and disks, by priority
DEFAULT_PRIORITY = 1  # the priority of a query for which none was named
CAPACITY_UTILIZATION = 0.85  # busy share of the cores that the fail-back rule calls capacity


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


# Events


@dataclass(frozen=True, slots=True)
class EngineListEntry:
    """One engine of the engine list; started is 0 where it runs since long ago."""

    engine: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started: float


@dataclass(frozen=True, slots=True)
class EngineList:
    """News of the engine list."""

    kind: EngineListKind
    version: int
    entries: tuple[EngineListEntry, ...]


@dataclass(slots=True)
class Request:
    """A client's request; cost is seconds of work and None without an estimate, key 0 is none.

    zones has those whose engines its locality allows, fixed when it was admitted: None is all, an empty set nobody.
    """

    id: int
    cls: int
    time_remaining: float
    dataset: float = 0.0
    cost: float | None = None
    key: int = 0
    tenant: int = 0
    memory_estimate: float = 0.0
    is_client_retry: bool = False
    is_write: bool = False
    zones: frozenset[int] | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """The end of one attempt; report has the values of Settings.report_fields, or is empty."""

    id: int
    attempt: int
    engine: int
    result: AttemptResult
    elapsed: float
    request_ended: bool
    cost: float = 0.0
    memory_used: float = 0.0
    report: tuple[float, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun."""

    id: int
    attempt: int
    engine: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Word of an attempt that is still out."""

    id: int
    attempt: int
    engine: int
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a probe."""

    engine: int
    result: AttemptResult
    elapsed: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has gone; nothing is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the gateway set."""

    token: int


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The service level in force, from tealwing.levels; number 0 with all admitted ends it.

    admitted is the chance of a new request by class and account; attempts, by class, is the most that a request safe
    to repeat may have, 0 where the deployment's limit stands; pushback is the least and the most that one turned
    away is told to wait.
    """

    number: int
    name: str
    admission_probability: tuple[tuple[float, ...], ...]
    max_attempts: tuple[int, ...]
    retry_after_range: tuple[float, float]

    @property
    def is_full_service(self) -> bool:
        """Whether nothing is reduced."""
        return not self.number and all(chance >= 1 for chances in self.admission_probability for chance in chances)


@dataclass(frozen=True, slots=True)
class EngineHealthEstimates:
    """What peers are believed about engines, from tealwing.gossip: all of it, each time.

    By engine and start (ms of the Unix clock, 0 long ago), the factor, above 1, on the latency to expect there.
    """

    latency_factors: dict[tuple[int, int], float]


@dataclass(frozen=True, slots=True)
class HostLoad:
    """The gateway's own state, for tealwing.levels: means of the last moments.

    lag is from a request's last byte to its first attempt, unread the age of what waited to be read, and processor
    the time that this process took of its share of the processor.
    """

    dispatch_delay: float
    unread_age: float
    cpu_utilization: float


Event = (
    EngineList
    | Request
    | AttemptOutcome
    | StreamStarted
    | AttemptProgress
    | HealthCheckResult
    | PeerMessage
    | ClientGone
    | TimerFired
    | ServiceLevel
    | HostLoad
    | EngineHealthEstimates
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Hand the request to an engine, for timeout seconds at most."""

    id: int
    engine: int
    timeout: float


@dataclass(frozen=True, slots=True)
class SetResources:
    """Memory and priority of the request's next attempts; the priority also of those out."""

    id: int
    priority: int
    memory: float


@dataclass(frozen=True, slots=True)
class Reject:
    """A final no; retry_after 0 gives no advice. shed: a service level turned it away, not the fleet's state."""

    id: int
    retry_after: float
    is_load_shedding: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """A final failure; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerFired after delay seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask an engine how it is."""

    engine: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to an engine."""

    engine: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Bytes for one gateway, or for all where peer is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the engine list from now on, or end that."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEngineList:
    """Ask for the whole engine list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' report."""

    text: str


Action = (
    Send
    | SetResources
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendToPeer
    | Subscribe
    | FetchEngineList
    | Log
)
