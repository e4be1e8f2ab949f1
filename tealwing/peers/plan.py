"""What the operators' section `peers` says, as one record; pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

Address = tuple[str, int]
MANY = 64  # members up to which each peer's queue is as large as the section says
BEAT_RATE = 2000.0  # heartbeats a second that one voter takes in at most, and sends: a fifth of a core at 100 us each
DOUBT_BEATS, LOST_DOUBTS, SILENT_LOSTS = 5.0, 2.0, 5.0  # each of `Times` in those before it, as the usual ones are
MOST_QUEUED = 512 << 20  # bytes that wait for all peers together, where there are more


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds of the link's protocol."""

    beat: float = 0.2  # s between two signs of life on a link that carries nothing else
    doubt: float = 1.0  # s of silence after which a peer is suspected
    lost: float = 2.0  # s of silence after which it is held for lost
    silent: float = 10.0  # s without a whole frame after which an inbound connection is closed
    hello: float = 2.0  # s in which a connection says whose it is

    def paced(self, members: int) -> Times:
        """These times for a fleet of so many members: heartbeats so far apart that a voter can take them in.

        All other times stay at the multiples of a heartbeat that tell silence from a late one. Up to BEAT_RATE * beat
        members (400 with the usual beat) nothing changes.
        """
        beat = max(self.beat, members / BEAT_RATE)
        doubt = max(self.doubt, DOUBT_BEATS * beat)
        lost = max(self.lost, LOST_DOUBTS * doubt)
        return replace(self, beat=beat, doubt=doubt, lost=lost, silent=max(self.silent, SILENT_LOSTS * lost))


@dataclass(frozen=True, slots=True)
class Plan:
    """One gateway's place among its peers. Members hold every name, ours too, with its address."""

    fleet: str
    name: str
    members: tuple[tuple[str, Address], ...]
    times: Times = Times()
    control: Address | None = None
    queue: int = 1024  # frames that wait for one peer
    queue_bytes: int = 8 << 20
    faults: bool = False  # whether the control address takes the laboratory's faults
    learners: tuple[str, ...] = ()  # members that follow the replicated log without a vote

    def address(self, name: str) -> Address | None:
        """Where a member listens."""
        return dict(self.members).get(name)

    def spoken_to(self) -> set[str]:
        """The members that we speak to: all; a learner speaks to those that vote."""
        names = {name for name, _ in self.members if name != self.name}
        return names - set(self.learners) if self.name in self.learners else names

    def room(self) -> int:
        """Bytes that may wait for one peer."""
        if len(self.members) <= MANY:
            return self.queue_bytes
        return min(self.queue_bytes, MOST_QUEUED // len(self.members))
