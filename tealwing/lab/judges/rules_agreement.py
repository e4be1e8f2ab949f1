"""Check agreement on versions: queries are decided only under a version that all have agreed to; pure.

`unagreed`: a query was decided under a version that never came into force: rejected, aborted, withdrawn or in flight.
`early-site`: a query was decided under a version before some process had closed for it. This is checked only where all
processes must close (`lost-touch serve`): there the first answer under a version follows every process's first closing.
"""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.rules_order import assign_versions
from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import observed_versions
from tealwing.lab.rig.history import Event

CLOCK_TOLERANCE = 0.01  # s by which times in the processes' logs may differ from the history's clock


def closings(events: Sequence[Event]) -> dict[int, dict[str, float]]:
    """Return by version and process when the process first closed, according to its log (events `gate`)."""
    found: dict[int, dict[str, float]] = {}
    for event in events:
        if event["kind"] == "gate" and event["what"] == "closed":
            of = found.setdefault(event["number"], {})
            of[event["process"]] = min(event["at"], of.get(event["process"], event["at"]))
    return found


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations, at most one of each kind for a query."""
    queries, chain = assign_versions(events)
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
                what = f"version {others[-1]}, never in force, does" if others else "no version does"
                found.append(Violation("unagreed", t, f"{one.query.process}: a query went to {site}, where no version"
                                       f" in force sends it; {what}"))  # fmt: skip
                break
        if serve and one.first and (waits := closed.get(one.first)):
            overdue = max(waits, key=lambda name: waits[name])
            if one.until < waits[overdue] - CLOCK_TOLERANCE:
                found.append(
                    Violation(
                        "early-site",
                        one.until,
                        f"{one.query.process} answered a query under version"
                        f" {one.first}, for which {overdue} closed only at {waits[overdue]:.3f} s",
                    )
                )
    return found
