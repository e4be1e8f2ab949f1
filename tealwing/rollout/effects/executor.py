"""What a gateway does for its machine: the disk, the check, putting in force. On one thread, none under the lock."""

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

RETRY_BACKOFF = (0.1, 2.0)  # s between two tries to put a version in force, least and most
MAX_REASON_LENGTH = 500  # characters of a fault in a check


def read_marker(marker: PersistedMarker) -> int:
    """The number on disk. OSError where it can't be read for another reason than damage."""
    try:
        return marker.read()
    except MarkerDamagedError as error:
        log.event("rules_marker_damaged", error=str(error), remedy=error.remedy)
        return HOLD_MARKER  # nothing is decided from this disk before the log has told what there is


class EffectExecutor:
    """lock is round the machine and the steering; follow, called under it, has the gate follow the machine."""

    def __init__(
        self,
        machine: Machine,
        marker: PersistedMarker,
        rules: RulesAdapter,
        gate_control: GateControl,
        lock: threading.Lock,
        follow: Callable[[], None],
    ) -> None:
        self._machine, self._marker, self._rules, self._gate_control = machine, marker, rules, gate_control
        self._lock, self._follow = lock, follow
        self._retry_backoff, self._next_try = Backoff(*RETRY_BACKOFF), 0.0  # of putting in force what could not be
        self._marker_failed = False

    def persist_marker(self, number: int) -> None:
        """Have it on disk. Where that fails nothing is told, and the machine asks for it again."""
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
        """This gateway's word on a version."""
        found = state.version(number)
        if found is None:
            return
        try:
            accepted, reason = self._rules.verdict(state.text(state.facts.active_number), found.text, found.min_build)
        except Exception as error:  # what it can't read it can't put in force
            accepted, reason = False, f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
        log.event("rules_verdict", number=number, yes=accepted, reason=reason)
        with self._lock:
            self._machine.checked(number, accepted, reason)

    def activate(self, observed_state: Callable[[], ObservedState]) -> None:
        """Decide under the version that the machine names; until that is done the gate lets nobody in."""
        with self._lock:
            self._follow()
            control = self._gate_control
            target = control.followed.number if control.followed is not None else 0
            log.check_invariant(target == control.in_force or not control.is_open, "nobody is let in meanwhile")
        if target == control.in_force or time.monotonic() < self._next_try:
            return
        try:
            self._rules.put_in_force(target, observed_state().text(target))
        except Exception as error:  # whatever it is: the gateway must not open under another version
            reason = f"version {target} of the rules can't be put in force here: {error}"
            if reason != control.unusable:
                log.event("rules_unusable", number=target, error=str(error), remedy="install the build that took it, or"
                          " propose a version that this gateway can put in force")  # fmt: skip
            self._next_try = time.monotonic() + self._retry_backoff.next()
            with self._lock:
                control.unusable = reason
                self._follow()
            return
        self._retry_backoff.reset()
        with self._lock:
            control.in_force, control.unusable = target, ""
            self._follow()

    def update_affected(self, state: ObservedState) -> None:
        """Narrow what is closed to what the change touches; worked out as soon as the version is proposed."""
        active, flight = state.facts.active_number, state.view.in_flight
        if flight is None or self._gate_control.knows_affected(active, flight.number):
            return
        try:
            affected = self._rules.affected_requests(state.text(active), flight.text)
        except Exception as error:  # another build's, perhaps: then all of it waits
            log.event("rules_affected_unknown", number=flight.number, error=str(error))
            affected = ALL_REQUESTS
        with self._lock:
            self._gate_control.set_affected(active, flight.number, affected)
            self._follow()
