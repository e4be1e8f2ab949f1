"""Slow start of engines under the sum of all gateways, in virtual time: the real decision module, no I/O.

The worst case: the rest of the fleet leaves as the engines start, so every query wants one of them. Each gateway is a
module of its own; what they send is held against N + 2 sqrt(N) + 2 requests of mean work in every window, N being what
the settings allow at the window's begin.
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
LIGHT = ((1.0, 0.1),)  # one class: N is large, and its scatter small
MIDDLE = ((1.0, 0.5),)  # one class, of which twenty gateways have too little for fixed shares
BEFORE = 8.0  # s of traffic before the start, from which the gateways learn the rates
UNEVEN = 0.7  # the nth gateway has n to minus this of the first one's traffic: of 200 the first has 15 means
BURST_AT = 1.0  # s after the start at which a burst begins; it lasts one window
RESTARTS = (0.0, 1.5)  # s after the start at which a third of the gateways each begin anew
STEP = 0.1  # s between the windows that are looked at
CORES = 8  # of an engine that starts


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of start."""

    name: str
    mix: tuple[tuple[float, float], ...] = MIX
    engines: int = 1  # that start at once
    burst: float = 1.0  # factor on the traffic for one window
    restarts: bool = False  # two thirds of the gateways know nothing of what went before
    failing: float = 0.0  # share of attempts at the cold engines that end with an error, and are tried again
    few: float = 1.0  # factor on the traffic


CASES = (
    Case("mixed"),
    Case("light", LIGHT),
    Case("middle", MIDDLE),
    Case("three at once", engines=3),
    Case("burst, mixed", burst=2.5),
    Case("burst, light", LIGHT, burst=2.5),
    Case("burst, middle", MIDDLE, burst=2.5),
    Case("restarts, mixed", restarts=True),
    Case("restarts, light", LIGHT, restarts=True),
    Case("retries, mixed", failing=0.5),
    Case("retries, light", LIGHT, failing=0.5),
    Case("a third of the traffic", few=1 / 3),
)


@dataclass(frozen=True, slots=True)
class Found:
    """What the starts of a case showed."""

    windows: int
    over: int  # windows beyond the bound
    starts: int
    fell: int  # starts with a window beyond the bound, wherever it begins
    used: float  # mean share of N that a window was sent
    worst: float  # the fullest window over its bound


def total(found: Iterable[Found]) -> Found:
    """All of them as one."""
    each = list(found)
    return Found(
        sum(f.windows for f in each),
        sum(f.over for f in each),
        sum(f.starts for f in each),
        sum(f.fell for f in each),
        sum(f.used * f.windows for f in each) / sum(f.windows for f in each),
        max(f.worst for f in each),
    )


def rate(gateways: int) -> float:
    """Queries a second of all gateways: the operators' for a few, some three a second each for hundreds."""
    return 220.0 if gateways < 10 else 330.0 if gateways < 100 else 600.0


def settings(case: Case, gateways: int) -> api.Settings:
    """What each gateway is told; the accounts' rates say that a core carries what the rule calls capacity."""
    plain, request_class = site.settings(gateways), rate(gateways) * case.few
    rest = (
        request_class * sum(share * work for share, work in case.mix) / api.CAPACITY_UTILIZATION - case.engines * CORES
    )
    kinds = (api.MachineKind("cold", CORES, 16384.0), api.MachineKind("rest", max(round(rest) + 1, 1), 1e6))
    accounts = (api.TenantQuota("all", 1.0, request_class),)
    return dataclasses.replace(
        plain,
        machine_kinds=kinds,
        classes=plain.classes[: len(case.mix)],
        tenant_quotas=accounts,
        tenants=("all",),
        progress_interval=0.0,
    )


