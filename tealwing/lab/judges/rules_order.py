"""Check the real-time order of versions: after an answer under one, no later query is decided under an older one; pure.

Each version sends the moving groups to a different site, so a site identifies the version, except that sites repeat
after some versions. An answer counts for the earliest version that explains it: one that was proposed by then and is
not older than a version known to be in force when the query began. So every violation found is certain.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import ObservedVersion, RoutedQuery, observed_versions, routed_queries
from tealwing.lab.rig.history import Event


def explaining_version(site: str, at: float, min_version: int, chain: Sequence[ObservedVersion]) -> int:
    """Return the first version from `min_version` on that sends to the site and was proposed by `at`; 0: none."""
    return next((v.number for v in chain if v.number >= min_version and v.site == site and v.proposed <= at), 0)


def assign_versions(events: Sequence[Event]) -> tuple[list[RoutedQuery], list[ObservedVersion]]:
    """Return the queries, each with its minimum version and the one explaining its answer; and versions in force."""
    chain = [version for version in observed_versions(events).values() if version.in_force]
    queries = routed_queries(events)
    times, seen = list[float](), list[int]()  # from times[i] on, version seen[i] is known to be in force
    for one in sorted(queries, key=lambda one: one.until):
        before = bisect_left(times, one.query.begin)
        one.min_version = seen[before - 1] if before else 0
        if not one.answered:
            continue
        one.first = explaining_version(one.answered, one.until, one.min_version, chain)
        if one.first > (seen[-1] if seen else 0):
            times.append(one.until)
            seen.append(one.first)
    return queries, chain


def older_version(site: str, at: float, min_version: int, chain: Sequence[ObservedVersion]) -> int:
    """Return the last version before `min_version` that sends to the site and was proposed by `at`; 0: none."""
    return max((v.number for v in chain if v.number < min_version and v.site == site and v.proposed <= at), default=0)


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return a `late-old` for each query decided under an older version than one that had answered before it began."""
    queries, chain = assign_versions(events)
    found = []
    for one in queries:
        at = [(t, site, "reached an engine of") for t, site in one.reached]
        at += [(one.until, one.answered, "was answered by")] if one.answered else []
        for t, site, how in at:
            if not explaining_version(site, t, one.min_version, chain) and (
                older := older_version(site, t, one.min_version, chain)
            ):
                found.append(Violation(
                    "late-old", t, f"{one.query.process}: a query begun at {one.query.begin:.3f} s {how} {site}, as"
                    f" version {older} says; version {one.min_version} had answered before it began"
                ))  # fmt: skip
                break
    return found
