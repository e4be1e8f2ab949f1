"""Judges the order of versions in real time: once any client was answered under one, none older decides; pure.

Each version sends the groups that move to a site of its own, so a site tells the version, save that sites come again
after some versions. The earliest version that explains an answer is taken, not before any that was shown to be in
force as the query began, nor one that had not been proposed yet: what is found is a violation however else it was.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import ObservedVersion, RoutedQuery, observed_versions, routed_queries
from tealwing.lab.rig.history import Event


def explained(site: str, at: float, min_version: int, chain: Sequence[ObservedVersion]) -> int:
    """The first version from `least` on that sends to that site and was proposed by then; 0: none."""
    return next((v.number for v in chain if v.number >= min_version and v.site == site and v.proposed <= at), 0)


def assigned(events: Sequence[Event]) -> tuple[list[RoutedQuery], list[ObservedVersion]]:
    """The queries, each with the version it must not be older than and the one that its answer shows; and the chain."""
    chain = [version for version in observed_versions(events).values() if version.in_force]
    queries = routed_queries(events)
    times, seen = list[float](), list[int]()  # from when on which version was known to be in force
    for one in sorted(queries, key=lambda one: one.until):
        before = bisect_left(times, one.query.begin)
        one.min_version = seen[before - 1] if before else 0
        if not one.answered:
            continue
        one.first = explained(one.answered, one.until, one.min_version, chain)
        if one.first > (seen[-1] if seen else 0):
            times.append(one.until)
            seen.append(one.first)
    return queries, chain


def older(site: str, at: float, min_version: int, chain: Sequence[ObservedVersion]) -> int:
    """The last version before `least` that sends to that site; 0: none."""
    return max((v.number for v in chain if v.number < min_version and v.site == site and v.proposed <= at), default=0)


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """One `late-old` for each query that an older version decided, though a newer one had answered before it began."""
    queries, chain = assigned(events)
    found = []
    for one in queries:
        at = [(t, site, "reached an engine of") for t, site in one.reached]
        at += [(one.until, one.answered, "was answered by")] if one.answered else []
        for t, site, how in at:
            if not explained(site, t, one.min_version, chain) and (was := older(site, t, one.min_version, chain)):
                found.append(Violation(
                    "late-old", t, f"{one.query.process}: a query of {one.query.begin:.3f} s {how} {site}, as"
                    f" version {was} says; version {one.min_version} had answered before it began"
                ))  # fmt: skip
                break
    return found
