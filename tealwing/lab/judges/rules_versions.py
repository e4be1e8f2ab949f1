"""Judges the versions themselves: immutable, the same everywhere, none lost, none undecided in the end; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import IN_FORCE, NEVER, ObservedVersion, observed_versions
from tealwing.lab.rig.history import Event, Operation, operations


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """What must not have happened to the versions."""
    return [*_immutable(events), *_ends(events, end), *_lost(events, end)]


def _immutable(events: Sequence[Event]) -> list[Violation]:
    found = []
    first: dict[int, Event] = {}
    for event in events:
        if event["kind"] != "version":
            continue
        known = first.setdefault(event["number"], event)
        if known["digest"] != event["digest"]:
            what = f"version {event['number']} is {event['digest']} at {event['process']}"
            found.append(Violation("changed", event["t"], f"{what}, and was {known['digest']} at {known['process']}"))
    for number, version in observed_versions(events).items():
        if version.in_force and any(_denies(events, version, phase) for phase in version.phases):
            reported = [f"{phase} by {', '.join(sorted(who))}" for phase, who in sorted(version.phases.items())
                    if phase in (*NEVER, *IN_FORCE)]  # fmt: skip
            what = f"version {number} is said to be {'; '.join(reported)}"
            found.append(Violation("divergent", _when(events, number), what))
    return found


def _denies(events: Sequence[Event], version: ObservedVersion, phase: str) -> bool:
    """Whether a phase denies that the version was ever in force.

    A federation whose sites hold goes on without one that is lost; that one's own no, in its own log, comes too late.
    """
    if phase != "rejected" or not any(e["kind"] == "rules" and e["lost_touch"] == "hold" for e in events):
        return phase in NEVER
    log_of = {e["process"]: e.get("log", "") for e in events if e["kind"] == "version"}
    in_force = {log_of[name] for held in IN_FORCE for name in version.phases.get(held, ())}
    return bool(in_force & {log_of[name] for name in version.phases[phase]})


def _when(events: Sequence[Event], number: int) -> float:
    return max(float(event["t"]) for event in events if event["kind"] == "version" and event["number"] == number)


def _ends(events: Sequence[Event], end: float) -> list[Violation]:
    """In the end all processes hold the same, and nothing is under way: events `rules-end`, one a process."""
    found = [Violation("stuck", event["t"], f"all was healed, and no change came into force: {event['why']}")
             for event in events if event["kind"] == "rules-stuck"]  # fmt: skip
    ends = [event for event in events if event["kind"] == "rules-end"]
    if not ends:
        return [Violation("divergent", end, "no process told its versions in the end")]
    for one in ends:
        if one["active"] != ends[0]["active"] or one["in_force"] != one["active"]:
            found.append(Violation("divergent", one["t"], f"{one['process']} has {one['active']} in force, and decides"
                                   f" by {one['in_force']}; {ends[0]['process']} has {ends[0]['active']}"))  # fmt: skip
        for number, digest in one["digests"].items():
            if ends[0]["digests"].get(number, digest) != digest:
                found.append(Violation("divergent", one["t"], f"{one['process']} keeps {digest} as {number}"))
        if one["in_flight"]:
            found.append(Violation("undecided", one["t"], f"{one['process']}: version {one['in_flight']} is still"
                                   " under way"))  # fmt: skip
    return found


def activated(events: Sequence[Event]) -> list[Operation]:
    """The changes whose proposer was told that they are in force."""
    return [op for op in operations(events, "change") if op.word == "ok" and op.result.get("phase") in IN_FORCE]


def _lost(events: Sequence[Event], end: float) -> list[Violation]:
    """Changes that a proposer was told to be in force, and that the end does not have so."""
    versions = observed_versions(events)
    marks: dict[int, set[str]] = {}
    for event in events:
        if event["kind"] == "version":
            marks.setdefault(event["number"], set()).add(event["mark"])
    final = max((event["active"] for event in events if event["kind"] == "rules-end"), default=0)
    found = []
    for change in activated(events):
        number = change.result["version"]
        retained = number in versions and versions[number].in_force and marks[number] == {change.fields["mark"]}
        if final < number or not retained:
            found.append(Violation("lost", end, f"{change}: version {number} was in force, and is gone"))
    return found
