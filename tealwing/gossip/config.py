"""The section `gossip` of the operators' file as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip.keys import AllowedKey
from tealwing.gossip.messages import Address


@dataclass(frozen=True, slots=True)
class Timing:
    """The protocol's intervals and timeouts in s, and its limit on bytes sent per second."""

    probe_interval: float = 1.0
    probe_timeout: float = 0.3  # for a direct answer to a probe
    gossip_interval: float = 0.2  # between two rounds of rumours
    sync_interval: float = 10.0  # between two comparisons of all members
    max_clock_skew: float = 10.0  # between the Unix clocks of two instances
    max_bytes_per_s: float = 16384.0


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """One instance's gossip configuration; paths are as written in the operators' file."""

    name: str
    listen: Address
    key_path: str
    allowed_keys: tuple[AllowedKey, ...]
    seeds: tuple[Address, ...]
    timing: Timing
    state_path: str | None
    control_path: str | None
