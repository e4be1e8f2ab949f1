"""What is learned over all engines: the rates of each class, their mix in flight, and m."""

from __future__ import annotations

from math import ceil, log
from random import Random

from tealwing import interface as api
from tealwing.policy.tables import mpi_table

REBUILD = 1.0  # s between rebuilds of what is learned
THREADS_A_CORE = 2.0  # threads a core at which m starts
M_RISE = 0.3  # threads a core that m rises by in a rebuild with all aims met
M_FALL = 0.8  # factor on m in a rebuild with aims missed: quicker down than up
M_RANGE = (1.25, 2.5)  # threads a core: what learning may make of m
MISSED = 0.15  # share of time-outs among answers at which m falls
SLOW_AT = 0.5  # latency of late over the aim at which m falls: late answers come too late to tell
N_OVER_M = 1.5  # n over m: a large learned theta would keep the index below nu for ever
TABLE_STEPS = (20.0, 2.0)  # steps in ln mu and in m within which a table is shared: tables are dear
LEARN = 0.02  # weight of one answer in a mean: fifty answers, as costs spread widely
QUICK = 0.1  # weight of one answer in a mean of late
WORK_MOST = 2.0  # told work over latency and threads at most: absurd values must not poison a mean
LAM_LEARN = 0.3  # weight of one second in lam
BEST_DRIFT = 0.01  # share by which the best latency creeps up to the mean per rebuild
LEAST_LATENCY = 1e-4  # s: a zero must not make mu infinite
MIX_KEEP = 0.97  # share of a class's count of choices that a rebuild keeps: half a minute, some loads
ROUNDING = 1e-6  # s that a timer is set later: a sum of floats must not wake it just too early
HELD_FOR = 0.5  # of a load's usual latency, for which one that a note told of is counted on: its rest
RANKS = (3, 1)  # priority of the class worth most per work, and of the others


class Flow:
    """One class over all engines: lam, theta, latency, work, and what follows from them."""

    def __init__(self, cls: api.RequestClass) -> None:
        self.cls = cls
        self.h, self.nu = (
            cls.priority_weight / cls.latency_objective,
            cls.priority_weight * cls.deadline / cls.latency_objective,
        )
        self.lam, self.came = 1.0, 0.0  # per second; of one second
        self.asked = 1 / (cls.latency_objective * cls.threads)  # choices, fading; beforehand a second's work of each
        self.latency, self.late, self.best, self.answers = (
            cls.latency_objective,
            0.0,
            cls.latency_objective,
            0.0,
        )  # s: mean, late, best
        self.usual, self.work = (
            0.0,
            cls.latency_objective * cls.threads,
        )  # s: the mean once known; s of one thread, a mean
        self.held, self.hints = 0.0, 0.0  # s that queries take by their estimates, fading; estimates heard
        self.lost, self.excess = 1.0, cls.deadline  # losses and query-seconds past m: theta's prior
        self.rank, self.out = api.DEFAULT_PRIORITY, 0  # priority; attempts out
        self.weights, self.others, self.part = list[float](), 0.0, 1.0  # what a thread of each class counts
        self.tables: dict[tuple[int, int], list[float]] = {}

    def answered(self, elapsed: float, cost: float) -> None:
        """Take in one served latency, and the work if it is told."""
        self.answers = min(self.answers + 1, 2 / LEARN)
        self.latency += (elapsed - self.latency) / self.answers
        self.usual = self.latency
        self.late += max(QUICK, 1 / self.answers) * (min(elapsed, self.goal()) - self.late)
        if not self.hints:
            most = WORK_MOST * elapsed * self.cls.threads
            work = min(cost, most) if cost > 0 else most / WORK_MOST
            self.work += (work - self.work) / self.answers
        if self.answers * QUICK >= 1:  # of the slow mean: the least of quick ones is far below the usual
            self.best = min(self.best, self.latency)

    def goal(self) -> float:
        """The aim of a usual query."""
        return self.cls.latency_objective + self.cls.objective_per_work * min(self.best, self.latency)

    def table(self, mu: float, m: float, gateways: int) -> list[float]:
        """The indices at mu and m, made when first asked for; near values share one table."""
        key = (round(TABLE_STEPS[0] * log(mu)), round(TABLE_STEPS[1] * m))
        if key not in self.tables:
            n, c = ceil(N_OVER_M * m), self.cls.priority_weight
            self.tables[key] = mpi_table(self.lam * gateways, mu, self.lost / self.excess, m, n, self.h, c)
        return self.tables[key]


class Rates:
    """The classes together, and what is learned alike for all engines."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), 0.0
        self.actions, self.flows = list[api.Action](), [Flow(cls) for cls in settings.classes]
        self.told = sum(account.rate for account in settings.tenant_quotas)  # queries a second of the whole fleet
        self.usual = self.told / settings.gateway_count  # our part of told, a mean
        self.arrived = self.age = self.costs = self.costed = self.planned = 0.0  # counts
        self.width, self.need, self.needs = 1.0, 0.0, 0.0  # threads, MB of one in flight; MB times s, fading
        self.level, self.answers, self.timeouts = THREADS_A_CORE, 0, 0  # m in threads a core; of one second
        self._mix()

    def _mix(self) -> None:
        """Priorities, and the mix of classes among the queries in flight."""
        self.rest = HELD_FOR * max((flow.latency for flow in self.flows if flow.cls.locks_tables), default=0.0)
        best = max(flow.cls.priority_weight / flow.work for flow in self.flows)
        for flow in self.flows if self.settings.heeds_priorities else ():
            flow.rank = RANKS[0] if flow.cls.priority_weight / flow.work >= best else RANKS[1]
        held = [f.held or f.lam * f.latency for f in self.flows]  # in a jam those that ended mislead
        total = sum(held) or 1.0
        self.width = sum(n * flow.cls.threads for n, flow in zip(held, self.flows, strict=True)) / total
        self.need = self.needs / total
        for flow in self.flows:  # threads of a lower priority take less from a query
            flow.weights = [
                min(1.0, api.PRIORITY_SHARES[other.rank] / api.PRIORITY_SHARES[flow.rank]) for other in self.flows
            ]
            mixed = zip(held, self.flows, flow.weights, strict=True)
            flow.others = sum(n * other.cls.threads * weight for n, other, weight in mixed) / total
            flow.part = flow.others / (self.width or 1.0)

    def _learn_m(self, busy: bool) -> None:
        """m falls when latency nears the aim, on time-outs or a busy fleet, and rises while aims are met."""
        slow = any(flow.late > SLOW_AT * flow.goal() for flow in self.flows)
        missed = slow or busy or self.timeouts > MISSED * self.answers
        if self.answers:
            level = self.level * M_FALL if missed else self.level + M_RISE
            self.level = min(max(level, M_RANGE[0]), M_RANGE[1])
        self.answers = self.timeouts = 0

    def _timer(self, delay: float, token: int) -> None:
        self.actions.append(api.SetTimer(max(delay, 0.0) + ROUNDING, token))
