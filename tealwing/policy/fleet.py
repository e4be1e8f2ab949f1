"""All engines: the engine list, local counts, the mean load report, and the rebuild once a second."""

from __future__ import annotations

from math import exp, inf

from tealwing import interface as api
from tealwing.policy.engines import OVERLOAD_SLOWDOWN, OVERLOAD_THRESHOLDS, Engine, SlowdownEstimate
from tealwing.policy.rates import (
    ARRIVAL_RATE_WEIGHT,
    BEST_LATENCY_DRIFT,
    MIN_LATENCY,
    MIX_RETENTION,
    REBUILD_INTERVAL,
    Rates,
)
from tealwing.policy.requests import RequestState
from tealwing.policy.tables import interpolate

LOCAL_COUNT_WEIGHT = 10.0  # weight of the reports against local counts in the fleet's load, in queries
REPORT_DECAY = 0.33  # share by which an old report moves to the fleet's mean per rebuild
MEAN_REPORT_WEIGHT = (0.05, 0.3)  # bounds of one report's weight in the fleet's mean
MEAN_REPORT_MEMORY = 1.5  # s: time constant of the fleet's mean
FLEET_OVERLOAD_FACTOR = 0.7  # share of OVERLOAD_THRESHOLDS that applies to the mean: single engines lie above it
USUAL_RATE_WEIGHT = 0.03  # weight of one second in this gateway's usual rate
FAILURE_RETENTION = 0.9  # share of an engine's outcome counts that a rebuild keeps
COUNT_SPREAD = (0.8, 1.3)  # range of the random factor on a query's count: queries react differently to the same report


