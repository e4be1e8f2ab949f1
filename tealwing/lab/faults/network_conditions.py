"""What happens to each frame on its way from one process to another; pure, and the same for the same seed.

Each direction of each pair has a rule of its own and a random source of its own, so that what one link draws does not
depend on how the frames of others fall in time.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

REORDERED = 0.05  # s by which a frame that is overtaken comes late, at most


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """One direction: shares from 0 to 1, times in seconds."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # further delay, uniform from 0 to this
    duplicate: float = 0.0
    reorder: float = 0.0
    cut: bool = False

    @property
    def is_faultless(self) -> bool:
        """Whether nothing happens there."""
        return self == FAULTLESS


FAULTLESS = LinkConditions()


@dataclass(frozen=True, slots=True)
class Delivery:
    """What becomes of one frame: after how many seconds each copy of it arrives; none where it is lost."""

    arrivals: tuple[float, ...]
    in_order: bool = True  # else it may be overtaken by, or overtake, its neighbours


LOST = Delivery(())


class NetworkConditions:
    """The rules of all directions among the names."""

    def __init__(self, names: Iterable[str], seed: int) -> None:
        self.names = tuple(names)
        self._rules: dict[tuple[str, str], LinkConditions] = {}
        self._random = {
            (a, b): random.Random(xxhash.xxh3_64_intdigest(f"{seed}/{a}/{b}".encode()))
            for a in self.names
            for b in self.names
            if a != b
        }

    def rule(self, source: str, target: str) -> LinkConditions:
        """The rule of a direction."""
        return self._rules.get((source, target), FAULTLESS)

    def change(self, source: str, target: str, **fields: float | bool) -> None:
        """Other values in the rule of a direction."""
        if (source, target) not in self._random:
            raise ValueError(f"no direction from {source!r} to {target!r}")
        self._rules[source, target] = replace(self.rule(source, target), **fields)  # type: ignore[arg-type]

    def change_all(self, pairs: Iterable[tuple[str, str]], **fields: float | bool) -> None:
        """The same for some directions."""
        for source, target in pairs:
            self.change(source, target, **fields)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut all directions between two groups, and only those; a name in no group is cut from everyone."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        for a, b in self._random:
            apart = a not in group or b not in group or group[a] != group[b]
            self.change(a, b, cut=apart)

    def isolate(self, name: str) -> None:
        """Cut one from all others, both ways."""
        for other in self.names:
            if other != name:
                self.change(name, other, cut=True)
                self.change(other, name, cut=True)

    def heal(self) -> None:
        """Fair weather everywhere."""
        self._rules.clear()

    def cuts(self) -> frozenset[tuple[str, str]]:
        """The directions on which nothing passes."""
        return frozenset(pair for pair, rule in self._rules.items() if rule.cut)

    def delivery(self, source: str, target: str) -> Delivery:
        """What becomes of the next frame of a direction."""
        rule = self.rule(source, target)
        if rule.is_faultless:
            return Delivery((0.0,))
        rng = self._random[source, target]
        if rule.cut or (rule.drop and rng.random() < rule.drop):
            return LOST
        after = rule.delay + (rng.uniform(0.0, rule.jitter) if rule.jitter else 0.0)
        if rule.duplicate and rng.random() < rule.duplicate:
            return Delivery((after, after + rng.uniform(0.0, REORDERED)), in_order=False)
        if rule.reorder and rng.random() < rule.reorder:
            return Delivery((after + rng.uniform(0.0, REORDERED),), in_order=False)
        return Delivery((after,))
