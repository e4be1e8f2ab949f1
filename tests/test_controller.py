"""The controller of service levels: no input causes more than two changes of level in a minute."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import replace
from math import inf
from typing import Any

import pytest
import z3
from hypothesis import given
from hypothesis import strategies as st

from tealwing.levels import controller
from tealwing.levels.controller import Change, ConditionSnapshot, ControllerState, HysteresisState, LevelTimings

TIMINGS = (LevelTimings("mild", 1.0, 5.0, 60.0, 240.0), LevelTimings("hard", 2.0, 5.0, 60.0, 240.0, strong_for=0.5))
SNAPSHOTS = (
    ConditionSnapshot(False, False, False),
    ConditionSnapshot(True, False, False),
    ConditionSnapshot(True, True, False),
    ConditionSnapshot(False, False, True),
)
NOTHING_HOLDS, ENTER_HOLDS, STRONG_HOLDS, EXIT_HOLDS = SNAPSHOTS


# The proof, for all times


def third_change_too_early(changed: Callable[..., ControllerState], may_change: Callable[[Any, Any], Any]) -> z3.Solver:
    """Return a solver that searches for a third change within a minute of the first, from any reachable state."""
    now, first, second = z3.Reals("now first second")
    state = ControllerState(0, (), now, second, first)  # the state after two changes, by the induction in the test
    third = changed((), state, Change(now, 0, 0, "enter", 0))
    solver = z3.Solver()
    solver.add(now >= second, second >= first, may_change(now, state.previous_change_at))
    solver.add(
        z3.Or(now - first < controller.CHANGE_WINDOW, third.last_change_at != now, third.previous_change_at != second)
    )
    return solver


def test_no_third_change_within_a_minute_is_proved_for_all_times() -> None:
    # base: the first two changes store their times; induction: the third stores its own and the second's
    assert third_change_too_early(controller._apply_change, controller.may_change).check() == z3.unsat


def test_the_proof_detects_injected_faults() -> None:
    def short_window(now: Any, earlier_change: Any) -> Any:
        return now - earlier_change >= controller.CHANGE_WINDOW - 1

    def keep_previous_time(timings: Any, state: ControllerState, change: Change) -> ControllerState:
        return replace(controller._apply_change(timings, state, change), previous_change_at=state.previous_change_at)

    assert third_change_too_early(controller._apply_change, short_window).check() == z3.sat
    assert third_change_too_early(keep_previous_time, controller.may_change).check() == z3.sat


# State space exploration: every sequence of conditions, on the controller's own code

SHORT_TIMINGS = (LevelTimings("mild", 1, 1, 2, 4), LevelTimings("hard", 1, 2, 2, 4, strong_for=0))


def canonical(state: ControllerState) -> ControllerState:
    """Return an equivalent state at time 0: times relative to now, and limited to the longest age that matters."""
    now = state.now

    def relative(time: float, max_age: float) -> float:
        return -min(now - time, max_age) if time > -inf else -max_age

    hysteresis = tuple(
        HysteresisState(
            relative(level.left_at, controller.REENTRY_WINDOW),
            level.min_stay,
            inf if level.enter_since == inf else relative(level.enter_since, 2),
            inf if level.strong_since == inf else relative(level.strong_since, 2),
            inf if level.exit_since == inf else relative(level.exit_since, 2),
        )
        for level in state.hysteresis
    )
    max_age = controller.CHANGE_WINDOW + 1
    return ControllerState(
        state.level,
        hysteresis,
        0,
        relative(state.last_change_at, max_age),
        relative(state.previous_change_at, max_age),
    )


def explore(timings: tuple[LevelTimings, ...]) -> tuple[int, str]:
    """Explore all states reachable with one evaluation per second; return their number and the first violation."""
    long_ago = -(controller.CHANGE_WINDOW + 1)
    initial = replace(controller.initial_state(timings), now=0, last_change_at=long_ago, previous_change_at=long_ago)
    start = (canonical(initial), long_ago, long_ago)  # with the times of the last two changes, kept by this function
    seen, frontier = {start}, [start]
    while frontier:
        next_frontier = []
        for state, last, previous in frontier:
            for snapshots in itertools.product(SNAPSHOTS, repeat=len(timings)):
                after, change = controller.step(timings, state, 1, snapshots)
                change_times = (last, previous)
                if change is not None:
                    if 1 - previous < controller.CHANGE_WINDOW:
                        return len(seen), f"a third change {1 - previous} s after the first"
                    if change.to_level < change.from_level - 1:
                        return len(seen), "a fall by more than one level"
                    if change.to_level < change.from_level and snapshots[change.from_level - 1].enter:
                        return len(seen), "a level was left while its entry condition held"
                    change_times = (1, last)
                found = (canonical(after), max(change_times[0] - 1, long_ago), max(change_times[1] - 1, long_ago))
                if found not in seen:
                    seen.add(found)
                    next_frontier.append(found)
        frontier = next_frontier
    return len(seen), ""


@pytest.fixture
def short_windows(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(controller, "CHANGE_WINDOW", 5)
    monkeypatch.setattr(controller, "REENTRY_WINDOW", 4)
    yield


def test_every_reachable_state_keeps_the_bound_on_changes(short_windows: None) -> None:
    states, violation = explore(SHORT_TIMINGS)
    assert not violation and states > 3000


@pytest.mark.parametrize("fault", ["no rate limit", "rate limit too short", "falls to 0", "falls at once"])
def test_the_exploration_detects_injected_faults(
    short_windows: None, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fall = controller._fall

    def fall_to_0(timings: Any, state: ControllerState) -> Change | None:
        change = fall(timings, state)
        return change and change._replace(to_level=0)

    def fall_at_once(timings: Any, state: ControllerState) -> Change | None:
        level = state.level
        return Change(state.now, level, level - 1, "exit", level) if level else None

    if fault == "no rate limit":
        monkeypatch.setattr(controller, "may_change", lambda now, earlier_change: True)
    elif fault == "rate limit too short":
        monkeypatch.setattr(controller, "may_change", lambda now, earlier_change: now - earlier_change >= 3)
    else:
        monkeypatch.setattr(controller, "_fall", fall_to_0 if fault == "falls to 0" else fall_at_once)
    assert explore(SHORT_TIMINGS)[1]


# Random inputs at real scale: times that repeat, jump and go back


@given(
    st.lists(st.tuples(st.floats(-5, 90), st.sampled_from(SNAPSHOTS), st.sampled_from(SNAPSHOTS)), max_size=200),
    st.floats(1, 100),
)
def test_any_clock_and_any_conditions_keep_the_bound_on_changes(
    evaluations: list[tuple[float, ConditionSnapshot, ConditionSnapshot]], stay: float
) -> None:
    timings = tuple(replace(level, min_stay=stay, max_stay=max(stay, 240)) for level in TIMINGS)
    state, now, times = controller.initial_state(timings), 0.0, list[float]()
    for seconds, *snapshots in evaluations:
        now += seconds
        state, change = controller.step(timings, state, now, snapshots)
        if change is not None:
            times.append(change.at)
    assert all(third - first >= controller.CHANGE_WINDOW for first, third in zip(times, times[2:], strict=False))


# Single behaviours


def run_script(
    script: list[tuple[float, ConditionSnapshot, ConditionSnapshot]], timings: tuple[LevelTimings, ...] = TIMINGS
) -> list[Change]:
    """Step the controller four times a second, each script entry for its number of seconds; return the changes."""
    state, now, changes = controller.initial_state(timings), 0.0, []
    for seconds, *snapshots in script:
        for _ in range(round(seconds * 4)):
            state, change = controller.step(timings, state, now, snapshots)
            if change is not None:
                changes.append(change)
            now += 0.25
    return changes


def test_a_burst_shorter_than_the_entry_time_changes_nothing() -> None:
    assert not run_script(
        [
            (5, NOTHING_HOLDS, NOTHING_HOLDS),
            (0.9, ENTER_HOLDS, NOTHING_HOLDS),
            (0.5, NOTHING_HOLDS, NOTHING_HOLDS),
            (0.9, ENTER_HOLDS, NOTHING_HOLDS),
            (60, EXIT_HOLDS, EXIT_HOLDS),
        ]
    )


def test_levels_rise_and_fall_one_by_one_each_after_its_stay() -> None:
    changes = run_script([(10, ENTER_HOLDS, ENTER_HOLDS), (200, EXIT_HOLDS, EXIT_HOLDS)])
    assert [(c.from_level, c.to_level, c.cause) for c in changes] == [
        (0, 1, "enter"),
        (1, 2, "enter"),
        (2, 1, "exit"),
        (1, 0, "exit"),
    ]
    gaps = [b.at - a.at for a, b in itertools.pairwise(changes)]
    assert gaps[1] >= 60 and gaps[2] >= 60


def test_strong_condition_skips_levels() -> None:
    (change,) = run_script([(2, ENTER_HOLDS, STRONG_HOLDS)])
    assert change == Change(0.5, 0, 2, "strong", 2)


def test_a_level_entered_again_soon_has_a_longer_minimum_stay() -> None:
    timings = TIMINGS[:1]
    state, now, stays = controller.initial_state(timings), 0.0, []
    for _ in range(4):
        entered = None
        while state.level == 0:
            state, _ = controller.step(timings, state, now, [ENTER_HOLDS])
            now += 0.25
        entered = now
        while state.level:
            state, _ = controller.step(timings, state, now, [EXIT_HOLDS])
            now += 0.25
        stays.append(round(now - entered))
    assert stays == [60, 120, 240, 240]


def test_last_change_of_a_minute_rises_as_high_as_present_conditions() -> None:
    timings = (*TIMINGS, LevelTimings("most", 30.0, 40.0, 60.0, 240.0))
    state = ControllerState(1, controller.initial_state(timings).hysteresis, 99.75, 60.0, 0.0)
    state = replace(
        state, hysteresis=tuple(replace(m, enter_since=90.0) for m in state.hysteresis[:2]) + state.hysteresis[2:]
    )
    state, change = controller.step(timings, state, 100.0, [ENTER_HOLDS, ENTER_HOLDS, ENTER_HOLDS])
    assert change is not None and (change.from_level, change.to_level, change.cause_level) == (1, 3, 3)


def test_after_a_gap_no_condition_counts_as_held() -> None:
    state = controller.initial_state(TIMINGS)
    state, _ = controller.step(TIMINGS, state, 0.0, [ENTER_HOLDS, NOTHING_HOLDS])
    state, change = controller.step(TIMINGS, state, 3600.0, [ENTER_HOLDS, NOTHING_HOLDS])
    assert change is None
    for quarter in range(1, 5):
        state, change = controller.step(TIMINGS, state, 3600.0 + quarter / 4, [ENTER_HOLDS, NOTHING_HOLDS])
    assert change is not None and change.to_level == 1


def test_controller_time_does_not_advance_while_the_clock_is_behind() -> None:
    state = controller.initial_state(TIMINGS)
    state, _ = controller.step(TIMINGS, state, 1000.0, [ENTER_HOLDS, NOTHING_HOLDS])
    for back in range(8):
        state, change = controller.step(TIMINGS, state, 900.0 + back, [ENTER_HOLDS, NOTHING_HOLDS])
        assert change is None and state.now == 1000.0


def test_new_plan_keeps_the_state_of_the_levels_that_it_names() -> None:
    state = ControllerState(2, controller.initial_state(TIMINGS).hysteresis, 50.0, 40.0, 39.0)
    mild = LevelTimings("mild", 9.0, 9.0, 90.0, 240.0)
    kept, change = controller.adopt(TIMINGS, state, (mild, TIMINGS[1], LevelTimings("new", 1, 2, 60, 60)))
    assert change is None and kept.level == 2 and kept.hysteresis[0].min_stay == 90.0 and kept.last_change_at == 40.0
    fallen, change = controller.adopt(TIMINGS, state, (mild, LevelTimings("other", 1.0, 5.0, 60.0, 60.0)))
    assert change == Change(50.0, 2, 1, "configuration", 0) and (fallen.last_change_at, fallen.previous_change_at) == (
        50.0,
        40.0,
    )
    none, change = controller.adopt(TIMINGS, state, ())
    assert change is not None and none.level == 0 and not none.hysteresis
