"""Which zones may serve a request now, by the routing table and the ready engines; pure."""

from __future__ import annotations

from collections.abc import Collection

from tealwing.routing.table import Table


def serving_zones(
    table: Table | None, group: int, zones: tuple[str, ...], ready: Collection[int]
) -> frozenset[int] | None:
    """Return the indices in `zones` of the zones whose engines may serve the group; None allows all.

    ready has the indices of zones with a ready engine. The first site in order of preference that has one serves
    alone; where none has, all sites of the route are returned, so that placement finds no engine and rejects. A site
    that `zones` lacks has no engine.
    """
    sites = table.sites_of(group) if table is not None else ()
    if not sites:
        return None
    for site in sites:
        if site in zones and (place := zones.index(site)) in ready:
            return frozenset((place,))
    return frozenset(zones.index(site) for site in sites if site in zones)
