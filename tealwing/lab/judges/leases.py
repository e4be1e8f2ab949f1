"""Check leases by the actions at a resource: no two holders act at once, and no action uses an older token; pure.

An action's interval is from when its holder began it to when the resource accepted it. The tenure of a token is from
the begin of its first accepted action to the end of its last one.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event


@dataclass(slots=True)
class Tenure:
    """The accepted actions under one token: when they began and ended (s of the trial), and their number."""

    name: str
    token: int
    begin: float
    end: float
    actions: int = 1


def tenures(events: Sequence[Event]) -> list[Tenure]:
    """Return the tenures, sorted by begin."""
    found: dict[tuple[str, int], Tenure] = {}
    for act in events:
        if act["kind"] != "act" or not act["accepted"]:
            continue
        key, begin = (act["name"], act["token"]), act["t"] - act["took"]
        if (tenure := found.get(key)) is None:
            found[key] = Tenure(*key, begin, act["t"])
        else:
            tenure.begin, tenure.end, tenure.actions = min(tenure.begin, begin), act["t"], tenure.actions + 1
    return sorted(found.values(), key=lambda tenure: tenure.begin)


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations: `stale-accepted`, `overlap` and `token`."""
    found = []
    newest: dict[str, int] = {}
    for act in events:
        if act["kind"] == "act" and act["accepted"]:
            if act["token"] < newest.get(act["name"], 0):
                found.append(
                    Violation("stale-accepted", act["t"], f"{act['name']}: an action was accepted with token"
                              f" {act['token']} after one with token {newest[act['name']]}")
                )  # fmt: skip
            newest[act["name"]] = max(act["token"], newest.get(act["name"], 0))
    last: dict[str, Tenure] = {}
    for tenure in tenures(events):
        before = last.get(tenure.name)
        if before is not None and tenure.begin < before.end:
            found.append(
                Violation("overlap", tenure.begin, f"{tenure.name}: token {tenure.token} was used from"
                          f" {tenure.begin:.3f} s, and token {before.token} until {before.end:.3f} s")
            )  # fmt: skip
        if before is not None and tenure.token < before.token:
            found.append(
                Violation("token", tenure.begin, f"{tenure.name}: token {tenure.token} was used after {before.token}")
            )
        if before is None or tenure.end > before.end:
            last[tenure.name] = tenure
    return found


def idle(events: Sequence[Event], begin: float, end: float) -> list[float]:
    """Return the gaps between accepted actions of any holder in s, sorted, the longest last."""
    times = sorted((act["t"] - act["took"], act["t"]) for act in events if act["kind"] == "act" and act["accepted"])
    times = [span for span in times if begin <= span[1] <= end]
    gaps, until = [], begin
    for start, over in times:
        gaps.append(max(0.0, start - until))
        until = max(until, over)
    return sorted([*gaps, max(0.0, end - until)])


def handovers(events: Sequence[Event]) -> list[float]:
    """Return the times from the last action of a tenure to the first of the next in s, sorted."""
    found = tenures(events)
    return sorted(max(0.0, b.begin - a.end) for a, b in itertools.pairwise(found) if a.name == b.name)
