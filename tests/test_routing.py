"""Routing tables: look-up, faults, differences between tables, and the zones that serve a group."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tealwing.routing.diff import Ranges, changed_groups
from tealwing.routing.serving import serving_zones
from tealwing.routing.table import Route, Table
from tealwing.routing.validate import find_faults

MAX_GROUP = 24  # the highest group number that the tests draw
SITES = ("a", "b", "c")


@st.composite
def tables(draw: st.DrawFn) -> Table | None:
    """Draw a table without overlaps, its routes in any order, or None."""
    edges = sorted(draw(st.sets(st.integers(0, MAX_GROUP), max_size=8)))
    routes = []
    for first, after in zip(edges, edges[1:], strict=False):
        if draw(st.booleans()):
            routes.append(Route(first, after - 1, tuple(draw(st.permutations(SITES))[: draw(st.integers(1, 3))])))
    return draw(st.sampled_from([None, Table.of(draw(st.permutations(routes)))]))


def sites_by_scan(table: Table | None, group: int) -> tuple[str, ...]:
    """Return the sites of a group by scanning every route."""
    routes = table.routes if table else ()
    return next((route.sites for route in routes if route.first <= group <= route.last), ())


@given(tables(), tables())
def test_changed_groups_match_comparison_of_each_group(old: Table | None, new: Table | None) -> None:
    found = changed_groups(old, new)
    for group in range(-1, MAX_GROUP + 2):
        assert found.contains(group) == (sites_by_scan(old, group) != sites_by_scan(new, group))
    assert bool(found) == any(sites_by_scan(old, group) != sites_by_scan(new, group) for group in range(MAX_GROUP))
    for (_, last), (first, _) in zip(found.pairs, found.pairs[1:], strict=False):
        assert last + 1 < first  # not adjacent: each pair is a maximal range
    assert not changed_groups(old, old) and changed_groups(new, old) == found


def test_changed_order_of_sites_is_a_difference() -> None:
    old = Table.of([Route(0, 9, ("a", "b")), Route(10, 19, ("c",))])
    new = Table.of([Route(0, 9, ("b", "a")), Route(10, 12, ("c",))])
    assert changed_groups(old, new) == Ranges(((0, 9), (13, 19)))


@given(tables(), st.integers(0, MAX_GROUP), st.sets(st.integers(0, 2)))
def test_first_site_with_ready_engine_serves_alone(table: Table | None, group: int, ready: set[int]) -> None:
    zones = ("b", "c", "a")
    found, sites = serving_zones(table, group, zones, ready), sites_by_scan(table, group)
    able = [zones.index(site) for site in sites if zones.index(site) in ready]
    if not sites:
        assert found is None
    else:
        assert found == (frozenset(able[:1]) if able else frozenset(map(zones.index, sites)))


def test_route_to_unknown_site_allows_no_zone() -> None:
    table = Table.of([Route(0, 3, ("gone",))])
    assert serving_zones(table, 2, ("a", "b"), {0, 1}) == frozenset()
    assert serving_zones(table, 4, ("a", "b"), {0, 1}) is None


def test_all_faults_are_reported_with_place_and_remedy() -> None:
    routes = [
        Route(10, 20, ("a",)),
        Route(5, 2, ()),
        Route(20, 30, ("b", "b", "")),
        Route(12, 12, ("c",)),
        Route(33, 40, ("c",)),
    ]
    reported = [str(fault) for fault in find_faults(routes, complete=True)]
    expected = [
        ("routes[1]", "reversed", "smaller"),
        ("routes[1]", "no sites", "leave the route out"),
        ("routes[2]", "no name", "engine list"),
        ("routes[2]", "b is named twice", "once"),
        ("routes[0]", "groups 0 to 9 before it", "complete"),
        ("routes[3]", "groups 12 to 12 are those of routes[0]", "one of them"),
        ("routes[2]", "groups 20 to 20 are those of routes[0]", "one of them"),
        ("routes[4]", "groups 31 to 32 before it", "complete"),
    ]
    assert len(reported) == len(expected)
    for text, (place, what, remedy) in zip(reported, expected, strict=True):
        assert text.startswith(place) and what in text and remedy in text
    assert len(find_faults(routes)) == len(expected) - 2  # gaps are no faults unless the table is complete
    assert not find_faults([Route(4, 6, ("a",)), Route(0, 3, ("b",))], complete=True)


@given(st.lists(st.builds(Route, st.integers(0, 9), st.integers(0, 9), st.just(("a",))), max_size=5), st.booleans())
def test_table_without_faults_has_at_most_one_route_per_group(routes: list[Route], complete: bool) -> None:
    counts = [sum(route.first <= group <= route.last for route in routes) for group in range(10)]
    last = max((route.last for route in routes), default=-1)
    good = all(route.first <= route.last for route in routes) and max(counts) <= 1
    good = good and not (complete and 0 in counts[: last + 1])
    assert good == (not find_faults(routes, complete))
