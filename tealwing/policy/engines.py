"""Engines as this gateway sees them, their evidence, and the requests with attempts there."""

from __future__ import annotations

from collections import Counter, deque
from math import inf

from tealwing import interface as api
from tealwing.policy.rates import ANSWER_WEIGHT, MIN_LATENCY, ClassTraffic
from tealwing.policy.tables import interpolate

SHRINKAGE_SAMPLES = 50.0  # answers that the fleet's mean counts for in an engine's: noise must not look like speed
SLOWDOWN_RETENTION = 0.6  # share of a pace that a rebuild keeps: a memory of two seconds
SLOWDOWN_PRIOR_ANSWERS = 3.0  # answers that a pace's prior counts for: one long query is no jam
MAX_REPORTED = {"inflight": 1e4, "queue": 1e4}  # beyond which a reported value is read as this: absurd ones
MAX_REPORTED_SHARE = 4.0  # the same for shares
OVERLOAD_SLOWDOWN = 3.0  # latency of late over the best that means pressure
OVERLOAD_THRESHOLDS = {"util": 0.85, "x1": 0.9, "x0": 0.9, "queue": 0.5, "load": 1.0}  # values that mean pressure
SLOWDOWN_AT_CAPACITY = 4.0  # slowness that stands for m where no count is reported: twice the sharing at m
MIN_SUCCESS_SHARE = 0.05  # least share of successes in mu: keeps the index finite
BAD_QUERY_ENGINES = 2  # engines with errors at which a query is held to be at fault itself, not they


class SlowdownEstimate:
    """Latency over the best, as query-seconds over answers; also of what is out: answers alone hide a jam."""

    def __init__(self, now: float = 0.0) -> None:
        # queries' time out over their class's best; answers
        self.normalized_time = 0.0
        self.completed = 0.0
        self.updated_at = now

    def advance(self, now: float, in_flight_over_best: float) -> None:
        """Time went by with so many queries out, each over its class's best."""
        self.normalized_time = self.normalized_time + in_flight_over_best * (now - self.updated_at)
        self.updated_at = now

    def estimate_and_decay(self, prior: float) -> float:
        """Slowness as a second ends, drawn to the usual; then what it was read from fades."""
        slowdown = (self.normalized_time + SLOWDOWN_PRIOR_ANSWERS * prior) / (self.completed + SLOWDOWN_PRIOR_ANSWERS)
        self.normalized_time = SLOWDOWN_RETENTION * self.normalized_time
        self.completed = SLOWDOWN_RETENTION * self.completed
        return slowdown


class ClassEstimate:
    """What one engine shows for one class: mu, and the counts behind j."""

    def __init__(self, now: float) -> None:
        self.latency, self.samples = 0.0, 0.0
        self.in_flight = self.unreported = 0  # attempts out; those sent since the last report
        self.overload_share, self.index = 0.0, 0.0  # share of j past m; the index below m, as of the last view
        self.query_count, self.capacity, self.index_table = 0.0, inf, list[float]()  # where m binds
        # the last lot while cold; s it waited for; its time
        self.sampling_key = -1.0
        self.draw_interval = 0.0
        self.drawn_at = now

    def index_at(self, count_factor: float) -> float:
        """The index at j as one query reads it."""
        count = self.query_count * count_factor
        return interpolate(self.index_table, count) if count + 1 > self.capacity else self.index

    def service_rate(self, traffic: ClassTraffic) -> float:
        """Completions per second and query, where none fails."""
        latency = traffic.mean_latency + self.samples / (self.samples + SHRINKAGE_SAMPLES) * (
            self.latency - traffic.mean_latency
        )
        return 1 / max(latency, MIN_LATENCY)

    def record_latency(self, elapsed: float) -> None:
        """Take in one latency."""
        self.samples = min(self.samples + 1, 1 / ANSWER_WEIGHT)
        self.latency += (elapsed - self.latency) / self.samples


