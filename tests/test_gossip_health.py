"""Health reports on engines, the estimates from them, and their effect on the gateway's decisions."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.gossip import health_estimator, local_evidence
from tealwing.gossip.health_estimator import EngineHealth, HealthEstimator
from tealwing.lab import gossip_trial
from tealwing.policy import Gateway
from tests.build import entry, listing, make_settings, sends


def reports(slow: float, samples: float = 3.0, engine: int = 1) -> list[EngineHealth]:
    return [EngineHealth(engine, 0, slow, 0.0, samples)]


def test_estimate_needs_majority_and_is_bounded() -> None:
    estimator = HealthEstimator()
    for peer in range(3):
        estimator.add_report(f"liar{peer}", 0.0, reports(1000.0, 1e6))
    assert not estimator.estimate(0.0, {}, 20, 8), "three reporters of twenty members reach a quorum"
    for peer in range(12):
        estimator.add_report(f"n{peer}", 0.0, reports(1.0))
    assert not estimator.estimate(0.0, {}, 20, 8), "a minority of false reports is not trimmed"
    for peer in range(12):
        estimator.add_report(f"n{peer}", 1.0, reports(4.0))
    assert not estimator.estimate(1.0, {}, 20, 8), "a first estimate counts, though it may be chance"
    assert estimator.estimate(1.25, {}, 20, 8) == {(1, 0): health_estimator.MAX_LATENCY_FACTOR}
    own = {(1, 0): EngineHealth(1, 0, 1.0, 0.0, health_estimator.OWN_EVIDENCE_SAMPLES)}
    assert not estimator.estimate(1.0, own, 20, 8), "own fresh evidence does not take precedence"
    assert not estimator.estimate(1.0 + health_estimator.REPORT_LIFETIME + 0.1, {}, 20, 8), "old reports still count"


def test_estimate_suspects_limited_share_of_fleet() -> None:
    estimator = HealthEstimator()
    for peer in range(16):
        estimator.add_report(f"n{peer}", 0.0, [EngineHealth(engine, 0, 5.0, 0.0, 3.0) for engine in range(8)])
    estimator.estimate(0.0, {}, 20, 8)
    assert len(estimator.estimate(0.25, {}, 20, 8)) == 2


def test_trust_falls_fast_to_floor_and_recovers_slowly() -> None:
    estimator, own = HealthEstimator(), {(1, 0): EngineHealth(1, 0, 1.0, 0.0, 5.0)}
    for second in range(12):
        estimator.add_report("liar", second, reports(9.0))
        estimator.estimate(second, own, 20, 8)
    assert estimator.trust["liar"] == health_estimator.MIN_TRUST
    for second in range(12, 22):
        estimator.add_report("liar", second, reports(1.0))
        estimator.estimate(second, own, 20, 8)
    assert health_estimator.MIN_TRUST < estimator.trust["liar"] < 0.35


@given(st.lists(st.tuples(st.floats(0, 1000), st.floats(0, 1)), min_size=1, max_size=30), st.floats(0.0, 0.34))
def test_trimmed_mean_lies_within_honest_values(honest: list[tuple[float, float]], false_share: float) -> None:
    total = sum(weight for _, weight in honest)
    if total < 0.01:
        return
    false_values = [(1e6, false_share * total / (1 - false_share))]
    mean = health_estimator.trimmed_mean(honest + false_values)
    assert min(v for v, _ in honest) - 1e-6 <= mean <= max(v for v, _ in honest) + 1e-6


def test_estimate_does_not_apply_to_restarted_engine() -> None:
    estimator = HealthEstimator()
    for peer in range(16):
        estimator.add_report(f"n{peer}", 0.0, [EngineHealth(1, 1000, 5.0, 0.0, 3.0)])
    estimator.estimate(0.0, {}, 20, 8)
    factors = estimator.estimate(0.25, {}, 20, 8)
    assert set(factors) == {(1, 1000)}
    gateway = Gateway(make_settings(gateway_count=20), 1)
    gateway.handle(0.0, listing(entry(1, started=2.0), entry(2)))
    gateway.handle(0.0, api.EngineHealthEstimates(factors))
    assert gateway.engines[1].latency_factor == 1.0


def test_suspected_engine_gets_fewer_requests_but_is_not_excluded() -> None:
    def share(factors: dict[tuple[int, int], float], engines: int = 2) -> float:
        gateway, to = Gateway(make_settings(gateway_count=20), 1), list[int]()
        gateway.handle(0.0, listing(*(entry(n + 1) for n in range(engines))))
        gateway.handle(0.0, api.EngineHealthEstimates(factors))
        for id_ in range(12):
            to += [send.engine for send in sends(gateway.handle(0.001 * id_, api.Request(id_, 0, 5.0)))]
        return to.count(1) / len(to)

    assert share({}) > 0.4 and share({(1, 0): 2.0}) < 0.1 and share({(1, 0): 2.0}, 1) == 1.0
    assert local_evidence.observe_engines(Gateway(make_settings(), 1)) == {}


def test_trial_with_false_reporters_avoids_no_healthy_engine() -> None:
    found = gossip_trial.run_trial(20, 3, 2, 12.0, 3)
    assert found["healthy_shunned"] == 0 and found["false_deaths"] == 0
    assert found["bytes_per_s_max"] <= found["ceiling_bytes_per_s"]
    assert found["slow_engine_known_mean_s"] < found["slow_engine_known_alone_mean_s"]
    assert found == gossip_trial.run_trial(20, 3, 2, 12.0, 3), "the same seed gives another trial"
