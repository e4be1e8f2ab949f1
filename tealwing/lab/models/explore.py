"""A small explicit-state model checker: breadth first, so the first counterexample it finds is a shortest one."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

State = Any


class Model(Protocol):
    """The interface of a model. States are immutable: a step returns a new one."""

    def initial(self) -> State:
        """Return the initial state."""

    def steps(self, state: State) -> Iterable[tuple[str, Callable[[], State]]]:
        """Return every possible step: its description and a function that returns the state after it."""

    def broken(self, state: State) -> str:
        """Return the safety violation in a state, empty if there is none."""

    def key(self, state: State) -> Hashable:
        """Return the identity of a state: equal for states that behave the same from here on."""


@dataclass(slots=True)
class Found:
    """The result of an exploration."""

    states: int
    steps: int
    depth: int  # the number of steps up to which every state was visited; for a violation, its number of steps
    seconds: float
    is_exhaustive: bool  # whether no state within the depth was left out
    broken: str = ""  # the safety violation found, empty if none
    trace: tuple[str, ...] = ()  # the steps that lead to it

    def text(self) -> str:
        """Return the result as text, with the trace that leads to a violation."""
        text = f"{self.states} states, {self.steps} steps, depth {self.depth}, {self.seconds:.1f} s"
        if not self.broken:
            return text + ("" if self.is_exhaustive else ", not exhaustive")
        lines = "\n".join(f"  {number}. {step}" for number, step in enumerate(self.trace, 1))
        return f"{text}\n{self.broken}, after\n{lines}"


def explore(model: Model, depth: int, max_states: int = 10**7) -> Found:
    """Visit all states up to a depth and up to `max_states`; stop at the first that violates a property."""
    begun = time.monotonic()
    first = model.initial()
    seen: dict[Hashable, tuple[Hashable, str] | None] = {model.key(first): None}
    level: list[tuple[Hashable, State]] = [(model.key(first), first)]
    steps = 0

    def found(at: int, is_exhaustive: bool, broken: str = "", last: Hashable = None) -> Found:
        trace = []
        while broken and (back := seen[last]) is not None:
            last, step = back
            trace.append(step)
        return Found(len(seen), steps, at, time.monotonic() - begun, is_exhaustive, broken, tuple(reversed(trace)))

    if wrong := model.broken(first):
        return found(0, True, wrong, model.key(first))
    for at in range(1, depth + 1):
        next_level: list[tuple[Hashable, State]] = []
        for key, state in level:
            for step, go in model.steps(state):
                steps += 1
                after = go()
                its_key = model.key(after)
                if its_key in seen:
                    continue
                seen[its_key] = key, step
                if wrong := model.broken(after):
                    return found(at, True, wrong, its_key)
                next_level.append((its_key, after))
                if len(seen) >= max_states:
                    return found(at - 1, False)
        level = next_level
        if not level:
            return found(at, True)
    return found(depth, True)


def wander(model: Model, walks: int, length: int, seed: int, weigh: Callable[[str], float] = lambda step: 1.0) -> Found:
    """Take random walks, far longer than can be explored exhaustively; `weigh` gives a step its relative weight."""
    begun, rng = time.monotonic(), random.Random(seed)
    steps = 0
    for _ in range(walks):
        state, trace = model.initial(), list[str]()
        for _ in range(length):
            choices = list(model.steps(state))
            if not choices:
                break
            ((step, go),) = rng.choices(choices, [weigh(step) for step, _ in choices])
            state = go()
            steps += 1
            trace.append(step)
            if wrong := model.broken(state):
                return Found(steps, steps, len(trace), time.monotonic() - begun, False, wrong, tuple(trace))
    return Found(steps, steps, length, time.monotonic() - begun, False)
