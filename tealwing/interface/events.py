"""The events that a gateway's host hands to the decision module.

Times and durations are seconds, memory is in megabytes. Engines, requests, classes, zones and machine kinds are
numbers; a class, zone or kind is its place in the settings.
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


NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
WAITING_FOR_LOAD = 2.0  # AttemptProgress.amount of a WAITING attempt that waits for a load's table locks


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
