"""One hollow gateway: the real control plane, with a recorder in place of the gateway's decisions."""

from __future__ import annotations

import dataclasses
import time
from pathlib import Path
from typing import TYPE_CHECKING

from tealwing import interface as api
from tealwing.fleet.peering import Peering
from tealwing.lab import site
from tealwing.lab.hollow import specification
from tealwing.lab.hollow.specification import Host
from tealwing.routing.table import Table

if TYPE_CHECKING:
    from tealwing.levels.plan import Plan


class RecordingGateway:
    """A stub of the gateway's decisions that records when each version came into force."""

    def __init__(self, members: int) -> None:
        settings = site.settings(members)
        self._settings = dataclasses.replace(settings, limits=dataclasses.replace(settings.limits, peer_messages=True))
        self.in_force: dict[int, float] = {}  # monotonic time by version, comparable between processes of one machine

    @property
    def platform_settings(self) -> api.Settings:
        """The settings that the platform's configuration would hold."""
        return self._settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list, which is empty."""
        return ()

    @property
    def sections(self) -> frozenset[str]:
        """The sections of the operators' file that are enabled."""
        return frozenset({"peers", "replica", "rules"})

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Record the time at which the version came into force."""
        self.in_force[version] = time.monotonic()


class HollowMember:
    """One hollow gateway as a member of the fleet."""

    def __init__(self, host: Host, name: str) -> None:
        """Raises peers.errors.LinkError if the address can't be bound or the disk can't be trusted."""
        self.name = name
        directory = Path(host.folder) / name
        directory.mkdir(parents=True, exist_ok=True)
        plan = specification.peers_plan(host.fleet, name, host.control_ports.get(name))
        self.gateway = RecordingGateway(len(host.fleet.members))
        self.peering = Peering(plan, specification.replica_plan(directory))
        self.peering.follow_rules(specification.rules_plan(host.fleet), self.gateway)

    def start(self) -> None:
        """Start the member's threads; raises ThreadUnavailableError if the system refuses one."""
        self.peering.start()

    def stop(self) -> None:
        """Stop the member's threads."""
        self.peering.stop()