class Engine:
    """One engine as this gateway sees it."""

    def __init__(self, entry: api.EngineListEntry, settings: api.Settings, now: float) -> None:
        self.id, self.zone, self.kind, self.cell = entry.engine, entry.zone, entry.kind, entry.cell
        self.ready, self.started = entry.health is api.Health.READY, entry.started
        kind, self.rules = settings.machine_kinds[min(self.kind, len(settings.machine_kinds) - 1)], settings.rules
        self.cores, self.ram = kind.cores, max(kind.memory, 1.0)
        self.slow_start_until = self.started + self.rules.slow_start_time if self.started > 0 else -inf
        self.estimates = [ClassEstimate(now) for _ in settings.classes]
        self.report, self.report_values = dict[str, float](), tuple[float, ...]()
        self.report_count, self.reported_at = 0, -inf  # distinct reports seen; when the last came
        # latency over the best; is full
        self.slowdown_estimate = SlowdownEstimate(now)
        self.slowdown = 1.0
        self.full_until = -inf
        self.other_queries = 0.0  # other gateways' queries there, by the last report or by the fleet's mean
        # MB of this gateway's attempts there; share of its memory, of all
        self.memory_reserved = 0.0
        self.memory_utilization = 0.0
        self.threads = self.queries = 0  # of this gateway's attempts there
        self.load, self.indices_valid_until = 0.0, -inf  # threads a core; until when load and indices hold
        self.slow_start_sends: deque[tuple[float, float]] = deque()  # times and work sent while cold
        self.outcomes, self.failures, self.failed_at = 0.0, 0.0, -inf  # outcomes, fading; the last failure
        self.latency_factor, self.delisted = 1.0, False  # what peers add to its latency, a factor; left the list
        # by group: ours; until when others'
        self.lock_holders = Counter[float]()
        self.remote_locks_until = dict[float, float]()

    @property
    def success(self) -> float:
        """Share of successes, one of them beforehand: a failure says more where an engine is seldom met."""
        return max((self.outcomes - self.failures + 1) / (self.outcomes + 1), MIN_SUCCESS_SHARE)

    def warm_up_progress(self, now: float) -> float:
        """Share of its capacity, by the contract's figures: a straight slow start."""
        if now >= self.slow_start_until:
            return 1.0
        passed = max(now - self.started, 0.0) / self.rules.slow_start_time
        return self.rules.slow_start_share + (1 - self.rules.slow_start_share) * passed

    def accepts(self, cls: api.RequestClass, within: frozenset[int] | None = None) -> bool:
        """Whether the class may be placed there, and a request of it that is kept within some zones."""
        placed = (cls.zones is None or self.zone in cls.zones) and (within is None or self.zone in within)
        return placed and (cls.machine_kinds is None or self.kind in cls.machine_kinds)

    def is_locked(self, group: float, now: float) -> bool:
        """Whether a load holds the group of tables there, as far as we know."""
        return group in self.lock_holders or self.remote_locks_until.get(group, -inf) > now

    def apply_report(self, field_names: tuple[str, ...], values: tuple[float, ...], now: float) -> bool:
        """Take in a load report; one equal to the last is the same report again. NaN counts as absent."""
        if not values or values == self.report_values:
            return False
        self.report_values, self.report_count, self.reported_at = values, self.report_count + 1, now
        pairs = zip(field_names, values, strict=False)
        self.report = {name: min(v, MAX_REPORTED.get(name, MAX_REPORTED_SHARE)) for name, v in pairs if v >= 0}
        for estimate in self.estimates:
            estimate.unreported = 0
        if "inflight" in self.report:  # our own queries by our books, as reports may be old; others' by these
            self.other_queries = max(0.0, self.report["inflight"] - self.queries)
        return True

    def query_count(
        self, cls: int, traffic: ClassTraffic, settings: api.Settings, capacity: float, unreported_weight: int = 1
    ) -> float:
        """j: the threads there, by our books and the report, as queries of the class."""
        threads = self.other_queries * traffic.weighted_threads
        for estimate, other, weight in zip(self.estimates, settings.classes, traffic.thread_weights, strict=True):
            threads += (
                (estimate.in_flight + (unreported_weight - 1) * min(estimate.unreported, estimate.in_flight))
                * other.threads
                * weight
            )
        utilization = self.report.get(
            "x0", self.memory_utilization * traffic.weighted_share
        )  # memory is occupancy too: in full it holds m
        if "inflight" not in settings.report_fields:  # nor does one that slows all queries so far hold less
            utilization = max(utilization, (self.slowdown - 1.0) / (SLOWDOWN_AT_CAPACITY - 1.0))
        return max(
            threads / settings.classes[cls].threads,
            utilization * capacity + self.estimates[cls].unreported * unreported_weight,
        )

    def is_overloaded(self, now: float, load: float) -> bool:
        """Whether m and n bind: a full refusal, a busy report, busy cores, or latency far above the best."""
        saturated = (
            now < self.full_until
            or max(load, self.memory_utilization) > OVERLOAD_THRESHOLDS["load"]
            or self.slowdown > OVERLOAD_SLOWDOWN
        )
        return saturated or any(self.report.get(name, 0.0) > limit for name, limit in OVERLOAD_THRESHOLDS.items())


class Attempt:
    """One send of a state."""

    def __init__(self, engine: Engine, sent: float) -> None:
        self.engine, self.sent_at, self.report_count, self.progress_due_at = (
            engine,
            sent,
            engine.report_count,
            inf,
        )  # due: for its note
        self.ended, self.may_have_run, self.blamed_failures = False, True, 0.0  # failures that its error counted for


class RequestState:
    """A request from its arrival until it is over and nothing of it is out."""

    def __init__(self, request: api.Request, traffic: ClassTraffic, now: float, lot: float) -> None:
        self.request, self.traffic, self.cls, self.deadline = (
            request,
            traffic,
            traffic.cls,
            now + request.time_remaining,
        )
        self.key, self.ended = request.key if traffic.cls.ordered else 0, False  # 0: no order
        self.attempts, self.sampling_key = list[Attempt](), lot  # its lot decides where fixed shares are too small

    def in_flight(self) -> int:
        """Attempts without an outcome."""
        return sum(not attempt.ended for attempt in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Attempts that may have run."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def is_bad_query(self) -> bool:
        """Whether so many engines answered it with errors that the query itself must be at fault."""
        return len({attempt.engine.id for attempt in self.attempts if attempt.blamed_failures}) >= BAD_QUERY_ENGINES

    def may_reject(self) -> bool:
        """Whether a refusal keeps the effect rule."""
        discarded = (
            self.cls.idempotency is api.Idempotency.KEYED and self.cls.idempotency_scope is api.IdempotencyScope.ALL
        )
        return discarded or self.cls.idempotency is api.Idempotency.IDEMPOTENT or not self.possibly_executed()
