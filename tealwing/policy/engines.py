"""Engines as this gateway sees them, their evidence, and the requests with attempts there."""

from __future__ import annotations

from collections import Counter, deque
from math import inf

from tealwing import interface as api
from tealwing.policy.rates import LEARN, LEAST_LATENCY, Flow
from tealwing.policy.tables import read

SHRINK = 50.0  # answers that the fleet's mean counts for in an engine's: noise must not look like speed
PACE_KEEP = 0.6  # share of a pace that a rebuild keeps: a memory of two seconds
PACE_PRIOR = 3.0  # answers that a pace's prior counts for: one long query is no jam
MOST = {"inflight": 1e4, "queue": 1e4}  # beyond which a reported value is read as this: absurd ones
MOST_SHARE = 4.0  # the same for shares
FAR_ABOVE = 3.0  # latency of late over the best that means pressure
BUSY = {"util": 0.85, "x1": 0.9, "x0": 0.9, "queue": 0.5, "load": 1.0}  # values that mean pressure
SLOW_AT_M = 4.0  # slowness that stands for m where no count is reported: twice the sharing at m
SUCCESS_FLOOR = 0.05  # least share of successes in mu: keeps the index finite
FAULTY = 2  # engines with errors at which a query is held to be at fault itself, not they


class Pace:
    """Latency over the best, as query-seconds over answers; also of what is out: answers alone hide a jam."""

    def __init__(self, now: float = 0.0) -> None:
        self.exposed, self.done, self.at = 0.0, 0.0, now  # queries' time out over their class's best; answers

    def passed(self, now: float, rate: float) -> None:
        """Time went by with so many queries out, each over its class's best."""
        self.exposed, self.at = self.exposed + rate * (now - self.at), now

    def slow(self, usual: float) -> float:
        """Slowness as a second ends, drawn to the usual; then what it was read from fades."""
        slow = (self.exposed + PACE_PRIOR * usual) / (self.done + PACE_PRIOR)
        self.exposed, self.done = PACE_KEEP * self.exposed, PACE_KEEP * self.done
        return slow


class Estimate:
    """What one engine shows for one class: mu, and the counts behind j."""

    def __init__(self, now: float) -> None:
        self.latency, self.answers = 0.0, 0.0
        self.out = self.unseen = 0  # attempts out; those sent since the last report
        self.past, self.index = 0.0, 0.0  # share of j past m; the index below m, as of the last view
        self.j, self.m, self.table = 0.0, inf, list[float]()  # where m binds
        self.lot, self.gap, self.drawn = -1.0, 0.0, now  # the last lot while cold; s it waited for; its time

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

    def __init__(self, entry: api.EngineListEntry, settings: api.Settings, now: float) -> None:
        self.id, self.zone, self.kind, self.cell = entry.engine, entry.zone, entry.kind, entry.cell
        self.ready, self.started = entry.health is api.Health.READY, entry.started
        kind, self.rules = settings.machine_kinds[min(self.kind, len(settings.machine_kinds) - 1)], settings.rules
        self.cores, self.ram = kind.cores, max(kind.memory, 1.0)
        self.cold_until = self.started + self.rules.slow_start_time if self.started > 0 else -inf
        self.estimates = [Estimate(now) for _ in settings.classes]
        self.report, self.values = dict[str, float](), tuple[float, ...]()
        self.reports, self.heard = 0, -inf  # distinct reports seen; when the last came
        self.pace, self.slow, self.full_until = Pace(now), 1.0, -inf  # latency over the best; is full
        self.others = 0.0  # other gateways' queries there, by the last report or by the fleet's mean
        self.need, self.memory = 0.0, 0.0  # MB of this gateway's attempts there; share of its memory, of all
        self.threads = self.queries = 0  # of this gateway's attempts there
        self.load, self.view_until = 0.0, -inf  # threads a core; until when load and indices hold
        self.sent: deque[tuple[float, float]] = deque()  # times and work sent while cold
        self.tries, self.fails, self.lost_at = 0.0, 0.0, -inf  # outcomes, fading; the last failure
        self.doubt, self.gone = 1.0, False  # what peers add to its latency, a factor; left the list
        self.loads, self.held = Counter[float](), dict[float, float]()  # by group: ours; until when others'

    @property
    def success(self) -> float:
        """Share of successes, one of them beforehand: a failure says more where an engine is seldom met."""
        return max((self.tries - self.fails + 1) / (self.tries + 1), SUCCESS_FLOOR)

    def warmth(self, now: float) -> float:
        """Share of its capacity, by the contract's figures: a straight slow start."""
        if now >= self.cold_until:
            return 1.0
        passed = max(now - self.started, 0.0) / self.rules.slow_start_time
        return self.rules.slow_start_share + (1 - self.rules.slow_start_share) * passed

    def takes(self, cls: api.RequestClass, within: frozenset[int] | None = None) -> bool:
        """Whether the class may be placed there, and a request of it that is kept within some zones."""
        placed = (cls.zones is None or self.zone in cls.zones) and (within is None or self.zone in within)
        return placed and (cls.machine_kinds is None or self.kind in cls.machine_kinds)

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
        jammed = now < self.full_until or max(busy, self.memory) > BUSY["load"] or self.slow > FAR_ABOVE
        return jammed or any(self.report.get(name, 0.0) > limit for name, limit in BUSY.items())


class Attempt:
    """One send of a job."""

    def __init__(self, engine: Engine, sent: float) -> None:
        self.engine, self.sent, self.report, self.due = engine, sent, engine.reports, inf  # due: for its note
        self.done, self.may_have_run, self.blame = False, True, 0.0  # failures that its error counted for


class Job:
    """A request from its arrival until it is over and nothing of it is out."""

    def __init__(self, request: api.Request, flow: Flow, now: float, lot: float) -> None:
        self.request, self.flow, self.cls, self.deadline = request, flow, flow.cls, now + request.time_remaining
        self.key, self.over = request.key if flow.cls.ordered else 0, False  # 0: no order
        self.attempts, self.lot = list[Attempt](), lot  # its lot decides where fixed shares are too small

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
        discarded = (
            self.cls.idempotency is api.Idempotency.KEYED and self.cls.idempotency_scope is api.IdempotencyScope.ALL
        )
        return discarded or self.cls.idempotency is api.Idempotency.IDEMPOTENT or not self.doubtful()
