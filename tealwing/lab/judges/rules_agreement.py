"""Judges that a version decides nothing before all have agreed to it, and nothing at all if it never is in force; pure.

`unagreed`: a query was decided by a version that was rejected, aborted or withdrawn, or is still under way.
`early-site`: one was decided by a version before some process had closed for it. That is looked at only where all must
close (`lost-touch serve`): there the first answer under a version comes after the first closing of each process.
"""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.rules_order import assigned
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import observed_versions
from tealwing.lab.rig.history import Event

SLACK = 0.01  # s by which the processes' logs may be off the history's clock


def closings(events: Sequence[Event]) -> dict[int, dict[str, float]]:
    """By version and process: when it first said that it has closed, as its log tells (events `gate`)."""
    found: dict[int, dict[str, float]] = {}
    for event in events:
        if event["kind"] == "gate" and event["what"] == "closed":
            of = found.setdefault(event["number"], {})
            of[event["process"]] = min(event["at"], of.get(event["process"], event["at"]))
    return found


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """One violation for each query."""
    queries, chain = assigned(events)
    all_, closed = observed_versions(events), closings(events)
    serve = any(event["kind"] == "rules" and event["lost_touch"] == "serve" for event in events)
    in_force = {version.number for version in chain}
    found = []
    for one in queries:
        times = [*one.reached, *([(one.until, one.answered)] if one.answered else [])]
        for t, site in times:
            under = [v.number for v in chain if v.site == site and v.proposed <= t]
            others = [n for n, v in all_.items() if n not in in_force and v.site == site and v.proposed <= t]
            if not under:
                what = f"version {others[-1]}, which never was in force" if others else "no version"
                found.append(Violation("unagreed", t, f"{one.query.process}: a query was decided by {site}, as {what}"
                                       " says"))  # fmt: skip
                break
        if serve and one.first and (waits := closed.get(one.first)):
            overdue = max(waits, key=lambda name: waits[name])
            if one.until < waits[overdue] - SLACK:
                found.append(
                    Violation(
                        "early-site",
                        one.until,
                        f"{one.query.process} answered under version"
                        f" {one.first}, for which {overdue} closed at {waits[overdue]:.3f} s",
                    )
                )
    return found
