"""The engine that a request goes to; every rule that a send keeps, the cold budget among them."""

from __future__ import annotations

from collections import defaultdict, deque
from math import ceil, exp, expm1, sqrt

from tealwing import interface as api
from tealwing.policy.engines import Engine, Job
from tealwing.policy.fleet import J_SPREAD, Fleet
from tealwing.policy.rates import Flow

END_TICKS = 3  # ticks before the deadline at which a held request is answered
NEAR_TIE = 0.1  # share of the smallest index within which engines tie
COMPARED = (2, 2.0)  # near-ties compared at least, and over all gateways: many must not herd
CROWDING = 0.7  # threads a core that an idle engine is counted as when ties are broken
COLD_TURN = 0.5  # factor on the crowding of a cold engine whose lot a query has drawn: that is its part
HOMES = 1 / 3  # share of the engines that a group's loads keep to and its readers avoid: loads are few
HOME_ODDS = 0.25  # chance that a load of another gateway holds the group at one of its homes
TURN = 0.4142135624  # turns from one group's homes to the next: all gateways find the same
COLD_SAFETY = 0.6  # share of the fail-back budget that fixed shares use: work estimates are rough
COLD_FEW = 2.0  # queries below which a gateway's share of the budget gives way to lots
COLD_SLACK = 2.0  # roots of the budget, and queries, that the rule puts down to chance beyond it
COLD_RISK = 5.0  # -ln of what bounds the chance that the lots of a window fill the slack: a fall is fatal
CARRIED = (50.0, 1.6)  # estimates that none counts for, and most work a core, in what engines carry
GOLDEN = 0.6180339887  # its multiples fall evenly between whole numbers: lots of one query at many engines
RETRY_DIGITS = 1e4  # past which a lot's digits decide on a further attempt: who drew well must not again


