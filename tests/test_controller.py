"""The controller of the service levels: no input whatever makes more than two changes in a minute."""

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

TERMS = (LevelTimings("mild", 1.0, 5.0, 60.0, 240.0), LevelTimings("hard", 2.0, 5.0, 60.0, 240.0, strong_for=0.5))
LOOKS = (
    ConditionSnapshot(False, False, False),
    ConditionSnapshot(True, False, False),
    ConditionSnapshot(True, True, False),
    ConditionSnapshot(False, False, True),
)
CALM, BUSY, STRONG, EASY = LOOKS


# The proof, for all times


def third_change_too_early(changed: Callable[..., ControllerState], may_change: Callable[[Any, Any], Any]) -> z3.Solver:
    """A solver that looks for a third change within a minute of the first, from any state that changes can reach."""
    now, first, second = z3.Reals("now first second")
    state = ControllerState(0, (), now, second, first)  # what two changes leave behind, by `inductive`
    third = changed((), state, Change(now, 0, 0, "enter", 0))
    solver = z3.Solver()
    solver.add(now >= second, second >= first, may_change(now, state.previous_change_at))
    solver.add(
        z3.Or(now - first < controller.CHANGE_WINDOW, third.last_change_at != now, third.previous_change_at != second)
    )
    return solver


def test_no_three_changes_in_a_minute_proved_for_all_times() -> None:
    # base: the first two changes leave their times; induction: the third leaves its own and the second's
    assert third_change_too_early(controller._apply_change, controller.may_change).check() == z3.unsat


def test_the_proof_catches_planted_faults() -> None:
    def loose(now: Any, before: Any) -> Any:
        return now - before >= controller.CHANGE_WINDOW - 1

    def forgets(terms: Any, state: ControllerState, change: Change) -> ControllerState:
        return replace(controller._apply_change(terms, state, change), previous_change_at=state.previous_change_at)

    assert third_change_too_early(controller._apply_change, loose).check() == z3.sat
    assert third_change_too_early(forgets, controller.may_change).check() == z3.sat


# The walk: every sequence of conditions, on the code itself

SMALL = (LevelTimings("mild", 1, 1, 2, 4), LevelTimings("hard", 1, 2, 2, 4, strong_for=0))


def canonical(state: ControllerState) -> ControllerState:
    """The state as seen from its present: times as ages, those that no rule tells apart made equal."""
    now = state.now

    def age(time: float, most: float) -> float:
        return -min(now - time, most) if time > -inf else -most

    marks = tuple(
        HysteresisState(
            age(mark.left_at, controller.REENTRY_WINDOW),
            mark.min_stay,
            inf if mark.enter_since == inf else age(mark.enter_since, 2),
            inf if mark.strong_since == inf else age(mark.strong_since, 2),
            inf if mark.exit_since == inf else age(mark.exit_since, 2),
        )
        for mark in state.hysteresis
    )
    most = controller.CHANGE_WINDOW + 1
    return ControllerState(state.level, marks, 0, age(state.last_change_at, most), age(state.previous_change_at, most))


def walk(terms: tuple[LevelTimings, ...]) -> tuple[int, str]:
    """All states that one look a second can reach, and the first thing found wrong."""
    far = -(controller.CHANGE_WINDOW + 1)
    begin = replace(controller.initial_state(terms), now=0, last_change_at=far, previous_change_at=far)
    start = (canonical(begin), far, far)  # and when the last two changes were seen from outside
    seen, front = {start}, [start]
    while front:
        following = []
        for state, last, before in front:
            for looks in itertools.product(LOOKS, repeat=len(terms)):
                after, change = controller.step(terms, state, 1, looks)
                ends = (last, before)
                if change is not None:
                    if 1 - before < controller.CHANGE_WINDOW:
                        return len(seen), f"a third change {1 - before} after the first"
                    if change.to_level < change.from_level - 1:
                        return len(seen), "more than one step down"
                    if change.to_level < change.from_level and looks[change.from_level - 1].enter:
                        return len(seen), "left while its entry condition held"
                    ends = (1, last)
                found = (canonical(after), max(ends[0] - 1, far), max(ends[1] - 1, far))
                if found not in seen:
                    seen.add(found)
                    following.append(found)
        front = following
    return len(seen), ""


