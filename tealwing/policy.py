"""Every decision of a query gateway; its records are those of tealwing/interface.py.

A query goes to the engine of the smallest marginal productivity index (MPI, Niño-Mora), or is refused at
once when none is below its class's nu. Equation numbers are the paper's; docs/design.md tells the rest.
"""

from __future__ import annotations

import random
from collections import deque
from math import ceil, exp, inf, log, sqrt

from tealwing import interface as api
from tealwing.interface import Effect, Group, Health, ListKind, Result

# Constants: unit, reason; (d) is the design's value, (o) ours.
REBUILD = 1.0  # s between rebuilds of what is learned (d)
NEAR_TIE = 0.1  # share of the smallest index within which engines tie (d)
THREADS_A_CORE = 2.0  # threads a core at which m starts (d)
M_RISE = 0.3  # threads a core that m rises by in a rebuild with all aims met (o)
M_FALL = 0.8  # factor on m in a rebuild with aims missed (o): quicker down than up
M_RANGE = (1.25, 2.5)  # threads a core: what learning may make of m (o)
MISSED = 0.15  # share of time-outs among answers at which m falls (o)
SLOW_AT = 0.5  # latency of late over the aim at which m falls (o): late answers come too late to tell
SLOW_AT_M = 4.0  # slowness that stands for m where no count is reported (o): twice the sharing at m
N_OVER_M = 1.5  # n over m (o): a large learned theta would keep the index below nu for ever
TABLE_STEPS = (20.0, 2.0)  # steps in ln mu and in m within which a table is shared (o): tables are dear
LEARN = 0.02  # weight of one answer in a mean (o): fifty answers, as costs spread widely
QUICK = 0.1  # weight of one answer in a mean of late (o)
SHRINK = 50.0  # answers that the fleet's mean counts for in an engine's (o): noise must not look like speed
LAM_LEARN = 0.3  # weight of one second in lam (o)
BEST_DRIFT = 0.01  # share by which the best latency creeps up to the mean per rebuild (o)
FADE = 0.33  # share by which an engine's last report fades into the fleet's mean per rebuild (o)
FLEET_LEARN = (0.05, 0.3)  # least and most weight of one report in the fleet's mean (o): noise, and news
FLEET_MEMORY = 1.5  # s that the fleet's mean remembers (o): reports are some half a second old
PACE_KEEP = 0.6  # share of a pace that a rebuild keeps (o): a memory of two seconds
PACE_PRIOR = 3.0  # answers that a pace's prior counts for (o): one long query is no jam
MOST = {"inflight": 1e4, "queue": 1e4}  # beyond which a reported value is read as this (o): absurd ones
MOST_SHARE = 4.0  # the same for shares (o)
FAR_ABOVE = 3.0  # latency of late over the best that means pressure (o)
BUSY = {"util": 0.85, "x1": 0.9, "x0": 0.9, "queue": 0.5, "load": 1.0}  # values that mean pressure (o)
FLEET_BUSY = 0.7  # of BUSY at which the fleet's mean presses (o): single engines lie above the mean
FULL_WAIT = 0.5  # s for which a full engine counts as holding n (o)
LOST_ONCE = 0.1  # s in which lost attempts count as one failure (o): one connection takes all on it along
MEND = 0.9  # share of the counts of an engine's failures that a rebuild keeps (o): many meet it seldom
SUCCESS_FLOOR = 0.05  # least share of successes in mu (o): keeps the index finite
WORK_MOST = 2.0  # told work over latency and threads at most (o): absurd values must not poison a mean
LEAST_LATENCY = 1e-4  # s (o): a zero must not make mu infinite
COLD_LOAD = 0.85  # busy share of the cores that the fail-back rule calls capacity (the contract's)
COLD_SAFETY = 0.6  # share of the fail-back budget that fixed shares use (o): work estimates are rough
COLD_FEW = 2.0  # queries below which a gateway's share of the budget gives way to lots (o)
COLD_CHANCE = 2.0  # budgets that lots let in if all that are let in wanted one engine (o): few do
COLD_TURN = 0.5  # factor on the crowding of a cold engine whose lot a query has drawn (o): that is its part
COLD_SCATTER = 3.0  # standard deviations of chance that lots leave room for (o): a budget once spent is fatal
CARRIED = (50.0, 1.6)  # estimates that none counts for, and most work a core, in what engines carry (o)
SHARE_LEARN = 0.03  # weight of one second in our usual share of all traffic (o): half a minute
BOOKS = 10.0  # queries of ours that the reports count for when both tell of the fleet (o): a dozen reports
MIX_KEEP = 0.97  # share of a class's count of choices that a rebuild keeps (o): half a minute, some loads
CROWDING = 0.7  # threads a core that an idle engine is counted as when ties are broken (o)
J_SPREAD = (0.8, 1.3)  # of j, as single queries read it (o): all must not turn at once on the same report
COMPARED = (2, 2.0)  # near-ties compared at least, and over all gateways (o): many must not herd
GOLDEN = 0.6180339887  # its multiples fall evenly between whole numbers: lots of one query at many engines
LAGGARD = 3.0  # time that an attempt has to go, over the class's usual latency, at which it is dropped (o)
PROGRESS_FLOOR = 0.01  # least share done that a note is read as (o)
SILENT = (1.55, 1.1)  # note periods without a first or a further note that mean a lost answer (o)
FOR_A_LOAD = 2.0  # what a note says that an attempt waits for when a load holds its tables (the contract's)
HELD_FOR = 0.5  # of a load's usual latency, for which one that a note told of is counted on (o): its rest
HOMES = 1 / 3  # share of the engines that a group's loads keep to and its readers avoid (o): loads are few
HOME_ODDS = 0.25  # chance that a load of another gateway holds the group at one of its homes (o)
TURN = 0.4142135624  # turns from one group's homes to the next (o): all gateways find the same
FAULTY = 2  # engines with errors at which a query is held to be at fault itself, not they (o)
SHARES = (1, 4, 8, 16)  # of short cores and disks, by priority (the contract's)
RANKS = (3, 1)  # priority of the class worth most per work, and of the others (o)
USUAL_RANK = 1  # the priority of a query for which none was named (the contract's)
ROUNDING = 1e-6  # s that a timer is set later (o): a sum of floats must not wake it just too early
END_TICKS = 3  # ticks before the deadline at which a held request is answered (o)
RETRY_SPREAD = (0.5, 1.0)  # of the longest retry-after, at random (o): returns are spread
LOT_DIGITS = 65536.0  # past which a lot's digits decide on admission (o): other choices read those before

NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


def mpi_table(lam: float, mu: float, theta: float, m: float, n: int, h: float, c: float) -> list[float]:
    """The indices nu*(0) to nu*(n-1) by (8)-(10) at alpha = 0, with the rates and costs of (11) and r = 0."""
    theta = min(theta, mu)  # Assumption 1: d(j) stays concave

    past, below = max(1 - m, 0.0), min(1, m)
    rate, cost = past * theta + below * mu, h + past * c * theta  # mu(j) and C(j) of (11), here at j = 1
    table = [value := cost / rate]  # nu*(j), from j = 0
    a, work = 1.0, lam * rate / (lam + rate)  # a(1); w^S(2)(0) of (9), where Delta d(1) = mu(1)
    for j in range(2, n + 1):
        past, below = (0.0, j) if j <= m else (j - m, m)
        next_rate, next_cost = past * theta + below * mu, h * j + past * c * theta
        dd = next_rate - rate  # Delta d and, below, Delta C at j
        pull = work * rate / lam  # w^S(j)(j-2) / rho(j-2), with rho(j-2) = lam / mu(j-1)
        table.append(value := value + (next_cost - cost - value * dd) / (dd + pull))  # (8)
        both = lam + next_rate
        a = 1 - lam * rate / ((lam + rate) * both) / a  # (10)
        work = lam * (dd + pull) / (a * both)  # (9)
        rate, cost = next_rate, next_cost
    return table


class Flow:
    """One class over all engines: lam, theta, latency, work, and what follows from them."""

    def __init__(self, cls: api.RequestClass) -> None:
        self.cls = cls
        self.h, self.nu = cls.worth / cls.aim, cls.worth * cls.deadline / cls.aim
        self.lam, self.came, self.asked = 1.0, 0.0, 1.0  # per second; of one second; choices, fading
        self.latency, self.late, self.best, self.answers = cls.aim, 0.0, cls.aim, 0.0  # s: mean, late, best
        self.usual, self.work = 0.0, cls.aim * cls.threads  # s: the mean once known; s of one thread, a mean
        self.held, self.hints = 0.0, 0.0  # s that queries take by their estimates, fading; estimates heard
        self.lost, self.excess = 1.0, cls.deadline  # losses and query-seconds past m: theta's prior
        self.rank, self.out = USUAL_RANK, 0  # priority; attempts out
        self.weights, self.others, self.part = list[float](), 0.0, 1.0  # what a thread of each class counts
        self.tables: dict[tuple[int, int], list[float]] = {}

    def answered(self, elapsed: float, work: float) -> None:
        """Take in one served latency, and the work if it is told."""
        self.answers = min(self.answers + 1, 2 / LEARN)
        self.latency += (elapsed - self.latency) / self.answers
        self.usual = self.latency
        self.late += max(QUICK, 1 / self.answers) * (min(elapsed, self.goal()) - self.late)
        if not self.hints:
            self.work += (work - self.work) / self.answers
        if self.answers * QUICK >= 1:  # of the slow mean: the least of quick ones is far below the usual
            self.best = min(self.best, self.latency)

    def goal(self) -> float:
        """The aim of a usual query."""
        return self.cls.aim + self.cls.aim_stretch * min(self.best, self.latency)

    def table(self, mu: float, m: float, gateways: int) -> list[float]:
        """The indices at mu and m, made when first asked for; near values share one table."""
        key = (round(TABLE_STEPS[0] * log(mu)), round(TABLE_STEPS[1] * m))
        if key not in self.tables:
            n, c = ceil(N_OVER_M * m), self.cls.worth
            self.tables[key] = mpi_table(self.lam * gateways, mu, self.lost / self.excess, m, n, self.h, c)
        return self.tables[key]


class Pace:
    """Latency over the best, as query-seconds over answers; also of what is out: answers alone hide a jam."""

    def __init__(self) -> None:
        self.exposed = self.done = self.at = 0.0  # queries' time out over their class's best; answers

    def passed(self, now: float, rate: float) -> None:
        """Time went by with so many queries out, each over its class's best."""
        self.exposed, self.at = self.exposed + rate * (now - self.at), now

    def fade(self) -> None:
        """A second is over."""
        self.exposed, self.done = PACE_KEEP * self.exposed, PACE_KEEP * self.done

    def slow(self, usual: float) -> float:
        """Slowness, drawn to the usual."""
        return (self.exposed + PACE_PRIOR * usual) / (self.done + PACE_PRIOR)


class Estimate:
    """What one engine shows for one class: mu, and the counts behind j."""

    def __init__(self) -> None:
        self.latency, self.answers = 0.0, 0.0
        self.out = self.unseen = 0  # attempts out; those sent since the last report
        self.past, self.index = 0.0, 0.0  # share of j past m; the index below m, as of the last view
        self.j, self.m, self.table = 0.0, inf, list[float]()  # where m binds

    def at(self, spread: float) -> float:
        """The index at j as one query reads it."""
        j = self.j * spread
        return read(self.table, j) if j + 1 > self.m else self.index

    def mu(self, flow: Flow) -> float:
        """Completions per second and query, where none fails."""
        usual = flow.latency + self.answers / (self.answers + SHRINK) * (self.latency - flow.latency)
        return 1 / max(usual, LEAST_LATENCY)

    def answered(self, elapsed: float) -> None:
        """Take in one latency."""
        self.answers = min(self.answers + 1, 1 / LEARN)
        self.latency += (elapsed - self.latency) / self.answers


