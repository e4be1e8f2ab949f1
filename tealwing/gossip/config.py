"""What the operators' section `gossip` says, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip.keys import AllowedKey
from tealwing.gossip.node import Timing

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """One instance's gossip; paths as the file has them."""

    name: str
    listen: Address
    key_path: str
    allowed_keys: tuple[AllowedKey, ...]
    seeds: tuple[Address, ...]
    timing: Timing
    state_path: str | None
    control_path: str | None
