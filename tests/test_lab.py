"""Tests of the laboratory: virtual time, the engine model, and whole deployments that keep the rules."""

from __future__ import annotations

import dataclasses

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.lab import arrivals, engines, score, site
from tealwing.lab.clock import Clock
from tealwing.lab.engines import Engine, EngineParameters, Run
from tealwing.lab.harness import Clients, Deployment
from tealwing.policy import Gateway

PLAIN = EngineParameters(cores=8, memory=1e6, knee=100.0, disks=1000.0, warm_groups=1, warm_gain=0.0)


class Rig:
    """One engine on a virtual clock, and the end times of its queries."""

    def __init__(self, draw: EngineParameters = PLAIN, started: float = 0.0) -> None:
        self.clock = Clock()
        self.engine = Engine(1, draw, self.clock, np.random.default_rng(1), started)
        self.ends: dict[object, float] = {}

    def start(self, key: object, work: float = 1.0, **changes: object) -> Run:
        plain = dict(
            cls=0,
            threads=1,
            io=0.0,
            group=0,
            need=0.0,
            priority=1,
            holds=False,
            waits=False,
            done=self.done,
        )
        run = Run(key=key, work=work, **(plain | changes))  # type: ignore[arg-type]
        self.engine.start(run)
        return run

    def done(self, run: Run) -> None:
        self.ends[run.key] = self.clock.now


def test_queries_run_at_full_speed_on_free_cores_and_share_busy_ones() -> None:
    rig = Rig()
    for i in range(8):
        rig.start(i)
    rig.clock.run(1.5)
    assert all(end == pytest.approx(1.0) for end in rig.ends.values()) and len(rig.ends) == 8
    for i in range(16):
        rig.start(i)
    rig.clock.run(9.0)
    assert all(end == pytest.approx(3.5) for end in rig.ends.values())


def test_priorities_share_cores_by_weights_1_4_8_16() -> None:
    rig = Rig(dataclasses.replace(PLAIN, cores=1))
    low, high = rig.start("low", priority=0), rig.start("high", priority=3)
    rig.clock.run(0.17)
    assert rig.engine.progress(high) == pytest.approx(0.16) and rig.engine.progress(low) == pytest.approx(0.01)
    rig.engine.tune(low, 3)
    rig.clock.run(0.19)
    assert rig.engine.progress(low) == pytest.approx(0.02)


def test_engine_slows_down_past_knee_and_past_memory() -> None:
    crowded = Rig(dataclasses.replace(PLAIN, knee=1.0, thrash=1.0))
    for i in range(16):
        crowded.start(i)
    crowded.clock.run(99.0)
    assert max(crowded.ends.values()) == pytest.approx(4.0)
    paging = Rig(dataclasses.replace(PLAIN, memory=100.0, page=5.0))
    for i in range(2):
        paging.start(i, need=100.0)
    paging.clock.run(99.0)
    assert max(paging.ends.values()) == pytest.approx(5.0)


def test_load_locks_its_table_group_until_stopped() -> None:
    rig = Rig()
    load = rig.start("load", 5.0, holds=True, group=3)
    rig.start("reader", waits=True, group=3)
    rig.start("other", waits=True, group=4)
    rig.start("second", holds=True, group=3)
    rig.clock.run(2.0)
    assert set(rig.ends) == {"other"}
    rig.engine.stop(load)
    rig.clock.run(9.0)
    assert rig.ends["second"] == pytest.approx(3.0) and rig.ends["reader"] == pytest.approx(4.0)


def test_queries_on_warm_table_groups_finish_sooner() -> None:
    rig = Rig(dataclasses.replace(PLAIN, warm_gain=0.5, warm_groups=1))
    for key, group in (("cold", 1), ("warm", 1), ("evicts", 2), ("cold again", 1)):
        begun = rig.clock.now
        rig.start(key, io=0.5, group=group)
        rig.clock.run(begun + 2.0)
        rig.ends[key] -= begun
    assert [round(rig.ends[k], 6) for k in ("cold", "warm", "evicts", "cold again")] == [1.0, 0.75, 1.0, 1.0]


