"""Estimates over all engines: rates and latencies per class, the query mix in flight, and capacity (the paper's m)."""

from __future__ import annotations

from math import ceil, log
from random import Random

from tealwing import interface as api
from tealwing.policy.tables import mpi_table

REBUILD_INTERVAL = 1.0  # s between updates of the estimates and of all indices (rebuilds)
INITIAL_THREADS_PER_CORE = 2.0  # capacity before the first rebuild
CAPACITY_INCREASE = 0.3  # threads per core added per rebuild while objectives are met
CAPACITY_DECREASE = 0.8  # factor per rebuild while objectives are missed
CAPACITY_RANGE = (1.25, 2.5)  # threads per core: bounds of the learned capacity
TIMEOUT_SHARE_LIMIT = 0.15  # timeouts over answers at which capacity is reduced
OBJECTIVE_SHARE_LIMIT = 0.5  # recent latency over the objective at which capacity is reduced
TABLE_LENGTH_FACTOR = 1.5  # table length over capacity (n over m): bounds the queue where abandonments are many
TABLE_STEPS = (20.0, 2.0)  # steps per unit of ln(service rate) and of capacity; values of one step share a table
ANSWER_WEIGHT = 0.02  # weight of one answer in a mean
RECENT_ANSWER_WEIGHT = 0.1  # weight of one answer in a recent mean
MAX_WORK_FACTOR = 2.0  # bound on reported work over latency times threads
ARRIVAL_RATE_WEIGHT = 0.3  # weight of one second in the arrival rate
BEST_LATENCY_DRIFT = 0.01  # share by which the best latency moves to the mean per rebuild
MIN_LATENCY = 1e-4  # s: keeps the service rate finite
MIX_RETENTION = 0.97  # share of a class's decayed counts that a rebuild keeps
TIMER_MARGIN = 1e-6  # s added to timers, against rounding
LOCK_WAIT_SHARE = 0.5  # share of a bulk load's mean latency for which a reported lock is assumed to last
CLASS_PRIORITIES = (3, 1)  # priority of the class with the highest weight per work, and of the others


class ClassTraffic:
    """One class over all engines: arrival and abandonment rate, latency, work, and the index tables."""

    def __init__(self, cls: api.RequestClass) -> None:
        self.cls = cls
        self.delay_cost = cls.priority_weight / cls.latency_objective
        self.rejection_cost = cls.priority_weight * cls.deadline / cls.latency_objective
        self.arrival_rate = 1.0  # per second (the paper's lambda)
        self.arrivals = 0.0  # count since the last rebuild
        # decayed count of placements; the prior is a second's work
        self.placements = 1 / (cls.latency_objective * cls.threads)
        self.mean_latency = cls.latency_objective  # s
        self.recent_latency = 0.0  # s
        self.best_latency = cls.latency_objective  # s
        self.samples = 0.0  # answers, bounded
        self.usual_latency = 0.0  # s: mean_latency from the first answer on, 0 before
        self.mean_work = cls.latency_objective * cls.threads  # s of one thread, of one query
        self.estimated_time = 0.0  # s: decayed sum of the queries' estimates
        self.estimates = 0.0  # cost estimates received, bounded
        # abandonments and query-seconds above capacity: theta is their ratio
        self.losses = 1.0
        self.overload_time = cls.deadline
        self.priority = api.DEFAULT_PRIORITY
        self.in_flight = 0  # attempts
        self.thread_weights = list[float]()  # by class: how much one of its threads slows this class down
        self.weighted_threads = 0.0  # mean threads of a query in flight, by thread_weights
        self.weighted_share = 1.0  # weighted_threads over the unweighted mean
        self.index_tables: dict[tuple[int, int], list[float]] = {}

    def record_answer(self, elapsed: float, cost: float) -> None:
        """Record the answer to one request: latency in s, and work in s of one thread (0: not reported)."""
        self.samples = min(self.samples + 1, 2 / ANSWER_WEIGHT)
        self.mean_latency += (elapsed - self.mean_latency) / self.samples
        self.usual_latency = self.mean_latency
        self.recent_latency += max(RECENT_ANSWER_WEIGHT, 1 / self.samples) * (
            min(elapsed, self.latency_objective()) - self.recent_latency
        )
        if not self.estimates:
            max_work = MAX_WORK_FACTOR * elapsed * self.cls.threads
            work = min(cost, max_work) if cost > 0 else max_work / MAX_WORK_FACTOR
            self.mean_work += (work - self.mean_work) / self.samples
        if self.samples * RECENT_ANSWER_WEIGHT >= 1:  # from the mean: single answers may be far faster
            self.best_latency = min(self.best_latency, self.mean_latency)

    def latency_objective(self) -> float:
        """Return the latency objective of a usual query, in seconds."""
        return self.cls.latency_objective + self.cls.objective_per_work * min(self.best_latency, self.mean_latency)

    def index_table(self, service_rate: float, capacity: float, gateways: int) -> list[float]:
        """Return the index table for a service rate and a capacity; close values share one table."""
        key = (round(TABLE_STEPS[0] * log(service_rate)), round(TABLE_STEPS[1] * capacity))
        if key not in self.index_tables:
            length, loss_cost = ceil(TABLE_LENGTH_FACTOR * capacity), self.cls.priority_weight
            self.index_tables[key] = mpi_table(
                self.arrival_rate * gateways,
                service_rate,
                self.losses / self.overload_time,
                capacity,
                length,
                self.delay_cost,
                loss_cost,
            )
        return self.index_tables[key]


