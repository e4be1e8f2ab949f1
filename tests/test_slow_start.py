"""Slow start under the traffic of all gateways: the bound on work, the share of the budget used, and sampling."""

from __future__ import annotations

from math import exp, expm1, inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.lab import slow_start
from tealwing.policy import Gateway
from tealwing.policy.placement import BUDGET_RISK, BUDGET_SAFETY, BUDGET_SLACK, MIN_BUDGET_QUERIES
from tealwing.policy.requests import RequestState
from tests.build import entry, listing, make_settings, request_class

CASES = {case.name: case for case in slow_start.CASES}
RUNS = (  # case, gateways, seeds, least mean share of the budget N that is used
    ("mixed", 1, 2, 0.5),
    ("three at once", 1, 2, 0.5),
    ("restarts, mixed", 2, 2, 0.5),
    ("mixed", 3, 3, 0.5),
    ("mixed", 5, 3, 0.5),
    ("mixed", 20, 2, 0.5),
    ("mixed", 30, 2, 0.5),
    ("light", 200, 1, 0.7),  # an earlier sampling rule used 1.39 N, and 1.4 times the bound in every window
    ("middle", 20, 1, 0.6),
    ("three at once", 30, 1, 0.45),
    ("burst, light", 200, 1, 0.7),  # an earlier sampling rule: twice the bound
    ("burst, mixed", 20, 1, 0.5),
    ("restarts, mixed", 20, 1, 0.5),
    ("retries, mixed", 3, 2, 0.5),  # an earlier sampling rule: 1.5 times the bound
    ("retries, mixed", 30, 1, 0.5),
)


@pytest.mark.parametrize(("name", "gateways", "seeds", "least"), RUNS)
def test_all_gateways_together_respect_the_bound_and_use_the_budget(
    name: str, gateways: int, seeds: int, least: float
) -> None:
    found = slow_start.play(CASES[name], gateways, range(seeds))
    assert not found.overloaded and not found.over and found.worst <= 1, found
    assert found.used >= least, found


works = st.lists(st.tuples(st.floats(0.005, 20.0), st.floats(0.01, 100.0)), min_size=1, max_size=5)


@given(works, st.floats(0.5, 500.0), st.integers(1, 300))
def test_sampling_exceeds_the_bound_with_less_than_its_risk(
    mix: list[tuple[float, float]], budget: float, gateways: int
) -> None:
    # Chernoff bound on the work S of independent draws: P(S > x) < exp(sum of m (exp(t w) - 1) - t x) for every t.
    gateway = Gateway(make_settings(gateway_count=gateways, classes=(request_class(),) * len(mix)), 1)
    for traffic, (work, asked) in zip(gateway.class_traffic, mix, strict=True):
        traffic.mean_work, traffic.placements = work, asked
    share = BUDGET_SAFETY * budget / gateways
    sampled = [traffic for traffic in gateway.class_traffic if share < MIN_BUDGET_QUERIES * traffic.mean_work]
    mean = sum(work * asked for work, asked in mix) / sum(asked for _, asked in mix)
    max_work = budget + BUDGET_SLACK * (budget * mean) ** 0.5 + BUDGET_SLACK * mean
    max_work -= BUDGET_SAFETY * budget * (len(sampled) < len(mix))
    draws = [(gateway._expected_admissions(traffic, budget, share), traffic.mean_work) for traffic in sampled]
    assert all(0 <= m < inf for m, _ in draws)
    assert sum(m * work for m, work in draws) <= budget * 1.001

    def exponent(t: float) -> float:
        grows = sum(m * expm1(t * work) for m, work in draws if t * work < 700)
        return grows - t * max_work if all(t * work < 700 for _, work in draws) else inf

    if any(m > 1e-9 for m, _ in draws):
        steps = [exp(n / 100) / mean for n in range(-900, 900)]
        assert min(map(exponent, steps)) <= -0.97 * BUDGET_RISK


@given(st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60), st.integers(0, 40))
def test_sampling_chances_of_a_gateway_are_bounded_by_elapsed_time(gaps: list[float], begun: int) -> None:
    # A draw's chance is the time since the last draw: bounds its sum in any window and over the whole slow start.
    settings = make_settings(gateway_count=200)
    gateway, now = Gateway(settings, 1), 100.0
    gateway.handle(now, listing(entry(1, started=now)))
    (engine,) = gateway.engines.values()
    drawn: list[tuple[float, float]] = []
    for n, gap in enumerate(gaps):
        gateway.now = now = min(now + gap, 114.9)
        job = RequestState(api.Request(n + 1, 0, 5.0), gateway.class_traffic[0], now, gateway.random.random())
        once = gateway._fits_slow_start_budget(job, engine)
        assert gateway._fits_slow_start_budget(job, engine) is once  # checked again for the same send
        drawn.append((now, engine.estimates[0].draw_interval))
    assert sum(gap for _, gap in drawn) <= now - 100.0 + 1e-9
    window = settings.rules.overload_time
    first = drawn[begun % len(drawn)][0]
    within = sum(gap for at, gap in drawn if first <= at < first + window)
    assert within <= 2 * window + 1e-9 and all(0 <= gap <= window for _, gap in drawn)


def test_retry_is_sampled_independently_of_first_attempt() -> None:
    # Guards against retries that return to a failing engine only because their first draw admitted them there.
    again = 0
    for seed in range(400):
        gateway = Gateway(make_settings(gateway_count=200), seed)
        gateway.handle(100.0, listing(entry(1, started=100.0)))
        (engine,) = gateway.engines.values()
        gateway.now = 101.0
        key = gateway.random.random() * 0.1 + (1 - 0.6180339887)  # among the tenth of keys that are admitted first
        job = RequestState(api.Request(1, 0, 5.0), gateway.class_traffic[0], gateway.now, key % 1.0)
        gateway.class_traffic[0].mean_work = 0.1
        assert gateway._fits_slow_start_budget(job, engine)
        job.attempts.append(object())  # type: ignore[arg-type]
        gateway.now = 102.0
        again += gateway._fits_slow_start_budget(job, engine)
    assert 100 < again < 260, again  # any query has a chance of 0.47
