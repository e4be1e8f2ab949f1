"""The events that a gateway's host passes to the decision module.

Times and durations are seconds, memory is in megabytes. Engines, requests, classes, zones and machine kinds are
numbers; a class, zone or kind is given by its index in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Health(Enum):
    """An engine's state in the engine list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EngineListKind(Enum):
    """The content of an engine list event."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class ProgressKind(Enum):
    """The subject of a progress update."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
WAITING_FOR_LOAD = 2.0  # AttemptProgress.amount of a WAITING attempt that waits for a bulk load's table locks


@dataclass(frozen=True, slots=True)
class EngineListEntry:
    """One engine of the engine list; started is 0 if it started long ago."""

    engine: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started: float


@dataclass(frozen=True, slots=True)
class EngineList:
    """An update of the engine list, or the failure to fetch one."""

    kind: EngineListKind
    version: int
    entries: tuple[EngineListEntry, ...]


@dataclass(slots=True)
class Request:
    """A client's request; cost is the estimated work in seconds, None without an estimate; key 0 means no key.

    dataset is the number of its group of tables, which a bulk load locks on its engine.
    zones has the zones whose engines may serve it by locality, fixed at its admission; None allows all zones, an empty
    set none.
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
    """The outcome of one attempt; report has the values of Settings.report_fields, or is empty."""

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
    """The streamed answer of an attempt has begun."""

    id: int
    attempt: int
    engine: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """A progress update of an attempt in flight."""

    id: int
    attempt: int
    engine: int
    kind: ProgressKind
    amount: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check."""

    engine: int
    result: AttemptResult
    elapsed: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected; its request needs no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the gateway set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The service level in force, from tealwing.levels; number 0 with all requests admitted is full service.

    admission_probability is by class and account. max_attempts, by class, limits the attempts of an idempotent
    request; 0 keeps the deployment's limit. retry_after_range has the shortest and the longest Retry-After of a
    rejection.
    """

    number: int
    name: str
    admission_probability: tuple[tuple[float, ...], ...]
    max_attempts: tuple[int, ...]
    retry_after_range: tuple[float, float]

    @property
    def is_full_service(self) -> bool:
        """Whether the level reduces nothing."""
        return not self.number and all(chance >= 1 for chances in self.admission_probability for chance in chances)


@dataclass(frozen=True, slots=True)
class EngineHealthEstimates:
    """The peers' estimates of engines, from tealwing.gossip; each event replaces the previous one.

    latency_factors has the factor, above 1, on an engine's expected latency, by engine and its start in ms since the
    Unix epoch (0: long ago).
    """

    latency_factors: dict[tuple[int, int], float]


@dataclass(frozen=True, slots=True)
class HostLoad:
    """The gateway's own load, for tealwing.levels, as recent means.

    dispatch_delay is the time from a request's last byte to its first attempt, unread_age the age of input that waits
    to be read, and cpu_utilization the part of its share of the processor that this process used.
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
