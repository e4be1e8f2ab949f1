"""Status of versions at this gateway: log events of their outcomes, and answers to operators."""

from __future__ import annotations

import threading
import time
from typing import Any

from tealwing import log
from tealwing.rollout.admission.gate import GateMetrics
from tealwing.rollout.observed_state import ObservedState
from tealwing.rules.records import Version

FAILED = ("rejected", "aborted", "withdrawn")


class RolloutStatus:
    """Tracks the version in flight, and since when it has been in its phase."""

    def __init__(self, state: ObservedState) -> None:
        self._lock = threading.Lock()
        self._active = state.facts.active_number
        # number and phase of the version in flight, and since when it is in that phase
        self._in_flight: tuple[int, str, float] | None = None
        self.update(state)

    def update(self, state: ObservedState) -> None:
        """Log the outcomes that an applied entry brought."""
        before, flight = self._in_flight, state.view.in_flight
        now = time.monotonic()
        with self._lock:
            if flight is None:
                self._in_flight = None
            elif before is None or before[:2] != (flight.number, flight.phase):
                self._in_flight = flight.number, flight.phase, now
        if before is not None and (found := state.version(before[0])) and found.phase in FAILED:
            log.event("rules_aborted", number=found.number, phase=found.phase, why=found.outcome)
        if state.facts.active_number != self._active:
            self._active = state.facts.active_number
            if (active := state.version(self._active)) is not None:
                log.event(
                    "rules_active", number=self._active, who=active.author, why=active.reason, index=active.phase_index
                )

    def status(self, state: ObservedState) -> dict[str, Any]:
        """Return the versions and members for operators, as applied at this gateway."""
        with self._lock:
            since = self._in_flight
        flight = state.view.in_flight
        under_way = None
        if flight is not None:
            took = time.monotonic() - since[2] if since is not None and since[0] == flight.number else 0.0
            under_way = version_status(flight) | {"for_s": round(took, 3), "waits_for": state.waits_for()}
        return {
            "active": state.facts.active_number,
            "last": state.facts.last_number,
            "applied": state.index,
            "in_flight": under_way,
            "members": [
                {
                    "name": name,
                    "lost_touch": member.partition_mode,
                    "start": member.start,
                    "build": member.build,
                    "closed": member.closed_for,
                    "lapsed": member.expiry_index,
                    "over": member.expiry_confirmed,
                    "leaving": member.leaving,
                    "permit_s": member.permit / 1e3,
                }
                for name, member in sorted(state.members.items())
            ],
        }


def version_status(found: Version) -> dict[str, Any]:
    """Return a version for operators, without its text."""
    return {
        "number": found.number, "parent": found.parent, "phase": found.phase, "digest": found.digest,
        "who": found.author, "when_ms": found.created_ms, "why": found.reason, "outcome": found.outcome,
        "federated": found.federated, "needs": found.min_build, "index": found.index, "changed": found.phase_index,
        "said": {name: {"yes": verdict.accepted, "reason": verdict.reason} for name, verdict in found.verdicts.items()},
    }  # fmt: skip


def gate_metrics(found: GateMetrics) -> dict[str, Any]:
    """Return the gate's counters for operators."""
    return {"held": found.held, "turned": found.rejected, "waiting": found.waiting,
            "longest_ms": round(found.max_wait * 1e3, 2)}  # fmt: skip
