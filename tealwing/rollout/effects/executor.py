"""Execute the state machine's actions on marker, checks and activation, on one thread and outside the lock."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from tealwing import log
from tealwing.coordinator.backoff import Backoff
from tealwing.rollout.admission.gate_control import ALL_REQUESTS, GateControl, RulesAdapter
from tealwing.rollout.agent.actions import HOLD_MARKER
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.effects.persisted_marker import MarkerDamagedError, PersistedMarker
from tealwing.rollout.observed_state import ObservedState

RETRY_BACKOFF = (0.1, 2.0)  # s: minimum and maximum between two attempts to activate
MAX_REASON_LENGTH = 500  # characters


def read_marker(marker: PersistedMarker) -> int:
    """Return the marker's number on disk, HOLD_MARKER if the file is damaged. Raises OSError if it can't be read."""
    try:
        return marker.read()
    except MarkerDamagedError as error:
        log.event("rules_marker_damaged", error=str(error), remedy=error.remedy)
        return HOLD_MARKER  # decide nothing from this disk before the log is read


class EffectExecutor:
    """The executor; `lock` guards the machine and the gate control, and `update_gate` is called under it."""

    def __init__(
        self,
        machine: Machine,
        marker: PersistedMarker,
        rules: RulesAdapter,
        gate_control: GateControl,
        lock: threading.Lock,
        update_gate: Callable[[], None],
    ) -> None:
        self._machine, self._marker, self._rules, self._gate_control = machine, marker, rules, gate_control
        self._lock, self._update_gate = lock, update_gate
        self._retry_backoff, self._next_try = Backoff(*RETRY_BACKOFF), 0.0  # of failed activations
        self._marker_failed = False

    def persist_marker(self, number: int) -> None:
        """Write the marker; after a failure the close is not reported, and the machine requests the write again."""
        try:
            self._marker.write(number)
        except OSError as error:
            if not self._marker_failed:
                log.event("rules_marker_failed", number=number, error=str(error))
            self._marker_failed = True
            return
        self._marker_failed = False
        with self._lock:
            self._machine.marker_written(number)

    def check(self, state: ObservedState, number: int) -> None:
        """Check a version's bundle and record the verdict in the machine."""
        found = state.version(number)
        if found is None:
            return
        try:
            accepted, reason = self._rules.verdict(state.text(state.facts.active_number), found.text, found.min_build)
        except Exception as error:  # a bundle that makes the check fail can't be activated
            accepted, reason = False, f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
        log.event("rules_verdict", number=number, yes=accepted, reason=reason)
        with self._lock:
            self._machine.checked(number, accepted, reason)

    def activate(self, observed_state: Callable[[], ObservedState]) -> None:
        """Activate the version that the machine names; the gate admits nothing until then."""
        with self._lock:
            self._update_gate()
            control = self._gate_control
            target = control.applied.number if control.applied is not None else 0
            log.check_invariant(
                target == control.in_force or not control.is_open, "the gate is closed until the version is active"
            )
        if target == control.in_force or time.monotonic() < self._next_try:
            return
        try:
            self._rules.put_in_force(target, observed_state().text(target))
        except Exception as error:  # the gateway must not open under another version
            reason = f"version {target} of the rules can't be put in force here: {error}"
            if reason != control.unusable:
                log.event("rules_unusable", number=target, error=str(error), remedy="install the build that accepted"
                          " the version, or propose one that this gateway can activate")  # fmt: skip
            self._next_try = time.monotonic() + self._retry_backoff.next()
            with self._lock:
                control.unusable = reason
                self._update_gate()
            return
        self._retry_backoff.reset()
        with self._lock:
            control.in_force, control.unusable = target, ""
            self._update_gate()

    def update_affected(self, state: ObservedState) -> None:
        """Compute the affected requests once a version is proposed, so that only those wait when the gate closes."""
        active, flight = state.facts.active_number, state.view.in_flight
        if flight is None or self._gate_control.knows_affected(active, flight.number):
            return
        try:
            affected = self._rules.affected_requests(state.text(active), flight.text)
        except Exception as error:  # such as the format of another build: all requests wait
            log.event("rules_affected_unknown", number=flight.number, error=str(error))
            affected = ALL_REQUESTS
        with self._lock:
            self._gate_control.set_affected(active, flight.number, affected)
            self._update_gate()
