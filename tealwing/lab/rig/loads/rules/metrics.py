"""Figures about the changes of the rules in a trial, computed from its history; pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from tealwing.lab.judges import rules_agreement, rules_order, rules_versions
from tealwing.lab.judges.versions import observed_versions
from tealwing.lab.rig.history import Event, Operation, intervals, operations
from tealwing.lab.rig.loads.metrics import percentile


def gaps_ms(events: Sequence[Event]) -> list[float]:
    """Return, for each change at each process, the ms from closing to opening its gate by its log; sorted."""
    found, open_ = [], dict[str, tuple[int, float]]()
    for event in sorted((e for e in events if e["kind"] == "gate"), key=lambda e: e["at"]):
        name = event["process"]
        if event["what"] == "closed":
            open_[name] = event["number"], event["at"]
        elif event["what"] == "started":  # a gate closed by a process that has ended since counts as no gap
            open_.pop(name, None)
        elif event["what"] == "opened" and name in open_:
            number, at = open_.pop(name)
            if event["number"] in (number, 0):
                found.append((event["at"] - at) * 1e3)
    return sorted(found)


def undisturbed(events: Sequence[Event], queries: Sequence[Operation]) -> list[Operation]:
    """Return the queries that ended, and during which their gateway was neither down nor stopped."""
    down: dict[str, list[tuple[float, float]]] = {}
    for what, fields, begin, end in intervals(events, float("inf")):
        if what in ("kill", "stop"):
            down.setdefault(fields["who"], []).append((begin, end))
    return [
        query for query in queries if "t" in query.result
        and all(end < query.begin or begin > query.result["t"] for begin, end in down.get(query.process, ()))
    ]  # fmt: skip


def served(query: Operation) -> bool:
    """Return whether the client received its rows."""
    return query.outcome == "ok" and bool(query.result["word"] == "served")


def summary(events: Sequence[Event]) -> dict[str, Any]:
    """Return the figures of the load `rules`."""
    queries, changes = operations(events, "query"), operations(events, "change")
    broken = Counter(
        violation.rule for checker in (rules_order.check, rules_versions.check, rules_agreement.check)
        for violation in checker(events, 0.0)
    )  # fmt: skip
    last = Counter[str]()
    for version in observed_versions(events).values():
        last["activated"] += version.in_force
        for phase in ("aborted", "rejected", "withdrawn"):
            last[phase] += phase in version.phases
    others = [query for query in undisturbed(events, queries) if not query.fields["moves"]]
    gaps = gaps_ms(events)
    decided = sorted((op.end - op.begin) * 1e3 for op in changes if op.outcome == "ok")
    return {
        "operations": len(queries) + len(changes),
        "changes": len(changes),
        **{answer: last[answer] for answer in ("activated", "aborted", "rejected", "withdrawn")},
        "refused_changes": sum(1 for op in changes if op.outcome == "fail"),
        "undecided_at_end": broken["undecided"],
        "late_old": broken["late-old"],
        "early_site": broken["early-site"] + broken["unagreed"],
        "divergent": broken["divergent"] + broken["changed"],
        "lost": broken["lost"],
        "served": sum(1 for query in queries if served(query)),
        "refused_held": sum(1 for q in queries if q.outcome == "ok" and q.result["word"] == "refused"),
        "unserved_moving": sum(1 for q in undisturbed(events, queries) if q.fields["moves"] and not served(q)),
        "availability_untouched": round(sum(map(served, others)) / len(others), 5) if others else None,
        "gaps": len(gaps),
        "gap_ms_p50": percentile(gaps, 0.5),
        "gap_ms_p99": percentile(gaps, 0.99),
        "decide_ms_p50": percentile(decided, 0.5),
        "decide_ms_max": percentile(decided, 1.0),
    }
