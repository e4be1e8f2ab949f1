"""The records that pass between a gateway and its host: settings, events and actions.

Times and durations are seconds, memory is in megabytes, rates are per second. Engines, requests, classes,
zones and kinds are plain numbers; a class, zone or kind is its place in the settings. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What repeating a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which engines discard the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    """An engine's state in the engine list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a list event carries."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class NoteKind(Enum):
    """What a progress note tells."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


# What the contract says

NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
FOR_A_LOAD = 2.0  # the amount of a note of NoteKind.WAITS when a load holds the attempt's tables
SHARES = (1, 4, 8, 16)  # of short cores and disks, by priority
USUAL_RANK = 1  # the priority of a query for which none was named
COLD_LOAD = 0.85  # busy share of the cores that the fail-back rule calls capacity


def _need(holds: bool, name: str, value: object) -> None:
    if not holds:
        raise ValueError(f"impossible setting {name}: {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim: float
    aim_stretch: float
    deadline: float
    worth: float
    late_share: float
    effect: Effect
    group: Group
    window: float
    ordered: bool
    threads: int
    zones: frozenset[int] | None
    kinds: frozenset[int] | None
    holds: bool = False  # its group of tables, on its engine, while it runs
    waits: bool = False  # while another holds its group there

    def __post_init__(self) -> None:
        _need(self.aim > 0, "class aim", self.aim)
        _need(self.deadline > 0, "class deadline", self.deadline)
        _need(self.worth >= 0, "class worth", self.worth)
        _need(self.threads >= 1, "class threads", self.threads)
        _need(self.window >= 0, "class window", self.window)


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of machine."""

    name: str
    cores: int
    memory: float

    def __post_init__(self) -> None:
        _need(self.cores >= 1, "kind cores", self.cores)
        _need(self.memory >= 0, "kind memory", self.memory)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows."""

    cancel: bool
    duplicates: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_attempts: int
    max_retry_after: float
    connect_timeout: float = 1.0
    idle_time: float = 30.0
    multiplex: int = 100

    def __post_init__(self) -> None:
        _need(self.connect_timeout > 0, "connect timeout", self.connect_timeout)
        _need(self.idle_time > 0, "connection idle time", self.idle_time)
        _need(self.multiplex >= 1, "multiplex", self.multiplex)
        _need(self.max_attempts >= 1, "max attempts", self.max_attempts)
        _need(self.max_retry_after >= 0, "max retry-after", self.max_retry_after)


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules; the optional ones are None where the rule is not set."""

    answer_slack: float
    ask_within: float
    cold_share: float
    cold_time: float
    drain_grace: float
    fall_multiple: float
    fall_time: float
    order_settle: float
    ration_free: float | None
    ration_share: float
    ration_window: float

    def __post_init__(self) -> None:
        _need(0 < self.cold_share <= 1, "cold share", self.cold_share)
        _need(self.fall_multiple > 0, "fall multiple", self.fall_multiple)
        _need(self.fall_time > 0, "fall time", self.fall_time)
        for name in ("answer_slack", "ask_within", "cold_time", "drain_grace", "order_settle"):
            _need(getattr(self, name) >= 0, name.replace("_", " "), getattr(self, name))


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result: per crossing attempt, per share of work wasted, per worth failed late."""

    cross_zone: float
    waste: float
    late_fail: float


@dataclass(frozen=True, slots=True)
class Account:
    """One client account: its share of the service, and the requests a second that lie within it, over all gateways."""

    name: str
    share: float
    rate: float

    def __post_init__(self) -> None:
        _need(0 <= self.share <= 1, "account share", self.share)
        _need(self.rate >= 0, "account rate", self.rate)


@dataclass(frozen=True, slots=True)
class Settings:
    """All that one gateway is told at its start."""

    me: int
    gateways: int
    zone: int
    zones: tuple[str, ...]
    kinds: tuple[Kind, ...]
    classes: tuple[RequestClass, ...]
    limits: Limits
    rules: Rules
    prices: Prices
    ask: bool
    report_fields: tuple[str, ...]
    grants: bool
    priorities: bool
    most_grant: float
    notes_every: float
    tells_cost: bool
    when_short: str
    marks_retry: bool
    tick: float
    tenants: tuple[str, ...] = ()
    accounts: tuple[Account, ...] = ()  # in the order of tenants; empty where shares are not told

    def __post_init__(self) -> None:
        _need(self.gateways >= 1, "gateways", self.gateways)
        _need(bool(self.classes), "classes", self.classes)
        _need(bool(self.kinds), "kinds", self.kinds)
        _need(self.tick >= 0, "tick", self.tick)


# Events


@dataclass(frozen=True, slots=True)
class ListEntry:
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

    kind: ListKind
    version: int
    entries: tuple[ListEntry, ...]


@dataclass(slots=True)
class Request:
    """A client's request; cost is seconds of work and None without an estimate, key 0 is none.

    zones has those whose engines its locality allows, fixed when it was admitted: None is all, an empty set nobody.
    """

    id: int
    cls: int
    time_left: float
    dataset: float = 0.0
    cost: float | None = None
    key: int = 0
    tenant: int = 0
    need: float = 0.0
    resubmitted: bool = False
    write: bool = False
    zones: frozenset[int] | None = None


@dataclass(slots=True)
class Outcome:
    """The end of one attempt; report has the values of Settings.report_fields, or is empty."""

    id: int
    attempt: int
    engine: int
    result: Result
    elapsed: float
    over: bool
    cost: float = 0.0
    need: float = 0.0
    report: tuple[float, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun."""

    id: int
    attempt: int
    engine: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class Note:
    """Word of an attempt that is still out."""

    id: int
    attempt: int
    engine: int
    kind: NoteKind
    amount: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe."""

    engine: int
    result: Result
    elapsed: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HungUp:
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
    admitted: tuple[tuple[float, ...], ...]
    attempts: tuple[int, ...]
    pushback: tuple[float, float]

    @property
    def full(self) -> bool:
        """Whether nothing is reduced."""
        return not self.number and all(chance >= 1 for chances in self.admitted for chance in chances)


@dataclass(frozen=True, slots=True)
class Beliefs:
    """What peers are believed about engines, from tealwing.gossip: all of it, each time.

    By engine and start (ms of the Unix clock, 0 long ago), the factor, above 1, on the latency to expect there.
    """

    doubts: dict[tuple[int, int], float]


@dataclass(frozen=True, slots=True)
class HostLoad:
    """The gateway's own state, for tealwing.levels: means of the last moments.

    lag is from a request's last byte to its first attempt, unread the age of what waited to be read, and processor
    the time that this process took of its share of the processor.
    """

    lag: float
    unread: float
    processor: float


Event = (
    EngineList
    | Request
    | Outcome
    | StreamStarted
    | Note
    | ProbeResult
    | PeerMessage
    | HungUp
    | TimerFired
    | ServiceLevel
    | HostLoad
    | Beliefs
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Hand the request to an engine, for timeout seconds at most."""

    id: int
    engine: int
    timeout: float


@dataclass(frozen=True, slots=True)
class Tune:
    """Memory and priority of the request's next attempts; the priority also of those out."""

    id: int
    priority: int
    memory: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """A final no; retry_after 0 gives no advice. shed: a service level turned it away, not the fleet's state."""

    id: int
    retry_after: float
    shed: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """A final failure; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for TimerFired after delay seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an engine how it is."""

    engine: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to an engine."""

    engine: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Bytes for one gateway, or for all where peer is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the engine list from now on, or end that."""

    wanted: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole engine list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' report."""

    text: str


Action = Send | Tune | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Subscribe | FetchList | Log
