"""Check the replicas: the same state at each index, one leader per term, and an applied index that never decreases."""

from __future__ import annotations

from collections.abc import Sequence

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations: `divergent`, `two-leaders` and `applied-back`."""
    found = []
    digests = [event for event in events if event["kind"] == "digest"]
    for one in digests[1:]:
        first = next(each for each in digests if _same(each, one) and each["applied"] == one["applied"])
        if one["digest"] != first["digest"]:
            found.append(
                Violation("divergent", one["t"], f"{one['process']} has digest {one['digest']} at {one['applied']},"
                          f" {first['process']} has {first['digest']} there")
            )  # fmt: skip
    led: dict[str, tuple[str, str]] = {}  # by log and term: the leader, and the process that reported it
    applied: dict[tuple[str, int], int] = {}  # by process and boot
    for sample in events:
        if sample["kind"] not in ("sample", "terms"):
            continue
        log = sample.get("log", "")
        if sample.get("role") == "leader":
            _lead(led, f"{log} {sample['term']}".strip(), sample["process"], sample["process"], sample["t"], found)
        for term, leader in sample.get("leaders", {}).items():
            _lead(led, f"{log} {term}".strip(), leader, sample["process"], sample["t"], found)
        if "applied" in sample:
            start = sample["process"], sample["boot"]
            if sample["applied"] < applied.get(start, 0):
                found.append(Violation("applied-back", sample["t"], f"{start[0]} had applied {applied[start]} entries,"
                                       f" and then {sample['applied']}"))  # fmt: skip
            applied[start] = sample["applied"]
    if not digests or any(event["kind"] == "copies-differ" for event in events):
        found.append(
            Violation("divergent", end, "the replicas did not converge to the same state by the end of the trial")
        )
    return found


def _same(one: Event, other: Event) -> bool:
    """Return whether both events are of one log: each site of a federation has its own."""
    return bool(one.get("log") == other.get("log"))


def _lead(led: dict[str, tuple[str, str]], term: str, leader: str, by: str, at: float, found: list[Violation]) -> None:
    known = led.setdefault(term, (leader, by))
    if known[0] != leader:
        what = f"term {term} has two leaders: {leader} according to {by}, {known[0]} according to {known[1]}"
        found.append(Violation("two-leaders", at, what))
