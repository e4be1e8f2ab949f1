"""Control of the gate, which follows the state machine and opens only once the version is active at this gateway.

The reasons of `current` also name a metric of readiness: keep their wording.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from tealwing import log
from tealwing.rollout.admission import gate as gates
from tealwing.rollout.agent.actions import GateState
from tealwing.rules.records import PartitionMode


class AllRequests:
    """Filter for a change whose affected requests are unknown: all."""

    def includes(self, cls: str, tenant: str, group: int) -> bool:
        """Return True."""
        return True


ALL_REQUESTS = AllRequests()


class RulesAdapter(Protocol):
    """The gateway as the rollout uses it; texts are bundles, empty if no version is active."""

    def faults(self, text: bytes) -> list[str]:
        """Return the faults that make a bundle invalid at every gateway."""

    def verdict(self, before: bytes, text: bytes, min_build: int) -> tuple[bool, str]:
        """Return whether this gateway can replace the bundle `before` by `text`, and the reasons if not."""

    def affected_requests(self, before: bytes, after: bytes) -> gates.RequestFilter:
        """Return the requests that a change affects."""

    def put_in_force(self, number: int, text: bytes) -> None:
        """Decide new requests under a version. Raises ValueError, with nothing changed, if it does not fit here."""


class GateControl:
    """Applies the machine's gate states; called under the runtime's lock on any thread, and never blocks."""

    def __init__(self, gate: gates.Gate, partition_mode: PartitionMode) -> None:
        self.gate, self._holds = gate, partition_mode == "hold"
        self.in_force = 0  # number of the version active at this gateway; 0: the configured settings
        self.applied: GateState | None = None  # the gate state applied last
        self.unusable = ""  # why the version to activate can't be activated at this gateway
        self._state: tuple[object, ...] = ()
        self._closed: tuple[int, float] | None = None  # the version that the gate is closed for, and since when
        # affected requests of the change in flight, by the versions before and after it
        self._affected: dict[tuple[int, int], gates.RequestFilter] = {}

    @property
    def is_open(self) -> bool:
        """Whether the gate is open, apart from the permit."""
        return self._state == ("open",)

    def current(self) -> tuple[str, str]:
        """Return the mode (open, closed or shut) and its reason."""
        target = self.applied
        if target is None or target.mode == "shut":
            return "shut", target.reason if target is not None else "the rules are not known here yet"
        if target.number != self.in_force:
            return ("shut", self.unusable) if self.unusable else ("closed", f"version {target.number} comes into force")
        return target.mode, target.reason

    @property
    def closed_for(self) -> float:
        """Seconds since the gate closed for a version whose outcome is open; 0 if there is none."""
        return time.monotonic() - self._closed[1] if self._closed else 0.0

    def knows_affected(self, before: int, after: int) -> bool:
        """Return whether the affected requests of a change are known."""
        return (before, after) in self._affected

    def set_affected(self, before: int, after: int, affected: gates.RequestFilter) -> None:
        """Set the affected requests of the change in flight."""
        self._affected = {(before, after): affected}

    def apply(self, target: GateState, phase: Callable[[int], str]) -> None:
        """Apply a gate state; phase returns the phase of a version."""
        before, self.applied = self.applied, target
        if target.closing and (self._closed is None or self._closed[0] != target.closing):
            self._log_opened(phase)
            self._closed = target.closing, time.monotonic()
            log.event("rules_closed", number=target.closing, under=target.number, reason=target.reason)
        if target.mode == "shut":
            self._set(("shut", target.reason), lambda: self.gate.shut(target.reason))
        elif target.number != self.in_force and self.unusable:
            self._set(("shut", self.unusable), lambda: self.gate.shut(self.unusable))
        elif target.number != self.in_force:  # requests wait until the version is active
            self._set(("closed", ALL_REQUESTS), lambda: self.gate.close(ALL_REQUESTS))
        elif target.mode == "closed":
            affected = self._affected.get((target.number, target.closing), ALL_REQUESTS)
            self._set(("closed", affected), lambda: self.gate.close(affected))
            self.gate.permit(target.until)  # only after the gate has closed
        else:
            if not target.closing:
                self._log_opened(phase)
            self.gate.permit(target.until)
            self._set(("open",), self.gate.open)
        if before is None or (before.mode == "shut") != (target.mode == "shut"):
            self._log_transition(target, before is None)

    def _set(self, state: tuple[object, ...], change: Callable[[], None]) -> None:
        if state != self._state:
            self._state = state
            change()

    def _log_opened(self, phase: Callable[[int], str]) -> None:
        if self._closed is not None:
            held = (time.monotonic() - self._closed[1]) * 1e3
            log.event("rules_opened", number=self._closed[0], outcome=phase(self._closed[0]), held_ms=round(held, 2))
            self._closed = None

    def _log_transition(self, target: GateState, first: bool) -> None:
        if target.mode == "shut":
            log.event("permit_lost" if self._holds and not first else "rules_shut", why=target.reason,
                      number=target.number)  # fmt: skip
        else:
            log.event("permit_gained" if self._holds else "rules_known", number=target.number)
