"""Which versions of the rules a history shows: what each says, when it was proposed, what became of it; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from tealwing.lab.rig.history import Event, Operation, operations

IN_FORCE = ("active", "superseded")  # phases of a version that is or was in force
NEVER = ("rejected", "aborted", "withdrawn")  # phases of one that never will be


@dataclass(slots=True)
class ObservedVersion:
    """One version, as processes showed it."""

    number: int
    site: str  # to which it sends the groups that move
    proposed: float = 0.0  # s: not before this, as far as is known
    phases: dict[str, set[str]] = field(default_factory=dict)  # with the processes that said so

    @property
    def in_force(self) -> bool:
        """Whether anybody ever said that it is or was."""
        return any(phase in IN_FORCE for phase in self.phases)


def observed_versions(events: Sequence[Event]) -> dict[int, ObservedVersion]:
    """The versions by number: events `version` have process, number, digest, phase, site and mark (of the proposal)."""
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
    """One query of a group that changes move, and what it shows: each engine's site with the time it was there."""

    query: Operation
    reached: list[tuple[float, str]] = field(default_factory=list)  # s, site: the query came to an engine
    answered: str = ""  # the site whose rows the client has
    min_version: int = 0  # of the versions in force, that it must be decided under or later
    first: int = 0  # the earliest that explains its answer; 0: none does

    @property
    def until(self) -> float:
        """When the client had its answer."""
        return self.query.end if self.answered else inf


def routed_queries(events: Sequence[Event]) -> list[RoutedQuery]:
    """The queries of moving groups by their begin; an engine knows a query by its id, `call`."""
    found = [RoutedQuery(query) for query in operations(events, "query") if query.fields.get("moves")]
    by_call = {one.query.fields["call"]: one for one in found}
    for one in found:
        if one.query.word == "ok" and one.query.result["word"] == "served":
            one.answered = one.query.result["site"]
    for event in events:
        if event["kind"] == "seen" and (reached := by_call.get(event["call"])) is not None:
            reached.reached.append((event["t"], event["site"]))
    return found
