"""Validation of a routing table, which reports all faults at once; pure functions."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from tealwing.routing.table import Route

NO_GROUP = 0  # group of a statement without a numbered schema; the lowest group


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a routing table: its place in the table as written, what is wrong, and the remedy."""

    place: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.what}; {self.remedy}"


def find_faults(routes: Sequence[Route], complete: bool = False) -> list[Fault]:
    """Return the faults of each route, then overlaps and, if complete is set, gaps between routes."""
    found = [fault for number, route in enumerate(routes) for fault in _route_faults(f"routes[{number}]", route)]
    usable = [(route, n) for n, route in enumerate(routes) if NO_GROUP <= route.first <= route.last]
    usable.sort(key=lambda pair: (pair[0].first, pair[0].last, pair[1]))
    return found + list(_overlaps_and_gaps(usable, complete))


def _route_faults(place: str, route: Route) -> Iterator[Fault]:
    if route.first < NO_GROUP:
        yield Fault(place, f"first is {route.first}", f"groups are numbers from {NO_GROUP} on")
    if route.last < route.first:
        yield Fault(place, f"the range {route.first} to {route.last} is reversed", "name the smaller group first")
    if not route.sites:
        yield Fault(place, "it has no sites", "name one or more, or leave the route out: any engine serves then")
    if not all(route.sites):
        yield Fault(place, "a site has no name", "name each as the engine list does")
    for site in sorted({site for site in route.sites if site and route.sites.count(site) > 1}):
        yield Fault(place, f"site {site} is named twice", "name each once, where it is preferred most")


def _overlaps_and_gaps(usable: list[tuple[Route, int]], complete: bool) -> Iterator[Fault]:
    """Yield the overlaps and gaps of routes that are sorted by group."""
    furthest: tuple[Route, int] | None = None  # the route with the highest last group so far, and its number
    free = NO_GROUP  # the first group after all routes so far
    for route, number in usable:
        if furthest is not None and route.first <= furthest[0].last:
            both = f"{route.first} to {min(route.last, furthest[0].last)}"
            what = f"groups {both} are those of routes[{furthest[1]}] too"
            yield Fault(f"routes[{number}]", what, "leave each group in one of them")
        elif complete and route.first > free:
            what = f"groups {free} to {route.first - 1} before it have no route"
            yield Fault(f"routes[{number}]", what, "name them, or do not say that the table is complete")
        if furthest is None or route.last > furthest[0].last:
            furthest = route, number
        free = max(free, route.last + 1)
