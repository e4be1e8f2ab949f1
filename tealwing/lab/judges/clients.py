"""Judges what clients of the gateways heard: nobody is refused, failed or left alone for want of a quorum; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, Operation, intervals, operations


def rejected_queries(events: Sequence[Event]) -> list[Operation]:
    """The queries that a gateway which lived all the while did not serve."""
    down: dict[str, list[tuple[float, float]]] = {}
    for what, fields, begin, end in intervals(events, float("inf")):
        if what in ("kill", "stop"):
            down.setdefault(fields["who"], []).append((begin, end))
    found = []
    for query in operations(events, "query"):
        if query.word == "ok" and query.result["word"] == "served":
            continue
        if query.word == "unknown" and "t" not in query.result:  # it was open as the trial ended
            continue
        over = query.result["t"]
        if all(end < query.begin or begin > over for begin, end in down.get(query.process, ())):
            found.append(query)
    return found


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """One violation for each."""
    found = []
    for query in rejected_queries(events):
        answer = query.result.get("word", query.word)
        why = query.result.get("text") or query.result.get("why")
        found.append(Violation("clients", query.result["t"], f"{query.process} lived, and a query was {answer}: {why}"))
    return found
