"""Figures that several loads take from a history; pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from tealwing.lab.rig.history import Event, operations


def percentile(values: Sequence[float], share: float) -> float | None:
    """The value that so large a share of the sorted values does not pass; None of none."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 3)


def failover_ms(events: Sequence[Event]) -> list[float]:
    """For each fault that took the leader away: ms until a write that began after it was acknowledged."""
    found = []
    writes = sorted((op for op in operations(events, "put") if op.word == "ok"), key=lambda op: op.end)
    for event in events:
        if event["kind"] != "fault" or not event.get("leader"):
            continue
        leader = event["leader"]
        hit = event.get("who") == leader and event["what"] in ("kill", "stop", "isolate")
        hit = hit or (event["what"] == "partition" and any(a == leader for a, _ in event["cuts"]))
        if not hit:
            continue
        done = next((op.end for op in writes if op.begin > event["t"]), None)
        if done is not None:
            found.append((done - event["t"]) * 1e3)
    return sorted(found)


def catchup_ms(events: Sequence[Event]) -> list[float]:
    """For each process that came back: ms until it had applied what was committed when it did."""
    found = []
    committed, waiting = 0, dict[str, tuple[float, int]]()
    for event in events:
        if event["kind"] == "ready":
            waiting[event["process"]] = event["t"], committed
        elif event["kind"] == "sample" and "applied" in event:
            committed = max(committed, event["commit"])
            begun = waiting.get(event["process"])
            if begun is not None and event["applied"] >= begun[1]:
                found.append((event["t"] - begun[0]) * 1e3)
                del waiting[event["process"]]
    return sorted(found)


def returned(events: Sequence[Event], lost: float | None) -> dict[str, Any]:
    """How service came back after a power loss, in ms.

    ready_ms: from when a process has its power back until its readiness says yes. quorum_ms: from when a majority has
    it back until a write that began after the loss is acknowledged. full_ms: from when the last has it back until all
    have caught up.
    """
    if lost is None:
        return {}
    back = {event["who"][0]: event["t"] for event in events if event["kind"] == "power" and event["what"] == "back"}
    ready: dict[str, float] = {}
    member: dict[str, float] = {}
    for event in events:
        name = event.get("process", "")
        if event["t"] < back.get(name, 1e9):
            continue
        if event["kind"] == "readiness" and event["word"].startswith("ready") and name not in ready:
            ready[name] = event["t"]
        if event["kind"] == "sample" and event.get("phase") == "member" and name not in member:
            member[name] = event["t"]
    took = sorted((ready[name] - back[name]) * 1e3 for name in ready)
    majority = sorted(back.values())[len(back) // 2] if back else lost
    first = min((op.end for op in operations(events, "put") if op.word == "ok" and op.begin > lost), default=None)
    return {
        "ready": len(ready),
        "ready_ms_p50": percentile(took, 0.5),
        "ready_ms_max": percentile(took, 1.0),
        "ready_spread_ms": round((max(ready.values()) - min(ready.values())) * 1e3) if ready else None,
        "quorum_ms": None if first is None else round((first - majority) * 1e3, 1),
        "full_ms": round((max(member.values()) - max(back.values())) * 1e3, 1) if len(member) == len(back) else None,
    }
