"""Check the versions: immutable, the same at all processes, none lost, and none undecided at the end; pure."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.judges.versions import IN_FORCE, NEVER, ObservedVersion, observed_versions
from tealwing.lab.rig.history import Event, Operation, operations


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations: `changed`, `divergent`, `stuck`, `undecided` and `lost`."""
    return [*_immutable(events), *_ends(events, end), *_lost(events, end)]


def _immutable(events: Sequence[Event]) -> list[Violation]:
    found = []
    first: dict[int, Event] = {}
    for event in events:
        if event["kind"] != "version":
            continue
        known = first.setdefault(event["number"], event)
        if known["digest"] != event["digest"]:
            what = f"version {event['number']} has the digest {event['digest']} at {event['process']}"
            found.append(Violation("changed", event["t"], f"{what}, and had {known['digest']} at {known['process']}"))
    for number, version in observed_versions(events).items():
        if version.in_force and any(_denies(events, version, phase) for phase in version.phases):
            reported = [f"{phase} by {', '.join(sorted(who))}" for phase, who in sorted(version.phases.items())
                    if phase in (*NEVER, *IN_FORCE)]  # fmt: skip
            what = f"version {number} is reported as {'; '.join(reported)}"
            found.append(Violation("divergent", _when(events, number), what))
    return found


def _denies(events: Sequence[Event], version: ObservedVersion, phase: str) -> bool:
    """Return whether a phase contradicts that the version was ever in force.

    With `lost-touch hold`, a federation proceeds without a lost site; that site's later rejection, in its own log, does
    not contradict.
    """
    if phase != "rejected" or not any(e["kind"] == "rules" and e["lost_touch"] == "hold" for e in events):
        return phase in NEVER
    log_of = {e["process"]: e.get("log", "") for e in events if e["kind"] == "version"}
    in_force = {log_of[name] for held in IN_FORCE for name in version.phases.get(held, ())}
    return bool(in_force & {log_of[name] for name in version.phases[phase]})


def _when(events: Sequence[Event], number: int) -> float:
    return max(float(event["t"]) for event in events if event["kind"] == "version" and event["number"] == number)


def _ends(events: Sequence[Event], end: float) -> list[Violation]:
    """Check that at the end all processes agree and no version is in flight, by their events `rules-end`."""
    found = [Violation("stuck", event["t"], f"no change came into force after the faults ended: {event['why']}")
             for event in events if event["kind"] == "rules-stuck"]  # fmt: skip
    ends = [event for event in events if event["kind"] == "rules-end"]
    if not ends:
        return [Violation("divergent", end, "no process reported its versions at the end of the trial")]
    for one in ends:
        if one["active"] != ends[0]["active"] or one["in_force"] != one["active"]:
            found.append(Violation("divergent", one["t"], f"{one['process']} has version {one['active']} active, and"
                                   f" decides under {one['in_force']}; {ends[0]['process']} has"
                                   f" {ends[0]['active']}"))  # fmt: skip
        for number, digest in one["digests"].items():
            if ends[0]["digests"].get(number, digest) != digest:
                found.append(
                    Violation("divergent", one["t"], f"{one['process']} has the digest {digest} for version {number}")
                )
        if one["in_flight"]:
            found.append(Violation("undecided", one["t"], f"{one['process']}: version {one['in_flight']} is still"
                                   " in flight"))  # fmt: skip
    return found


def activated(events: Sequence[Event]) -> list[Operation]:
    """Return the changes that were reported to their proposer as in force."""
    return [op for op in operations(events, "change") if op.outcome == "ok" and op.result.get("phase") in IN_FORCE]


def _lost(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations `lost`: changes reported to their proposer as in force that are missing at the end."""
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
            found.append(Violation("lost", end, f"{change}: version {number} was in force, and is missing at the end"))
    return found
