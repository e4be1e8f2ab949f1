"""Check registers: reads and writes of each key are linearizable, and no acknowledged write is lost; pure.

Every write has a unique value, so the test of Gibbons and Korach ("Testing Shared Memories", 1997) decides this exactly
and fast. The operations of one value form a cluster. The register must have had that value from the first end to the
last begin of the cluster (a forward zone), or, if all its operations overlap, at some moment in between (a backward
zone). The history is linearizable if no two forward zones overlap and no backward zone lies within a forward zone.
A write whose outcome is unknown may take effect at any later time or never: it counts once its value has been read.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, Operation, operations

NOTHING = None  # the value of a key before its first write


@dataclass(slots=True)
class Cluster:
    """The operations of one value of one key."""

    value: Any
    write: Operation | None
    reads: list[Operation]

    @property
    def first_end(self) -> float:
        """Return when the first operation of the cluster ended."""
        ends: list[float] = [op.end for op in self.reads]
        if self.write is not None:
            ends.append(self.write.end)
        elif self.value is NOTHING:
            ends.append(-inf)  # the register was empty before every operation
        return min(ends, default=inf)

    @property
    def last_begin(self) -> float:
        """Return when the last operation of the cluster began."""
        begins: list[float] = [op.begin for op in self.reads]
        if self.write is not None:
            begins.append(self.write.begin)
        elif self.value is NOTHING:
            begins.append(-inf)
        return max(begins, default=-inf)


def clusters(found: Sequence[Operation]) -> tuple[list[Cluster], list[Violation]]:
    """Return the clusters of one key's operations, and violations: values read before their write, or never written."""
    by_value: dict[Any, Cluster] = {NOTHING: Cluster(NOTHING, None, [])}
    bad = []
    for op in found:
        if op.op == "put" and op.outcome != "fail":
            by_value[op.fields["value"]] = Cluster(op.fields["value"], op, [])
    for op in found:
        if op.op != "get" or op.outcome != "ok":
            continue
        cluster = by_value.get(op.result["value"])
        if cluster is None:
            bad.append(Violation("invented", op.end, f"{op} returned {op.result['value']!r}, which no client wrote"))
            continue
        if cluster.write is not None and op.end < cluster.write.begin:
            bad.append(Violation("stale", op.end, f"{op} returned {cluster.value!r} before it was written"))
        cluster.reads.append(op)
    retained = [c for c in by_value.values() if c.write is None or c.write.outcome == "ok" or c.reads]
    return retained, bad


def check_key(key: str, found: Sequence[Operation]) -> list[Violation]:
    """Return the violations of linearizability for one key."""
    all_, bad = clusters(found)
    forward = sorted((c for c in all_ if c.first_end < c.last_begin), key=lambda c: c.first_end)
    backward = [c for c in all_ if c.first_end >= c.last_begin]
    for one, other in itertools.pairwise(forward):
        if other.first_end < one.last_begin:
            bad.append(
                Violation("stale", one.last_begin, f"{key}: {one.value!r} was read until {one.last_begin:.3f} s,"
                          f" and {other.value!r} as early as {other.first_end:.3f} s")
            )  # fmt: skip
    for cluster in backward:
        for zone in forward:
            if zone.first_end < cluster.last_begin and cluster.first_end < zone.last_begin:
                bad.append(
                    Violation("stale", cluster.last_begin, f"{key}: {cluster.value!r} was read or written between"
                              f" two operations on {zone.value!r}")
                )  # fmt: skip
                break
    return bad


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """Return the violations: `invented`, `stale` and `lost`."""
    by_key: dict[str, list[Operation]] = {}
    for op in operations(events, "put", "get"):
        if not op.fields.get("marked_stale"):
            by_key.setdefault(op.fields["key"], []).append(op)
    found = [violation for key, ops in by_key.items() for violation in check_key(key, ops)]
    return found + [Violation("lost", end, f"{write}: acknowledged, and missing at the end") for write in lost(events)]


def lost(events: Sequence[Event]) -> list[Operation]:
    """Return the acknowledged writes that the last reads show to be lost.

    The last read of a key, after all faults have ended, returns some value. A write that began after that value's write
    had ended must have replaced it; if it was acknowledged, it is lost.
    """
    writes: dict[str, list[Operation]] = {}
    last: dict[str, Any] = {}
    for op in operations(events, "put", "get"):
        if op.op == "put" and op.outcome != "fail":
            writes.setdefault(op.fields["key"], []).append(op)
        elif op.op == "get" and op.fields.get("last") and op.outcome == "ok":
            last[op.fields["key"]] = op.result["value"]
    gone = []
    for key, value in last.items():
        final = next((op for op in writes.get(key, ()) if op.fields["value"] == value), None)
        after = -inf if value is NOTHING else final.end if final is not None else inf
        gone += [op for op in writes.get(key, ()) if op.outcome == "ok" and op.begin > after]
    return gone
