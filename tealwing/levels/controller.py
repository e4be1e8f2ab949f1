"""Which level is in force: a pure function of its state, the clock and the conditions seen.

Levels are ordered; 0 is full service. One look makes one change at most. It goes up when an entry condition has held
for its time: one level, or several where the strong condition of a higher one has held. It goes down one level when
the exit condition has held for its, longer, time and the least stay, which counts from any change, is over.

One guard stands before every change: the change two before it must be a minute old. So whatever the conditions do,
no minute has more than two changes, at one boundary or at all. A least stay of a minute or more keeps one of the two
free for going up again; so a rise never waits, unless two rises in the same minute came before it. The last change
that a minute has left goes as high as the conditions of the moment say, whether or not they have held for their time.
tests/test_controller.py proves the bound with an SMT solver for all times, and walks the whole state space of this
code for small parameters.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

WINDOW = 60.0  # s in which there are two changes at most (the operators' "not several times a minute")
SOON = 300.0  # s since it was left within which a level that is entered again is kept for longer
GROWTH = 2.0  # of the least stay, each time that the level was entered again soon
GAP = 2.0  # s between two looks past which nothing is known to have held in between


@dataclass(frozen=True, slots=True)
class Terms:
    """When a level is entered and left; times in seconds."""

    name: str
    enter_for: float
    exit_for: float
    stay: float
    stay_most: float
    strong_for: float = inf  # there is no strong condition


class Seen(NamedTuple):
    """Which conditions of a level hold at this look."""

    enter: bool
    strong: bool
    exit: bool


@dataclass(frozen=True, slots=True)
class Mark:
    """What is remembered of one level: when it was left, its least stay now, since when its conditions hold."""

    left: float = -inf
    stay: float = 0.0
    enter_since: float = inf
    strong_since: float = inf
    exit_since: float = inf


@dataclass(frozen=True, slots=True)
class State:
    """The level in force (0: none), the times of the last change and of the one before, and the levels' marks."""

    level: int
    marks: tuple[Mark, ...]
    now: float = -inf
    last: float = -inf
    before: float = -inf


class Change(NamedTuple):
    """A change of level, and which condition of which level made it."""

    at: float
    from_level: int
    to_level: int
    why: str  # enter, strong, exit or configuration
    of: int  # the level whose condition it was


def begin(terms: Sequence[Terms]) -> State:
    """Full service, with nothing remembered."""
    return State(0, tuple(Mark(stay=term.stay) for term in terms))


def may_change(now: float, before: float) -> bool:
    """The guard on every change: the change two before it is a minute old."""
    return now - before >= WINDOW


def may_fall(now: float, last: float, stay: float) -> bool:
    """Whether the least stay in a level is over."""
    return now - last >= stay


def longer(stay: float, away: float, term: Terms) -> float:
    """The least stay in a level that is entered again, having been left so long ago; never below the term's."""
    return max(term.stay, min(stay * GROWTH, term.stay_most)) if away < SOON else term.stay


def step(terms: Sequence[Terms], state: State, now: float, seen: Sequence[Seen]) -> tuple[State, Change | None]:
    """One look: the state after it, and the change that it made, if any.

    A clock that went back stands still until it has caught up. After a gap no condition counts as having held.
    """
    now = max(now, state.now)
    fresh = now - state.now > GAP
    marks = tuple(_held(mark, look, now, fresh) for mark, look in zip(state.marks, seen, strict=True))
    state = replace(state, marks=marks, now=now)
    if not may_change(now, state.before):
        return state, None
    change = _rise(terms, state, seen) or _fall(terms, state)
    return (state, None) if change is None else (_changed(terms, state, change), change)


def _held(mark: Mark, look: Seen, now: float, fresh: bool) -> Mark:
    """Since when each condition has held without a break."""
    return replace(
        mark,
        enter_since=_since(mark.enter_since, look.enter, now, fresh),
        strong_since=_since(mark.strong_since, look.strong, now, fresh),
        exit_since=_since(mark.exit_since, look.exit, now, fresh),
    )


def _since(since: float, holds: bool, now: float, fresh: bool) -> float:
    if not holds:
        return inf
    return now if fresh or since == inf else since


def _rise(terms: Sequence[Terms], state: State, seen: Sequence[Seen]) -> Change | None:
    """A rise to the highest level with strong evidence, else to the next one.

    Evidence for a higher level is evidence for the next one too.
    """
    level, now = state.level, state.now
    above = range(level, len(terms))
    strong = [i for i in above if now - state.marks[i].strong_since >= terms[i].strong_for]
    enter = [i for i in above if now - state.marks[i].enter_since >= terms[i].enter_for]
    if not strong and not enter:
        return None
    change = Change(now, level, level + 1, "enter", (enter or strong)[0] + 1)
    if strong:
        change = Change(now, level, strong[-1] + 1, "strong", strong[-1] + 1)
    if not may_change(now, state.last):  # the last change that this minute has left
        holding = [i for i in above if seen[i].enter or seen[i].strong]
        if holding and holding[-1] + 1 > change.to_level:
            why = "enter" if seen[holding[-1]].enter else "strong"
            change = Change(now, level, holding[-1] + 1, why, holding[-1] + 1)
    return change


def _fall(terms: Sequence[Terms], state: State) -> Change | None:
    if not state.level:
        return None
    term, mark = terms[state.level - 1], state.marks[state.level - 1]
    held = state.now - mark.exit_since >= term.exit_for
    if not held or not may_fall(state.now, state.last, mark.stay):
        return None
    return Change(state.now, state.level, state.level - 1, "exit", state.level)


def _changed(terms: Sequence[Terms], state: State, change: Change) -> State:
    """The state after a change; every level's conditions must hold anew for the next one down."""
    marks = [replace(mark, exit_since=inf) for mark in state.marks]
    for i in range(change.from_level, change.to_level):  # entered
        marks[i] = replace(marks[i], stay=longer(marks[i].stay, change.at - marks[i].left, terms[i]))
    for i in range(change.to_level, change.from_level):  # left
        marks[i] = replace(marks[i], left=change.at, enter_since=inf, strong_since=inf)
    return State(change.to_level, tuple(marks), change.at, change.at, state.last)


def adopt(old: Sequence[Terms], state: State, new: Sequence[Terms]) -> tuple[State, Change | None]:
    """The state under new terms. Levels are known by name; one in force that is gone gives way to the next below.

    A change made so is the operators' own and waits for no guard, but it counts for those that follow.
    """
    by_name = {term.name: mark for term, mark in zip(old, state.marks, strict=True)}
    names = [term.name for term in new]
    marks = []
    for term in new:
        mark = by_name.get(term.name, Mark(stay=term.stay))
        marks.append(replace(mark, stay=max(term.stay, min(mark.stay, term.stay_most)), exit_since=inf))
    level = next((names.index(t.name) + 1 for t in reversed(old[: state.level]) if t.name in names), 0)
    if level == state.level:
        return replace(state, marks=tuple(marks)), None
    change = Change(state.now, state.level, level, "configuration", 0)
    return State(level, tuple(marks), state.now, state.now, state.last), change
