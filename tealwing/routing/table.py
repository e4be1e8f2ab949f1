"""The routing table: ranges of groups of tables, and the sites that serve each range, in order of preference."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True)
class Route:
    """An inclusive range of groups and the names of the sites that serve it, in order of preference."""

    first: int
    last: int
    sites: tuple[str, ...]


@dataclass(frozen=True)
class Table:
    """Routes sorted by group; any site may serve a group without a route.

    complete: every group up to the last must have a route. This class checks nothing; `validate.find_faults` does.
    """

    routes: tuple[Route, ...] = ()
    complete: bool = False

    @staticmethod
    def of(routes: Iterable[Route], complete: bool = False) -> Table:
        """Return the table of these routes, which may be in any order."""
        return Table(tuple(sorted(routes, key=lambda route: (route.first, route.last))), complete)

    @cached_property
    def _firsts(self) -> list[int]:
        return [route.first for route in self.routes]

    def sites_of(self, group: int) -> tuple[str, ...]:
        """Return the group's sites in order of preference; empty if it has no route."""
        following = bisect_right(self._firsts, group)
        if not following:
            return ()
        route = self.routes[following - 1]
        return route.sites if group <= route.last else ()
