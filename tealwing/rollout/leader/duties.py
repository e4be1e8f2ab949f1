"""Duties of a gateway in rollouts beyond its own member: as the log's leader, and as observer of permit expiry."""

from __future__ import annotations

from tealwing.peers.link import Link
from tealwing.replica import commands as c
from tealwing.replica.service.node import Replica
from tealwing.rollout.leader.coordinator import RolloutCoordinator
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rollout.observed_state import ObservedState
from tealwing.rollout.plan import Plan
from tealwing.rules import records

SILENT_HEARTBEATS = 2.0  # heartbeats without a message after which a peer counts as silent
# commands that all members wait for: their commit is broadcast at once
EXPEDITED = (
    records.Propose,
    records.Close,
    records.Activate,
    records.Abort,
    records.Withdraw,
)


class LeaderDuties:
    """Connects the coordinator and the expiry observer to the log and the peers' link."""

    def __init__(self, plan: Plan, replica: Replica, link: Link) -> None:
        self._replica, self._link, self._name = replica, link, link.plan.name
        self._coordinator = RolloutCoordinator(self._name, plan.limit, plan.patience, seed=replica.incarnation)
        self._expiry_observer = ExpiryObserver(self._name, seed=replica.incarnation)
        self.is_leader = False

    def applied(self, now: float, index: int, body: records.Body, ok: bool) -> None:
        """Handle an applied entry; on the replica's thread, never concurrently with due_confirmations."""
        if self.is_leader and ok and isinstance(body, EXPEDITED):
            self._replica.broadcast_commit()  # followers learn the commit index before the next heartbeat
        self._expiry_observer.applied(now, index, body)

    @property
    def is_waiting(self) -> bool:
        """Whether the expiry of some member is unconfirmed."""
        return self._expiry_observer.is_waiting

    def due_confirmations(self, now: float, state: ObservedState) -> list[records.ConfirmExpiry]:
        """Return the confirmations of expiry that are due."""
        return self._expiry_observer.due(now, state.tables)

    def propose_next(self, now: float, state: ObservedState) -> None:
        """Propose the leader's next commands, if this member leads."""
        self._coordinator.set_leading(now, self.is_leader)
        if not self.is_leader:
            return
        silent = self._silent(now, state) if state.view.in_flight is not None else []
        for body in self._coordinator.step(now, state.tables, silent):
            self._replica.propose_if_leader(c.encode(c.Command("", 0, body)))

    def _silent(self, now: float, state: ObservedState) -> list[str]:
        """Return the members that are silent on the link, or whose replica acknowledges nothing."""
        limit, core = SILENT_HEARTBEATS * self._link.plan.times.heartbeat, self._replica.core
        reachable = {peer["name"] for peer in self._link.status()
                 if peer["silence_s"] is not None and peer["silence_s"] <= limit}  # fmt: skip
        for name, progress in list(core.progress.items()):
            if name in core.members and now - progress.last_contact >= self._replica.plan.election_timeout:
                reachable.discard(name)
        return [name for name in state.members if name not in reachable and name != self._name]
