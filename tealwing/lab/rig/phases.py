"""Waits until a change of the rules is in a given phase, so that a fault can be injected there."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from tealwing.peers.control import ControlClient, RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PHASE_POLL = 0.001  # s between two checks for a phase: one lasts only some ms on fast links
IDLE_POLL = 0.02  # s between two checks for changes in flight
LIMIT = 0.25  # s that a call waits for its answer


def wait_idle(trial: Trial, names: Sequence[str], within: float) -> bool:
    """Wait until no process has a change in flight and all have one version in force; return whether they do."""
    end = time.monotonic() + within
    while time.monotonic() < end and not trial.faults_over.is_set():
        found = []
        for name in names:
            caller = trial.caller(name, LIMIT)
            try:
                found.append(caller.call("rules.status", LIMIT))
            except (OSError, RemoteCallError):
                break
            finally:
                caller.close()
        versions = {(status["active"], status["in_force"]) for status in found}
        if len(found) == len(names) and len(versions) == 1 and not any(status["in_flight"] for status in found):
            return True
        time.sleep(IDLE_POLL)
    return False


def wait(trial: Trial, phase: str, names: Sequence[str], within: float) -> bool:
    """Wait until one of the processes reports a change in that phase; return whether one did in time.

    The phase `active` means a version that was not yet in force at that process when the wait began.
    """
    callers: dict[str, ControlClient] = {}
    before: dict[str, int] = {}
    end = time.monotonic() + within
    try:
        while time.monotonic() < end and not trial.faults_over.is_set():
            for name in names:
                if not trial.processes[name].running or trial.processes[name].stopped:
                    continue
                try:
                    if name not in callers:
                        callers[name] = trial.caller(name, LIMIT)
                    found = callers[name].call("rules.status", LIMIT)
                except (OSError, RemoteCallError):
                    if (old := callers.pop(name, None)) is not None:
                        old.close()
                    continue
                first = before.setdefault(name, found["active"])
                flight = found["in_flight"]
                if (flight and flight["phase"] == phase) or (phase == "active" and found["active"] > first):
                    return True
            time.sleep(PHASE_POLL)
        return False
    finally:
        for caller in callers.values():
            caller.close()
