"""Assemble the parts with which a gateway takes part in the federation's log."""

from __future__ import annotations

import dataclasses

from tealwing.federation.plan import Plan
from tealwing.federation.service import Federation
from tealwing.peers.control import ControlServer
from tealwing.peers.link import Link
from tealwing.replica.group import FEDERATION
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.replica.service.control import ReplicaControl
from tealwing.replica.service.node import Replica


def join(
    plan: Plan, site: Replica, site_plan: ReplicaPlan, link: Link, control: ControlServer | None, silence_timeout: float
) -> Federation:
    """Assemble the federation's replica, loaded from its disk, and the service; call it before either replica starts.

    silence_timeout is the silence in s after which a site's permits are expired. Raises StorageError or OSError if the
    disk can't be trusted or read, and ValueError if the plan does not match the section `peers`.
    """
    check_members(plan, link)
    group = dataclasses.replace(
        FEDERATION, members=plan.initial_voters() + plan.initial_learners(), learners=plan.initial_learners()
    )
    replica_plan = dataclasses.replace(
        site_plan,
        directory=plan.directory,
        heartbeat_interval=plan.heartbeat,
        election_timeout=plan.election_timeout,
        join=False,
    )
    replica = Replica(replica_plan, link, site.clock, group=group)
    if control is not None:
        ReplicaControl(replica, control, "federation")
    return Federation(plan, site, replica, link, site.clock, silence_timeout)


def check_members(plan: Plan, link: Link) -> None:
    """Raise ValueError unless the gateways of all sites are the members of the section `peers`."""
    peers = {name for name, _ in link.plan.members}
    assigned = {name for _, members in plan.sites for name in members}
    if unassigned := sorted(peers - assigned):
        raise ValueError(
            f"members of the section peers without a site: {', '.join(unassigned)}; allowed: one site for each"
        )
    if unknown := sorted(assigned - peers):
        raise ValueError(
            f"gateways without a member line in the section peers: {', '.join(unknown)}; allowed: one for each"
        )
