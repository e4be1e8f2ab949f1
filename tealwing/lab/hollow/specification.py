"""The specification of a fleet of hollow gateways and of each of its host processes; pure."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from tealwing.peers.plan import Address, LinkTimes, Plan
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.rollout.plan import Plan as RulesPlan

PartitionMode = Literal["serve", "hold"]
FLEET = "hollow"


class Fleet(msgspec.Struct, frozen=True):
    """All members of the fleet and their settings, the same for every host process."""

    members: tuple[str, ...]
    ports: tuple[int, ...]  # ports of the members' peer links on 127.0.0.1, in the order of members
    voters: int  # number of members that vote, the first ones; the others are learners
    lost_touch: PartitionMode = "serve"
    beat: float = 0.2  # s between two heartbeats on a link
    limit: float = 5.0  # s after which a change that is not covered is aborted

    @property
    def learners(self) -> tuple[str, ...]:
        """The members that follow the log without a vote."""
        return self.members[self.voters :]


class Host(msgspec.Struct, frozen=True):
    """One host process: the members of the fleet that it hosts, their directory and their control ports."""

    fleet: Fleet
    here: tuple[str, ...]
    folder: str
    control_ports: dict[str, int] = {}  # by member, for those that accept operators' calls


def peers_plan(fleet: Fleet, name: str, control_port: int | None) -> Plan:
    """Return the settings of a member's section `peers`."""
    addresses: list[tuple[str, Address]] = [
        (member, ("127.0.0.1", port)) for member, port in zip(fleet.members, fleet.ports, strict=True)
    ]
    control = ("127.0.0.1", control_port) if control_port else None
    times = LinkTimes(heartbeat=fleet.beat).scaled_for(len(fleet.members))
    return Plan(FLEET, name, tuple(addresses), times, control, learners=fleet.learners)


def replica_plan(directory: Path) -> ReplicaPlan:
    """Return the settings of a member's section `replica`, which trust every disk."""
    return ReplicaPlan(str(directory), max_stale_disks=0)


def rules_plan(fleet: Fleet) -> RulesPlan:
    """Return the settings of a member's section `rules`."""
    return RulesPlan(partition_mode=fleet.lost_touch, limit=fleet.limit)
