"""The first fleet-wide task: drains whose cut-off is long over are forgotten, by one gateway for all."""

from __future__ import annotations

import time
from collections.abc import Mapping

from tealwing import log
from tealwing.leases.keeper import Held, Keeper
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

NAME = "sweep-drains"
TTL = 5.0  # s: a sweep that is late by that much harms nobody
EVERY = 1.0  # s between two sweeps
KEPT_MS = 60_000  # ms after its cut-off for which a drain is remembered: longer than any news of it is late
WAIT = 2.0  # s for one command


class Ages:
    """How long the sweeper has known each drain: a wall clock that is stepped must not end one early; pure."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}  # by the drain's key: monotonic s of the first look at it

    def over(self, drains: Mapping[str, c.Drain], now: float) -> list[c.Drain]:
        """The drains whose grace and KEPT_MS have passed since they were first seen; now in monotonic seconds."""
        self._seen = {key: self._seen.get(key, now) for key in drains}
        return [
            drain
            for key, drain in drains.items()
            if now - self._seen[key] >= (max(drain.cutoff - drain.notified, 0) + KEPT_MS) / 1e3
        ]


def begin(keeper: Keeper, replica: Replica) -> None:
    """Want the task's lease, and sweep while it is held; every command is fenced by its token."""

    def sweep(held: Held) -> None:
        ages = Ages()
        while held.valid():
            with replica.lock:
                drains = dict(replica.state.tables["drains"])
            for drain in ages.over(drains, time.monotonic()):
                if not held.valid():
                    break
                body = c.Drain(drain.engine, drain.started, removed=True)
                try:
                    result = replica.write(c.Command("", 0, body, held.fence()), WAIT)
                except (OutcomeUnknownError, UnavailableError):
                    break
                log.event("drain_swept", engine=drain.engine, ok=result.ok, why=result.reason)
            held.wait(EVERY)

    keeper.task(NAME, TTL, sweep)
