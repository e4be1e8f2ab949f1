"""The engine that a request goes to; every rule that a send keeps, the cold budget among them."""

from __future__ import annotations

from collections import defaultdict, deque
from math import ceil, sqrt

from tealwing import interface as api
from tealwing.policy.engines import Engine, Job
from tealwing.policy.fleet import J_SPREAD, Fleet

END_TICKS = 3  # ticks before the deadline at which a held request is answered (o)
NEAR_TIE = 0.1  # share of the smallest index within which engines tie (d)
COMPARED = (2, 2.0)  # near-ties compared at least, and over all gateways (o): many must not herd
CROWDING = 0.7  # threads a core that an idle engine is counted as when ties are broken (o)
COLD_TURN = 0.5  # factor on the crowding of a cold engine whose lot a query has drawn (o): that is its part
HOMES = 1 / 3  # share of the engines that a group's loads keep to and its readers avoid (o): loads are few
HOME_ODDS = 0.25  # chance that a load of another gateway holds the group at one of its homes (o)
TURN = 0.4142135624  # turns from one group's homes to the next (o): all gateways find the same
COLD_SAFETY = 0.6  # share of the fail-back budget that fixed shares use (o): work estimates are rough
COLD_FEW = 2.0  # queries below which a gateway's share of the budget gives way to lots (o)
COLD_CHANCE = 2.0  # budgets that lots let in if all that are let in wanted one engine (o): few do
COLD_SCATTER = 3.0  # standard deviations of chance that lots leave room for (o): a budget once spent is fatal
CARRIED = (50.0, 1.6)  # estimates that none counts for, and most work a core, in what engines carry (o)
GOLDEN = 0.6180339887  # its multiples fall evenly between whole numbers: lots of one query at many engines


class Placement(Fleet):
    """The choice among the engines, and the rules that every send keeps."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.reduced: api.ServiceLevel | None = None  # the service level, where one is in force
        self.taken, self.extra = deque[float](), deque[float]()  # times of requests and of further attempts
        self.lines = defaultdict[int, deque[Job]](deque)  # ordered jobs by key
        self.rests: dict[int, float] = {}  # until when a key rests
        self.margin = min(END_TICKS * settings.tick, settings.rules.answer_slack)  # s

    def _choose(self, job: Job, failed: Engine | None) -> Engine | None:
        """The engine of the smallest index below nu; near-ties go to the least crowded."""
        cls, flow, at = job.request.cls, job.flow, job.request.zones
        found: list[tuple[float, Engine]] = []
        # While reports are fresh each query reads j within a spread, so that not all turn away at once.
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
            engine = found.pop(min(near, key=lambda n: self._crowding(job.cls.worth, *found[n])))[1]
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
        return HOME_ODDS if home != job.cls.holds and self.settings.gateways > 1 else 0.0

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
        if not job.key or job.attempts:
            return True
        return self.lines[job.key][0] is job and self.now >= self.rests.get(job.key, 0.0)

    def _attempt_left(self, job: Job) -> bool:
        limits, rules, most = self.settings.limits, self.settings.rules, self.settings.limits.max_attempts
        if self.reduced and job.cls.effect is api.Effect.SAFE:
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
        first = next(iter(job.doubtful()), None)
        if job.cls.effect is api.Effect.SAFE or first is None:
            return True
        same = job.cls.group is api.Group.ALL or engine.cell == first.engine.cell
        same = same or (job.cls.group is api.Group.ZONE and engine.zone == first.engine.zone)
        same = same and self.now + 2 * self.settings.tick < first.sent + job.cls.window
        return same and job.cls.effect is api.Effect.KEYED

    def _cold_budget(self, job: Job, engine: Engine) -> bool:
        """The fail-back rule over any window: this gateway's share or, where that is too small, a lot."""
        if self.now >= engine.cold_until:
            return True
        rules, flow, gateways = self.settings.rules, job.flow, self.settings.gateways
        while engine.sent and engine.sent[0][0] <= self.now - rules.fall_time:
            engine.sent.popleft()
        carried = self.told * self.costs / (self.costed + CARRIED[0]) / max(self.planned, 1)  # work a core
        capacity = engine.warmth(self.now - rules.fall_time) * engine.cores
        capacity *= min(max(carried, api.COLD_LOAD), CARRIED[1])
        budget = rules.fall_multiple * capacity * rules.fall_time
        share = COLD_SAFETY * budget / gateways
        if share >= COLD_FEW * flow.work:
            return sum(work for _, work in engine.sent) + flow.work <= share
        # Lots bound what is let in on average. Heavy queries scatter more and get less.
        most = COLD_CHANCE / len(self.flows) * budget / flow.work  # queries, their mean and scatter together
        mean = (sqrt(most + COLD_SCATTER**2 / 4) - COLD_SCATTER / 2) ** 2
        rate = max(self.chosen, self.asked) * flow.asked / sum(flow.asked for flow in self.flows)
        lot = (job.lot + engine.id * GOLDEN) % 1.0  # another for each engine
        return lot * rate * rules.fall_time * gateways < mean
