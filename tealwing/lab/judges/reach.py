"""Network reachability over time, from the faults in a history: which link directions were open when; pure."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from tealwing.lab.rig.history import Event, intervals

Span = tuple[float, float]


class Reachability:
    """When each link direction was cut, and when each process was down or silent."""

    def __init__(self, events: Sequence[Event], end: float) -> None:
        self.cut: dict[tuple[str, str], list[Span]] = {}
        self.down: dict[str, list[Span]] = {}  # killed until ready again, or stopped
        self.silenced: dict[str, list[Span]] = {}  # killed until started again, or stopped: the process sends nothing
        self.disturbed: list[Span] = []  # when some link lost or delayed frames
        starts = [(event["who"], event["t"]) for event in events if event["kind"] == "starting"]
        for what, fields, begin, over in intervals(events, end):
            if "cuts" in fields:
                for source, target in fields["cuts"]:
                    self.cut.setdefault((source, target), []).append((begin, over))
            elif what in ("kill", "stop"):
                self.down.setdefault(fields["who"], []).append((begin, over))
                again = [t for name, t in starts if name == fields["who"] and begin <= t <= over]
                self.silenced.setdefault(fields["who"], []).append((begin, min(again, default=over)))
            elif what == "link":
                self.disturbed.append((begin, over))

    def is_cut(self, source: str, target: str, begin: float, end: float) -> bool:
        """Return whether the direction was cut for the whole interval."""
        return any(a <= begin and end <= b for a, b in self.cut.get((source, target), ()))

    def is_healthy(self, source: str, target: str, begin: float, end: float) -> bool:
        """Return whether the direction was open, both processes up and all links undisturbed for the whole interval."""
        bad = [
            *self.cut.get((source, target), ()),
            *self.down.get(source, ()),
            *self.down.get(target, ()),
            *self.disturbed,
        ]
        return all(b < begin or a > end for a, b in bad)

    def silence(self, source: str, target: str, at: float) -> float:
        """Return for how many seconds before `at` no frame from the source could reach the target; 0 if one could."""
        since = inf
        for a, b in [*self.cut.get((source, target), ()), *self.silenced.get(source, ())]:
            if a <= at <= b:
                since = min(since, a)
        return at - since if since < inf else 0.0
