"""One hollow gateway: the real control side, with a record in place of the gateway's decisions."""

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
    """Stands for the gateway's decisions, and records when each version came in force."""

    def __init__(self, members: int) -> None:
        settings = site.settings(members)
        self._settings = dataclasses.replace(settings, limits=dataclasses.replace(settings.limits, peer_messages=True))
        self.in_force: dict[int, float] = {}  # monotonic time by version; the system's clock, the same in all processes

    @property
    def platform_settings(self) -> api.Settings:
        """What the configuration would say."""
        return self._settings

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """No engines."""
        return ()

    @property
    def sections(self) -> frozenset[str]:
        """Sections of the operators' file that are on."""
        return frozenset({"peers", "replica", "rules"})

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Note the time."""
        self.in_force[version] = time.monotonic()


class HollowMember:
    """One member of the fleet."""

    def __init__(self, host: Host, name: str) -> None:
        """peers.errors.LinkError where its address can't be had or its disk can't be trusted."""
        self.name = name
        directory = Path(host.folder) / name
        directory.mkdir(parents=True, exist_ok=True)
        plan = specification.peers_plan(host.fleet, name, host.control_ports.get(name))
        self.gateway = RecordingGateway(len(host.fleet.members))
        self.peering = Peering(plan, specification.replica_plan(directory))
        self.peering.follow_rules(specification.rules_plan(host.fleet), self.gateway)

    def start(self) -> None:
        """Take part from now on; threads.NoThread where the system has none."""
        self.peering.start()

    def stop(self) -> None:
        """Take part no more."""
        self.peering.stop()
