"""The history of a trial: the begin and end of every operation, every fault, and samples, as JSON lines in time order.

Times are seconds since the trial began, on one clock, since all processes run on one machine. The judges read only the
history: what a process reports about itself counts only as its answer to a call.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

Event = dict[str, Any]


class History:
    """Collects events from any thread and writes each one at once."""

    def __init__(self, path: Path | None = None) -> None:
        self._lock = threading.Lock()
        self._begun = time.monotonic()
        self.wall = time.time()  # Unix time of the begin, s; the timestamps of the processes' logs are Unix times
        self._ids = itertools.count(1)
        self._file = path.open("wb") if path is not None else None
        self.events: list[Event] = []

    def now(self) -> float:
        """Return the seconds since the trial began."""
        return time.monotonic() - self._begun

    def add(self, kind: str, **fields: Any) -> Event:
        """Record an event with the current time, and return it."""
        with self._lock:
            event = {"t": round(self.now(), 6), "kind": kind, **fields}
            self.events.append(event)
            if self._file is not None:
                self._file.write(orjson.dumps(event) + b"\n")
        return event

    def invoke(self, op: str, process: str, **fields: Any) -> int:
        """Record the begin of an operation, and return its number."""
        number = next(self._ids)
        self.add("invoke", id=number, op=op, process=process, **fields)
        return number

    def complete(self, number: int, kind: str, **fields: Any) -> None:
        """Record the end of an operation: ok, fail (certainly no effect) or unknown (it may still take effect)."""
        assert kind in ("ok", "fail", "unknown")
        self.add(kind, id=number, **fields)

    def close(self) -> None:
        """Flush and close the file."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def read(path: Path) -> list[Event]:
    """Return the events of a history file."""
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


class Operation:
    """One operation with its begin, its end and its outcome."""

    __slots__ = ("begin", "end", "fields", "id", "op", "outcome", "process", "result")

    def __init__(self, event: Event) -> None:
        self.id, self.op, self.process = event["id"], event["op"], event["process"]
        self.begin: float = event["t"]
        self.end = float("inf")
        self.fields, self.result, self.outcome = event, {}, "unknown"  # type: Event, Event, str

    def __repr__(self) -> str:
        return f"{self.op} {self.id} at {self.process} [{self.begin:.3f}, {self.end:.3f}] {self.outcome}"


def operations(events: Iterable[Event], *ops: str) -> list[Operation]:
    """Return the operations in order of their begins; one that never ended is unknown, and its end is infinite."""
    found: dict[int, Operation] = {}
    for event in events:
        if event["kind"] == "invoke":
            if not ops or event["op"] in ops:
                found[event["id"]] = Operation(event)
        elif event["kind"] in ("ok", "fail", "unknown") and event["id"] in found:
            operation = found[event["id"]]
            operation.outcome, operation.result = event["kind"], event
            if event["kind"] != "unknown":  # an operation with an unknown outcome may still take effect, so stays open
                operation.end = event["t"]
    return list(found.values())


def intervals(events: Iterable[Event], end: float) -> Iterator[tuple[str, dict[str, Any], float, float]]:
    """Yield each fault as (what, fields, begin, end): an instant one ends as it begins, an open one at `end`."""
    open_: dict[Any, Event] = {}
    for event in events:
        if event["kind"] != "fault":
            continue
        key = event.get("span")
        if key is None:
            yield event["what"], event, event["t"], event["t"]
        elif event.get("over"):
            begun = open_.pop(key, None)
            if begun is not None:
                yield begun["what"], begun, begun["t"], event["t"]
        else:
            open_[key] = event
    for event in open_.values():
        yield event["what"], event, event["t"], end
