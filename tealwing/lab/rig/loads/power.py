"""The load for a power loss of all processes: registers, a lease, clients' queries and readiness."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tealwing.lab.judges import clients, copies, leases, register, views
from tealwing.lab.rig.history import Event, operations
from tealwing.lab.rig.loads.base import Checker, Clients
from tealwing.lab.rig.loads.lease import LeaseLoad
from tealwing.lab.rig.loads.metrics import returned
from tealwing.lab.rig.loads.queries import GatewayClients
from tealwing.lab.rig.loads.register import RegisterLoad

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial


class PowerLoad:
    """Runs registers, a lease, clients' queries and readiness checks together, for a power loss of all processes."""

    checkers: Sequence[Checker] = (register.check, leases.check, copies.check, views.check, clients.check)

    def __init__(self) -> None:
        self._registers, self._leases, self._clients = RegisterLoad(), LeaseLoad(), Clients()
        self._gateways = GatewayClients(self._clients.stopped)

    def start(self, trial: Trial) -> None:
        """Start the registers, the lease, and one query client and one readiness watcher per gateway."""
        self._registers.start(trial)
        self._leases.start(trial)
        for name in trial.names:
            self._clients.spawn(lambda name=name: self._gateways.run_queries(trial, name), f"load-q-{name}")  # type: ignore[misc]
            self._clients.spawn(lambda name=name: self._gateways.watch_readiness(trial, name), f"load-ready-{name}")  # type: ignore[misc]

    def stop(self) -> None:
        """Begin no further operations of any part, and wait for the open ones."""
        self._clients.stop()
        self._registers.stop()
        self._leases.stop()

    def finish(self, trial: Trial) -> None:
        """Record the final state of the lease and of the registers."""
        self._leases.finish(trial, standalone=False)
        self._registers.finish(trial)

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return what was kept, which queries were refused, and how service recovered."""
        found = self._registers.summary(events)
        lost = next((event["t"] for event in events if event["kind"] == "power" and event["what"] == "lost"), None)
        writes = [op for op in operations(events, "put") if op.outcome == "ok"]
        queries = operations(events, "query")
        leased = self._leases.summary(events)
        summary: dict[str, Any] = {
            "acknowledged_before": sum(1 for op in writes if lost is not None and op.end < lost),
            **{key: found[key] for key in ("operations", "acknowledged", "lost", "stale_reads", "divergent")},
            "split_brain": found["two_leaders"] + leased["overlaps"] + leased["stale_accepted"],
            "queries": len(queries),
            "queries_served": sum(1 for op in queries if op.outcome == "ok" and op.result["word"] == "served"),
            "refused_for_quorum": len(clients.rejected_queries(events)),
            "lease_idle_ms_max": leased["idle_ms_max"],
        }
        return summary | returned(events, lost)
