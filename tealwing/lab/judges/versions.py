"""The versions of the rules in a history: target site, time of the proposal, phases; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from tealwing.lab.rig.history import Event, Operation, operations

IN_FORCE = ("active", "superseded")  # phases of a version that is or was in force
NEVER = ("rejected", "aborted", "withdrawn")  # phases of one that never will be


@dataclass(slots=True)
class ObservedVersion:
    """One version of the rules, as the processes reported it."""

    number: int
    site: str  # where the version sends the moving groups
    proposed: float = 0.0  # s: earliest time of the proposal; 0 if unknown
    phases: dict[str, set[str]] = field(default_factory=dict)  # by phase: the processes that reported it

    @property
    def in_force(self) -> bool:
        """Return whether any process reported that the version is or was in force."""
        return any(phase in IN_FORCE for phase in self.phases)


def observed_versions(events: Sequence[Event]) -> dict[int, ObservedVersion]:
    """Return the versions by number. Events `version` have process, number, digest, phase, site and change mark."""
    begun = {change.fields["mark"]: change.begin for change in operations(events, "change")}
    found: dict[int, ObservedVersion] = {}
    for event in events:
        if event["kind"] == "version":
            one = found.setdefault(
                event["number"], ObservedVersion(event["number"], event["site"], begun.get(event.get("mark"), 0.0))
            )  # fmt: skip
            one.phases.setdefault(event["phase"], set()).add(event["process"])
    return dict(sorted(found.items()))


@dataclass(slots=True)
class RoutedQuery:
    """One query of a moving group (changes alter its site), with the sites of the engines that it reached."""

    query: Operation
    reached: list[tuple[float, str]] = field(default_factory=list)  # s, site: when the query reached an engine of it
    answered: str = ""  # the site whose rows the client received; empty: no answer
    min_version: int = 0  # the oldest version that may decide it: the newest known to be in force when it began
    first: int = 0  # the earliest version that explains its answer; 0: none

    @property
    def until(self) -> float:
        """Return when the client received its answer; inf if it received none."""
        return self.query.end if self.answered else inf


def routed_queries(events: Sequence[Event]) -> list[RoutedQuery]:
    """Return the queries of moving groups; engines report the id `call` of each query that reaches them."""
    found = [RoutedQuery(query) for query in operations(events, "query") if query.fields.get("moves")]
    by_call = {one.query.fields["call"]: one for one in found}
    for one in found:
        if one.query.outcome == "ok" and one.query.result["word"] == "served":
            one.answered = one.query.result["site"]
    for event in events:
        if event["kind"] == "seen" and (reached := by_call.get(event["call"])) is not None:
            reached.reached.append((event["t"], event["site"]))
    return found
