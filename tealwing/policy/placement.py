"""The choice of an engine for a request, and the rules that every send must satisfy."""

from __future__ import annotations

from collections import defaultdict, deque
from math import ceil, exp, expm1, sqrt

from tealwing import interface as api
from tealwing.policy.engines import Engine
from tealwing.policy.fleet import COUNT_SPREAD
from tealwing.policy.rates import ClassTraffic
from tealwing.policy.requests import RequestState
from tealwing.policy.settings_change import SettingsChange

DEADLINE_TICKS = 3  # ticks before the deadline at which a waiting request is answered
NEAR_TIE = 0.1  # share of the smallest index within which engines count as equal
CANDIDATES = (2, 2.0)  # minimum of engines compared; comparisons per tied engine over all gateways: limits herding
IDLE_LOAD = 0.7  # threads per core added to an engine's load when ties are broken
SLOW_START_LOAD_FACTOR = 0.5  # factor on the weighted load of an engine in slow start that may take the query
HOME_SHARE = 1 / 3  # share of the engines that a group's bulk loads prefer and its readers avoid
HOME_LOCK_CHANCE = 0.25  # chance that another gateway's bulk load locks the group at a home engine
HOME_OFFSET = 0.4142135624  # between the home engines of successive groups; must be the same at all gateways
BUDGET_SAFETY = 0.6  # part of the slow-start budget split into fixed shares: work estimates are imprecise
MIN_BUDGET_QUERIES = 2.0  # queries in a gateway's fixed share below which it admits by sampling
BUDGET_SLACK = 2.0  # a budget of N mean queries may be exceeded by chance, by this times (sqrt(N) + 1) queries
BUDGET_RISK = 5.0  # -ln of the bound on the chance that sampling uses up the slack
OFFERED_WORK = (50.0, 1.6)  # weight of the prior, in cost estimates; upper bound on the work per core
GOLDEN_RATIO = 0.6180339887  # low-discrepancy step: spreads one query's sampling keys over the engines
RETRY_KEY_SCALE = 1e4  # a retry uses the sampling key's digits after these


