"""The check of a routing table, which reports all faults at once; pure."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from tealwing.routing.table import Route

NO_GROUP = 0  # the group of a statement that names no numbered schema: the lowest


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its place in the table as written, what is wrong, and the remedy."""

    place: str
    what: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.what}; {self.remedy}"


def find_faults(routes: Sequence[Route], complete: bool = False) -> list[Fault]:
    """Return all faults of a table, by route and then between routes; gaps count only where complete is set."""
    found = [fault for number, route in enumerate(routes) for fault in _alone(f"routes[{number}]", route)]
    usable = [(route, n) for n, route in enumerate(routes) if NO_GROUP <= route.first <= route.last]
    usable.sort(key=lambda pair: (pair[0].first, pair[0].last, pair[1]))
    return found + list(_between(usable, complete))


def _alone(place: str, route: Route) -> Iterator[Fault]:
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


def _between(usable: list[tuple[Route, int]], complete: bool) -> Iterator[Fault]:
    """Yield overlaps and gaps in ascending order; furthest is the route with the highest last group so far."""
    furthest: tuple[Route, int] | None = None
    free = NO_GROUP  # the first group that nothing up to here names
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
