"""Waits for a change of the rules to be at some point of its way, so that a fault can meet it there."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from tealwing.peers.control import ControlClient, RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

LOOK = 0.001  # s between two looks: a phase lasts some ms where links are quick
IDLE_LOOK = 0.02  # s between two looks whether changes are under way
LIMIT = 0.25  # s that a look waits for its answer


def wait_idle(trial: Trial, names: Sequence[str], within: float) -> bool:
    """Wait until no change is under way at any of the processes, and all have one version in force; whether so."""
    end = time.monotonic() + within
    while time.monotonic() < end and not trial.calm.is_set():
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
        time.sleep(IDLE_LOOK)
    return False


def wait(trial: Trial, phase: str, names: Sequence[str], within: float) -> bool:
    """Wait until one of the processes says that a change is in that phase; whether one did in time.

    `active` waits for a version that was not in force at that process as the wait began.
    """
    callers: dict[str, ControlClient] = {}
    before: dict[str, int] = {}
    end = time.monotonic() + within
    try:
        while time.monotonic() < end and not trial.calm.is_set():
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
            time.sleep(LOOK)
        return False
    finally:
        for caller in callers.values():
            caller.close()
