"""A fleet-wide task: the lease holder removes the records of drains whose cut-off has long passed."""

from __future__ import annotations

import time
from collections.abc import Mapping

from tealwing import log
from tealwing.leases.manager import HeldLease, LeaseManager
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

LEASE_NAME = "sweep-drains"
LEASE_TTL = 5.0  # s: a sweep may be late by that much
SWEEP_INTERVAL = 1.0  # s between two sweeps
RETENTION_MS = 60_000  # ms after its cut-off: longer than any notification of it is late
COMMAND_TIMEOUT = 2.0  # s for one command


class DrainAges:
    """The age of each drain's record by the monotonic clock: a step of the wall clock ends none early; pure."""

    def __init__(self) -> None:
        self._first_seen: dict[str, float] = {}  # monotonic s, by the drain's key

    def expired(self, drains: Mapping[str, c.Drain], now: float) -> list[c.Drain]:
        """Return the drains first seen longer than their grace and RETENTION_MS ago; now in monotonic seconds."""
        self._first_seen = {key: self._first_seen.get(key, now) for key in drains}
        return [
            drain
            for key, drain in drains.items()
            if now - self._first_seen[key] >= (max(drain.cutoff - drain.notified, 0) + RETENTION_MS) / 1e3
        ]


def start_sweep(manager: LeaseManager, replica: Replica) -> None:
    """Acquire the task's lease, and sweep while it is held; every command is fenced by its token."""

    def sweep(held: HeldLease) -> None:
        ages = DrainAges()
        while held.valid():
            with replica.lock:
                drains = dict(replica.state.tables["drains"])
            for drain in ages.expired(drains, time.monotonic()):
                if not held.valid():
                    break
                body = c.Drain(drain.engine, drain.started, removed=True)
                try:
                    result = replica.write(c.Command("", 0, body, held.fence()), COMMAND_TIMEOUT)
                except (OutcomeUnknownError, UnavailableError):
                    break
                log.event("drain_record_removed", engine=drain.engine, ok=result.ok, why=result.reason)
            held.wait(SWEEP_INTERVAL)

    manager.task(LEASE_NAME, LEASE_TTL, sweep)
