"""The settings of the section `replica` of the configuration file; pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaPlan:
    """Settings of one member of the replicated log; the members are those of the section `peers`."""

    directory: str
    heartbeat_interval: float = 0.1  # s
    election_timeout: float = 0.6  # s
    max_stale_disks: int = 0
    snapshot_entries: int = 10_000  # entries between two snapshots
    leases: bool = False  # whether this gateway may run the fleet-wide tasks
    join: bool = False  # starts empty and waits to be added, instead of being an initial member
    replace_after: float = 0.0  # s of silence after which a learner replaces a voter; 0: never