class Rates:
    """Traffic of every class, and the estimates that hold for all engines."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0.0
        self.actions = list[api.Action]()
        self.class_traffic = [ClassTraffic(cls) for cls in settings.classes]
        # queries per second over all gateways
        self.quota_rate = sum(account.rate for account in settings.tenant_quotas)
        self.usual_rate = self.quota_rate / settings.gateway_count  # queries per second at this gateway, a running mean
        self.arrivals = 0.0  # since the last rebuild
        self.rebuilds = 0.0
        self.cost_sum = 0.0  # s of work, by the queries' estimates
        self.cost_count = 0.0
        self.planned_cores = 0.0  # cores of the ready engines in the first engine list
        self.threads_per_query = 1.0  # of a mean query in flight
        self.memory_per_query = 0.0  # MB, of a mean query in flight
        self.memory_time = 0.0  # MB times s, decayed
        self.threads_per_core = INITIAL_THREADS_PER_CORE  # the learned capacity
        self.answers = 0  # since the last rebuild
        self.timeouts = 0  # since the last rebuild
        self._update_mix()

    def _update_mix(self) -> None:
        """Update priorities and the mix of classes among the queries in flight."""
        self.lock_wait = LOCK_WAIT_SHARE * max(
            (traffic.mean_latency for traffic in self.class_traffic if traffic.cls.locks_tables), default=0.0
        )
        max_weight_per_work = max(traffic.cls.priority_weight / traffic.mean_work for traffic in self.class_traffic)
        for traffic in self.class_traffic if self.settings.heeds_priorities else ():
            traffic.priority = (
                CLASS_PRIORITIES[0]
                if traffic.cls.priority_weight / traffic.mean_work >= max_weight_per_work
                else CLASS_PRIORITIES[1]
            )
        # by cost estimates where known: under overload, the latency of answered queries misleads
        in_flight_time = [f.estimated_time or f.arrival_rate * f.mean_latency for f in self.class_traffic]
        total = sum(in_flight_time) or 1.0
        self.threads_per_query = (
            sum(n * traffic.cls.threads for n, traffic in zip(in_flight_time, self.class_traffic, strict=True)) / total
        )
        self.memory_per_query = self.memory_time / total
        for traffic in self.class_traffic:  # threads of a lower priority slow a query down less
            traffic.thread_weights = [
                min(1.0, api.PRIORITY_SHARES[other.priority] / api.PRIORITY_SHARES[traffic.priority])
                for other in self.class_traffic
            ]
            mixed = zip(in_flight_time, self.class_traffic, traffic.thread_weights, strict=True)
            traffic.weighted_threads = sum(n * other.cls.threads * weight for n, other, weight in mixed) / total
            traffic.weighted_share = traffic.weighted_threads / (self.threads_per_query or 1.0)

    def _adapt_capacity(self, fleet_overloaded: bool) -> None:
        """Reduce capacity near the latency objective, on timeouts or overload; raise it while objectives are met."""
        near_objective = any(
            traffic.recent_latency > OBJECTIVE_SHARE_LIMIT * traffic.latency_objective()
            for traffic in self.class_traffic
        )
        missed = near_objective or fleet_overloaded or self.timeouts > TIMEOUT_SHARE_LIMIT * self.answers
        if self.answers:
            threads_per_core = (
                self.threads_per_core * CAPACITY_DECREASE if missed else self.threads_per_core + CAPACITY_INCREASE
            )
            self.threads_per_core = min(max(threads_per_core, CAPACITY_RANGE[0]), CAPACITY_RANGE[1])
        self.answers = self.timeouts = 0

    def _set_timer(self, delay: float, token: int) -> None:
        self.actions.append(api.SetTimer(max(delay, 0.0) + TIMER_MARGIN, token))