class Placement(Fleet):
    """The choice among the engines, and the rules that every send keeps."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.reduced: api.ServiceLevel | None = None  # the service level, where one is in force
        self.taken, self.extra = deque[float](), deque[float]()  # times of requests and of further attempts
        self.lines, self.rests = defaultdict[int, deque[Job]](deque), dict[int, float]()  # by key: jobs, rest
        self.margin = min(END_TICKS * settings.tick, settings.rules.answer_slack)  # s

    def _choose(self, job: Job, failed: Engine | None) -> Engine | None:
        """The engine of the smallest index below nu; near-ties go to the least crowded."""
        cls, flow, at = job.request.cls, job.flow, job.request.zones
        found: list[tuple[float, Engine]] = []
        # While reports are fresh each query reads j within a spread, so that not all turn away at once.
        low, high = J_SPREAD if self.echo > 1 else (1.0, 1.0)  # few old reports differ enough by themselves
        spread = low + (high - low) * (job.lot / GOLDEN % 1.0)
        stands = (
            job.cls.locks_tables or job.cls.waits_for_locks
        )  # behind a load that holds its tables, at the cost h a second
        least = self._fleet_index(cls)
        flow.asked += 1  # for the lots of the cold budget
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
            few = max(COMPARED[0], ceil(COMPARED[1] * len(near) / self.settings.gateway_count))
            if few < len(near):  # and the cold, which few queries may go to at all
                near = self.random.sample(near, few) + [n for n in near if self.now < found[n][1].cold_until]
            engine = found.pop(min(near, key=lambda n: self._crowding(job.cls.priority_weight, *found[n])))[1]
            if self._may_send(job, engine):
                return engine
        return None

    def _odds(self, job: Job, engine: Engine) -> float:
        """The chance that a load holds the job's tables there; for a load, that it would hold up readers."""
        group = job.request.dataset
        if engine.holds(group, self.now):
            return 1.0
        # Of others' loads we know little: a group's keep to its homes, by its number, its readers away.
        home = (engine.id * GOLDEN - group * TURN) % 1.0 < HOMES
        return HOME_ODDS if home != job.cls.locks_tables and self.settings.gateway_count > 1 else 0.0

    def _crowding(self, worth: float, index: float, engine: Engine) -> float:
        """What decides between near-ties: threads a core, weighed by the index with the price of crossing."""
        price = self.settings.prices.cross_zone * worth if engine.zone != self.settings.zone else 0.0
        turn = COLD_TURN if self.now < engine.cold_until else 1.0
        return turn * (index + price) * (CROWDING + engine.load)

    def _may_send(self, job: Job, engine: Engine) -> bool:
        """Whether a send now keeps every rule; every send passes here."""
        live = engine.ready and self.now < job.deadline and not job.over
        kept = live and engine.takes(job.cls, job.request.zones) and self._in_turn(job)
        kept = kept and (not job.attempts or self._attempt_left(job))
        return kept and self._effect_kept(job, engine) and self._cold_budget(job, engine)

    def _in_turn(self, job: Job) -> bool:
        free = not job.key or bool(job.attempts)
        return free or (self.lines[job.key][0] is job and self.now >= self.rests.get(job.key, 0.0))

    def _attempt_left(self, job: Job) -> bool:
        limits, rules, most = self.settings.limits, self.settings.rules, self.settings.limits.max_attempts
        if self.reduced and job.cls.idempotency is api.Idempotency.IDEMPOTENT:
            most = min(most, self.reduced.max_attempts[job.request.cls] or most)
        if len(job.attempts) >= most or (job.out() and not limits.hedging):
            return False
        if rules.retry_budget_floor is None:
            return True
        for times in (self.taken, self.extra):
            while times and times[0] <= self.now - rules.retry_budget_window:
                times.popleft()
        return len(self.extra) + 1 <= rules.retry_budget_floor + rules.retry_budget_share * len(self.taken)

    def _effect_kept(self, job: Job, engine: Engine) -> bool:
        first = next(iter(job.doubtful()), None)
        if job.cls.idempotency is api.Idempotency.IDEMPOTENT or first is None:
            return True
        same = job.cls.idempotency_scope is api.IdempotencyScope.ALL or engine.cell == first.engine.cell
        same = same or (job.cls.idempotency_scope is api.IdempotencyScope.ZONE and engine.zone == first.engine.zone)
        same = same and self.now + 2 * self.settings.tick < first.sent + job.cls.idempotency_window
        return same and job.cls.idempotency is api.Idempotency.KEYED

    def _cold_budget(self, job: Job, engine: Engine) -> bool:
        """The fail-back rule over any window: this gateway's share or, where that is too small, a lot."""
        if self.now >= engine.cold_until:
            return True
        rules, flow, gateways, now = self.settings.rules, job.flow, self.settings.gateway_count, self.now
        while engine.sent and engine.sent[0][0] <= now - rules.overload_time:
            engine.sent.popleft()
        carried = self.told * self.costs / (self.costed + CARRIED[0]) / max(self.planned, 1)  # work a core
        budget = rules.overload_multiple * rules.overload_time * engine.warmth(now - rules.overload_time) * engine.cores
        budget *= min(max(carried, api.CAPACITY_UTILIZATION), CARRIED[1])
        share = COLD_SAFETY * budget / gateways
        if share >= COLD_FEW * flow.work:
            return sum(work for _, work in engine.sent) + flow.work <= share
        # Lots by the time since the last one: so the mean of a window is known, whatever the traffic.
        last = engine.estimates[job.request.cls]
        lot = (job.lot * RETRY_DIGITS ** len(job.attempts) + engine.id * GOLDEN) % 1.0  # for each attempt
        if lot != last.lot:
            last.lot, last.gap, last.drawn = lot, min(now - last.drawn, rules.overload_time), now
        part = last.gap / rules.overload_time / gateways  # no more than the budget: most lots end here
        return lot * flow.work < part * budget and lot < part * self._let_in(flow, budget, share)

    def _let_in(self, flow: Flow, budget: float, share: float) -> float:
        """Queries of the class that lots of all gateways let in within a window, on average."""
        mean = sum(f.asked * f.work for f in self.flows) / sum(f.asked for f in self.flows)
        few = [f for f in self.flows if share < COLD_FEW * f.work]
        fixed = COLD_SAFETY * budget if len(few) < len(self.flows) else 0.0  # is kept for fixed shares
        most = budget - fixed + COLD_SLACK * (sqrt(budget * mean) + mean)
        usual = sum(f.asked * f.work for f in few) / sum(f.asked for f in few)
        steep = (root := sqrt(2 * COLD_RISK * usual / most)) * (1 + root / 4) / usual  # lets in most
        room = max(min(most - COLD_RISK / steep, budget), 0.0)
        part = sqrt(flow.asked) / sum(sqrt(f.asked) for f in few)
        return part * room * steep * exp(-steep * flow.work) / -expm1(-steep * flow.work)
