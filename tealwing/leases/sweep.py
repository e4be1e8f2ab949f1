"""The first fleet-wide task: drains whose cut-off is long over are forgotten, by one gateway for all."""

from __future__ import annotations

import time

from tealwing import log
from tealwing.leases.keeper import Held, Keeper
from tealwing.replica import commands as c
from tealwing.replica.node import Replica, Unavailable, Unknown

NAME = "sweep-drains"
TTL = 5.0  # s: a sweep that is late by that much harms nobody
EVERY = 1.0  # s between two sweeps
KEPT_MS = 60_000  # ms after its cut-off for which a drain is remembered: longer than any news of it is late
WAIT = 2.0  # s for one command


def begin(keeper: Keeper, replica: Replica) -> None:
    """Want the task's lease, and sweep while it is held; every command is fenced by its token."""

    def sweep(held: Held) -> None:
        while held.valid():
            now = int(time.time() * 1e3)
            with replica.lock:
                drains = list(replica.state.tables["drains"].values())
            for drain in drains:
                if drain.cutoff + KEPT_MS > now or not held.valid():
                    continue
                body = c.Drain(drain.engine, drain.started, over=True)
                try:
                    result = replica.write(c.Command("", 0, body, held.fence()), WAIT)
                except (Unknown, Unavailable):
                    break
                log.event("drain_swept", engine=drain.engine, ok=result.ok, why=result.why)
            held.wait(EVERY)

    keeper.task(NAME, TTL, sweep)
