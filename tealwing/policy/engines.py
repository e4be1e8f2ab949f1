"""State per engine: reports, latencies, failures, slow start."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from math import inf

from tealwing import interface as api
from tealwing.policy.rates import ANSWER_WEIGHT, MIN_LATENCY, ClassTraffic
from tealwing.policy.tables import interpolate

SHRINKAGE_SAMPLES = 50.0  # weight of the fleet's mean latency in an engine's estimate, in answers
SLOWDOWN_RETENTION = 0.6  # share of the counts that a rebuild keeps: a memory of about two seconds
SLOWDOWN_PRIOR_ANSWERS = 3.0  # weight of the prior, in answers: a single long query is no overload
MAX_REPORTED = {"inflight": 1e4, "queue": 1e4}  # upper bounds on reported counts: larger values are faulty
MAX_REPORTED_SHARE = 4.0  # upper bound on reported shares
OVERLOAD_SLOWDOWN = 3.0  # recent latency over the best latency above which an engine is overloaded
OVERLOAD_THRESHOLDS = {
    "util": 0.85,
    "x1": 0.9,
    "x0": 0.9,
    "queue": 0.5,
    "load": 1.0,
}  # reported values above which an engine is overloaded
SLOWDOWN_AT_CAPACITY = 4.0  # slowdown taken as full capacity where no in-flight count is reported
MIN_SUCCESS_SHARE = 0.05  # lower bound on an engine's success share: keeps its index finite
SlowStartSends = deque[tuple[float, float]]  # time and s of work of each attempt sent to an engine in slow start


class SlowdownEstimate:
    """Estimate of latency over the best latency; counts in-flight queries too, as answers alone hide an overload."""

    def __init__(self, now: float = 0.0) -> None:
        self.normalized_time = 0.0  # decayed sum of time in flight over the class's best latency
        self.completed = 0.0  # answers, decayed
        self.updated_at = now

    def advance(self, now: float, in_flight_over_best: float) -> None:
        """Add the time up to now; in_flight_over_best is the sum over queries in flight of 1 / best latency (1/s)."""
        self.normalized_time += in_flight_over_best * (now - self.updated_at)
        self.updated_at = now

    def estimate_and_decay(self, prior: float) -> float:
        """Return the slowdown, shrunk to the prior, and decay the counts."""
        slowdown = (self.normalized_time + SLOWDOWN_PRIOR_ANSWERS * prior) / (self.completed + SLOWDOWN_PRIOR_ANSWERS)
        self.normalized_time = SLOWDOWN_RETENTION * self.normalized_time
        self.completed = SLOWDOWN_RETENTION * self.completed
        return slowdown


class ClassEstimate:
    """One engine's estimates for one class: latency, attempts in flight, and the index."""

    __slots__ = (
        "capacity",
        "draw_interval",
        "drawn_at",
        "in_flight",
        "index",
        "index_table",
        "latency",
        "overload_share",
        "query_count",
        "samples",
        "sampling_key",
        "unreported",
    )

    def __init__(self, now: float) -> None:
        self.latency = 0.0
        self.samples = 0.0
        self.in_flight = self.unreported = 0  # attempts in flight; attempts sent since the last load report
        self.overload_share = 0.0  # share of queries above capacity
        self.index = 0.0  # index below capacity
        self.query_count = 0.0  # the paper's j, valid where capacity is finite
        self.capacity = inf  # the paper's m
        self.index_table = list[float]()
        self.sampling_key = -1.0  # of the last draw during slow start
        self.draw_interval = 0.0  # s between the last two draws
        self.drawn_at = now  # time of the last draw

    def index_at(self, count_factor: float) -> float:
        """Return the index with the query count scaled by count_factor."""
        count = self.query_count * count_factor
        return interpolate(self.index_table, count) if count + 1 > self.capacity else self.index

    def service_rate(self, traffic: ClassTraffic) -> float:
        """Return the completions per second of one query, ignoring failures (the paper's mu)."""
        latency = traffic.mean_latency + self.samples / (self.samples + SHRINKAGE_SAMPLES) * (
            self.latency - traffic.mean_latency
        )
        return 1 / max(latency, MIN_LATENCY)

    def record_latency(self, elapsed: float) -> None:
        """Add one latency in seconds to the mean."""
        self.samples = min(self.samples + 1, 1 / ANSWER_WEIGHT)
        self.latency += (elapsed - self.latency) / self.samples


