"""A small explicit-state explorer: breadth first, so that the first counterexample found is a shortest one."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

State = Any


class Model(Protocol):
    """What is explored. States are never changed: a step gives a new one."""

    def initial(self) -> State:
        """Where it begins."""

    def steps(self, state: State) -> Iterable[tuple[str, Callable[[], State]]]:
        """What can happen next: a word for it, and how to get there."""

    def broken(self, state: State) -> str:
        """What must not be and is; empty if nothing."""

    def key(self, state: State) -> Hashable:
        """Equal for states that go on in the same way."""


@dataclass(slots=True)
class Found:
    """What an exploration gave."""

    states: int
    steps: int
    depth: int  # to which all was seen
    seconds: float
    is_exhaustive: bool  # nothing was left out within the depth
    broken: str = ""
    trace: tuple[str, ...] = ()

    def text(self) -> str:
        """In words."""
        text = f"{self.states} states, {self.steps} steps, depth {self.depth}, {self.seconds:.1f} s"
        if not self.broken:
            return text + ("" if self.is_exhaustive else ", not all of them")
        lines = "\n".join(f"  {number}. {word}" for number, word in enumerate(self.trace, 1))
        return f"{text}\n{self.broken}, after\n{lines}"


def explore(model: Model, depth: int, max_states: int = 10**7) -> Found:
    """Walk all states within a depth, up to so many; stop at the first that is broken."""
    begun = time.monotonic()
    first = model.initial()
    seen: dict[Hashable, tuple[Hashable, str] | None] = {model.key(first): None}
    level: list[tuple[Hashable, State]] = [(model.key(first), first)]
    steps = 0

    def found(at: int, whole: bool, broken: str = "", last: Hashable = None) -> Found:
        trace = []
        while broken and (back := seen[last]) is not None:
            last, step = back
            trace.append(step)
        return Found(len(seen), steps, at, time.monotonic() - begun, whole, broken, tuple(reversed(trace)))

    if wrong := model.broken(first):
        return found(0, True, wrong, model.key(first))
    for at in range(1, depth + 1):
        next_level: list[tuple[Hashable, State]] = []
        for key, state in level:
            for step, go in model.steps(state):
                steps += 1
                after = go()
                its = model.key(after)
                if its in seen:
                    continue
                seen[its] = key, step
                if wrong := model.broken(after):
                    return found(at, True, wrong, its)
                next_level.append((its, after))
                if len(seen) >= max_states:
                    return found(at - 1, False)
        level = next_level
        if not level:
            return found(at, True)
    return found(depth, True)


def wander(model: Model, walks: int, length: int, seed: int, weigh: Callable[[str], float] = lambda word: 1.0) -> Found:
    """Walk at random, far beyond what can be seen in whole; weigh says how likely a step is against the others."""
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
