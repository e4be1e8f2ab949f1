"""Decides how each frame between two processes is delivered; pure, and deterministic for a seed.

Each direction of each pair has its own conditions and its own random generator, so that the draws of one link do not
depend on the timing of frames on other links.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

MAX_REORDER_DELAY = 0.05  # s of further delay of a reordered frame or a duplicate, at most


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The conditions of one direction: shares of frames from 0 to 1, times in seconds."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # upper bound of a further delay, drawn uniformly from 0
    duplicate: float = 0.0
    reorder: float = 0.0
    cut: bool = False

    @property
    def is_faultless(self) -> bool:
        """Whether the direction delivers every frame at once."""
        return self == FAULTLESS


FAULTLESS = LinkConditions()


@dataclass(frozen=True, slots=True)
class Delivery:
    """The delivery of one frame: the delay of each of its copies in seconds; empty if the frame is lost."""

    arrivals: tuple[float, ...]
    in_order: bool = True  # if not, the frame may overtake earlier frames or be overtaken by later ones


LOST = Delivery(())


class NetworkConditions:
    """The conditions of all directions between the named processes."""

    def __init__(self, names: Iterable[str], seed: int) -> None:
        self.names = tuple(names)
        self._conditions: dict[tuple[str, str], LinkConditions] = {}
        self._random = {
            (a, b): random.Random(xxhash.xxh3_64_intdigest(f"{seed}/{a}/{b}".encode()))
            for a in self.names
            for b in self.names
            if a != b
        }

    def link(self, source: str, target: str) -> LinkConditions:
        """Return the conditions of a direction."""
        return self._conditions.get((source, target), FAULTLESS)

    def change(self, source: str, target: str, **fields: float | bool) -> None:
        """Change some conditions of a direction."""
        if (source, target) not in self._random:
            raise ValueError(
                f"no direction from {source!r} to {target!r}; expected two different names of {', '.join(self.names)}"
            )
        self._conditions[source, target] = replace(self.link(source, target), **fields)  # type: ignore[arg-type]

    def change_all(self, pairs: Iterable[tuple[str, str]], **fields: float | bool) -> None:
        """Make the same change to several directions."""
        for source, target in pairs:
            self.change(source, target, **fields)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut all directions between different groups, and only those; a name in no group is cut from all others."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        for a, b in self._random:
            apart = a not in group or b not in group or group[a] != group[b]
            self.change(a, b, cut=apart)

    def isolate(self, name: str) -> None:
        """Cut both directions between one process and all others."""
        for other in self.names:
            if other != name:
                self.change(name, other, cut=True)
                self.change(other, name, cut=True)

    def heal(self) -> None:
        """Reset all directions to faultless conditions."""
        self._conditions.clear()

    def cuts(self) -> frozenset[tuple[str, str]]:
        """Return the directions that are cut."""
        return frozenset(pair for pair, conditions in self._conditions.items() if conditions.cut)

    def delivery(self, source: str, target: str) -> Delivery:
        """Return the delivery of the next frame of a direction."""
        conditions = self.link(source, target)
        if conditions.is_faultless:
            return Delivery((0.0,))
        rng = self._random[source, target]
        if conditions.cut or (conditions.drop and rng.random() < conditions.drop):
            return LOST
        after = conditions.delay + (rng.uniform(0.0, conditions.jitter) if conditions.jitter else 0.0)
        if conditions.duplicate and rng.random() < conditions.duplicate:
            return Delivery((after, after + rng.uniform(0.0, MAX_REORDER_DELAY)), in_order=False)
        if conditions.reorder and rng.random() < conditions.reorder:
            return Delivery((after + rng.uniform(0.0, MAX_REORDER_DELAY),), in_order=False)
        return Delivery((after,))
