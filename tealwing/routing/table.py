"""The routing table: ranges of groups of tables, and the sites that serve each, in order of preference; pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True)
class Route:
    """The groups from first to last, both among them, and the names of their sites, the preferred one first."""

    first: int
    last: int
    sites: tuple[str, ...]


@dataclass(frozen=True)
class Table:
    """Routes in the order of their groups; a group that none names may be served anywhere.

    complete: the table is to leave out no group up to its last. Nothing is checked here: see `validate.faults`.
    """

    routes: tuple[Route, ...] = ()
    complete: bool = False

    @staticmethod
    def of(routes: Iterable[Route], complete: bool = False) -> Table:
        """A table of routes that come in any order."""
        return Table(tuple(sorted(routes, key=lambda route: (route.first, route.last))), complete)

    @cached_property
    def _firsts(self) -> list[int]:
        return [route.first for route in self.routes]

    def sites_of(self, group: int) -> tuple[str, ...]:
        """The group's sites in order of preference; none where no route names it."""
        place = bisect_right(self._firsts, group)
        if not place:
            return ()
        route = self.routes[place - 1]
        return route.sites if group <= route.last else ()
