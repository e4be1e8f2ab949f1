"""The first fleet-wide task: drains whose cut-off is long over are forgotten, by one gateway for all."""

from __future__ import annotations

import time
from collections.abc import Mapping

from tealwing import log
from tealwing.leases.manager import HeldLease, LeaseManager
from tealwing.replica import commands as c
from tealwing.replica.node import Replica, Unavailable, Unknown

LEASE_NAME = "sweep-drains"
LEASE_TTL = 5.0  # s: a sweep that is late by that much harms nobody
SWEEP_INTERVAL = 1.0  # s between two sweeps
RETENTION_MS = 60_000  # ms after its cut-off for which a drain is remembered: longer than any news of it is late
COMMAND_TIMEOUT = 2.0  # s for one command


class DrainAges:
    """How long the sweeper has known each drain: a wall clock that is stepped must not end one early; pure."""

    def __init__(self) -> None:
        self._first_seen: dict[str, float] = {}  # by the drain's key: monotonic s of the first look at it

    def expired(self, drains: Mapping[str, c.Drain], now: float) -> list[c.Drain]:
        """The drains whose grace and KEPT_MS have passed since they were first seen; now in monotonic seconds."""
        self._first_seen = {key: self._first_seen.get(key, now) for key in drains}
        return [
            drain
            for key, drain in drains.items()
            if now - self._first_seen[key] >= (max(drain.cutoff - drain.told, 0) + RETENTION_MS) / 1e3
        ]


def start_sweep(manager: LeaseManager, replica: Replica) -> None:
    """Want the task's lease, and sweep while it is held; every command is fenced by its token."""

    def sweep(held: HeldLease) -> None:
        ages = DrainAges()
        while held.valid():
            with replica.lock:
                drains = dict(replica.state.tables["drains"])
            for drain in ages.expired(drains, time.monotonic()):
                if not held.valid():
                    break
                body = c.Drain(drain.engine, drain.started, over=True)
                try:
                    result = replica.write(c.Command("", 0, body, held.fence()), COMMAND_TIMEOUT)
                except (Unknown, Unavailable):
                    break
                log.event("drain_record_removed", engine=drain.engine, ok=result.ok, why=result.reason)
            held.wait(SWEEP_INTERVAL)

    manager.task(LEASE_NAME, LEASE_TTL, sweep)
