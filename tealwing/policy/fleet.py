"""All engines together: the list, our books, the mean report, and the rebuild of every second."""

from __future__ import annotations

from math import exp, inf

from tealwing import interface as api
from tealwing.policy.engines import BUSY, FAR_ABOVE, Engine, Job, Pace
from tealwing.policy.rates import BEST_DRIFT, LAM_LEARN, LEAST_LATENCY, MIX_KEEP, REBUILD, Rates
from tealwing.policy.tables import read

BOOKS = 10.0  # queries of ours that the reports count for when both tell of the fleet: a dozen reports
FADE = 0.33  # share by which an engine's last report fades into the fleet's mean per rebuild
FLEET_LEARN = (0.05, 0.3)  # least and most weight of one report in the fleet's mean: noise, and news
FLEET_MEMORY = 1.5  # s that the fleet's mean remembers: reports are some half a second old
FLEET_BUSY = 0.7  # of BUSY at which the fleet's mean presses: single engines lie above the mean
SHARE_LEARN = 0.03  # weight of one second in our usual share of all traffic: half a minute
MEND = 0.9  # share of the counts of an engine's failures that a rebuild keeps: many meet it seldom
J_SPREAD = (0.8, 1.3)  # of j, as single queries read it: all must not turn at once on the same report


class Fleet(Rates):
    """The engines of the list, and what this gateway knows of them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.jobs, self.engines, self.ready = dict[int, Job](), dict[int, Engine](), list[Engine]()
        self.cores, self.pressed = 0.0, False  # of the ready engines, by warmth; whether the fleet is pressed
        self.targets: list[list[Engine]] = [[] for _ in settings.classes]  # ready and placed, by class
        self.fleet: dict[str, float] = {}  # the fleet's mean report; others' queries, all threads, a core
        self.pace, self.slow = Pace(), 1.0  # of all engines
        self.reports, self.heard, self.heard_at = 0, 0, -inf  # reports; up to a rebuild ago; the last
        self.counted, self.common = "inflight" in settings.report_fields, 1.0  # the best share of successes
        self.begun, self.echo = False, 1  # echo: what a send of ours since a report stands for, with others'

    def _list(self, event: api.EngineList) -> None:
        if event.kind is not api.EngineListKind.DELTA:
            for left in self.engines.keys() - {entry.engine for entry in event.entries}:
                self.engines[left].ready, self.engines[left].gone = False, True
        for entry in event.entries:
            known = self.engines.get(entry.engine)
            if known is None or entry.started > known.started:  # new, or started anew: nothing learned holds
                self.engines[entry.engine] = fresh = Engine(entry, self.settings, self.now)
                if fresh.warmth(self.now) >= 1:
                    fresh.others = self.fleet.get("others", 0.0) * fresh.cores
                if known is not None:
                    fresh.threads, fresh.queries, fresh.need = known.threads, known.queries, known.need
                    for new, old in zip(fresh.estimates, known.estimates, strict=True):
                        new.out = old.out
            else:
                known.ready, known.gone = entry.health is api.Health.READY, entry.health is api.Health.GONE
                known.zone, known.kind, known.cell = entry.zone, entry.kind, entry.cell
        self.ready = [engine for engine in self.engines.values() if engine.ready]
        self.cores = sum(engine.cores * engine.warmth(self.now) for engine in self.ready)
        self.targets = [[e for e in self.ready if e.takes(cls)] for cls in self.settings.classes]
        self.planned = self.planned or sum(engine.cores for engine in self.ready)

    def _rebuild(self) -> None:
        self._timer(REBUILD, 0)
        self.usual += max(SHARE_LEARN, 1 / (self.age + 2)) * (self.arrived / REBUILD - self.usual)
        self.age, self.arrived, self.needs = self.age + 1, 0, self.needs * MIX_KEEP
        self.engines = {n: e for n, e in self.engines.items() if e.queries or not e.gone}  # others have left
        for flow in self.flows:
            flow.lam = max(flow.lam + LAM_LEARN * (max(flow.came, 0.0) / REBUILD - flow.lam), 0.01)
            flow.came, flow.asked, flow.held = 0.0, flow.asked * MIX_KEEP, flow.held * MIX_KEEP
            flow.tables = {}
            flow.best += BEST_DRIFT * (flow.latency - flow.best)
        if self.reports == self.heard and not self.jobs:  # all are refused, say: what was heard is old
            self.fleet = {name: value * (1 - FADE) for name, value in self.fleet.items()}
        self._mix()
        self._learn_m(any(self.fleet.get(name, 0.0) > BUSY[name] for name in ("util", "x1")))
        self.pace.passed(self.now, sum(flow.out / max(flow.best, LEAST_LATENCY) for flow in self.flows))
        self.slow = self.pace.slow(1.0)
        self.cores = sum(engine.cores * engine.warmth(self.now) for engine in self.ready)
        busy = any(self.fleet.get(name, 0.0) > FLEET_BUSY * limit for name, limit in BUSY.items())
        fresh = self.reports - self.heard >= len(self.ready)
        self.pressed = (busy or self.slow > FAR_ABOVE) and not fresh
        self.echo, self.heard = self.settings.gateway_count if fresh else 1, self.reports
        self.common = max((engine.success for engine in self.ready), default=1.0)
        for engine in self.ready:
            engine.held = {group: until for group, until in engine.held.items() if until > self.now}
            self._exposed(engine)
            engine.slow = engine.pace.slow(self.slow)
            self._fade(engine)
            self._view(engine)
            engine.tries, engine.fails = engine.tries * MEND, engine.fails * MEND
            for flow, estimate in zip(self.flows, engine.estimates, strict=True):
                flow.excess += REBUILD * estimate.out * estimate.past

    def _fade(self, engine: Engine) -> None:
        """An old report fades, so nobody stays shut out by it; not while we wait there, or for the first."""
        cold = self.now < engine.cold_until
        if self.now < engine.heard + REBUILD or engine.queries or (cold and not engine.reports):
            return
        for name, value in engine.report.items():
            engine.report[name] += FADE * (self.fleet.get(name, value) - value)
        usual = self.fleet.get("cold" if cold else "others", 0.0) * engine.cores * engine.warmth(self.now)
        engine.others += FADE * (usual - engine.others)

    def _report(self, engine: Engine, values: tuple[float, ...]) -> None:
        """Take in a load report, and the fleet's mean with it: by time, as few reports must not be old."""
        if not engine.hear(self.settings.report_fields, values, self.now):
            return
        weight = min(max(1 - exp((self.heard_at - self.now) / FLEET_MEMORY), FLEET_LEARN[0]), FLEET_LEARN[1])
        engine.view_until, self.reports, self.heard_at = -inf, self.reports + 1, self.now
        news = dict(engine.report)
        if self.counted:
            cores = engine.cores * engine.warmth(self.now)
            news["others"] = engine.others / cores
            news["load"] = (engine.threads + engine.others * self.width) / cores
        if self.now < engine.cold_until:  # held back by its budget, it says nothing of those that are warm
            news = {"cold": news.get("others", 0.0)}
        for name, value in news.items():
            mean = self.fleet.setdefault(name, value)
            self.fleet[name] = mean + max(weight, 1 / self.reports) * (value - mean)

    def _exposed(self, engine: Engine) -> None:
        out = zip(engine.estimates, self.flows, strict=True)
        engine.pace.passed(self.now, sum(e.out / max(flow.best, LEAST_LATENCY) for e, flow in out))

    def _count(self, job: Job, engine: Engine, by: int) -> None:
        """One attempt more or less in our books."""
        self.pace.passed(self.now, sum(flow.out / max(flow.best, LEAST_LATENCY) for flow in self.flows))
        self._exposed(engine)
        job.flow.out += by
        engine.estimates[job.request.cls].out += by
        engine.threads, engine.queries = engine.threads + by * job.cls.threads, engine.queries + by
        engine.need += by * job.request.memory_estimate
        engine.view_until = -inf
        if job.cls.locks_tables:
            engine.loads[job.request.dataset] += by
            if engine.loads[job.request.dataset] <= 0:
                del engine.loads[job.request.dataset]

    def _view(self, engine: Engine) -> None:
        """Make the engine's load and its indices: nu*(j), or h/mu while nothing presses."""
        now, cores = self.now, engine.cores * engine.warmth(self.now)
        engine.load = busy = (engine.threads + engine.others * self.width) / cores
        engine.memory = (engine.need + engine.others * self.need) / engine.ram
        if not self.counted:
            unseen = sum(e.unseen * f.cls.threads for e, f in zip(engine.estimates, self.flows, strict=True))
            told = max((engine.report.get(name, 0.0) for name in ("util", "x0", "x1")), default=0.0)
            engine.load = max(busy, told + self.echo * unseen / cores)
        pressed = engine.pressed(now, busy)
        for cls, (flow, estimate) in enumerate(zip(self.flows, engine.estimates, strict=True)):
            mu = estimate.mu(flow) * engine.success / self.common / engine.doubt
            estimate.index, estimate.past, estimate.m = flow.h / mu, 0.0, inf
            if pressed:
                m = max(1.0, self.level * cores / flow.cls.threads)
                j = engine.count(cls, flow, self.settings, m, self.echo)
                if now < engine.full_until:
                    estimate.index = inf
                elif j * J_SPREAD[1] + 1 > m:
                    estimate.j, estimate.m, estimate.table = j, m, flow.table(mu, m, self.settings.gateway_count)
                    estimate.past = max(0.0, 1 - m / j)
        engine.view_until = engine.full_until if now < engine.full_until else now + REBUILD

    def _fleet_index(self, cls: int) -> float:
        """The least index of a mean warm engine, by the mean report and our books: a sample, but not late."""
        if not self.pressed:
            return 0.0
        flow = self.flows[cls]
        m = max(1.0, self.level * self.cores / max(len(self.ready), 1) / flow.cls.threads)
        total = sum(f.out * f.cls.threads * w for f, w in zip(self.flows, flow.weights, strict=True))
        ours, others = sum(f.out for f in self.flows), self.fleet.get("others", 0.0) * self.cores
        due = self.usual / self.told * (ours + others) if self.told else ours  # our part, by the reports
        factor = (BOOKS + ours) / (BOOKS + due) if self.counted else float(self.settings.gateway_count)
        j = factor * (total + others * flow.others) / flow.cls.threads / max(len(self.ready), 1)
        table = flow.table(1 / max(flow.latency, LEAST_LATENCY), m, self.settings.gateway_count)
        return read(table, j) if j + 1 > m else 0.0
