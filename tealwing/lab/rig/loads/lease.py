"""The lease load: all processes compete for one lease, and its holder performs actions on a resource."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from tealwing.lab.judges import copies, leases, views
from tealwing.lab.rig.history import Event
from tealwing.lab.rig.loads.base import Checker, Clients, ProcessConnection
from tealwing.lab.rig.loads.metrics import percentile
from tealwing.lab.rig.loads.register import RegisterLoad
from tealwing.lab.standins.resource import Resource
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

LEASE, LEASE_TTL = "lab", 2.0  # s


class LeaseLoad:
    """All processes compete for one lease, and its holder performs actions on a simulated resource."""

    checkers: Sequence[Checker] = (leases.check, copies.check, views.check)

    def __init__(self) -> None:
        self._clients = Clients()
        self._resource: Resource | None = None
        self.careless = False  # deliberate defect: tasks continue after their lease is lost
        self.fenced = True  # whether the resource rejects actions with a stale token
        self._span = (0.0, 0.0)

    def start(self, trial: Trial) -> None:
        """Start the resource, a thread that starts the lease's task in each process, and one that tracks the holder."""
        self._resource = resource = Resource(trial.history.add)
        resource.fenced = self.fenced
        resource.start()
        self._clients.spawn(lambda: self._acquire(trial, resource.address), "load-leases")
        self._clients.spawn(lambda: self._track_holder(trial), "load-holder")
        begun = trial.history.now()
        self._span = begun, begun

    def _acquire(self, trial: Trial, address: str) -> None:
        started_in: dict[str, int] = {}  # process id by name, of the processes that run the task
        while not self._clients.stopped.wait(0.1):
            for name, process in trial.processes.items():
                if not process.running or process.stopped or started_in.get(name) == process.pid:
                    continue
                connection, pid = ProcessConnection(trial, name), process.pid
                try:
                    connection.call(
                        "lease.run", 1.0, name=LEASE, ttl_s=LEASE_TTL, resource=address, careless=self.careless
                    )
                    started_in[name] = pid or 0
                except (RemoteCallError, OSError):
                    pass
                connection.close()

    def _track_holder(self, trial: Trial) -> None:
        """Keep `trial.holder` up to date, for faults that target the holder."""
        while not self._clients.stopped.wait(0.1):
            for name, process in trial.processes.items():
                if not process.running or process.stopped:
                    continue
                connection = ProcessConnection(trial, name)
                with contextlib.suppress(RemoteCallError, OSError):
                    found = connection.call("lease.list", 0.5)["here"]
                    if any(each["name"] == LEASE and each["valid"] for each in found):
                        trial.holder = name
                connection.close()

    def stop(self) -> None:
        """Have no further process acquire the lease; running tasks go on until the resource stops."""
        self._clients.stop()

    def finish(self, trial: Trial, standalone: bool = True) -> None:
        """Let the tasks run for a moment without faults, then record each tenure.

        standalone: whether the load also records the digests of the replicas; as part of another load it does not.
        """
        trial.stopping.wait(2.0)
        self._span = self._span[0], trial.history.now()
        if self._resource is not None:
            self._resource.stop()
        if standalone:
            RegisterLoad().finish(trial)
        holders = {}
        for name in trial.names:
            for event in trial.processes[name].events():
                if event.get("event") == "lease_acquired" and event.get("name") == LEASE:
                    holders[event["token"]] = name
        for tenure in leases.tenures(trial.history.events):
            fields = {"from": tenure.begin, "to": tenure.end, "token": tenure.token, "actions": tenure.actions}
            trial.history.add("held", process=holders.get(tenure.token, "?"), **fields)

    def summary(self, events: Sequence[Event]) -> dict[str, Any]:
        """Return the counts of actions and violations, the handover times and the longest time without a holder."""
        acts = [event for event in events if event["kind"] == "act"]
        rules = Counter(violation.rule for violation in leases.check(events, 0.0))
        moves = [seconds * 1e3 for seconds in leases.handovers(events)]
        gaps = leases.idle(events, *self._span)
        return {
            "operations": len(acts),
            "actions": sum(1 for act in acts if act["accepted"]),
            "overlaps": rules["overlap"],
            "stale_accepted": rules["stale-accepted"] + rules["token"],
            "refused_stale": sum(1 for act in acts if not act["accepted"]),
            "tenures": len(leases.tenures(events)),
            "handover_ms_p50": percentile(moves, 0.5),
            "handover_ms_max": percentile(moves, 1.0),
            "idle_ms_max": round(gaps[-1] * 1e3, 1),
            "divergent": sum(1 for v in copies.check(events, 0.0) if v.rule == "divergent"),
        }
