"""Decides which service level is in force: a pure function of the state, the time and the conditions.

Levels are ordered; 0 is full service. One step makes at most one change. The level rises when an entry condition has
held for its time: by one, or to a higher one whose strong condition has held. It falls by one level when the
exit condition has held for its (longer) time and the minimum stay, counted from the last change, is over.

A rate limit applies to all changes: the change before the last must be CHANGE_WINDOW old. Thus no minute has more than
two changes. A minimum stay of a minute or more keeps one of the two free for a rise, so that a rise waits only after
two rises in the same minute. A rise that is the last change in its window goes to the highest level with a
true entry or strong condition, whether or not it has held for its time. tests/test_controller.py proves the bound with
an SMT solver for all times, and explores the whole state space for small parameters.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

CHANGE_WINDOW = 60.0  # s in which at most two changes are made
REENTRY_WINDOW = 300.0  # s after a level's exit in which a new entry lengthens its minimum stay
BACKOFF_FACTOR = 2.0  # multiplies the minimum stay on each entry within REENTRY_WINDOW
MAX_SNAPSHOT_GAP = 2.0  # s; after a longer gap between snapshots no condition counts as having held


@dataclass(frozen=True, slots=True)
class LevelTimings:
    """For how long a level's conditions must hold, and the range of its minimum stay; times in seconds."""

    name: str
    enter_for: float
    exit_for: float
    min_stay: float
    max_stay: float
    strong_for: float = inf  # inf: no strong condition


class ConditionSnapshot(NamedTuple):
    """Which conditions of a level hold at one evaluation."""

    enter: bool
    strong: bool
    exit: bool


@dataclass(frozen=True, slots=True)
class HysteresisState:
    """One level's state: time of its last exit, minimum stay (s), and since when each condition holds (inf: not)."""

    left_at: float = -inf
    min_stay: float = 0.0
    enter_since: float = inf
    strong_since: float = inf
    exit_since: float = inf


@dataclass(frozen=True, slots=True)
class ControllerState:
    """The level in force (0: full service), each level's state, and the times of the last two changes."""

    level: int
    hysteresis: tuple[HysteresisState, ...]
    now: float = -inf
    last_change_at: float = -inf
    previous_change_at: float = -inf


class Change(NamedTuple):
    """A change of level, its time, and the condition that caused it."""

    at: float
    from_level: int
    to_level: int
    cause: str  # enter, strong, exit or configuration
    cause_level: int  # the level whose condition caused the change


def initial_state(timings: Sequence[LevelTimings]) -> ControllerState:
    """Return the state at full service, without earlier changes."""
    return ControllerState(0, tuple(HysteresisState(min_stay=level_timings.min_stay) for level_timings in timings))


def may_change(now: float, earlier_change: float) -> bool:
    """Return whether CHANGE_WINDOW has passed since an earlier change."""
    return now - earlier_change >= CHANGE_WINDOW


def may_leave(now: float, last_change: float, min_stay: float) -> bool:
    """Return whether the minimum stay in a level is over."""
    return now - last_change >= min_stay


def backed_off_stay(min_stay: float, time_away: float, timings: LevelTimings) -> float:
    """Return the minimum stay (s) of a level entered again time_away seconds after its exit."""
    return (
        max(timings.min_stay, min(min_stay * BACKOFF_FACTOR, timings.max_stay))
        if time_away < REENTRY_WINDOW
        else timings.min_stay
    )


def step(
    timings: Sequence[LevelTimings], state: ControllerState, now: float, snapshots: Sequence[ConditionSnapshot]
) -> tuple[ControllerState, Change | None]:
    """Return the state after one evaluation, and the change that it made, if any.

    If the clock steps back, the state keeps its time until the clock has caught up. After a gap of more than
    MAX_SNAPSHOT_GAP no condition counts as having held.
    """
    now = max(now, state.now)
    after_gap = now - state.now > MAX_SNAPSHOT_GAP
    hysteresis = tuple(
        _track_conditions(state_before, snapshot, now, after_gap)
        for state_before, snapshot in zip(state.hysteresis, snapshots, strict=True)
    )
    state = replace(state, hysteresis=hysteresis, now=now)
    if not may_change(now, state.previous_change_at):
        return state, None
    change = _rise(timings, state, snapshots) or _fall(timings, state)
    return (state, None) if change is None else (_apply_change(timings, state, change), change)


