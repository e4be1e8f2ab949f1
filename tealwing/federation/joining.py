"""Puts a gateway's part in the federation's log together."""

from __future__ import annotations

import dataclasses

from tealwing.federation.plan import Plan
from tealwing.federation.shell import Federation
from tealwing.peers.control import Control
from tealwing.peers.link import Link
from tealwing.replica.group import FEDERATION
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.replica.service.control import ReplicaControl
from tealwing.replica.service.node import Replica


def join(
    plan: Plan, site: Replica, site_plan: ReplicaPlan, link: Link, control: Control | None, patience: float
) -> Federation:
    """Before either log's member starts; what its disk says is known when this returns. patience is s.

    storage.StorageError or OSError where its disk can't be trusted or read, ValueError where the plan does not fit.
    """
    misfit(plan, link)
    group = dataclasses.replace(FEDERATION, members=plan.voting() + plan.learning(), learners=plan.learning())
    own = dataclasses.replace(
        site_plan, directory=plan.folder, heartbeat_interval=plan.beat, election_timeout=plan.election, join=False
    )
    replica = Replica(own, link, site.clock, group=group)
    if control is not None:
        ReplicaControl(replica, control, "federation")
    return Federation(plan, site, replica, link, site.clock, patience)


def misfit(plan: Plan, link: Link) -> None:
    """ValueError where the sites' gateways are not those of the section `peers`."""
    peers = {name for name, _ in link.plan.members}
    sited = {name for _, members in plan.sites for name in members}
    if alone := sorted(peers - sited):
        raise ValueError(f"{', '.join(alone)} of the section peers has no site; allowed: a site for each")
    if unknown := sorted(sited - peers):
        raise ValueError(f"{', '.join(unknown)} has no member line in the section peers; allowed: one for each")
