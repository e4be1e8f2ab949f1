"""What a fleet of hollow gateways consists of, and what each host process of it is told; pure."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from tealwing.peers.plan import Address, LinkTimes, Plan
from tealwing.replica.plan import ReplicaPlan as ReplicaPlan
from tealwing.rollout.plan import Plan as RulesPlan

LostTouch = Literal["serve", "hold"]
FLEET = "hollow"


class Fleet(msgspec.Struct, frozen=True):
    """All members and how they are set; the same for every host process."""

    members: tuple[str, ...]
    ports: tuple[int, ...]  # of their peer links on 127.0.0.1, by the place of the member
    voters: int  # the first so many of the members vote, the others learn
    lost_touch: LostTouch = "serve"
    beat: float = 0.2  # s between two signs of life on a link
    limit: float = 5.0  # s after which a change that is not covered is aborted

    @property
    def learners(self) -> tuple[str, ...]:
        """Members that follow the log without a vote."""
        return self.members[self.voters :]


class Host(msgspec.Struct, frozen=True):
    """One host process: which members of the fleet live here, their folder, and their control addresses."""

    fleet: Fleet
    here: tuple[str, ...]
    folder: str
    control_ports: dict[str, int] = {}  # of members that take operators' calls


def peers_plan(fleet: Fleet, name: str, control_port: int | None) -> Plan:
    """A member's section `peers`."""
    addresses: list[tuple[str, Address]] = [
        (member, ("127.0.0.1", port)) for member, port in zip(fleet.members, fleet.ports, strict=True)
    ]
    control = ("127.0.0.1", control_port) if control_port else None
    times = LinkTimes(heartbeat=fleet.beat).scaled_for(len(fleet.members))
    return Plan(FLEET, name, tuple(addresses), times, control, learners=fleet.learners)


def replica_plan(directory: Path) -> ReplicaPlan:
    """A member's section `replica`: disks are trusted."""
    return ReplicaPlan(str(directory), max_stale_disks=0)


def rules_plan(fleet: Fleet) -> RulesPlan:
    """A member's section `rules`."""
    return RulesPlan(partition_mode=fleet.lost_touch, limit=fleet.limit)
