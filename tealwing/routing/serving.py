"""The zones that may serve a request now, by the routing table and the ready engines; a pure function."""

from __future__ import annotations

from collections.abc import Collection

from tealwing.routing.table import Table


def serving_zones(
    table: Table | None, group: int, zones: tuple[str, ...], ready: Collection[int]
) -> frozenset[int] | None:
    """Return the indices in `zones` of the zones whose engines may serve the group; None allows all.

    `ready` has the indices of the zones with a ready engine. The first site of the route, in order of preference, that
    has one serves alone. If no site has one, all sites are returned: placement then finds no engine and rejects the
    request. A site that is not in `zones` has no engine.
    """
    sites = table.sites_of(group) if table is not None else ()
    if not sites:
        return None
    for site in sites:
        if site in zones and (index := zones.index(site)) in ready:
            return frozenset((index,))
    return frozenset(zones.index(site) for site in sites if site in zones)
