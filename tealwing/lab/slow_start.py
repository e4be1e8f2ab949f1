"""Slow start of engines under the requests of all gateways, in virtual time: the real decision module, no I/O.

The worst case: all other engines leave as the cold engines start, so that every query goes to a cold one. Each gateway
has a decision module of its own. The sends of all gateways are checked against a bound of N + 2 sqrt(N) + 2 requests of
mean work in every window, where N is what the settings allow at the start of the window.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate
from math import sqrt

from tealwing import interface as api
from tealwing.lab import site
from tealwing.policy import Gateway

MIX = ((0.81, 0.15), (0.135, 3.7), (0.055, 4.9))  # shares and work (s of one thread) of the site's classes
LIGHT = ((1.0, 0.1),)  # one class of little work: N is large and its relative variation small
MEDIUM = ((1.0, 0.5),)  # one class for which N is too small to split into fixed shares among twenty gateways
LEARNING_TIME = 8.0  # s of traffic before the start, from which the gateways learn their rates
TRAFFIC_SKEW = 0.7  # the nth gateway gets n**-0.7 of the first one's traffic; of 200, the first gets 15 times the mean
BURST_AT = 1.0  # s after the start at which a burst begins; it lasts one window
RESTARTS = (0.0, 1.5)  # s after the start; at each, a third of the gateways restarts
STEP = 0.1  # s between the ends of the windows checked
CORES = 8  # of a cold engine


@dataclass(frozen=True, slots=True)
class Case:
    """One scenario of cold engines."""

    name: str
    mix: tuple[tuple[float, float], ...] = MIX
    engines: int = 1  # cold engines that start at once
    burst: float = 1.0  # factor on the traffic for one window
    restarts: bool = False  # two thirds of the gateways restart and lose what they learned
    failing: float = 0.0  # share of attempts at the cold engines that end with an error and are retried
    traffic: float = 1.0  # factor on the traffic of the whole run


CASES = (
    Case("mixed"),
    Case("light", LIGHT),
    Case("middle", MEDIUM),
    Case("three at once", engines=3),
    Case("burst, mixed", burst=2.5),
    Case("burst, light", LIGHT, burst=2.5),
    Case("burst, middle", MEDIUM, burst=2.5),
    Case("restarts, mixed", restarts=True),
    Case("restarts, light", LIGHT, restarts=True),
    Case("retries, mixed", failing=0.5),
    Case("retries, light", LIGHT, failing=0.5),
    Case("a third of the traffic", traffic=1 / 3),
)


@dataclass(frozen=True, slots=True)
class Found:
    """The results of the starts of a case."""

    windows: int
    over: int  # windows over the bound
    starts: int
    overloaded: int  # starts with any window over the bound, at whatever time it begins
    used: float  # mean over the windows of the share of N that was sent
    worst: float  # sends of the fullest window relative to its bound


def total(found: Iterable[Found]) -> Found:
    """Combine several results into one."""
    each = list(found)
    return Found(
        sum(f.windows for f in each),
        sum(f.over for f in each),
        sum(f.starts for f in each),
        sum(f.overloaded for f in each),
        sum(f.used * f.windows for f in each) / sum(f.windows for f in each),
        max(f.worst for f in each),
    )


def rate(gateways: int) -> float:
    """Queries a second of all gateways: the operators' rates for a few gateways, about three each for hundreds."""
    return 220.0 if gateways < 10 else 330.0 if gateways < 100 else 600.0


def settings(case: Case, gateways: int) -> api.Settings:
    """The settings of each gateway, with tenant quotas that load the cores to api.CAPACITY_UTILIZATION."""
    plain, request_rate = site.settings(gateways), rate(gateways) * case.traffic
    rest = (
        request_rate * sum(share * work for share, work in case.mix) / api.CAPACITY_UTILIZATION - case.engines * CORES
    )
    kinds = (api.MachineKind("cold", CORES, 16384.0), api.MachineKind("rest", max(round(rest) + 1, 1), 1e6))
    accounts = (api.TenantQuota("all", 1.0, request_rate),)
    return dataclasses.replace(
        plain,
        machine_kinds=kinds,
        classes=plain.classes[: len(case.mix)],
        tenant_quotas=accounts,
        tenants=("all",),
        progress_interval=0.0,
    )


