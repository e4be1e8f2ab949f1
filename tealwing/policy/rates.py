"""What is learned over all engines: the rates of each class, their mix in flight, and m."""

from __future__ import annotations

from math import ceil, log
from random import Random

from tealwing import interface as api
from tealwing.policy.tables import mpi_table

REBUILD_INTERVAL = 1.0  # s between rebuilds of what is learned
INITIAL_THREADS_PER_CORE = 2.0  # threads a core at which m starts
CAPACITY_INCREASE = 0.3  # threads a core that m rises by in a rebuild with all aims met
CAPACITY_DECREASE = 0.8  # factor on m in a rebuild with aims missed: quicker down than up
CAPACITY_RANGE = (1.25, 2.5)  # threads a core: what learning may make of m
TIMEOUT_SHARE_LIMIT = 0.15  # share of time-outs among answers at which m falls
OBJECTIVE_SHARE_LIMIT = 0.5  # latency of late over the aim at which m falls: late answers come too late to tell
TABLE_LENGTH_FACTOR = 1.5  # n over m: a large learned theta would keep the index below nu for ever
TABLE_STEPS = (20.0, 2.0)  # steps in ln mu and in m within which a table is shared: tables are dear
ANSWER_WEIGHT = 0.02  # weight of one answer in a mean: fifty answers, as costs spread widely
RECENT_ANSWER_WEIGHT = 0.1  # weight of one answer in a mean of late
MAX_WORK_FACTOR = 2.0  # told work over latency and threads at most: absurd values must not poison a mean
ARRIVAL_RATE_WEIGHT = 0.3  # weight of one second in lam
BEST_LATENCY_DRIFT = 0.01  # share by which the best latency creeps up to the mean per rebuild
MIN_LATENCY = 1e-4  # s: a zero must not make mu infinite
MIX_RETENTION = 0.97  # share of a class's count of choices that a rebuild keeps: half a minute, some loads
TIMER_MARGIN = 1e-6  # s that a timer is set later: a sum of floats must not wake it just too early
LOCK_WAIT_SHARE = 0.5  # of a load's usual latency, for which one that a note told of is counted on: its rest
CLASS_PRIORITIES = (3, 1)  # priority of the class worth most per work, and of the others


class ClassTraffic:
    """One class over all engines: lam, theta, latency, work, and what follows from them."""

    def __init__(self, cls: api.RequestClass) -> None:
        self.cls = cls
        self.delay_cost = cls.priority_weight / cls.latency_objective
        self.rejection_cost = cls.priority_weight * cls.deadline / cls.latency_objective
        self.arrival_rate, self.arrivals = 1.0, 0.0  # per second; of one second
        self.placements = 1 / (
            cls.latency_objective * cls.threads
        )  # choices, fading; beforehand a second's work of each
        # s: mean, late, best
        self.mean_latency = cls.latency_objective
        self.recent_latency = 0.0
        self.best_latency = cls.latency_objective
        self.samples = 0.0
        # s: the mean once known; s of one thread, a mean
        self.usual_latency = 0.0
        self.mean_work = cls.latency_objective * cls.threads
        # s that queries take by their estimates, fading; estimates heard
        self.estimated_time = 0.0
        self.estimates = 0.0
        self.losses, self.overload_time = 1.0, cls.deadline  # losses and query-seconds past m: theta's prior
        self.priority, self.in_flight = api.DEFAULT_PRIORITY, 0  # priority; attempts out
        # what a thread of each class counts
        self.thread_weights = list[float]()
        self.weighted_threads = 0.0
        self.weighted_share = 1.0
        self.index_tables: dict[tuple[int, int], list[float]] = {}

    def record_answer(self, elapsed: float, cost: float) -> None:
        """Take in one served latency, and the work if it is told."""
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
        if self.samples * RECENT_ANSWER_WEIGHT >= 1:  # of the slow mean: the least of quick ones is far below the usual
            self.best_latency = min(self.best_latency, self.mean_latency)

    def latency_objective(self) -> float:
        """The aim of a usual query."""
        return self.cls.latency_objective + self.cls.objective_per_work * min(self.best_latency, self.mean_latency)

    def index_table(self, service_rate: float, capacity: float, gateways: int) -> list[float]:
        """The indices at mu and m, made when first asked for; near values share one table."""
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
    """The classes together, and what is learned alike for all engines."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), 0.0
        self.actions, self.class_traffic = list[api.Action](), [ClassTraffic(cls) for cls in settings.classes]
        self.quota_rate = sum(account.rate for account in settings.tenant_quotas)  # queries a second of the whole fleet
        self.usual_rate = self.quota_rate / settings.gateway_count  # our part of told, a mean
        self.arrivals = self.rebuilds = self.cost_sum = self.cost_count = self.planned_cores = 0.0  # counts
        # threads, MB of one in flight; MB times s, fading
        self.threads_per_query = 1.0
        self.memory_per_query = 0.0
        self.memory_time = 0.0
        # m in threads a core; of one second
        self.threads_per_core = INITIAL_THREADS_PER_CORE
        self.answers = 0
        self.timeouts = 0
        self._update_mix()

    def _update_mix(self) -> None:
        """Priorities, and the mix of classes among the queries in flight."""
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
        in_flight_time = [
            f.estimated_time or f.arrival_rate * f.mean_latency for f in self.class_traffic
        ]  # in a jam those that ended mislead
        total = sum(in_flight_time) or 1.0
        self.threads_per_query = (
            sum(n * traffic.cls.threads for n, traffic in zip(in_flight_time, self.class_traffic, strict=True)) / total
        )
        self.memory_per_query = self.memory_time / total
        for traffic in self.class_traffic:  # threads of a lower priority take less from a query
            traffic.thread_weights = [
                min(1.0, api.PRIORITY_SHARES[other.priority] / api.PRIORITY_SHARES[traffic.priority])
                for other in self.class_traffic
            ]
            mixed = zip(in_flight_time, self.class_traffic, traffic.thread_weights, strict=True)
            traffic.weighted_threads = sum(n * other.cls.threads * weight for n, other, weight in mixed) / total
            traffic.weighted_share = traffic.weighted_threads / (self.threads_per_query or 1.0)

    def _adapt_capacity(self, fleet_overloaded: bool) -> None:
        """m falls when latency nears the aim, on time-outs or a busy fleet, and rises while aims are met."""
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