@pytest.fixture
def small(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(controller, "CHANGE_WINDOW", 5)
    monkeypatch.setattr(controller, "REENTRY_WINDOW", 4)
    yield


def test_the_whole_state_space_holds_the_bound(small: None) -> None:
    states, wrong = walk(SMALL)
    assert not wrong and states > 3000


@pytest.mark.parametrize("fault", ["no guard", "guard on the last", "both down", "exit at once"])
def test_the_walk_catches_planted_faults(small: None, fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    fall = controller._fall

    def both_down(terms: Any, state: ControllerState) -> Change | None:
        change = fall(terms, state)
        return change and change._replace(to_level=0)

    def at_once(terms: Any, state: ControllerState) -> Change | None:
        level = state.level
        return Change(state.now, level, level - 1, "exit", level) if level else None

    if fault == "no guard":
        monkeypatch.setattr(controller, "may_change", lambda now, before: True)
    elif fault == "guard on the last":
        monkeypatch.setattr(controller, "may_change", lambda now, before: now - before >= 3)
    else:
        monkeypatch.setattr(controller, "_fall", both_down if fault == "both down" else at_once)
    assert walk(SMALL)[1]


# Random inputs at real scale: times that repeat, jump and go back


@given(
    st.lists(st.tuples(st.floats(-5, 90), st.sampled_from(LOOKS), st.sampled_from(LOOKS)), max_size=200),
    st.floats(1, 100),
)
def test_any_clock_and_any_conditions_keep_the_bound(
    looks: list[tuple[float, ConditionSnapshot, ConditionSnapshot]], stay: float
) -> None:
    terms = tuple(replace(term, min_stay=stay, max_stay=max(stay, 240)) for term in TERMS)
    state, now, times = controller.initial_state(terms), 0.0, list[float]()
    for step, *seen in looks:
        now += step
        state, change = controller.step(terms, state, now, seen)
        if change is not None:
            times.append(change.at)
    assert all(third - first >= controller.CHANGE_WINDOW for first, third in zip(times, times[2:], strict=False))


# Single behaviours


def play(
    script: list[tuple[float, ConditionSnapshot, ConditionSnapshot]], terms: tuple[LevelTimings, ...] = TERMS
) -> list[Change]:
    """Looks four times a second; each entry holds for so many seconds."""
    state, now, changes = controller.initial_state(terms), 0.0, []
    for seconds, *seen in script:
        for _ in range(round(seconds * 4)):
            state, change = controller.step(terms, state, now, seen)
            if change is not None:
                changes.append(change)
            now += 0.25
    return changes


def test_a_burst_shorter_than_the_entry_time_changes_nothing() -> None:
    assert not play([(5, CALM, CALM), (0.9, BUSY, CALM), (0.5, CALM, CALM), (0.9, BUSY, CALM), (60, EASY, EASY)])


def test_up_one_by_one_and_down_one_by_one_each_after_its_stay() -> None:
    changes = play([(10, BUSY, BUSY), (200, EASY, EASY)])
    assert [(c.from_level, c.to_level, c.cause) for c in changes] == [
        (0, 1, "enter"),
        (1, 2, "enter"),
        (2, 1, "exit"),
        (1, 0, "exit"),
    ]
    gaps = [b.at - a.at for a, b in itertools.pairwise(changes)]
    assert gaps[1] >= 60 and gaps[2] >= 60


def test_strong_evidence_jumps() -> None:
    (jump,) = play([(2, BUSY, STRONG)])
    assert (jump.from_level, jump.to_level, jump.cause, jump.cause_level) == (0, 2, "strong", 2) and jump.at == 0.5


def test_a_level_entered_again_soon_has_a_longer_minimum_stay() -> None:
    terms = TERMS[:1]
    state, now, stays = controller.initial_state(terms), 0.0, []
    for _ in range(4):
        entered = None
        while state.level == 0:
            state, _ = controller.step(terms, state, now, [BUSY])
            now += 0.25
        entered = now
        while state.level:
            state, _ = controller.step(terms, state, now, [EASY])
            now += 0.25
        stays.append(round(now - entered))
    assert stays == [60, 120, 240, 240]


def test_the_last_change_of_a_minute_goes_as_high_as_present_conditions() -> None:
    terms = (*TERMS, LevelTimings("most", 30.0, 40.0, 60.0, 240.0))
    state = ControllerState(1, controller.initial_state(terms).hysteresis, 99.75, 60.0, 0.0)
    state = replace(
        state, hysteresis=tuple(replace(m, enter_since=90.0) for m in state.hysteresis[:2]) + state.hysteresis[2:]
    )
    state, change = controller.step(terms, state, 100.0, [BUSY, BUSY, BUSY])
    assert change is not None and (change.from_level, change.to_level, change.cause_level) == (1, 3, 3)


def test_after_a_gap_nothing_counts_as_having_held() -> None:
    state = controller.initial_state(TERMS)
    state, _ = controller.step(TERMS, state, 0.0, [BUSY, CALM])
    state, change = controller.step(TERMS, state, 3600.0, [BUSY, CALM])
    assert change is None
    for quarter in range(1, 5):
        state, change = controller.step(TERMS, state, 3600.0 + quarter / 4, [BUSY, CALM])
    assert change is not None and change.to_level == 1


def test_a_clock_that_goes_back_stands_still() -> None:
    state = controller.initial_state(TERMS)
    state, _ = controller.step(TERMS, state, 1000.0, [BUSY, CALM])
    for back in range(8):
        state, change = controller.step(TERMS, state, 900.0 + back, [BUSY, CALM])
        assert change is None and state.now == 1000.0


def test_a_new_plan_keeps_the_state_of_the_levels_that_it_names() -> None:
    state = ControllerState(2, controller.initial_state(TERMS).hysteresis, 50.0, 40.0, 39.0)
    mild = LevelTimings("mild", 9.0, 9.0, 90.0, 240.0)
    kept, change = controller.adopt(TERMS, state, (mild, TERMS[1], LevelTimings("new", 1, 2, 60, 60)))
    assert change is None and kept.level == 2 and kept.hysteresis[0].min_stay == 90.0 and kept.last_change_at == 40.0
    fallen, change = controller.adopt(TERMS, state, (mild, LevelTimings("other", 1.0, 5.0, 60.0, 60.0)))
    assert change == Change(50.0, 2, 1, "configuration", 0) and (fallen.last_change_at, fallen.previous_change_at) == (
        50.0,
        40.0,
    )
    none, change = controller.adopt(TERMS, state, ())
    assert change is not None and none.level == 0 and not none.hysteresis
