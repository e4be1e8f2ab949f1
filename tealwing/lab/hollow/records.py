"""The messages of a host process about its members, one JSON line each."""

from __future__ import annotations

import msgspec


class MemberMetrics(msgspec.Struct, frozen=True):
    """Metrics of one member: its role, its traffic so far, its applied index and its version in force."""

    name: str
    role: str
    applied: int
    version: int  # version of the rules in force
    gate_open: bool
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int


class HostMetrics(msgspec.Struct, frozen=True):
    """Metrics of one host process, over all its threads, and of its members."""

    processor_s: float
    resident_kb: int
    threads: int
    descriptors: int
    members: tuple[MemberMetrics, ...]
    in_force: dict[str, dict[str, float]]  # by member and version: monotonic time at which it came into force
    held_ms: tuple[float, ...]  # how long a gate was closed, for each change and member


class Ready(msgspec.Struct, frozen=True):
    """All members of the host process have started."""

    ready: int  # number of members
