"""Judges registers: whether reads and writes of each key are linearizable, and what was lost; pure.

Every write has a value of its own, so the test of Gibbons and Korach ("Testing Shared Memories", 1997) decides it
exactly and in little time. The operations of one value are a cluster. Between the first end and the last begin of a
cluster its value must have been the register's (a forward zone), or, if all overlap, at some moment between (a backward
zone). It is linearizable if no two forward zones overlap, and no backward zone lies within a forward one.
A write whose outcome is unknown may take effect at any later time, or never: it counts once it has been read.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

from tealwing.lab.judges.verdict import Violation
from tealwing.lab.rig.history import Event, Operation, operations

NOTHING = None  # the value that was never written


@dataclass(slots=True)
class Cluster:
    """The operations of one value of one key."""

    value: Any
    write: Operation | None
    reads: list[Operation]

    @property
    def first_end(self) -> float:
        """When the first of them had ended."""
        ends: list[float] = [op.end for op in self.reads]
        if self.write is not None:
            ends.append(self.write.end)
        elif self.value is NOTHING:
            ends.append(-inf)  # the empty register was there before all
        return min(ends, default=inf)

    @property
    def last_begin(self) -> float:
        """When the last of them began."""
        begins: list[float] = [op.begin for op in self.reads]
        if self.write is not None:
            begins.append(self.write.begin)
        elif self.value is NOTHING:
            begins.append(-inf)
        return max(begins, default=-inf)


def clusters(found: Sequence[Operation]) -> tuple[list[Cluster], list[Violation]]:
    """The clusters of one key's operations, and reads that can't be."""
    by_value: dict[Any, Cluster] = {NOTHING: Cluster(NOTHING, None, [])}
    bad = []
    for op in found:
        if op.op == "put" and op.word != "fail":
            by_value[op.fields["value"]] = Cluster(op.fields["value"], op, [])
    for op in found:
        if op.op != "get" or op.word != "ok":
            continue
        cluster = by_value.get(op.result["value"])
        if cluster is None:
            bad.append(Violation("invented", op.end, f"{op} gave {op.result['value']!r}, which nobody wrote"))
            continue
        if cluster.write is not None and op.end < cluster.write.begin:
            bad.append(Violation("stale", op.end, f"{op} gave {cluster.value!r} before it was written"))
        cluster.reads.append(op)
    retained = [c for c in by_value.values() if c.write is None or c.write.word == "ok" or c.reads]
    return retained, bad


def check_key(key: str, found: Sequence[Operation]) -> list[Violation]:
    """What can't be, of one key."""
    all_, bad = clusters(found)
    forward = sorted((c for c in all_ if c.first_end < c.last_begin), key=lambda c: c.first_end)
    backward = [c for c in all_ if c.first_end >= c.last_begin]
    for one, other in itertools.pairwise(forward):
        if other.first_end < one.last_begin:
            bad.append(
                Violation("stale", one.last_begin, f"{key}: {one.value!r} was seen until {one.last_begin:.3f} s,"
                          f" and {other.value!r} already at {other.first_end:.3f} s")
            )  # fmt: skip
    for cluster in backward:
        for zone in forward:
            if zone.first_end < cluster.last_begin and cluster.first_end < zone.last_begin:
                bad.append(
                    Violation("stale", cluster.last_begin, f"{key}: {cluster.value!r} is between two looks at"
                              f" {zone.value!r}")
                )  # fmt: skip
                break
    return bad


def check(events: Sequence[Event], end: float) -> list[Violation]:
    """What must not have happened to the registers."""
    by_key: dict[str, list[Operation]] = {}
    for op in operations(events, "put", "get"):
        if not op.fields.get("marked_stale"):
            by_key.setdefault(op.fields["key"], []).append(op)
    found = [violation for key, ops in by_key.items() for violation in check_key(key, ops)]
    return found + [Violation("lost", end, f"{write}: acknowledged and gone") for write in lost(events)]


def lost(events: Sequence[Event]) -> list[Operation]:
    """The acknowledged writes that the last reads show to be gone.

    The last read of a key, after all is healed, gives some value; a write that was acknowledged and had begun only
    after that value's write had ended must have come after it.
    """
    writes: dict[str, list[Operation]] = {}
    last: dict[str, Any] = {}
    for op in operations(events, "put", "get"):
        if op.op == "put" and op.word != "fail":
            writes.setdefault(op.fields["key"], []).append(op)
        elif op.op == "get" and op.fields.get("last") and op.word == "ok":
            last[op.fields["key"]] = op.result["value"]
    gone = []
    for key, value in last.items():
        final = next((op for op in writes.get(key, ()) if op.fields["value"] == value), None)
        after = -inf if value is NOTHING else final.end if final is not None else inf
        gone += [op for op in writes.get(key, ()) if op.word == "ok" and op.begin > after]
    return gone
