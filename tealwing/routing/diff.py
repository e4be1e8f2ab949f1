"""The groups of tables whose sites, or their order, a change of the routing table affects; pure functions."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from functools import cached_property
from itertools import pairwise

from tealwing.routing.table import Table


@dataclass(frozen=True)
class Ranges:
    """Inclusive ranges of groups: sorted, disjoint and not adjacent."""

    pairs: tuple[tuple[int, int], ...] = ()

    @cached_property
    def _firsts(self) -> list[int]:
        return [first for first, _ in self.pairs]

    def contains(self, group: int) -> bool:
        """Whether the group lies in one of the ranges."""
        following = bisect_right(self._firsts, group)
        return following > 0 and group <= self.pairs[following - 1][1]

    def __bool__(self) -> bool:
        return bool(self.pairs)


def changed_groups(old: Table | None, new: Table | None) -> Ranges:
    """Return the groups whose sites or their order differ; None is a table without routes."""
    old, new = old or Table(), new or Table()
    edges = sorted({edge for table in (old, new) for r in table.routes for edge in (r.first, r.last + 1)})
    found: list[tuple[int, int]] = []
    for first, after in pairwise(edges):  # between two edges both tables are constant
        if old.sites_of(first) == new.sites_of(first):
            continue
        if found and found[-1][1] + 1 == first:
            first = found.pop()[0]
        found.append((first, after - 1))
    return Ranges(tuple(found))
