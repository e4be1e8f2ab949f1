"""What the operators' section `replica` says, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaPlan:
    """One member's part of the replicated state; the members themselves are those of the section `peers`."""

    directory: str
    heartbeat_interval: float = 0.1
    election_timeout: float = 0.6
    max_stale_disks: int = 0
    snapshot_entries: int = 10_000
    leases: bool = False  # whether the fleet-wide tasks run here
    join: bool = False  # empty and waiting to be added, instead of one of the first members
    replace_after: float = 0.0  # s of a voter's silence after which a learner takes its place; 0: never
