"""What a gateway does for the fleet's changes beside its own part: as the leader of the log, and as a witness."""

from __future__ import annotations

from tealwing.peers.link import Link
from tealwing.replica import commands as c
from tealwing.replica.service.node import Replica
from tealwing.rollout.conductor import Conductor, Witnesses
from tealwing.rollout.plan import Plan
from tealwing.rollout.seen import Seen
from tealwing.rules import records

SILENT_BEATS = 2.0  # beats of the link without a sign of life after which a peer counts as silent
HURRY = (records.Propose, records.Close, records.Activate, records.Abort, records.Withdraw)  # others wait for these


class Leading:
    """The conductor and the witness with their surroundings."""

    def __init__(self, plan: Plan, replica: Replica, link: Link) -> None:
        self._replica, self._link, self._name = replica, link, link.plan.name
        self._conductor = Conductor(self._name, plan.limit, plan.patience, seed=replica.incarnation)
        self._witnesses = Witnesses(self._name, seed=replica.incarnation)
        self.leads = False

    def applied(self, now: float, index: int, body: records.Body, ok: bool) -> None:
        """An entry was applied; on the replica's thread, and with `due` never at once."""
        if self.leads and ok and isinstance(body, HURRY):
            self._replica.broadcast_commit()  # followers learn it at once, not with the next beat
        self._witnesses.applied(now, index, body)

    @property
    def is_waiting(self) -> bool:
        """Whether permits of a member that has lapsed are waited for."""
        return self._witnesses.is_waiting

    def due(self, now: float, seen: Seen) -> list[records.Witness]:
        """What we can witness now."""
        return self._witnesses.due(now, seen.tables)

    def conduct(self, now: float, seen: Seen) -> None:
        """Propose what the leader is to."""
        self._conductor.lead(now, self.leads)
        if not self.leads:
            return
        silent = self._silent(now, seen) if seen.me.flight is not None else []
        for body in self._conductor.look(now, seen.tables, silent):
            self._replica.propose_if_leader(c.encode(c.Command("", 0, body)))

    def _silent(self, now: float, seen: Seen) -> list[str]:
        """Names of the members that are not heard on the link, or whose copy of the log takes nothing more."""
        limit, core = SILENT_BEATS * self._link.plan.times.beat, self._replica.core
        heard = {peer["name"] for peer in self._link.status()
                 if peer["silence_s"] is not None and peer["silence_s"] <= limit}  # fmt: skip
        for name, progress in list(core.progress.items()):
            if name in core.members and now - progress.last_contact >= self._replica.plan.election_timeout:
                heard.discard(name)
        return [name for name in seen.members if name not in heard and name != self._name]