class Start:
    """One start of cold engines in a fleet of gateways."""

    def __init__(self, case: Case, gateways: int, seed: int) -> None:
        self.case, self.gateways, self.seed = case, gateways, seed
        self.settings, self.random = settings(case, gateways), random.Random(seed)
        self.modules = [Gateway(self.settings, seed * 1000 + n) for n in range(gateways)]
        self.generations = [0] * gateways  # number of restarts by gateway
        self.due: list[tuple[float, int, int, int, api.Event]] = []
        self.sequence, self.begin = 0, 100.0
        self.requests: dict[int, int] = {}
        self.sent: dict[int, list[tuple[float, float]]] = {n + 1: [] for n in range(case.engines)}

    def schedule(self, at: float, n: int, event: api.Event) -> None:
        """Schedule an event for a gateway; it is dropped if the gateway has restarted by then."""
        self.sequence += 1
        heapq.heappush(self.due, (at, self.sequence, n, self.generations[n], event))

    def schedule_lists(self, at: float, n: int, warming_up: bool) -> None:
        """Schedule a gateway's first engine list and, if warming_up, the change that leaves only the cold engines."""
        entries = [api.EngineListEntry(e, 0, 0, 0, api.Health.READY, 1.0, 0.0) for e in self.sent]
        rest = api.EngineListEntry(0, 0, 1, 0, api.Health.READY, 1.0, 0.0)
        self.schedule(at, n, api.EngineList(api.EngineListKind.CACHED, 1, (rest, *entries)))
        if warming_up:
            self.schedule(at, n, self.list_change())

    def list_change(self) -> api.EngineList:
        """The list change by which the cold engines have started and all others are gone."""
        entries = [api.EngineListEntry(e, 0, 0, 0, api.Health.READY, 1.0, self.begin) for e in self.sent]
        rest = api.EngineListEntry(0, 0, 1, 0, api.Health.GONE, 1.0, 0.0)
        return api.EngineList(api.EngineListKind.DELTA, 2, (rest, *entries))

    def schedule_traffic(self, end: float) -> None:
        """Schedule Poisson arrivals at gateways with uneven traffic."""
        weights = [(n + 1) ** -TRAFFIC_SKEW for n in range(self.gateways)]
        shares = [share for share, _ in self.case.mix]
        at, peak_rate = self.begin - LEARNING_TIME, rate(self.gateways) * self.case.traffic * self.case.burst
        window = self.settings.rules.overload_time
        while (at := at + self.random.expovariate(peak_rate)) < end:
            bursts = BURST_AT <= at - self.begin < BURST_AT + window
            if not bursts and self.random.random() * self.case.burst > 1:
                continue
            cls = self.random.choices(range(len(shares)), shares)[0]
            work, left = self.case.mix[cls][1] * self.random.uniform(0.5, 1.5), self.settings.classes[cls].deadline
            n = self.random.choices(range(self.gateways), weights)[0]
            self.requests[self.sequence] = cls
            heapq.heappush(self.due, (at, self.sequence, n, -1, api.Request(self.sequence, cls, left, cost=work)))
            self.sequence += 1

    def play(self) -> Found:
        """Play from the traffic before the start to the end of the slow start."""
        end = self.begin + self.settings.rules.slow_start_time
        self.schedule_traffic(end)
        for n in range(self.gateways):
            self.schedule_lists(self.begin - LEARNING_TIME, n, warming_up=False)
            self.schedule(self.begin, n, self.list_change())
        restarts = [(self.begin + RESTARTS[n % 3], n) for n in range(self.gateways) if n % 3 < len(RESTARTS)]
        restarts = sorted(restarts) if self.case.restarts else []
        while self.due and self.due[0][0] < end:
            now = self.due[0][0]
            while restarts and restarts[0][0] <= now:
                at, n = restarts.pop(0)
                self.generations[n] += 1
                self.modules[n] = Gateway(self.settings, self.seed * 1000 + n + 500)
                self.schedule_lists(at, n, warming_up=True)
            now, _, n, generation, event = heapq.heappop(self.due)
            if generation in (-1, self.generations[n]):
                self.act(now, n, self.modules[n].handle(now, event))
        return self.found()

    def act(self, now: float, n: int, actions: list[api.Action]) -> None:
        """Execute a gateway's actions; an engine answers a send as if idle, or with an error."""
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.schedule(now + action.delay, n, api.TimerFired(action.token))
            if not isinstance(action, api.Send):
                continue
            cls = self.requests[action.id]
            work = self.case.mix[cls][1]
            attempt = len(self.modules[n].requests[action.id].attempts) - 1
            warming_up = action.engine and now >= self.begin
            if warming_up:
                self.sent[action.engine].append((now - self.begin, work))
            if warming_up and self.random.random() < self.case.failing:
                error = api.AttemptOutcome(action.id, attempt, action.engine, api.AttemptResult.ERROR, 0.02, False)
                self.schedule(now + 0.02, n, error)
            else:
                took = work / self.settings.classes[cls].threads
                done = api.AttemptOutcome(action.id, attempt, action.engine, api.AttemptResult.OK, took, True)
                self.schedule(now + took, n, done)

    def found(self) -> Found:
        """Check the windows against the bound: those ending at each step; for `overloaded` those at each send."""
        rules, mean = self.settings.rules, sum(share * work for share, work in self.case.mix)
        full = rules.overload_multiple * api.CAPACITY_UTILIZATION * CORES * rules.overload_time / mean

        def allowed(end: float) -> float:
            begun = max(end - rules.overload_time, 0.0) / rules.slow_start_time
            return full * (rules.slow_start_share + (1 - rules.slow_start_share) * begun)

        windows = over = overloaded = 0
        used = worst = 0.0
        for sent in self.sent.values():
            times, sums = [at for at, _ in sent], [0.0, *accumulate(work / mean for _, work in sent)]

            def window(end: float, times: list[float] = times, sums: list[float] = sums) -> float:
                return sums[bisect_right(times, end)] - sums[bisect_right(times, end - rules.overload_time)]

            for n in range(round(rules.overload_time / STEP), round(rules.slow_start_time / STEP)):
                end, windows = n * STEP, windows + 1
                over += window(end) > bound(allowed(end))
                used += window(end) / allowed(end)
            fullest = max((window(at) / bound(allowed(at)) for at in times), default=0.0)
            overloaded, worst = overloaded + (fullest > 1), max(worst, fullest)
        return Found(windows, over, len(self.sent), overloaded, used / windows, worst)


def bound(allowed: float) -> float:
    """The most that a window may hold, in requests of mean work: the budget and a margin for chance."""
    return allowed + 2 * sqrt(allowed) + 2


def play(case: Case, gateways: int, seeds: Iterable[int]) -> Found:
    """Play a case with each seed; returns the combined results."""
    return total(Start(case, gateways, seed).play() for seed in seeds)
