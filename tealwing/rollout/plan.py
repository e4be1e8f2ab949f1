"""What the operators' section `rules` says, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.rules.records import PartitionMode

SABOTAGES = ("early-open", "no-permit", "guess-after-close", "start-from-disk", "site-early")


@dataclass(frozen=True, slots=True)
class Plan:
    """How this gateway takes part in changes of the rules. Durations are seconds."""

    partition_mode: PartitionMode = "serve"  # what it does when cut off from the others
    permit: float = 2.0  # hold: how long a permit lasts
    limit: float = 5.0  # a change that is not covered by then is aborted
    patience: float = 0.5  # silence of a member after which a change goes on without it (hold)
    queue: int = 64  # requests that may wait closed, at most
    sabotage: str = ""  # laboratory only: what is broken on purpose
