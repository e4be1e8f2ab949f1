"""What the operators' section `gossip` says, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip.keys import Allowed
from tealwing.gossip.node import Times

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Plan:
    """One instance's gossip; paths as the file has them."""

    name: str
    listen: Address
    key: str
    allowed: tuple[Allowed, ...]
    seeds: tuple[Address, ...]
    times: Times
    file: str | None
    control: str | None
