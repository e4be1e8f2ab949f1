"""The routing table: ranges of groups of tables, and the sites that serve each, in order of preference; pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True)
class Route:
    """The groups from first to last, both included, and the names of their sites in order of preference."""

    first: int
    last: int
    sites: tuple[str, ...]


@dataclass(frozen=True)
class Table:
    """Routes in the order of their groups; a group that none names may be served anywhere.

    complete: the table must leave out no group up to its last. Nothing is checked here: see `validate.find_faults`.
    """

    routes: tuple[Route, ...] = ()
    complete: bool = False

    @staticmethod
    def of(routes: Iterable[Route], complete: bool = False) -> Table:
        """Return a table of routes given in any order."""
        return Table(tuple(sorted(routes, key=lambda route: (route.first, route.last))), complete)

    @cached_property
    def _firsts(self) -> list[int]:
        return [route.first for route in self.routes]

    def sites_of(self, group: int) -> tuple[str, ...]:
        """Return the group's sites in order of preference; empty where no route names it."""
        place = bisect_right(self._firsts, group)
        if not place:
            return ()
        route = self.routes[place - 1]
        return route.sites if group <= route.last else ()
