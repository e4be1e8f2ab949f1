"""Figures that several loads compute from a history; pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from tealwing.lab.rig.history import Event, operations


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return the percentile of the sorted values for a share from 0 to 1; None if there are no values."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 3)


def failover_ms(events: Sequence[Event]) -> list[float]:
    """Return, for each fault that removed the leader, the ms until a write begun after it was acknowledged; sorted."""
    found = []
    writes = sorted((op for op in operations(events, "put") if op.outcome == "ok"), key=lambda op: op.end)
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
    """Return, for each process that became ready, the ms until it had applied the entries committed by then; sorted."""
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
    """Return how service recovered after a power loss at time `lost`; times are in ms.

    ready_ms: from the return of a process's power until it reports ready. quorum_ms: from the return of power to a
    majority until a write begun after the loss is acknowledged. full_ms: from the return of power to the last process
    until all have caught up.
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
    first = min((op.end for op in operations(events, "put") if op.outcome == "ok" and op.begin > lost), default=None)
    return {
        "ready": len(ready),
        "ready_ms_p50": percentile(took, 0.5),
        "ready_ms_max": percentile(took, 1.0),
        "ready_spread_ms": round((max(ready.values()) - min(ready.values())) * 1e3) if ready else None,
        "quorum_ms": None if first is None else round((first - majority) * 1e3, 1),
        "full_ms": round((max(member.values()) - max(back.values())) * 1e3, 1) if len(member) == len(back) else None,
    }
