"""Removal of old drain records, a fleet-wide task: the lease holder removes those whose cut-off has long passed."""

from __future__ import annotations

import time
from collections.abc import Mapping

from tealwing import log
from tealwing.leases.manager import HeldLease, LeaseManager
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

LEASE_NAME = "sweep-drains"
LEASE_TTL = 5.0  # s; a sweep may be late by that much
SWEEP_INTERVAL = 1.0  # s between two sweeps
RETENTION_MS = 60_000  # ms for which a record is kept after its cut-off: no notification of a drain is later
COMMAND_TIMEOUT = 2.0  # s for the command that removes one record


class DrainAges:
    """Ages of the drain records by the monotonic clock, so that a step of the wall clock ends none early; pure."""

    def __init__(self) -> None:
        self._first_seen: dict[str, float] = {}  # monotonic time in s at which a record was first seen, by its key

    def expired(self, drains: Mapping[str, c.Drain], now: float) -> list[c.Drain]:
        """Return the drains that were first seen longer ago than their grace time plus RETENTION_MS."""
        self._first_seen = {key: self._first_seen.get(key, now) for key in drains}
        return [
            drain
            for key, drain in drains.items()
            if now - self._first_seen[key] >= (max(drain.cutoff - drain.notified, 0) + RETENTION_MS) / 1e3
        ]


def start_sweep(manager: LeaseManager, replica: Replica) -> None:
    """Acquire the task's lease, and sweep while it is held; every command is fenced by the lease's token."""

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