class Start:
    """One start before all gateways."""

    def __init__(self, case: Case, gateways: int, seed: int) -> None:
        self.case, self.gateways, self.seed = case, gateways, seed
        self.settings, self.random = settings(case, gateways), random.Random(seed)
        self.modules = [Gateway(self.settings, seed * 1000 + n) for n in range(gateways)]
        self.ages = [0] * gateways  # how often each gateway began anew
        self.due: list[tuple[float, int, int, int, api.Event]] = []
        self.offered, self.begin = 0, 100.0
        self.requests: dict[int, int] = {}
        self.sent: dict[int, list[tuple[float, float]]] = {n + 1: [] for n in range(case.engines)}

    def put(self, at: float, n: int, event: api.Event) -> None:
        """Let a gateway, as it is now, see an event at a time."""
        self.offered += 1
        heapq.heappush(self.due, (at, self.offered, n, self.ages[n], event))

    def lists(self, at: float, n: int, warming_up: bool) -> None:
        """The list before the start and, where it has come, the change to the cold engines alone."""
        entries = [api.EngineListEntry(e, 0, 0, 0, api.Health.READY, 1.0, 0.0) for e in self.sent]
        rest = api.EngineListEntry(0, 0, 1, 0, api.Health.READY, 1.0, 0.0)
        self.put(at, n, api.EngineList(api.EngineListKind.CACHED, 1, (rest, *entries)))
        if warming_up:
            self.put(at, n, self.change())

    def change(self) -> api.EngineList:
        """The engines have started anew, and all others are gone."""
        entries = [api.EngineListEntry(e, 0, 0, 0, api.Health.READY, 1.0, self.begin) for e in self.sent]
        rest = api.EngineListEntry(0, 0, 1, 0, api.Health.GONE, 1.0, 0.0)
        return api.EngineList(api.EngineListKind.DELTA, 2, (rest, *entries))

    def traffic(self, end: float) -> None:
        """Poisson arrivals at gateways of uneven traffic."""
        weights = [(n + 1) ** -UNEVEN for n in range(self.gateways)]
        shares = [share for share, _ in self.case.mix]
        at, peak_rate = self.begin - BEFORE, rate(self.gateways) * self.case.few * self.case.burst
        window = self.settings.rules.overload_time
        while (at := at + self.random.expovariate(peak_rate)) < end:
            bursts = BURST_AT <= at - self.begin < BURST_AT + window
            if not bursts and self.random.random() * self.case.burst > 1:
                continue
            cls = self.random.choices(range(len(shares)), shares)[0]
            work, left = self.case.mix[cls][1] * self.random.uniform(0.5, 1.5), self.settings.classes[cls].deadline
            n = self.random.choices(range(self.gateways), weights)[0]
            self.requests[self.offered] = cls
            heapq.heappush(self.due, (at, self.offered, n, -1, api.Request(self.offered, cls, left, cost=work)))
            self.offered += 1

    def play(self) -> Found:
        """From the traffic before to the end of the cold time."""
        end = self.begin + self.settings.rules.slow_start_time
        self.traffic(end)
        for n in range(self.gateways):
            self.lists(self.begin - BEFORE, n, warming_up=False)
            self.put(self.begin, n, self.change())
        anew = [(self.begin + RESTARTS[n % 3], n) for n in range(self.gateways) if n % 3 < len(RESTARTS)]
        anew = sorted(anew) if self.case.restarts else []
        while self.due and self.due[0][0] < end:
            now = self.due[0][0]
            while anew and anew[0][0] <= now:
                at, n = anew.pop(0)
                self.ages[n] += 1
                self.modules[n] = Gateway(self.settings, self.seed * 1000 + n + 500)
                self.lists(at, n, warming_up=True)
            now, _, n, age, event = heapq.heappop(self.due)
            if age in (-1, self.ages[n]):
                self.act(now, n, self.modules[n].handle(now, event))
        return self.found()

    def act(self, now: float, n: int, actions: list[api.Action]) -> None:
        """What an engine makes of a send: an answer with no crowd, or an error."""
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.put(now + action.delay, n, api.TimerFired(action.token))
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
                self.put(now + 0.02, n, error)
            else:
                took = work / self.settings.classes[cls].threads
                done = api.AttemptOutcome(action.id, attempt, action.engine, api.AttemptResult.OK, took, True)
                self.put(now + took, n, done)

    def found(self) -> Found:
        """Every window against the bound: those that end at each step, and any for the start."""
        rules, mean = self.settings.rules, sum(share * work for share, work in self.case.mix)
        full = rules.overload_multiple * api.CAPACITY_UTILIZATION * CORES * rules.overload_time / mean

        def allowed(end: float) -> float:
            begun = max(end - rules.overload_time, 0.0) / rules.slow_start_time
            return full * (rules.slow_start_share + (1 - rules.slow_start_share) * begun)

        windows = over = fell = 0
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
            fell, worst = fell + (fullest > 1), max(worst, fullest)
        return Found(windows, over, len(self.sent), fell, used / windows, worst)


def bound(allowed: float) -> float:
    """What a window may hold, in requests of mean work: the budget and what is put down to chance."""
    return allowed + 2 * sqrt(allowed) + 2


def play(case: Case, gateways: int, seeds: Iterable[int]) -> Found:
    """The starts of a case, one a seed and engine."""
    return total(Start(case, gateways, seed).play() for seed in seeds)