class Fleet(Rates):
    """The engines of the engine list and the mean of their load reports."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.requests = dict[int, RequestState]()
        self.engines = dict[int, Engine]()
        self.ready = list[Engine]()
        self.ready_count = 0
        self.cores = 0.0  # cores of the ready engines times their warm-up progress
        self.is_overloaded = False
        self.eligible_engines: list[list[Engine]] = [[] for _ in settings.classes]  # by class
        self.mean_report: dict[str, float] = {}  # means of the report fields; "others" and "load" are per core
        self.slowdown_estimate = SlowdownEstimate()
        self.slowdown = 1.0  # recent latency over the best latency, all engines
        self.report_count = 0
        self.reports_at_rebuild = 0  # report_count at the last rebuild
        self.reported_at = -inf  # time of the last report
        self.reports_query_counts = "inflight" in settings.report_fields  # whether reports count queries in flight
        self.best_success = 1.0  # highest success share of a ready engine
        self.is_started = False
        self.unreported_weight = 1  # estimated attempts of all gateways per unreported attempt of this one

    def _apply_engine_list(self, event: api.EngineList) -> None:
        if event.kind is not api.EngineListKind.DELTA:
            for engine_id in self.engines.keys() - {entry.engine for entry in event.entries}:
                self.engines[engine_id].ready, self.engines[engine_id].delisted = False, True
        for entry in event.entries:
            known = self.engines.get(entry.engine)
            if known is None or entry.started > known.started:  # new or restarted: its estimates are reset
                self.engines[entry.engine] = engine = Engine(entry, self.settings, self.now)
                if engine.warm_up_progress(self.now) >= 1:
                    engine.other_queries = self.mean_report.get("others", 0.0) * engine.cores
                if known is not None:
                    known.successor = engine
                    engine.threads = known.threads
                    engine.earlier_threads = known.earlier_threads
                    engine.queries = known.queries
                    engine.memory_reserved = known.memory_reserved
                    for new, old in zip(engine.estimates, known.estimates, strict=True):
                        new.in_flight = old.in_flight
            else:
                known.ready, known.delisted = entry.health is api.Health.READY, entry.health is api.Health.GONE
                known.zone, known.kind, known.cell = entry.zone, entry.kind, entry.cell
        self.ready = [engine for engine in self.engines.values() if engine.ready]
        self.ready_count = len(self.ready)
        self.cores = sum(engine.cores * engine.warm_up_progress(self.now) for engine in self.ready)
        self.eligible_engines = [[e for e in self.ready if e.accepts(cls)] for cls in self.settings.classes]
        self.planned_cores = self.planned_cores or sum(engine.cores for engine in self.ready)

    def _rebuild(self) -> None:
        self._set_timer(REBUILD_INTERVAL, 0)
        self.usual_rate += max(USUAL_RATE_WEIGHT, 1 / (self.rebuilds + 2)) * (
            self.arrivals / REBUILD_INTERVAL - self.usual_rate
        )
        self.rebuilds, self.arrivals, self.memory_time = self.rebuilds + 1, 0, self.memory_time * MIX_RETENTION
        # drop engines that left the list once no attempt is in flight on them
        self.engines = {n: e for n, e in self.engines.items() if e.queries or not e.delisted}
        for traffic in self.class_traffic:
            traffic.arrival_rate = max(
                traffic.arrival_rate
                + ARRIVAL_RATE_WEIGHT * (max(traffic.arrivals, 0.0) / REBUILD_INTERVAL - traffic.arrival_rate),
                0.01,
            )
            traffic.arrivals = 0.0
            traffic.placements = traffic.placements * MIX_RETENTION
            traffic.estimated_time = traffic.estimated_time * MIX_RETENTION
            traffic.index_tables = {}
            traffic.best_latency += BEST_LATENCY_DRIFT * (traffic.mean_latency - traffic.best_latency)
        # no report since the last rebuild and no open request, as when all requests are rejected
        if self.report_count == self.reports_at_rebuild and not self.requests:
            self.mean_report = {name: value * (1 - REPORT_DECAY) for name, value in self.mean_report.items()}
        self._update_mix()
        self._adapt_capacity(
            any(self.mean_report.get(name, 0.0) > OVERLOAD_THRESHOLDS[name] for name in ("util", "x1"))
        )
        self.slowdown_estimate.advance(
            self.now, sum(traffic.in_flight / max(traffic.best_latency, MIN_LATENCY) for traffic in self.class_traffic)
        )
        self.slowdown = self.slowdown_estimate.estimate_and_decay(1.0)
        self.cores = sum(engine.cores * engine.warm_up_progress(self.now) for engine in self.ready)
        overloaded = any(
            self.mean_report.get(name, 0.0) > FLEET_OVERLOAD_FACTOR * limit
            for name, limit in OVERLOAD_THRESHOLDS.items()
        )
        reports_are_recent = self.report_count - self.reports_at_rebuild >= len(self.ready)
        self.is_overloaded = (overloaded or self.slowdown > OVERLOAD_SLOWDOWN) and not reports_are_recent
        self.unreported_weight = self.settings.gateway_count if reports_are_recent else 1
        self.reports_at_rebuild = self.report_count
        self.best_success = max((engine.success for engine in self.ready), default=1.0)
        for engine in self.ready:
            engine.remote_locks_until = {
                group: until for group, until in engine.remote_locks_until.items() if until > self.now
            }
            self._advance_slowdown(engine)
            engine.slowdown = engine.slowdown_estimate.estimate_and_decay(self.slowdown)
            self._decay_report(engine)
            self._refresh_indices(engine)
            engine.outcomes, engine.failures = engine.outcomes * FAILURE_RETENTION, engine.failures * FAILURE_RETENTION
            for traffic, estimate in zip(self.class_traffic, engine.estimates, strict=True):
                traffic.overload_time += REBUILD_INTERVAL * estimate.in_flight * estimate.overload_share

    def _decay_report(self, engine: Engine) -> None:
        """Move an outdated report towards the fleet's mean, so that it never excludes an engine permanently.

        It is kept while attempts are in flight on the engine, and before the first report of an engine in slow start.
        """
        warming_up = self.now < engine.slow_start_until
        if (
            self.now < engine.reported_at + REBUILD_INTERVAL
            or engine.queries
            or (warming_up and not engine.report_count)
        ):
            return
        for name, value in engine.report.items():
            engine.report[name] += REPORT_DECAY * (self.mean_report.get(name, value) - value)
        expected_queries = (
            self.mean_report.get("cold" if warming_up else "others", 0.0)
            * engine.cores
            * engine.warm_up_progress(self.now)
        )
        engine.other_queries += REPORT_DECAY * (expected_queries - engine.other_queries)

    def apply_report(self, engine: Engine, values: tuple[float, ...]) -> None:
        """Store a load report and update the fleet's mean, weighted by the time since the last report."""
        if not engine.apply_report(self.settings.report_fields, values, self.now):
            return
        weight = min(
            max(1 - exp((self.reported_at - self.now) / MEAN_REPORT_MEMORY), MEAN_REPORT_WEIGHT[0]),
            MEAN_REPORT_WEIGHT[1],
        )
        engine.indices_valid_until, self.report_count, self.reported_at = -inf, self.report_count + 1, self.now
        reported = dict(engine.report)
        if self.reports_query_counts:
            cores = engine.cores * engine.warm_up_progress(self.now)
            reported["others"] = engine.other_queries / cores
            reported["load"] = (engine.threads + engine.other_queries * self.threads_per_query) / cores
        if self.now < engine.slow_start_until:  # the slow-start budget bounds its load: a mean of its own
            reported = {"cold": reported.get("others", 0.0)}
        for name, value in reported.items():
            mean = self.mean_report.setdefault(name, value)
            self.mean_report[name] = mean + max(weight, 1 / self.report_count) * (value - mean)

    def _record_completion(self, engine: Engine) -> None:
        """Count an answer in the slowdowns."""
        self.slowdown_estimate.completed += 1
        engine.slowdown_estimate.completed += 1

    def _advance_slowdown(self, engine: Engine) -> None:
        pairs = zip(engine.estimates, self.class_traffic, strict=True)
        engine.slowdown_estimate.advance(
            self.now, sum(e.in_flight / max(traffic.best_latency, MIN_LATENCY) for e, traffic in pairs)
        )

    def _count_attempt(self, state: RequestState, engine: Engine, change: int) -> None:
        """Add `change` (1 or -1) to the local counts of attempts."""
        self.slowdown_estimate.advance(
            self.now, sum(traffic.in_flight / max(traffic.best_latency, MIN_LATENCY) for traffic in self.class_traffic)
        )
        self._advance_slowdown(engine)
        state.traffic.in_flight += change
        engine.estimates[state.request.cls].in_flight += change
        engine.count_attempt(state.request, state.cls, change)

    def _refresh_indices(self, engine: Engine) -> None:
        """Compute the engine's load and indices: nu*(j) of the paper, or h/mu if it is not overloaded."""
        now, cores = self.now, engine.cores * engine.warm_up_progress(self.now)
        engine.load = load = (engine.threads + engine.other_queries * self.threads_per_query) / cores
        engine.memory_utilization = (engine.memory_reserved + engine.other_queries * self.memory_per_query) / engine.ram
        if not self.reports_query_counts:
            unreported_threads = sum(
                e.unreported * f.cls.threads for e, f in zip(engine.estimates, self.class_traffic, strict=True)
            )
            utilization = max((engine.report.get(name, 0.0) for name in ("util", "x0", "x1")), default=0.0)
            engine.load = max(load, utilization + self.unreported_weight * unreported_threads / cores)
        overloaded = engine.is_overloaded(now, load)
        for cls, (traffic, estimate) in enumerate(zip(self.class_traffic, engine.estimates, strict=True)):
            service_rate = estimate.service_rate(traffic) * engine.success / self.best_success / engine.latency_factor
            estimate.index, estimate.overload_share, estimate.capacity = traffic.delay_cost / service_rate, 0.0, inf
            if overloaded:
                capacity = max(1.0, self.threads_per_core * cores / traffic.cls.threads)
                count = engine.query_count(cls, traffic, self.settings, capacity, self.unreported_weight)
                if now < engine.full_until:
                    estimate.index = inf
                elif count * COUNT_SPREAD[1] + 1 > capacity:
                    estimate.query_count, estimate.capacity, estimate.index_table = (
                        count,
                        capacity,
                        traffic.index_table(service_rate, capacity, self.settings.gateway_count),
                    )
                    estimate.overload_share = max(0.0, 1 - capacity / count)
        engine.indices_valid_until = engine.full_until if now < engine.full_until else now + REBUILD_INTERVAL

    def _fleet_index(self, cls: int) -> float:
        """Return the index of a mean engine after slow start, by mean report and local counts; 0 without overload."""
        if not self.is_overloaded:
            return 0.0
        traffic = self.class_traffic[cls]
        capacity = max(1.0, self.threads_per_core * self.cores / max(self.ready_count, 1) / traffic.cls.threads)
        weighted_threads = sum(
            f.in_flight * f.cls.threads * w for f, w in zip(self.class_traffic, traffic.thread_weights, strict=True)
        )
        local_queries = sum(f.in_flight for f in self.class_traffic)
        other_queries = self.mean_report.get("others", 0.0) * self.cores
        # this gateway's queries in flight, by the reports
        expected_queries = (
            self.usual_rate / self.quota_rate * (local_queries + other_queries) if self.quota_rate else local_queries
        )
        factor = (
            (LOCAL_COUNT_WEIGHT + local_queries) / (LOCAL_COUNT_WEIGHT + expected_queries)
            if self.reports_query_counts
            else float(self.settings.gateway_count)
        )
        count = (
            factor
            * (weighted_threads + other_queries * traffic.weighted_threads)
            / traffic.cls.threads
            / max(self.ready_count, 1)
        )
        table = traffic.index_table(1 / max(traffic.mean_latency, MIN_LATENCY), capacity, self.settings.gateway_count)
        return interpolate(table, count) if count + 1 > capacity else 0.0
