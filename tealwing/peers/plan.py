"""The settings of the section `peers`, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

Address = tuple[str, int]
FULL_QUEUE_MEMBERS = 64  # members up to which each peer's queue has the configured size
MAX_HEARTBEAT_RATE = 2000.0  # heartbeats a second of one voter, received and sent: a fifth of a core at 100 us each
# Each default of `LinkTimes` as a multiple of the one before.
SUSPECT_AFTER_HEARTBEATS, DEAD_AFTER_MULTIPLE, IDLE_TIMEOUT_MULTIPLE = 5.0, 2.0, 5.0
MAX_QUEUED_BYTES = 512 << 20  # bytes queued for all peers together in larger fleets


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """The intervals and timeouts of the peer link, in seconds."""

    heartbeat: float = 0.2  # interval of heartbeats on a connection that carries nothing else
    suspect_after: float = 1.0  # silence after which a peer is suspected
    dead_after: float = 2.0  # silence after which a peer counts as dead
    idle_timeout: float = 10.0  # time without a complete frame after which an inbound connection is closed
    hello_timeout: float = 2.0  # time within which a new connection must send its hello

    def scaled_for(self, members: int) -> LinkTimes:
        """Return the times for a fleet of that many members, at which a voter receives at most MAX_HEARTBEAT_RATE.

        The timeouts keep at least their multiples of a heartbeat. Up to MAX_HEARTBEAT_RATE * heartbeat members (400 by
        default) nothing changes.
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
    """One gateway's settings of the peer link. `members` has every name with its address, its own included."""

    fleet: str
    name: str
    members: tuple[tuple[str, Address], ...]
    times: LinkTimes = LinkTimes()
    control: Address | None = None
    queue: int = 1024  # frames that wait for one peer
    queue_bytes: int = 8 << 20
    faults: bool = False  # whether the control address accepts injected faults
    learners: tuple[str, ...] = ()  # members that follow the replicated log without a vote

    def address(self, name: str) -> Address | None:
        """Return the address of a member; None if there is no such member."""
        return dict(self.members).get(name)

    def linked_members(self) -> set[str]:
        """Return the members that this gateway links to: a voter to all others, a learner to the voters."""
        names = {name for name, _ in self.members if name != self.name}
        return names - set(self.learners) if self.name in self.learners else names

    def queue_bytes_per_peer(self) -> int:
        """Return the bytes that may be queued for one peer."""
        if len(self.members) <= FULL_QUEUE_MEMBERS:
            return self.queue_bytes
        return min(self.queue_bytes, MAX_QUEUED_BYTES // len(self.members))