def _track_conditions(
    hysteresis: HysteresisState, snapshot: ConditionSnapshot, now: float, after_gap: bool
) -> HysteresisState:
    """Update since when each condition has held without a break."""
    return replace(
        hysteresis,
        enter_since=_holding_since(hysteresis.enter_since, snapshot.enter, now, after_gap),
        strong_since=_holding_since(hysteresis.strong_since, snapshot.strong, now, after_gap),
        exit_since=_holding_since(hysteresis.exit_since, snapshot.exit, now, after_gap),
    )


def _holding_since(since: float, holds: bool, now: float, after_gap: bool) -> float:
    if not holds:
        return inf
    return now if after_gap or since == inf else since


def _rise(
    timings: Sequence[LevelTimings], state: ControllerState, snapshots: Sequence[ConditionSnapshot]
) -> Change | None:
    """Return a rise to the highest level whose strong condition has held, else to the next level.

    A rise to the next level is also due when only the entry condition of a higher level has held.
    """
    level, now = state.level, state.now
    above = range(level, len(timings))
    strong = [i for i in above if now - state.hysteresis[i].strong_since >= timings[i].strong_for]
    enter = [i for i in above if now - state.hysteresis[i].enter_since >= timings[i].enter_for]
    if not strong and not enter:
        return None
    change = Change(now, level, level + 1, "enter", (enter or strong)[0] + 1)
    if strong:
        change = Change(now, level, strong[-1] + 1, "strong", strong[-1] + 1)
    if not may_change(now, state.last_change_at):  # the last change that the window allows
        holding = [i for i in above if snapshots[i].enter or snapshots[i].strong]
        if holding and holding[-1] + 1 > change.to_level:
            cause = "enter" if snapshots[holding[-1]].enter else "strong"
            change = Change(now, level, holding[-1] + 1, cause, holding[-1] + 1)
    return change


def _fall(timings: Sequence[LevelTimings], state: ControllerState) -> Change | None:
    if not state.level:
        return None
    level_timings, hysteresis = timings[state.level - 1], state.hysteresis[state.level - 1]
    held = state.now - hysteresis.exit_since >= level_timings.exit_for
    if not held or not may_leave(state.now, state.last_change_at, hysteresis.min_stay):
        return None
    return Change(state.now, state.level, state.level - 1, "exit", state.level)


def _apply_change(timings: Sequence[LevelTimings], state: ControllerState, change: Change) -> ControllerState:
    """Return the state after a change; every exit condition must then hold for its full time again."""
    hysteresis = [replace(level_hysteresis, exit_since=inf) for level_hysteresis in state.hysteresis]
    for i in range(change.from_level, change.to_level):  # entered
        hysteresis[i] = replace(
            hysteresis[i],
            min_stay=backed_off_stay(hysteresis[i].min_stay, change.at - hysteresis[i].left_at, timings[i]),
        )
    for i in range(change.to_level, change.from_level):  # left
        hysteresis[i] = replace(hysteresis[i], left_at=change.at, enter_since=inf, strong_since=inf)
    return ControllerState(change.to_level, tuple(hysteresis), change.at, change.at, state.last_change_at)


def adopt(
    old_timings: Sequence[LevelTimings], state: ControllerState, new_timings: Sequence[LevelTimings]
) -> tuple[ControllerState, Change | None]:
    """Return the state under a new plan, and the change of level that this makes, if any.

    Levels match by name. If the level in force is removed, the next lower one that remains replaces it. The rate limit
    does not delay this change, which the operators requested, but counts it for later changes.
    """
    by_name = {
        level_timings.name: level_hysteresis
        for level_timings, level_hysteresis in zip(old_timings, state.hysteresis, strict=True)
    }
    names = [level_timings.name for level_timings in new_timings]
    hysteresis = []
    for level_timings in new_timings:
        level_hysteresis = by_name.get(level_timings.name, HysteresisState(min_stay=level_timings.min_stay))
        hysteresis.append(
            replace(
                level_hysteresis,
                min_stay=max(level_timings.min_stay, min(level_hysteresis.min_stay, level_timings.max_stay)),
                exit_since=inf,
            )
        )
    level = next((names.index(t.name) + 1 for t in reversed(old_timings[: state.level]) if t.name in names), 0)
    if level == state.level:
        return replace(state, hysteresis=tuple(hysteresis)), None
    change = Change(state.now, state.level, level, "configuration", 0)
    return ControllerState(level, tuple(hysteresis), state.now, state.now, state.last_change_at), change
