"""The settings of the section `peers`, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

Address = tuple[str, int]
FULL_QUEUE_MEMBERS = 64  # members up to which each peer's queue is as large as the section says
MAX_HEARTBEAT_RATE = (
    2000.0  # heartbeats a second that one voter takes in at most, and sends: a fifth of a core at 100 us each
)
SUSPECT_AFTER_HEARTBEATS, DEAD_AFTER_MULTIPLE, IDLE_TIMEOUT_MULTIPLE = (
    5.0,
    2.0,
    5.0,
)  # each default of `LinkTimes` in units of the one before
MAX_QUEUED_BYTES = 512 << 20  # bytes that wait for all peers together, where there are more


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """Intervals and timeouts of the link, in seconds."""

    heartbeat: float = 0.2  # s between two heartbeats on a link that carries nothing else
    suspect_after: float = 1.0  # s of silence after which a peer is suspected
    dead_after: float = 2.0  # s of silence after which it counts as dead
    idle_timeout: float = 10.0  # s without a complete frame after which an inbound connection is closed
    hello_timeout: float = 2.0  # s within which a new connection must send its hello

    def scaled_for(self, members: int) -> LinkTimes:
        """Return the times for a fleet of so many members: a voter receives at most MAX_HEARTBEAT_RATE.

        The timeouts keep their multiples of a heartbeat. Up to MAX_HEARTBEAT_RATE * heartbeat members (400 by default)
        nothing changes.
        """
        heartbeat = max(self.heartbeat, members / MAX_HEARTBEAT_RATE)
        suspect_after = max(self.suspect_after, SUSPECT_AFTER_HEARTBEATS * heartbeat)
        dead_after = max(self.dead_after, DEAD_AFTER_MULTIPLE * suspect_after)
        return replace(
            self,
            heartbeat=heartbeat,
            suspect_after=suspect_after,
            dead_after=dead_after,
            idle_timeout=max(self.idle_timeout, IDLE_TIMEOUT_MULTIPLE * dead_after),
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """One gateway's place among its peers. Members hold every name, ours too, with its address."""

    fleet: str
    name: str
    members: tuple[tuple[str, Address], ...]
    times: LinkTimes = LinkTimes()
    control: Address | None = None
    queue: int = 1024  # frames that wait for one peer
    queue_bytes: int = 8 << 20
    faults: bool = False  # whether the control address takes the laboratory's faults
    learners: tuple[str, ...] = ()  # members that follow the replicated log without a vote

    def address(self, name: str) -> Address | None:
        """Return the address of a member; None if it is unknown."""
        return dict(self.members).get(name)

    def linked_members(self) -> set[str]:
        """Return the members that this one links to: all others; of a learner, the voters."""
        names = {name for name, _ in self.members if name != self.name}
        return names - set(self.learners) if self.name in self.learners else names

    def queue_bytes_per_peer(self) -> int:
        """Return the bytes that may be queued for one peer."""
        if len(self.members) <= FULL_QUEUE_MEMBERS:
            return self.queue_bytes
        return min(self.queue_bytes, MAX_QUEUED_BYTES // len(self.members))