def allows_place(cls: api.RequestClass, zone: int, kind: int, within: frozenset[int] | None = None) -> bool:
    """Whether the class may go to engines of this zone and kind; within limits the zones, None allows all."""
    placed = (cls.zones is None or zone in cls.zones) and (within is None or zone in within)
    return placed and (cls.machine_kinds is None or kind in cls.machine_kinds)


class Engine:
    """The state of one engine as this gateway knows it."""

    def __init__(self, entry: api.EngineListEntry, settings: api.Settings, now: float) -> None:
        self.id = entry.engine
        self.started = entry.started
        self.apply_entry(entry, settings)
        self.origin: Engine | None = None  # of a view: the engine that it shows under earlier settings
        self.successor: Engine | None = None  # its state after a restart, which counts its attempts in flight
        self.estimates = [ClassEstimate(now) for _ in settings.classes]
        # of all classes of earlier settings; it has no latencies and no attempts in flight
        self.earlier_estimate: ClassEstimate | None = None
        self.report = dict[str, float]()
        self.report_values = tuple[float, ...]()
        self.report_count = 0  # distinct load reports
        self.reported_at = -inf  # time of the last load report
        self.slowdown_estimate = SlowdownEstimate(now)
        self.slowdown = 1.0  # recent latency over the best latency
        self.full_until = -inf  # time until which it counts as full
        self.other_queries = 0.0  # other gateways' queries on it, by its last report or the fleet's mean
        self.memory_reserved = 0.0  # MB reserved by this gateway's attempts
        self.memory_utilization = 0.0  # share of its memory that all gateways reserve
        self.threads = self.queries = 0  # of this gateway's attempts
        self.earlier_threads = 0  # of its attempts for requests of earlier settings
        self.load = 0.0  # threads per core
        self.indices_valid_until = -inf  # time until which load and indices are valid
        self.slow_start_sends = SlowStartSends()
        self.outcomes = 0.0  # decayed count
        self.failures = 0.0  # decayed count
        self.failed_at = -inf  # time of the last failure
        self.latency_factor = 1.0  # factor on its expected latency, from EngineHealthEstimates
        self.delisted = False  # not on the engine list
        # by group of tables: own attempts that lock it; time until which another gateway's lock is assumed
        self.lock_holders = Counter[float]()
        self.remote_locks_until = dict[float, float]()

    def apply_entry(self, entry: api.EngineListEntry, settings: api.Settings) -> None:
        """Take an entry of the engine list, which the settings number."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.ready = entry.health is api.Health.READY
        kind, self.rules = settings.machine_kinds[min(self.kind, len(settings.machine_kinds) - 1)], settings.rules
        self.cores = kind.cores
        self.ram = max(kind.memory, 1.0)
        self.slow_start_until = self.started + self.rules.slow_start_time if self.started > 0 else -inf

    def change_settings(self, settings: api.Settings, now: float) -> None:
        """Drop what is counted by class, and keep what is known of the engine itself."""
        self.estimates = [ClassEstimate(now) for _ in settings.classes]
        self.slowdown_estimate, self.slowdown = SlowdownEstimate(now), 1.0
        self.earlier_threads = self.threads
        self.indices_valid_until = -inf

    def forget_reports(self) -> None:
        """Drop the load report, whose fields the settings in force do not have."""
        self.report, self.report_values, self.other_queries = {}, (), 0.0

    def latest(self) -> Engine:
        """Return the state of this engine after its last restart, or itself."""
        engine = self
        while engine.successor is not None:
            engine = engine.successor
        return engine

    def view(self, entry: api.EngineListEntry, settings: api.Settings, estimates: Sequence[ClassEstimate]) -> Engine:
        """Return a copy that is numbered by earlier settings, with estimates of their classes."""
        view = Engine.__new__(Engine)
        view.__dict__.update(self.__dict__)
        view.origin = self
        view.apply_entry(entry, settings)
        view.estimates = list(estimates)
        view.earlier_threads = self.threads  # the view's estimates count no attempts in flight
        view.indices_valid_until = -inf
        return view

    def count_attempt(self, request: api.Request, cls: api.RequestClass, change: int) -> None:
        """Add `change` (1 or -1) to this gateway's attempts in flight."""
        self.threads, self.queries = self.threads + change * cls.threads, self.queries + change
        self.memory_reserved += change * request.memory_estimate
        self.indices_valid_until = -inf
        if cls.locks_tables:
            self.lock_holders[request.dataset] += change
            if self.lock_holders[request.dataset] <= 0:
                del self.lock_holders[request.dataset]

    @property
    def success(self) -> float:
        """Share of successful outcomes, with one success as the prior."""
        return max((self.outcomes - self.failures + 1) / (self.outcomes + 1), MIN_SUCCESS_SHARE)

    def warm_up_progress(self, now: float) -> float:
        """Return the share of full capacity, 1 after the linear slow start."""
        if now >= self.slow_start_until:
            return 1.0
        passed = max(now - self.started, 0.0) / self.rules.slow_start_time
        return self.rules.slow_start_share + (1 - self.rules.slow_start_share) * passed

    def accepts(self, cls: api.RequestClass, within: frozenset[int] | None = None) -> bool:
        """Whether a request of the class may be placed on this engine; within limits the zones, None allows all."""
        return allows_place(cls, self.zone, self.kind, within)

    def is_locked(self, group: float, now: float) -> bool:
        """Whether a bulk load is known to lock the group of tables on this engine."""
        return group in self.lock_holders or self.remote_locks_until.get(group, -inf) > now

    def apply_report(self, field_names: tuple[str, ...], values: tuple[float, ...], now: float) -> bool:
        """Store a load report; return False if it repeats the last one. NaN values count as absent."""
        if not values or values == self.report_values:
            return False
        self.report_values, self.report_count, self.reported_at = values, self.report_count + 1, now
        pairs = zip(field_names, values, strict=False)
        self.report = {name: min(v, MAX_REPORTED.get(name, MAX_REPORTED_SHARE)) for name, v in pairs if v >= 0}
        for estimate in self.estimates:
            estimate.unreported = 0
        if "inflight" in self.report:  # own queries are counted locally: reports may be outdated
            self.other_queries = max(0.0, self.report["inflight"] - self.queries)
        return True

    def query_count(
        self, cls: int, traffic: ClassTraffic, settings: api.Settings, capacity: float, unreported_weight: int = 1
    ) -> float:
        """Return the threads in use, by local counts and the load report, in queries of the class (the paper's j)."""
        threads = self.earlier_threads + self.other_queries * traffic.weighted_threads
        for estimate, other, weight in zip(self.estimates, settings.classes, traffic.thread_weights, strict=True):
            threads += (
                (estimate.in_flight + (unreported_weight - 1) * min(estimate.unreported, estimate.in_flight))
                * other.threads
                * weight
            )
        # full memory counts as full capacity
        utilization = self.report.get("x0", self.memory_utilization * traffic.weighted_share)
        if "inflight" not in settings.report_fields:  # a slowdown counts as utilization
            utilization = max(utilization, (self.slowdown - 1.0) / (SLOWDOWN_AT_CAPACITY - 1.0))
        return max(
            threads / settings.classes[cls].threads,
            utilization * capacity + self.estimates[cls].unreported * unreported_weight,
        )

    def is_overloaded(self, now: float, load: float) -> bool:
        """Whether the capacity limit applies: it answered FULL, or its load or slowdown is over a threshold."""
        saturated = (
            now < self.full_until
            or max(load, self.memory_utilization) > OVERLOAD_THRESHOLDS["load"]
            or self.slowdown > OVERLOAD_SLOWDOWN
        )
        return saturated or any(self.report.get(name, 0.0) > limit for name, limit in OVERLOAD_THRESHOLDS.items())