class Placement(SettingsChange):
    """Engine selection, the retry budget, ordering and slow start."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.service_level: api.ServiceLevel | None = None  # None at full service
        self.request_times = deque[float]()  # s, for the retry budget
        self.retry_times = deque[float]()  # s, for the retry budget
        self.ordering_queues = defaultdict[int, deque[RequestState]](deque)  # by ordering key, in order of arrival
        self.ordering_wait_until = dict[int, float]()  # by ordering key: time before which no request is sent
        self.deadline_margin = min(DEADLINE_TICKS * settings.tick, settings.rules.answer_slack)  # s

    def _choose_engine(self, state: RequestState, failed: Engine | None) -> Engine | None:
        """Return the engine of the smallest index below the rejection cost; near-ties go to the least loaded."""
        cls, traffic = state.request.cls, state.traffic
        candidates: list[tuple[float, Engine]] = []
        # With recent reports each query scales the count at random, so that not all avoid an engine at once. Without
        # reports, the gateways' own counts differ enough.
        low, high = COUNT_SPREAD if self.unreported_weight > 1 else (1.0, 1.0)
        count_factor = low + (high - low) * (state.sampling_key / GOLDEN_RATIO % 1.0)
        uses_locks = state.cls.locks_tables or state.cls.waits_for_locks  # waiting for a lock costs delay_cost a second
        fleet_index = self._fleet_index(cls)
        traffic.placements += 1  # weighs the sampling of the slow-start budget
        for engine in self._eligible(state, failed):
            if self.now >= engine.indices_valid_until:
                self._refresh_indices(engine)
            index = engine.estimates[cls].index_at(count_factor)
            if self.now >= engine.slow_start_until:  # engines in slow start may have capacity when others have none
                index = max(index, fleet_index)
            if index < traffic.rejection_cost and self._fits_slow_start_budget(state, engine):
                lock_chance = self._lock_chance(state, engine) if uses_locks else 0.0
                candidates.append((index + lock_chance * traffic.delay_cost * self.lock_wait, engine))
        if not candidates and failed is not None:
            return self._choose_engine(state, None)
        while candidates:
            tie_limit = min(index for index, _ in candidates) * (1 + NEAR_TIE)
            tied = [n for n, (index, _) in enumerate(candidates) if index <= tie_limit]
            compared = max(CANDIDATES[0], ceil(CANDIDATES[1] * len(tied) / self.settings.gateway_count))
            if compared < len(tied):  # keep those in slow start, which few queries may use
                tied = self.random.sample(tied, compared) + [
                    n for n in tied if self.now < candidates[n][1].slow_start_until
                ]
            engine = candidates.pop(
                min(tied, key=lambda n: self._weighted_load(state.cls.priority_weight, *candidates[n]))
            )[1]
            if self._may_send(state, engine):
                return engine
        return None

    def _lock_chance(self, state: RequestState, engine: Engine) -> float:
        """Return the chance that a bulk load locks the request's tables; for a bulk load, that it blocks readers."""
        group = state.request.dataset
        if engine.is_locked(group, self.now):
            return 1.0
        # Other gateways' bulk loads are unknown: by convention they use the group's home engines, its readers others.
        home = (engine.id * GOLDEN_RATIO - group * HOME_OFFSET) % 1.0 < HOME_SHARE
        return HOME_LOCK_CHANCE if home != state.cls.locks_tables and self.settings.gateway_count > 1 else 0.0

    def _weighted_load(self, priority_weight: float, index: float, engine: Engine) -> float:
        """Return the tie-breaker: load per core times the index plus the price of a cross-zone send."""
        crossing_price = self.settings.prices.cross_zone * priority_weight if engine.zone != self.settings.zone else 0.0
        slow_start_factor = SLOW_START_LOAD_FACTOR if self.now < engine.slow_start_until else 1.0
        return slow_start_factor * (index + crossing_price) * (IDLE_LOAD + engine.load)

    def _may_send(self, state: RequestState, engine: Engine) -> bool:
        """Whether a send to the engine satisfies every rule now; checked before each send."""
        usable = engine.ready and self.now < state.deadline and not state.ended
        allowed = usable and engine.accepts(state.cls, state.request.zones) and self._is_in_order(state)
        allowed = allowed and (not state.attempts or self._has_attempt_left(state))
        return allowed and self._is_repeat_safe(state, engine) and self._fits_slow_start_budget(state, engine)

    def _is_in_order(self, state: RequestState) -> bool:
        free = not state.key or bool(state.attempts)
        return free or (
            self.ordering_queues[state.key][0] is state and self.now >= self.ordering_wait_until.get(state.key, 0.0)
        )

    def _has_attempt_left(self, state: RequestState) -> bool:
        limits, rules, max_attempts = self.settings.limits, self.settings.rules, self.settings.limits.max_attempts
        if self.service_level and state.cls.idempotency is api.Idempotency.IDEMPOTENT:
            max_attempts = min(max_attempts, self.service_level.max_attempts[state.request.cls] or max_attempts)
        if len(state.attempts) >= max_attempts or (state.in_flight() and not limits.hedging):
            return False
        if rules.retry_budget_floor is None:
            return True
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= self.now - rules.retry_budget_window:
                times.popleft()
        return len(self.retry_times) + 1 <= rules.retry_budget_floor + rules.retry_budget_share * len(
            self.request_times
        )

    def _is_repeat_safe(self, state: RequestState, engine: Engine) -> bool:
        earlier = next(iter(state.possibly_executed()), None)
        if state.cls.idempotency is api.Idempotency.IDEMPOTENT or earlier is None:
            return True
        deduplicated = state.cls.idempotency_scope is api.IdempotencyScope.ALL or engine.cell == earlier.engine.cell
        deduplicated = deduplicated or (
            state.cls.idempotency_scope is api.IdempotencyScope.ZONE and engine.zone == earlier.zone
        )
        deduplicated = (
            deduplicated and self.now + 2 * self.settings.tick < earlier.sent_at + state.cls.idempotency_window
        )
        return deduplicated and state.cls.idempotency is api.Idempotency.KEYED

    def _fits_slow_start_budget(self, state: RequestState, engine: Engine) -> bool:
        """Whether a send fits the slow-start budget: by this gateway's share or, where that is small, by sampling."""
        if self.now >= engine.slow_start_until:
            return True
        rules, traffic, gateways, now = self.settings.rules, state.traffic, self.settings.gateway_count, self.now
        while engine.slow_start_sends and engine.slow_start_sends[0][0] <= now - rules.overload_time:
            engine.slow_start_sends.popleft()
        # s of work per core
        offered_work = (
            self.quota_rate * self.cost_sum / (self.cost_count + OFFERED_WORK[0]) / max(self.planned_cores, 1)
        )
        budget = (
            rules.overload_multiple
            * rules.overload_time
            * engine.warm_up_progress(now - rules.overload_time)
            * engine.cores
        )
        budget *= min(max(offered_work, api.CAPACITY_UTILIZATION), OFFERED_WORK[1])
        gateway_share = BUDGET_SAFETY * budget / gateways
        if gateway_share >= MIN_BUDGET_QUERIES * traffic.mean_work:
            return sum(work for _, work in engine.slow_start_sends) + traffic.mean_work <= gateway_share
        # The chance grows with the time since the last draw, so that a window's mean does not depend on the traffic.
        estimate = engine.estimates[state.request.cls]
        # a different key for each attempt
        sampling_key = (state.sampling_key * RETRY_KEY_SCALE ** len(state.attempts) + engine.id * GOLDEN_RATIO) % 1.0
        if sampling_key != estimate.sampling_key:
            estimate.sampling_key = sampling_key
            estimate.draw_interval = min(now - estimate.drawn_at, rules.overload_time)
            estimate.drawn_at = now
        window_share = estimate.draw_interval / rules.overload_time / gateways  # cheap bound first: most draws end here
        return (
            sampling_key * traffic.mean_work < window_share * budget
            and sampling_key < window_share * self._expected_admissions(traffic, budget, gateway_share)
        )

    def _expected_admissions(self, traffic: ClassTraffic, budget: float, gateway_share: float) -> float:
        """Return the mean number of the class's queries that all gateways admit by sampling in a window."""
        mean_work = sum(f.placements * f.mean_work for f in self.class_traffic) / sum(
            f.placements for f in self.class_traffic
        )
        sampled = [f for f in self.class_traffic if gateway_share < MIN_BUDGET_QUERIES * f.mean_work]
        # reserved for the classes with fixed shares
        reserved = BUDGET_SAFETY * budget if len(sampled) < len(self.class_traffic) else 0.0
        max_work = budget - reserved + BUDGET_SLACK * (sqrt(budget * mean_work) + mean_work)
        mean_sampled_work = sum(f.placements * f.mean_work for f in sampled) / sum(f.placements for f in sampled)
        # the rate of exponential decay that maximizes the number of admitted queries
        decay = (root := sqrt(2 * BUDGET_RISK * mean_sampled_work / max_work)) * (1 + root / 4) / mean_sampled_work
        capacity = max(min(max_work - BUDGET_RISK / decay, budget), 0.0)
        class_share = sqrt(traffic.placements) / sum(sqrt(f.placements) for f in sampled)
        return class_share * capacity * decay * exp(-decay * traffic.mean_work) / -expm1(-decay * traffic.mean_work)
