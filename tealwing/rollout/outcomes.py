"""What has become of versions, as this gateway applies it: told to the log once, and to operators who ask."""

from __future__ import annotations

import threading
import time
from typing import Any

from tealwing import log
from tealwing.rollout.gate import Figures
from tealwing.rollout.seen import Seen
from tealwing.rules.records import Version

FAILED = ("rejected", "aborted", "withdrawn")


class Outcomes:
    """Follows the version in flight, and since when it is in its phase by our clock."""

    def __init__(self, seen: Seen) -> None:
        self._lock = threading.Lock()
        self._active = seen.facts.active
        self._flight: tuple[int, str, float] | None = None  # number, phase, since when
        self.tell(seen)

    def tell(self, seen: Seen) -> None:
        """Another entry has been applied."""
        before, flight = self._flight, seen.me.flight
        now = time.monotonic()
        with self._lock:
            if flight is None:
                self._flight = None
            elif before is None or before[:2] != (flight.number, flight.phase):
                self._flight = flight.number, flight.phase, now
        if before is not None and (found := seen.version(before[0])) and found.phase in FAILED:
            log.event("rules_aborted", number=found.number, phase=found.phase, why=found.outcome)
        if seen.facts.active != self._active:
            self._active = seen.facts.active
            if (active := seen.version(self._active)) is not None:
                log.event("rules_active", number=self._active, who=active.who, why=active.why, index=active.changed)

    def status(self, seen: Seen) -> dict[str, Any]:
        """Versions and members, as they are applied here."""
        with self._lock:
            since = self._flight
        flight = seen.me.flight
        under_way = None
        if flight is not None:
            took = time.monotonic() - since[2] if since is not None and since[0] == flight.number else 0.0
            under_way = version(flight) | {"for_s": round(took, 3), "waits_for": seen.waits_for()}
        return {
            "active": seen.facts.active, "last": seen.facts.last, "applied": seen.index, "in_flight": under_way,
            "members": [
                {"name": name, "lost_touch": member.lost_touch, "start": member.start, "build": member.build,
                 "closed": member.closed, "lapsed": member.lapsed, "over": member.over, "leaving": member.leaving,
                 "permit_s": member.permit / 1e3}
                for name, member in sorted(seen.members.items())
            ],
        }  # fmt: skip


def version(found: Version) -> dict[str, Any]:
    """A version for operators, without its text."""
    return {
        "number": found.number, "parent": found.parent, "phase": found.phase, "digest": found.digest,
        "who": found.who, "when_ms": found.when, "why": found.why, "outcome": found.outcome,
        "federated": found.federated, "needs": found.needs, "index": found.index, "changed": found.changed,
        "said": {name: {"yes": said.yes, "reason": said.reason} for name, said in found.said.items()},
    }  # fmt: skip


def figures(found: Figures) -> dict[str, Any]:
    """What the gate has done, for operators."""
    return {"held": found.held, "turned": found.turned, "waiting": found.waiting,
            "longest_ms": round(found.longest * 1e3, 2)}  # fmt: skip