def test_cold_engine_is_slow_and_crashes_when_overloaded() -> None:
    rig = Rig(dataclasses.replace(PLAIN, cores=1, slow_start_share=0.5, slow_start_time=10.0), started=1e-9)
    rig.start("one")
    rig.clock.run(9.0)
    assert 1.5 < rig.ends["one"] < 2.0
    rig = Rig(started=1e-9)
    rig.engine.count_cold_send(1.1 * 2 * 0.32 * 0.85 * 8 * 3.0 * 0.99, informed=False)
    assert rig.engine.up
    rig.engine.count_cold_send(1.0)
    assert rig.engine.crashed_by_overload and not rig.engine.up and not rig.engine.knowingly_overloaded, (
        "the sends came from gateways that did not know of the start"
    )


@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.01, 3.0), st.integers(0, 3)), max_size=60))
def test_work_is_neither_lost_nor_made(steps: list[tuple[int, float, int]]) -> None:
    rig, started, stopped = Rig(dataclasses.replace(PLAIN, cores=2)), list[Run](), set[object]()
    for number, (what, amount, place) in enumerate(steps):
        if what <= 1:
            started.append(rig.start(number, amount, priority=place, holds=what == 1, group=place, waits=True))
        elif what == 2 and started:
            run = started[place % len(started)]
            stopped |= {run.key} if run.slot >= 0 else set()
            rig.engine.stop(run)
        else:
            rig.clock.run(rig.clock.now + amount)
    rig.clock.run(rig.clock.now + 1000.0)
    assert set(rig.ends) == {run.key for run in started} - stopped and not rig.engine.inflight
    assert rig.engine.served == pytest.approx(sum(r.total for r in started if r.key in rig.ends))


def deployment(seed: int, load: float = 0.9, clients: Clients | None = None) -> Deployment:
    settings = site.settings(3)
    draws = site.draws(np.random.default_rng(seed), 6)
    asked = arrivals.draw(np.random.default_rng(seed), site.rate(draws, 0.89, load), 12.0, 3)
    return Deployment(settings, draws, asked, Gateway, seed, clients)


def test_deployment_with_faults_keeps_rules_and_ends_every_request() -> None:
    made = deployment(1, 1.2)
    made.crash([1, 2], 3.0, 6.0)
    made.slow([3], 2.0, 9.0, 6.0)
    made.drain(4, 5.0)
    outcomes = made.run(45.0)
    assert not (
        outcomes.duplicate_answers or outcomes.overlapping_attempts or outcomes.forbidden_sends or outcomes.overloaded
    )
    ended = ~np.isnan(outcomes.answered) | (outcomes.refused > 0) | (outcomes.failed > 0)
    assert ended.all() and (outcomes.attempts <= 3 * 2).all()
    assert not any(made._tries), "ended tries are forgotten"
    assert 0.2 < score.count(made.arrivals, outcomes, made.settings).total < 1.0


def test_same_seed_reproduces_run() -> None:
    first, second, other = (deployment(seed).run(40.0).answered for seed in (2, 2, 3))
    assert np.array_equal(first, second, equal_nan=True) and len(first) != len(other)


def test_arrivals_follow_their_shape() -> None:
    rng = np.random.default_rng(1)
    drawn = arrivals.draw(rng, 200.0, 60.0, 3, arrivals.burst(2.5, 20.0, 20.0))
    flood = ((drawn.at >= 20) & (drawn.at < 40)).sum() / 20
    assert 450 < flood < 550 and 185 < (drawn.at < 20).sum() / 20 < 215
    assert abs((drawn.cls == 0).mean() - 0.81) < 0.02 and abs((drawn.account == 0).mean() - 0.81) < 0.02


def test_engine_list_is_delayed_and_drain_is_respected() -> None:
    seen: list[tuple[float, api.Health]] = []

    class Watch(Gateway):
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.EngineList) and event.kind is api.EngineListKind.DELTA:
                seen.append((now, event.entries[0].health))
            return super().handle(now, event)

    settings = site.settings(3)
    draws = site.draws(np.random.default_rng(4), 6)
    made = Deployment(settings, draws, arrivals.draw(np.random.default_rng(4), 40.0, 10.0, 3), Watch, 4)
    made.drain(2, 2.0)
    assert not made.run(40.0).forbidden_sends and len(seen) == 3
    assert all(2.78 <= at <= 6.9 and health is api.Health.DRAINING for at, health in seen)
    assert settings.rules.overload_multiple == engines.OVERLOAD_MULTIPLE
