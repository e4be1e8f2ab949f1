"""The parsed section `rules` of the operators' file; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.rules.records import PartitionMode

SABOTAGES = ("early-open", "no-permit", "guess-after-close", "start-from-disk", "site-early")


@dataclass(frozen=True, slots=True)
class Plan:
    """How this gateway takes part in rollouts. Durations are in seconds."""

    partition_mode: PartitionMode = "serve"  # behaviour while partitioned from the fleet
    permit: float = 2.0  # hold: duration of a permit
    limit: float = 5.0  # after which a change that is not covered is aborted
    patience: float = 0.5  # silence of a member after which its permits expire (hold)
    queue: int = 64  # maximum of waiting requests
    sabotage: str = ""  # trials only: the injected fault
