"""Slow start under the sum of all gateways: the rule's bound, the share of the budget used, what lots let in."""

from __future__ import annotations

from math import exp, expm1, inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.lab import slow_start
from tealwing.policy import Gateway
from tealwing.policy.engines import RequestState
from tealwing.policy.placement import BUDGET_RISK, BUDGET_SAFETY, BUDGET_SLACK, MIN_BUDGET_QUERIES
from tests.build import entry, listing, make_settings, request_class

CASES = {case.name: case for case in slow_start.CASES}
PLAYS = (  # case, gateways, seeds, least mean share of N that is used
    ("mixed", 1, 2, 0.5),
    ("three at once", 1, 2, 0.5),
    ("restarts, mixed", 2, 2, 0.5),
    ("mixed", 3, 3, 0.5),
    ("mixed", 5, 3, 0.5),
    ("mixed", 20, 2, 0.5),
    ("mixed", 30, 2, 0.5),
    ("light", 200, 1, 0.7),  # old lots: 1.39 of N, 1.4 times the bound in every window
    ("middle", 20, 1, 0.6),
    ("three at once", 30, 1, 0.45),
    ("burst, light", 200, 1, 0.7),  # old: twice the bound
    ("burst, mixed", 20, 1, 0.5),
    ("restarts, mixed", 20, 1, 0.5),
    ("retries, mixed", 3, 2, 0.5),  # old: half as much again as the bound
    ("retries, mixed", 30, 1, 0.5),
)


@pytest.mark.parametrize(("name", "gateways", "seeds", "least"), PLAYS)
def test_all_gateways_together_keep_to_the_bound_and_use_the_budget(
    name: str, gateways: int, seeds: int, least: float
) -> None:
    found = slow_start.play(CASES[name], gateways, range(seeds))
    assert not found.fell and not found.over and found.worst <= 1, found
    assert found.used >= least, found


works = st.lists(st.tuples(st.floats(0.005, 20.0), st.floats(0.01, 100.0)), min_size=1, max_size=5)


@given(works, st.floats(0.5, 500.0), st.integers(1, 300))
def test_sampling_exceeds_the_bound_with_less_than_its_risk(
    mix: list[tuple[float, float]], budget: float, gateways: int
) -> None:
    # The sum of independent lots: P(S > x) < exp(sum of m (exp(t w) - 1) - t x) for every t (Chernoff).
    gateway = Gateway(make_settings(gateway_count=gateways, classes=(request_class(),) * len(mix)), 1)
    for flow, (work, asked) in zip(gateway.class_traffic, mix, strict=True):
        flow.mean_work, flow.placements = work, asked
    share = BUDGET_SAFETY * budget / gateways
    few = [flow for flow in gateway.class_traffic if share < MIN_BUDGET_QUERIES * flow.mean_work]
    mean = sum(work * asked for work, asked in mix) / sum(asked for _, asked in mix)
    most = budget + BUDGET_SLACK * (budget * mean) ** 0.5 + BUDGET_SLACK * mean
    most -= BUDGET_SAFETY * budget * (len(few) < len(mix))
    lots = [(gateway._expected_admissions(flow, budget, share), flow.mean_work) for flow in few]
    assert all(0 <= m < inf for m, _ in lots)
    assert sum(m * work for m, work in lots) <= budget * 1.001

    def exponent(t: float) -> float:
        grows = sum(m * expm1(t * work) for m, work in lots if t * work < 700)
        return grows - t * most if all(t * work < 700 for _, work in lots) else inf

    if any(m > 1e-9 for m, _ in lots):
        steps = [exp(n / 100) / mean for n in range(-900, 900)]
        assert min(map(exponent, steps)) <= -0.97 * BUDGET_RISK


@given(st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60), st.integers(0, 40))
def test_a_gateways_sampling_chances_are_bounded_by_time_whatever_its_traffic(gaps: list[float], begun: int) -> None:
    # the sum of what each lot waited, which is its chance, in any window, and over the whole of the cold time
    settings = make_settings(gateway_count=200)
    gateway, now = Gateway(settings, 1), 100.0
    gateway.handle(now, listing(entry(1, started=now)))
    (engine,) = gateway.engines.values()
    drawn: list[tuple[float, float]] = []
    for n, gap in enumerate(gaps):
        gateway.now = now = min(now + gap, 114.9)
        job = RequestState(api.Request(n + 1, 0, 5.0), gateway.class_traffic[0], now, gateway.random.random())
        once = gateway._fits_slow_start_budget(job, engine)
        assert gateway._fits_slow_start_budget(job, engine) is once  # asked again for the same send
        drawn.append((now, engine.estimates[0].draw_interval))
    assert sum(gap for _, gap in drawn) <= now - 100.0 + 1e-9
    window = settings.rules.overload_time
    first = drawn[begun % len(drawn)][0]
    within = sum(gap for at, gap in drawn if first <= at < first + window)
    assert within <= 2 * window + 1e-9 and all(0 <= gap <= window for _, gap in drawn)


def test_a_query_is_sampled_anew_for_its_next_attempt() -> None:
    # a share of those let in at a failing engine must not come back to it because their first lot was good
    again = 0
    for seed in range(400):
        gateway = Gateway(make_settings(gateway_count=200), seed)
        gateway.handle(100.0, listing(entry(1, started=100.0)))
        (engine,) = gateway.engines.values()
        gateway.now = 101.0
        lot = gateway.random.random() * 0.1 + (1 - 0.6180339887)  # one of the best tenth there
        job = RequestState(api.Request(1, 0, 5.0), gateway.class_traffic[0], gateway.now, lot % 1.0)
        gateway.class_traffic[0].mean_work = 0.1
        assert gateway._fits_slow_start_budget(job, engine)
        job.attempts.append(object())  # type: ignore[arg-type]
        gateway.now = 102.0
        again += gateway._fits_slow_start_budget(job, engine)
    assert 100 < again < 260, again  # of the chance that any query has, 0.47
