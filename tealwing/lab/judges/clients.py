"""Check the clients' queries: a gateway that stays up serves every query, with or without a quorum; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, Operation, intervals, operations


def rejected_queries(events: Sequence[Event]) -> list[Operation]:
    """Return the queries that were not served although their gateway was up from begin to end."""
    down: dict[str, list[tuple[float, float]]] = {}
    for what, fields, begin, end in intervals(events, float("inf")):
        if what in ("kill", "stop"):
            down.setdefault(fields["who"], []).append((begin, end))
    found = []
    for query in operations(events, "query"):
        if query.outcome == "ok" and query.result["word"] == "served":
            continue
        if query.outcome == "unknown" and "t" not in query.result:  # the query was still open when the trial ended
            continue
        over = query.result["t"]
        if all(end < query.begin or begin > over for begin, end in down.get(query.process, ())):
            found.append(query)
    return found


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return one violation for each query that a running gateway did not serve."""
    found = []
    for query in rejected_queries(events):
        answer = query.result.get("word", query.outcome)
        why = query.result.get("text") or query.result.get("why")
        found.append(
            Violation("clients", query.result["t"], f"{query.process} was up, and a query to it was {answer}: {why}")
        )
    return found
