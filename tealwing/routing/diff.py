"""Which groups of tables another routing table serves elsewhere, or by another preference; pure."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from functools import cached_property
from itertools import pairwise

from tealwing.routing.table import Table


@dataclass(frozen=True)
class Ranges:
    """Ranges of groups, first and last among them: sorted, apart, and never one right after another."""

    pairs: tuple[tuple[int, int], ...] = ()

    @cached_property
    def _firsts(self) -> list[int]:
        return [first for first, _ in self.pairs]

    def contains(self, group: int) -> bool:
        """Whether the group lies in one of them."""
        place = bisect_right(self._firsts, group)
        return place > 0 and group <= self.pairs[place - 1][1]

    def __bool__(self) -> bool:
        return bool(self.pairs)


def changed_groups(old: Table | None, new: Table | None) -> Ranges:
    """The groups whose sites, or the order of their sites, differ; no table is one without routes."""
    old, new = old or Table(), new or Table()
    edges = sorted({edge for table in (old, new) for r in table.routes for edge in (r.first, r.last + 1)})
    found: list[tuple[int, int]] = []
    for first, after in pairwise(edges):  # within a pair both tables say one thing
        if old.sites_of(first) == new.sites_of(first):
            continue
        if found and found[-1][1] + 1 == first:
            first = found.pop()[0]
        found.append((first, after - 1))
    return Ranges(tuple(found))