class Engine:
    """One engine as this gateway sees it."""

    def __init__(self, entry: api.ListEntry, settings: api.Settings) -> None:
        self.id, self.zone, self.kind, self.cell = entry.engine, entry.zone, entry.kind, entry.cell
        self.ready, self.started = entry.health is Health.READY, entry.started
        kind, self.rules = settings.kinds[min(self.kind, len(settings.kinds) - 1)], settings.rules
        self.cores, self.ram = kind.cores, max(kind.memory, 1.0)
        self.cold_until = self.started + self.rules.cold_time if self.started > 0 else -inf
        self.estimates = [Estimate() for _ in settings.classes]
        self.report, self.values = dict[str, float](), tuple[float, ...]()
        self.reports, self.heard = 0, -inf  # distinct reports seen; when the last came
        self.pace, self.slow, self.full_at = Pace(), 1.0, -inf  # latency over the best; when it was last full
        self.others = 0.0  # other gateways' queries there, by the last report or by the fleet's mean
        self.need, self.memory = 0.0, 0.0  # MB of this gateway's attempts there; share of its memory, of all
        self.threads = self.queries = 0  # of this gateway's attempts there
        self.load, self.view_until = 0.0, -inf  # threads a core; until when load and indices hold
        self.sent: deque[tuple[float, float]] = deque()  # times and work sent while cold
        self.doubt = 1.0  # what peers are believed of it: a factor on the latency to expect
        self.tries, self.fails, self.lost_at = 0.0, 0.0, -inf  # outcomes, fading; the last failure
        self.gone = False  # from the list; forgotten when nothing is out there
        self.loads: dict[float, int] = {}  # our loads out there, by the group of tables that each holds
        self.held: dict[float, float] = {}  # groups that others' loads hold, and until when we think so

    @property
    def success(self) -> float:
        """Share of successes, one of them beforehand: a failure says more where an engine is seldom met."""
        return max((self.tries - self.fails + 1) / (self.tries + 1), SUCCESS_FLOOR)

    def warmth(self, now: float) -> float:
        """Share of its capacity, by the contract's figures: a straight ramp from a cold start."""
        if now >= self.cold_until:
            return 1.0
        passed = max(now - self.started, 0.0) / self.rules.cold_time
        return self.rules.cold_share + (1 - self.rules.cold_share) * passed

    def holds(self, group: float, now: float) -> bool:
        """Whether a load holds the group of tables there, as far as we know."""
        return group in self.loads or self.held.get(group, -inf) > now

    def hear(self, fields: tuple[str, ...], values: tuple[float, ...], now: float) -> bool:
        """Take in a load report; one equal to the last is the same report again. NaN counts as absent."""
        if not values or values == self.values:
            return False
        self.values, self.reports, self.heard = values, self.reports + 1, now
        pairs = zip(fields, values, strict=False)
        self.report = {name: min(v, MOST.get(name, MOST_SHARE)) for name, v in pairs if v >= 0}
        for estimate in self.estimates:
            estimate.unseen = 0
        if "inflight" in self.report:  # our own queries by our books, as reports may be old; others' by these
            self.others = max(0.0, self.report["inflight"] - self.queries)
        return True

    def count(self, cls: int, flow: Flow, settings: api.Settings, m: float, echo: int = 1) -> float:
        """j: the threads there, by our books and the report, as queries of the class."""
        total = self.others * flow.others
        for estimate, other, weight in zip(self.estimates, settings.classes, flow.weights, strict=True):
            total += (estimate.out + (echo - 1) * min(estimate.unseen, estimate.out)) * other.threads * weight
        full = self.report.get("x0", self.memory * flow.part)  # memory is occupancy too: in full it holds m
        if "inflight" not in settings.report_fields:  # nor does one that slows all queries so far hold less
            full = max(full, (self.slow - 1.0) / (SLOW_AT_M - 1.0))
        return max(total / settings.classes[cls].threads, full * m + self.estimates[cls].unseen * echo)

    def pressed(self, now: float, busy: float) -> bool:
        """Whether m and n bind: a full refusal, a busy report, busy cores, or latency far above the best."""
        if now < self.full_at + FULL_WAIT or max(busy, self.memory) > BUSY["load"] or self.slow > FAR_ABOVE:
            return True
        return any(self.report.get(name, 0.0) > limit for name, limit in BUSY.items())


def read(table: list[float], j: float) -> float:
    """nu*(j), linear between whole j; infinite from n on."""
    if j >= len(table):
        return inf
    low, high = int(j), min(int(j) + 1, len(table) - 1)
    return table[low] + (j - low) * (table[high] - table[low])


class Attempt:
    """One send of a job."""

    def __init__(self, engine: Engine, sent: float) -> None:
        self.engine, self.sent, self.report = engine, sent, engine.reports
        self.done, self.may_have_run, self.due = False, True, inf  # due: when its next note must have come
        self.blame = 0.0  # failures that an error of it counted for


