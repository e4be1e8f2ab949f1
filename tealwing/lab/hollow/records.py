"""What a host process tells of its members: typed messages, one JSON line each."""

from __future__ import annotations

import msgspec


class MemberMetrics(msgspec.Struct, frozen=True):
    """One member: its role, its traffic so far, and what it has applied."""

    name: str
    role: str
    applied: int
    version: int  # in force
    gate_open: bool
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int


class HostMetrics(msgspec.Struct, frozen=True):
    """One host process, all its threads together."""

    processor_s: float
    resident_kb: int
    threads: int
    descriptors: int
    members: tuple[MemberMetrics, ...]
    in_force: dict[str, dict[str, float]]  # monotonic time by version and member
    held_ms: tuple[float, ...]  # of each change and member: how long its gate was closed


class Ready(msgspec.Struct, frozen=True):
    """All members of the host have started."""

    ready: int