class Job:
    """A request from its arrival until it is over and nothing of it is out."""

    def __init__(self, request: api.Request, cls: api.RequestClass, now: float, lot: float) -> None:
        self.request, self.cls, self.deadline = request, cls, now + request.time_left
        self.attempts: list[Attempt] = []
        self.over, self.lot = False, lot  # its lot decides where fixed shares of a budget are too small

    def out(self) -> int:
        """Attempts without an outcome."""
        return sum(not attempt.done for attempt in self.attempts)

    def doubtful(self) -> list[Attempt]:
        """Attempts that may have run."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def faulty(self) -> bool:
        """Whether so many engines answered it with errors that the query itself must be at fault."""
        return len({attempt.engine.id for attempt in self.attempts if attempt.blame}) >= FAULTY

    def refusable(self) -> bool:
        """Whether a refusal keeps the effect rule."""
        if self.cls.effect is Effect.SAFE or not self.doubtful():
            return True
        return self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL


class Gateway:
    """The decisions of one gateway: handle(now, event) gives the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.actions: list[api.Action] = []
        self.engines: dict[int, Engine] = {}
        self.ready: list[Engine] = []
        self.cores, self.pressed = 0.0, False  # of the ready engines, by warmth; whether the fleet is pressed
        self.targets: list[list[Engine]] = [[] for _ in settings.classes]  # ready and placed, by class
        self.jobs: dict[int, Job] = {}
        self.lines: dict[int, deque[Job]] = {}  # ordered jobs by key
        self.rests: dict[int, float] = {}  # until when a key rests
        self.flows = [Flow(cls) for cls in settings.classes]
        self.counted = "inflight" in settings.report_fields
        self.fleet: dict[str, float] = {}  # the fleet's mean report; others' queries, all threads, a core
        self.pace, self.slow = Pace(), 1.0  # of all engines
        self.reports, self.heard, self.heard_at = 0, 0, -inf  # reports; up to a rebuild ago; the last
        self.width, self.need, self.needs = 1.0, 0.0, 0.0  # threads, MB of one in flight; MB times s, fading
        self.level, self.answers, self.timeouts = THREADS_A_CORE, 0, 0  # m in threads a core; of one second
        self.taken, self.extra = deque[float](), deque[float]()  # times of requests and of further attempts
        self.margin = min(END_TICKS * settings.tick, settings.rules.answer_slack)  # s
        self.rest = HELD_FOR * max((f.latency for f in self.flows if f.cls.holds), default=0.0)
        self.told = sum(account.rate for account in settings.accounts)  # queries a second of the whole fleet
        self.chosen = self.usual = self.told / settings.gateways  # choices a second; our part of told, a mean
        self.asked = self.arrived = self.age = self.costs = self.costed = self.planned = 0.0  # counts
        self.reduced: api.ServiceLevel | None = None  # the service level, where one is in force
        self.common = 1.0  # the best engine's share of successes: a trouble of all engines is none of one's
        self.begun, self.echo = False, 1  # echo: what a send of ours since a report stands for, with others'
        self._mix()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.now, self.actions = now, []
        if not self.begun:
            self.begun = True
            self._timer(REBUILD, 0)
            if self.settings.ask:
                self.actions.append(api.Subscribe(True))
        match event:
            case api.Request():
                self._arrive(event)
            case api.Outcome():
                self._outcome(event)
            case api.TimerFired(token=0):
                self._rebuild()
            case api.TimerFired(token=token):
                self._wake(token >> 1)
            case api.EngineList():
                self._list(event)
            case api.HungUp():
                self._hung_up(event.id)
            case api.Note():
                self._note(event)
            case api.ServiceLevel():
                self.reduced = None if event.full else event
            case api.Beliefs():
                for engine in self.engines.values():
                    engine.doubt = event.doubts.get((engine.id, round(engine.started * 1e3)), 1.0)
                    engine.view_until = -inf
            case api.StreamStarted() | api.PeerMessage() | api.ProbeResult():
                pass
            case _:
                raise TypeError(f"not an event: {event!r}")
        return self.actions

    def _list(self, event: api.EngineList) -> None:
        if event.kind is ListKind.FAILED:
            self.actions.append(api.Subscribe(True))
            return
        named = {entry.engine for entry in event.entries}
        if event.kind is not ListKind.DELTA:
            for engine in self.engines.values():
                engine.gone = engine.gone or engine.id not in named
                engine.ready = engine.ready and not engine.gone
        for entry in event.entries:
            known = self.engines.get(entry.engine)
            if known is None or entry.started > known.started:  # new, or started anew: nothing learned holds
                self.engines[entry.engine] = fresh = Engine(entry, self.settings)
                fresh.pace.at = self.now  # attempts to the one before may still be out
                if fresh.warmth(self.now) >= 1:
                    fresh.others = self.fleet.get("others", 0.0) * fresh.cores
                if known is not None:
                    fresh.threads, fresh.queries, fresh.need = known.threads, known.queries, known.need
                    for new, old in zip(fresh.estimates, known.estimates, strict=True):
                        new.out = old.out
            else:
                known.ready, known.gone = entry.health is Health.READY, entry.health is Health.GONE
                known.zone, known.kind, known.cell = entry.zone, entry.kind, entry.cell
        self.ready = [engine for engine in self.engines.values() if engine.ready]
        self.cores = sum(engine.cores * engine.warmth(self.now) for engine in self.ready)
        self.targets = [[e for e in self.ready if self._placed(cls, e)] for cls in self.settings.classes]
        self.planned = self.planned or sum(engine.cores for engine in self.ready)

    def _rebuild(self) -> None:
        self._timer(REBUILD, 0)
        self.chosen, self.asked = self.chosen + LAM_LEARN * (self.asked / REBUILD - self.chosen), 0.0
        self.usual += max(SHARE_LEARN, 1 / (self.age + 2)) * (self.arrived / REBUILD - self.usual)
        self.age, self.arrived, self.needs = self.age + 1, 0, self.needs * MIX_KEEP
        for flow in self.flows:
            flow.lam = max(flow.lam + LAM_LEARN * (max(flow.came, 0.0) / REBUILD - flow.lam), 0.01)
            flow.came, flow.asked, flow.held = 0.0, flow.asked * MIX_KEEP, flow.held * MIX_KEEP
            flow.tables = {}
            flow.best += BEST_DRIFT * (flow.latency - flow.best)
        self._forget()
        if self.reports == self.heard and not self.jobs:  # all are refused, say: what was heard is old
            self.fleet = {name: value * (1 - FADE) for name, value in self.fleet.items()}
        self.rest = HELD_FOR * max((f.latency for f in self.flows if f.cls.holds), default=0.0)
        self._pace()
        self._mix()
        self._learn_m()
        self.cores = sum(engine.cores * engine.warmth(self.now) for engine in self.ready)
        busy = any(self.fleet.get(name, 0.0) > FLEET_BUSY * limit for name, limit in BUSY.items())
        fresh = self.reports - self.heard >= len(self.ready)
        self.pressed = (busy or self.slow > FAR_ABOVE) and not fresh
        self.echo, self.heard = self.settings.gateways if fresh else 1, self.reports
        self.common = max((engine.success for engine in self.ready), default=1.0)
        for engine in self.ready:
            self._fade(engine)
            self._view(engine)
            engine.tries, engine.fails = engine.tries * MEND, engine.fails * MEND
            for flow, estimate in zip(self.flows, engine.estimates, strict=True):
                flow.excess += REBUILD * estimate.out * estimate.past

    def _forget(self) -> None:
        """Let go of engines that have left, and of loads that must have ended: what stays, grows for ever."""
        for engine in [e for e in self.engines.values() if e.gone and not e.queries]:
            del self.engines[engine.id]
        for engine in self.ready:
            engine.held = {group: until for group, until in engine.held.items() if until > self.now}

    def _pace(self) -> None:
        """Slowness of the fleet and of each engine, by what is out and what was answered."""
        self.pace.passed(self.now, sum(flow.out / max(flow.best, LEAST_LATENCY) for flow in self.flows))
        self.slow = self.pace.slow(1.0)
        self.pace.fade()
        for engine in self.ready:
            self._exposed(engine)
            engine.slow = engine.pace.slow(self.slow)
            engine.pace.fade()

    def _exposed(self, engine: Engine) -> None:
        out = zip(engine.estimates, self.flows, strict=True)
        engine.pace.passed(self.now, sum(e.out / max(flow.best, LEAST_LATENCY) for e, flow in out))

    def _mix(self) -> None:
        """Priorities, and the mix of classes among the queries in flight."""
        flows = self.flows
        best = max(flow.cls.worth / flow.work for flow in flows)
        for flow in flows:
            if self.settings.priorities:
                flow.rank = RANKS[0] if flow.cls.worth / flow.work >= best else RANKS[1]
        held = [flow.held or flow.lam * flow.latency for flow in flows]  # in a jam those that ended mislead
        total = sum(held) or 1.0
        self.width = sum(n * flow.cls.threads for n, flow in zip(held, flows, strict=True)) / total
        self.need = self.needs / total
        for flow in flows:  # threads of a lower priority take less from a query
            flow.weights = [min(1.0, SHARES[other.rank] / SHARES[flow.rank]) for other in flows]
            mixed = zip(held, flows, flow.weights, strict=True)
            flow.others = sum(n * other.cls.threads * weight for n, other, weight in mixed) / total
            flow.part = flow.others / (self.width or 1.0)

    def _learn_m(self) -> None:
        """m falls when latency nears the aim, on time-outs or a busy fleet, and rises while aims are met."""
        slow = any(flow.late > SLOW_AT * flow.goal() for flow in self.flows)
        busy = any(self.fleet.get(name, 0.0) > BUSY[name] for name in ("util", "x1"))
        if self.timeouts > MISSED * self.answers or (self.answers and (slow or busy)):
            self.level *= M_FALL
        elif self.answers:
            self.level += M_RISE
        self.level = min(max(self.level, M_RANGE[0]), M_RANGE[1])
        self.answers = self.timeouts = 0

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
        engine.view_until, self.reports = -inf, self.reports + 1
        weight = 1 - exp((self.heard_at - self.now) / FLEET_MEMORY)
        weight, self.heard_at = min(max(weight, FLEET_LEARN[0]), FLEET_LEARN[1]), self.now
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

    def _view(self, engine: Engine) -> None:
        """Make the engine's load and its indices: nu*(j), or h/mu while nothing presses."""
        now, settings = self.now, self.settings
        cores = engine.cores * engine.warmth(now)
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
                j = engine.count(cls, flow, settings, m, self.echo)
                if now < engine.full_at + FULL_WAIT:
                    estimate.index = inf
                elif j * J_SPREAD[1] + 1 > m:
                    estimate.j, estimate.m, estimate.table = j, m, flow.table(mu, m, settings.gateways)
                    estimate.past = max(0.0, 1 - m / j)
        again = engine.full_at + FULL_WAIT
        engine.view_until = again if again > now else now + REBUILD

    def _timer(self, delay: float, token: int) -> None:
        self.actions.append(api.SetTimer(max(delay, 0.0) + ROUNDING, token))

    def _arrive(self, request: api.Request) -> None:
        cls = self.settings.classes[request.cls]
        job = self.jobs[request.id] = Job(request, cls, self.now, self.random.random())
        self.arrived += 1
        if self.settings.rules.ration_free is not None:
            self.taken.append(self.now)
        if not (self.settings.marks_retry and request.resubmitted):
            self.flows[request.cls].came += 1  # a refused query that returns must not swell lam
        if request.cost:
            self.costs, self.costed = self.costs + request.cost, self.costed + 1
            flow = self.flows[request.cls]
            flow.hints, flow.held = min(flow.hints + 1, 2 / LEARN), flow.held + request.cost / cls.threads
            flow.work += (request.cost - flow.work) / flow.hints
            self.needs += request.cost / cls.threads * request.need
        if not self._admitted(job):
            self._end(job, shed=True)
            return
        if cls.ordered and request.key:
            line = self.lines.setdefault(request.key, deque())
            line.append(job)
            if len(line) * self.flows[request.cls].usual > request.time_left + cls.aim:
                self._end(job)  # its turn would come too late
            elif not self._in_turn(job):
                self._timer(job.deadline - self.margin - self.now, request.id << 1 | 1)
                self._timer(self.rests.get(request.key, 0.0) - self.now, request.id << 1 | 1)
                return
        if not job.over:
            self._place(job)

    def _admitted(self, job: Job) -> bool:
        """Whether the service level lets a new request in: a lot, of digits that no other choice reads."""
        chances = self.reduced.admitted[job.request.cls] if self.reduced else (1.0,)
        return job.lot * LOT_DIGITS % 1.0 < chances[min(job.request.tenant, len(chances) - 1)]

    def _place(self, job: Job, failed: Engine | None = None) -> None:
        """Send the job by the index, or end it at once."""
        engine = self._choose(job, failed)
        if engine is None:
            self._end(job)
        else:
            self._send(job, engine)

    def _send(self, job: Job, engine: Engine) -> None:
        flow = self.flows[job.request.cls]
        if job.attempts:
            self.extra.append(self.now)
        elif flow.rank != USUAL_RANK:
            self.actions.append(api.Tune(job.request.id, flow.rank, 0.0))
        job.attempts.append(Attempt(engine, self.now))
        engine.estimates[job.request.cls].unseen += 1
        self._count(job, engine, 1)
        if engine.warmth(self.now) < 1:
            engine.sent.append((self.now, flow.work))
        self.actions.append(api.Send(job.request.id, engine.id, job.deadline - self.now))
        if self.settings.limits.cancel and self.settings.notes_every > 0:
            self._expect(job, SILENT[0])

    def _count(self, job: Job, engine: Engine, by: int) -> None:
        """One attempt more or less in our books."""
        self.pace.passed(self.now, sum(flow.out / max(flow.best, LEAST_LATENCY) for flow in self.flows))
        self._exposed(engine)
        self.flows[job.request.cls].out += by
        engine.estimates[job.request.cls].out += by
        engine.threads, engine.queries = engine.threads + by * job.cls.threads, engine.queries + by
        engine.need += by * job.request.need
        engine.view_until = -inf
        if job.cls.holds:
            group = job.request.dataset
            engine.loads[group] = engine.loads.get(group, 0) + by
            if engine.loads[group] <= 0:
                del engine.loads[group]

    def _outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.attempts) or job.attempts[event.attempt].done:
            return
        attempt = job.attempts[event.attempt]
        attempt.done, attempt.may_have_run = True, event.result not in NEVER_RAN
        self._learn(job, attempt, event)
        if job.cls.ordered and job.request.key and event.result in MAY_STILL_RUN:
            rest = self.now + self.settings.rules.order_settle
            self.rests[job.request.key] = max(rest, self.rests.get(job.request.key, 0.0))
        if event.over:
            job.over = True
        elif not job.over and not job.out():
            if job.deadline - self.now > self.flows[job.request.cls].usual and not job.faulty():
                self._place(job, attempt.engine)
            else:
                self._end(job)
        self._tidy(job)

    def _learn(self, job: Job, attempt: Attempt, event: api.Outcome) -> None:
        """Settle the counts of an attempt; learn from it, unless its engine started anew since."""
        engine = self.engines.get(attempt.engine.id, attempt.engine)
        self._count(job, engine, -1)
        if engine is not attempt.engine:
            return
        estimate = engine.estimates[job.request.cls]
        if attempt.report == engine.reports:
            estimate.unseen = max(0, estimate.unseen - 1)
        self._report(engine, event.report)
        if event.result is Result.OK:
            self._served(job, engine, event)
        elif event.result is Result.FULL:
            engine.full_at = self.now
        elif event.result is Result.TIMEOUT:
            self._given_up(job, attempt)
            estimate.answered(max(event.elapsed, self.flows[job.request.cls].latency))
        elif event.result in (Result.ERROR, Result.CONNECT_FAILED, Result.RESET):
            attempt.blame = float(event.result is Result.ERROR)
            if attempt.blame or self.now > engine.lost_at + LOST_ONCE:
                engine.tries, engine.fails = engine.tries + 1, engine.fails + 1
            engine.lost_at = self.now
            if job.faulty():
                for other in job.attempts:
                    other.engine.fails = max(0.0, other.engine.fails - other.blame)

    def _served(self, job: Job, engine: Engine, event: api.Outcome) -> None:
        flow, estimate = self.flows[job.request.cls], engine.estimates[job.request.cls]
        self.pace.done, engine.pace.done = self.pace.done + 1, engine.pace.done + 1
        estimate.answered(event.elapsed)
        engine.tries += 1
        most = WORK_MOST * event.elapsed * job.cls.threads
        flow.answered(event.elapsed, min(event.cost, most) if event.cost > 0 else most / WORK_MOST)
        self.answers += 1

    def _given_up(self, job: Job, attempt: Attempt) -> None:
        """A time-out or a hang-up: a loss past m where it frees the engine, so that theta is a departure."""
        self.answers, self.timeouts = self.answers + 1, self.timeouts + 1
        if self.settings.limits.cancel:
            self.flows[job.request.cls].lost += attempt.engine.estimates[job.request.cls].past

    def _note(self, event: api.Note) -> None:
        """Word of an attempt. One far below the usual pace (a bad plan, a slow engine) is dropped once."""
        job = self.jobs.get(event.id)
        if job is None or job.over or event.attempt + 1 != len(job.attempts):
            return
        attempt, flow = job.attempts[event.attempt], self.flows[job.request.cls]
        if event.kind is api.NoteKind.WAITS:
            attempt.due = inf  # no notes are promised while it waits
            if event.amount == FOR_A_LOAD:
                attempt.engine.held[job.request.dataset] = self.now + self.rest
        if event.kind is not api.NoteKind.PROGRESS or not self.settings.limits.cancel or attempt.done:
            return
        self._expect(job, SILENT[1])
        to_go = (self.now - attempt.sent) * (1 / max(event.amount, PROGRESS_FLOOR) - 1)
        left = job.deadline - self.now
        expected = max(flow.usual, self.slow * flow.best) * max(1.0, (job.request.cost or 0.0) / flow.work)
        slow = not event.attempt and to_go >= LAGGARD * expected and left >= 2 * flow.usual
        if slow and not self._fleet_index(job.request.cls):
            self._drop(job)  # once, and not where all are slow or the query is long by itself
        elif to_go > left:  # it would only fill the engine, and jam it for others, until its time is out
            self.actions.append(api.Cancel(event.id, event.attempt))
            self._given_up(job, attempt)
            self._end(job)

    def _expect(self, job: Job, periods: float) -> None:
        """Be woken when the last attempt's next note is overdue."""
        job.attempts[-1].due = self.now + periods * self.settings.notes_every
        self._timer(periods * self.settings.notes_every, job.request.id << 1 | 1)

    def _drop(self, job: Job) -> None:
        """Cancel the last attempt where another may follow; its outcome leads on."""
        if job.cls.effect is Effect.SAFE and len(job.attempts) < self.settings.limits.max_attempts:
            self.actions.append(api.Cancel(job.request.id, len(job.attempts) - 1))

    def _silent(self, job: Job) -> None:
        """An attempt without the notes that are due is not running: its answer is lost, or its engine."""
        attempt = job.attempts[-1]
        if attempt.done or self.now < attempt.due or job.out() > 1:
            return
        if job.deadline - self.now > self.flows[job.request.cls].usual:
            attempt.engine.tries, attempt.engine.fails = attempt.engine.tries + 1, attempt.engine.fails + 1
            self._drop(job)

    def _end(self, job: Job, shed: bool = False) -> None:
        """The final answer at once: a refusal where the effect rule lets it be one, else a failure."""
        if job.over:
            return
        job.over, limits = True, self.settings.limits
        if job.refusable():
            lot = self.random.uniform(*RETRY_SPREAD)
            wait = limits.max_retry_after * lot
            if self.reduced and self.reduced.pushback[1]:
                (low, high), (least, most) = self.reduced.pushback, RETRY_SPREAD
                wait = min(low + (high - low) * (lot - least) / (most - least), limits.max_retry_after)
            self.actions.append(api.Refuse(job.request.id, wait if limits.retry_after else 0.0, shed))
            if not self.settings.marks_retry and not job.attempts:
                self.flows[job.request.cls].came -= 1  # it may come back as new: lam counts what is let in
        else:
            self.actions.append(api.Fail(job.request.id))
        self._tidy(job)

    def _hung_up(self, id_: int) -> None:
        job = self.jobs.get(id_)
        if job is not None and not job.over:
            job.over = True
            for number, attempt in enumerate(job.attempts):
                if not attempt.done:
                    self._given_up(job, attempt)
                    if self.settings.limits.cancel:
                        self.actions.append(api.Cancel(id_, number))
            self._tidy(job)

    def _tidy(self, job: Job) -> None:
        """Forget a job that is over with nothing out, and give its key's turn on."""
        if not job.over or job.out():
            return
        self.jobs.pop(job.request.id, None)
        key = job.request.key
        line = self.lines.get(key) if job.cls.ordered and key else None
        if line is None:
            return
        while line and line[0].over and not line[0].out():
            line.popleft()
        if not line:
            del self.lines[key]
        elif not line[0].attempts:
            self._timer(self.rests.get(key, 0.0) - self.now, line[0].request.id << 1 | 1)

    def _wake(self, id_: int) -> None:
        """A job's time: its attempt may have gone silent; or it is held, and this is its turn or its end."""
        job = self.jobs.get(id_)
        if job is None or job.over:
            return
        if job.out():
            self._silent(job)
        elif self.now >= job.deadline - self.margin:
            self._end(job)
        elif not job.attempts and self._in_turn(job):
            self._place(job)

    def _choose(self, job: Job, failed: Engine | None) -> Engine | None:
        """The engine of the smallest index below nu; near-ties go to the least crowded.

        While reports are fresh each query reads j within a spread, so that not all turn away at once.
        """
        cls, flow, at = job.request.cls, self.flows[job.request.cls], job.request.zones
        found: list[tuple[float, Engine]] = []
        low, high = J_SPREAD if self.echo > 1 else (1.0, 1.0)  # few old reports differ enough by themselves
        spread = low + (high - low) * (job.lot / GOLDEN % 1.0)
        stands = job.cls.holds or job.cls.waits  # behind a load that holds its tables, at the cost h a second
        least = self._fleet_index(cls)
        flow.asked, self.asked = flow.asked + 1, self.asked + 1  # for the lots of the cold budget
        for engine in self.targets[cls] if at is None else [e for e in self.targets[cls] if e.zone in at]:
            if self.now >= engine.view_until:
                self._view(engine)
            index = engine.estimates[cls].at(spread)
            if self.now >= engine.cold_until:  # the cold may have room when none is left elsewhere
                index = max(index, least)
            if index < flow.nu and engine is not failed and self._cold_budget(job, engine):
                odds = self._odds(job, engine) if stands else 0.0
                found.append((index + odds * flow.h * self.rest, engine))
        if not found and failed is not None:
            return self._choose(job, None)
        while found:
            tie = min(index for index, _ in found) * (1 + NEAR_TIE)
            near = [n for n, (index, _) in enumerate(found) if index <= tie]
            few = max(COMPARED[0], ceil(COMPARED[1] * len(near) / self.settings.gateways))
            if few < len(near):  # and the cold, which few queries may go to at all
                near = self.random.sample(near, few) + [n for n in near if self.now < found[n][1].cold_until]
            place = min(near, key=lambda n: self._crowding(job.cls.worth, *found[n]))
            engine = found.pop(place)[1]
            if self._may_send(job, engine):
                return engine
        return None

    def _odds(self, job: Job, engine: Engine) -> float:
        """The chance that a load holds the job's tables there; for a load, that it would hold up readers.

        Of others' loads we know little: a group's keep to its homes, by its number, its readers away.
        """
        group = job.request.dataset
        if engine.holds(group, self.now):
            return 1.0
        home = (engine.id * GOLDEN - group * TURN) % 1.0 < HOMES
        return HOME_ODDS if home != job.cls.holds and self.settings.gateways > 1 else 0.0

    def _crowding(self, worth: float, index: float, engine: Engine) -> float:
        """What decides between near-ties: threads a core, weighed by the index with the price of crossing."""
        price = self.settings.prices.cross_zone * worth if engine.zone != self.settings.zone else 0.0
        turn = COLD_TURN if self.now < engine.cold_until else 1.0
        return turn * (index + price) * (CROWDING + engine.load)

    def _fleet_index(self, cls: int) -> float:
        """The least index of a mean warm engine, by the mean report and our books: a sample, but not late."""
        if not self.pressed:
            return 0.0
        flow = self.flows[cls]
        m = max(1.0, self.level * self.cores / max(len(self.ready), 1) / flow.cls.threads)
        total = sum(f.out * f.cls.threads * w for f, w in zip(self.flows, flow.weights, strict=True))
        ours, others = sum(f.out for f in self.flows), self.fleet.get("others", 0.0) * self.cores
        due = self.usual / self.told * (ours + others) if self.told else ours  # our part, by the reports
        factor = (BOOKS + ours) / (BOOKS + due) if self.counted else float(self.settings.gateways)
        j = factor * (total + others * flow.others) / flow.cls.threads / max(len(self.ready), 1)
        table = flow.table(1 / max(flow.latency, LEAST_LATENCY), m, self.settings.gateways)
        return read(table, j) if j + 1 > m else 0.0

    def _may_send(self, job: Job, engine: Engine) -> bool:
        """Whether a send now keeps every rule; every send passes here."""
        if not (engine.ready and self.now < job.deadline and not job.over):
            return False
        kept = self._in_turn(job) and self._attempt_left(job) and self._effect_kept(job, engine)
        return kept and self._placed(job.cls, engine, job.request.zones) and self._cold_budget(job, engine)

    def _placed(self, cls: api.RequestClass, engine: Engine, within: frozenset[int] | None = None) -> bool:
        placed = (cls.zones is None or engine.zone in cls.zones) and (within is None or engine.zone in within)
        return placed and (cls.kinds is None or engine.kind in cls.kinds)

    def _in_turn(self, job: Job) -> bool:
        key = job.request.key
        if not job.cls.ordered or not key or job.attempts:
            return True
        return self.lines[key][0] is job and self.now >= self.rests.get(key, 0.0)

    def _attempt_left(self, job: Job) -> bool:
        limits, rules = self.settings.limits, self.settings.rules
        if not job.attempts:
            return True
        most = limits.max_attempts
        if self.reduced and job.cls.effect is Effect.SAFE:
            most = min(most, self.reduced.attempts[job.request.cls] or most)
        if len(job.attempts) >= most or (job.out() and not limits.duplicates):
            return False
        if rules.ration_free is None:
            return True
        for times in (self.taken, self.extra):
            while times and times[0] <= self.now - rules.ration_window:
                times.popleft()
        return len(self.extra) + 1 <= rules.ration_free + rules.ration_share * len(self.taken)

    def _effect_kept(self, job: Job, engine: Engine) -> bool:
        doubtful = job.doubtful()
        if job.cls.effect is Effect.SAFE or not doubtful:
            return True
        first, group = doubtful[0], job.cls.group
        same = group is Group.ALL or engine.cell == first.engine.cell
        same = same or (group is Group.ZONE and engine.zone == first.engine.zone)
        same = same and self.now + 2 * self.settings.tick < first.sent + job.cls.window
        return same and job.cls.effect is Effect.KEYED

    def _cold_budget(self, job: Job, engine: Engine) -> bool:
        """The fail-back rule over any window: this gateway's share or, where that is too small, a lot.

        Lots bound what is let in on average. Heavy queries scatter more and get less.
        """
        if self.now >= engine.cold_until:
            return True
        rules, flow, gateways = self.settings.rules, self.flows[job.request.cls], self.settings.gateways
        while engine.sent and engine.sent[0][0] <= self.now - rules.fall_time:
            engine.sent.popleft()
        carried = self.told * self.costs / (self.costed + CARRIED[0]) / max(self.planned, 1)  # work a core
        capacity = engine.warmth(self.now - rules.fall_time) * engine.cores
        capacity *= min(max(carried, COLD_LOAD), CARRIED[1])
        budget = rules.fall_multiple * capacity * rules.fall_time
        share = COLD_SAFETY * budget / gateways
        if share >= COLD_FEW * flow.work:
            return sum(work for _, work in engine.sent) + flow.work <= share
        most = COLD_CHANCE / len(self.flows) * budget / flow.work  # queries, their mean and scatter together
        mean = (sqrt(most + COLD_SCATTER**2 / 4) - COLD_SCATTER / 2) ** 2
        rate = max(self.chosen, self.asked) * flow.asked / sum(flow.asked for flow in self.flows)
        lot = (job.lot + engine.id * GOLDEN) % 1.0  # another for each engine
        return lot * rate * rules.fall_time * gateways < mean
