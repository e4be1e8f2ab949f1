"""The member list, and which rumour about a member overrides another; pure.

A boot is one start of an instance under its name; within it the incarnation grows each time that the member refutes a
suspicion. Only the member itself raises either: it signs its `Alive` and `Left`. At one incarnation left overrides
dead, dead overrides suspect, and suspect overrides alive (SWIM's order). A rumour about an incarnation that the member
never announced is ignored, so no other instance can raise a member's numbers.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from math import inf

import xxhash

from tealwing.gossip.messages import Alive, Dead, Left, Rumour, Suspect
from tealwing.gossip.suspicion import Suspicion

BUCKETS = 64  # into which members are hashed by name, to find where two instances' lists differ
RECENT_CONTACT = 2.0  # s after a datagram from a member for which others' suspicions of it are ignored
REMOVE_AFTER = 600.0  # s for which members that are dead or left are kept, so that a partition of that length can heal


class State(IntEnum):
    """A member's state; at one incarnation a later one overrides an earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Member:
    """A member as this instance knows it."""

    alive: Alive
    state: State
    since: float  # s, monotonic: start of the state
    suspicion: Suspicion | None = None
    left: Left | None = None
    last_contact: float = -inf  # s, monotonic: time of its last datagram

    @property
    def version(self) -> tuple[int, int]:
        """The boot and incarnation, by which rumours about the member are ordered."""
        return self.alive.boot, self.alive.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """The host and port at which the member listens."""
        return self.alive.host, self.alive.port

    def rumour(self) -> Rumour:
        """Return the rumour that states the member's present state."""
        name, (boot, incarnation) = self.alive.name, self.version
        if self.state is State.ALIVE:
            return self.alive
        if self.left is not None:
            return self.left
        return (Suspect if self.state is State.SUSPECT else Dead)(name, boot, incarnation)

    def state_hash(self) -> int:
        """Return a hash that is equal at two instances if both hold the member live at the same boot and incarnation.

        It is 0 for dead members and those that left, so that one instance may remove them before another.
        """
        if self.state >= State.DEAD:
            return 0
        text = f"{self.alive.name}/{self.alive.boot}/{self.alive.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode()) >> 16  # 48 bits


def bucket_of(name: str) -> int:
    """Return the bucket of a member's name, the same at every instance."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


class Members:
    """Owns the members other than this instance, and the order in which they are probed."""

    def __init__(self, local_name: str, rng: random.Random) -> None:
        self._local_name, self._random = local_name, rng
        self._by_name: dict[str, Member] = {}
        self._probe_order: list[str] = []
        self._bucket_hashes = [0] * BUCKETS
        self._bucket_names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._live_names: list[str] = []  # alive or suspected, unordered: sampling needs no scan of all members
        self._live_index: dict[str, int] = {}
        self.suspected: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def live(self) -> int:
        """The number of members that are alive or suspected."""
        return len(self._live_names)

    def get(self, name: str) -> Member | None:
        """Return the member of a name; None if it is unknown."""
        return self._by_name.get(name)

    def digest(self, ours: Alive) -> list[int]:
        """Return the hash of each bucket. They include this instance, which is a member to the others."""
        hashes = list(self._bucket_hashes)
        hashes[bucket_of(ours.name)] ^= Member(ours, State.ALIVE, 0.0).state_hash()
        return hashes

    def in_bucket(self, number: int) -> list[Member]:
        """Return the members of a bucket."""
        return [self._by_name[name] for name in sorted(self._bucket_names[number])]

    # Rumours of other instances

    def apply_alive(self, rumour: Alive, now: float) -> Member | None:
        """Apply a member's statement that it is alive; return the member if the statement is new."""
        known = self._by_name.get(rumour.name)
        if known is None:
            member = self._store(Member(rumour, State.ALIVE, now))
            # a new member joins the probe round at a random place, so that all are probed within two rounds
            self._probe_order.insert(self._random.randint(0, len(self._probe_order)), rumour.name)
            return member
        if (rumour.boot, rumour.incarnation) <= known.version:
            return None
        return self._store(Member(rumour, State.ALIVE, now))

    def apply_left(self, rumour: Left, now: float) -> Member | None:
        """Apply a member's statement that it leaves; return the member if the statement is new."""
        known = self._by_name.get(rumour.name)
        if known is None or known.state is State.LEFT or (rumour.boot, rumour.incarnation) < known.version:
            return None
        return self._store(Member(known.alive, State.LEFT, now, left=rumour))

    def apply_suspicion(self, rumour: Suspect | Dead, reporter: str, now: float) -> tuple[Member | None, bool]:
        """Apply a reporter's suspicion; return the member if this begins its suspicion, and whether to pass it on.

        A rumour that a member is dead counts only as a suspicion: each instance waits for its own timeout, in which the
        member can refute.
        """
        known = self._by_name.get(rumour.name)
        if (
            known is None
            or (rumour.boot, rumour.incarnation) != known.version
            or now - known.last_contact < RECENT_CONTACT
        ):
            return None, False
        if known.state is State.ALIVE:
            return self.suspect(known, reporter, now), True
        if known.state is State.SUSPECT and known.suspicion is not None:
            return None, known.suspicion.confirm(reporter)
        return None, False

    def record_contact(self, name: str, boot: int, now: float) -> bool:
        """Record a datagram that a member signed; return whether that ended this instance's suspicion of it."""
        member = self._by_name.get(name)
        if member is None or member.alive.boot != boot or member.state >= State.DEAD:
            return False
        member.last_contact = now
        if member.state is State.SUSPECT:
            self._store(Member(member.alive, State.ALIVE, now, last_contact=now))
            return True
        return False

    # Failure detection by this instance

    def suspect(self, member: Member, reporter: str, now: float) -> Member:
        """Suspect a member, with its first reporter."""
        return self._store(Member(member.alive, State.SUSPECT, now, Suspicion(now, {reporter})))

    def mark_dead(self, member: Member, now: float) -> Member:
        """Declare a member dead from now on."""
        return self._store(Member(member.alive, State.DEAD, now))

    def remove_expired(self, now: float, on_removed: Callable[[str], None]) -> None:
        """Remove members dead or left for over REMOVE_AFTER; call `on_removed` with each name."""
        for name in [m.alive.name for m in self if m.state >= State.DEAD and now - m.since > REMOVE_AFTER]:
            number, member = bucket_of(name), self._by_name.pop(name)
            self._bucket_hashes[number] ^= member.state_hash()
            self._bucket_names[number].discard(name)
            on_removed(name)

    def next_probe_target(self) -> Member | None:
        """Return the next live member to probe; each round covers all in a new random order."""
        for _ in range(2):
            while self._probe_order:
                member = self._by_name.get(self._probe_order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self._probe_order = list(self._by_name)
            self._random.shuffle(self._probe_order)
        return None

    def sample_dead(self, count: int) -> list[Member]:
        """Return up to `count` dead members at random."""
        dead = [member for member in self if member.state is State.DEAD]
        return dead if len(dead) <= count else self._random.sample(dead, count)

    def sample(self, count: int, exclude: str = "") -> list[Member]:
        """Return up to `count` live members at random."""
        drawn = self._random.sample(self._live_names, min(count + bool(exclude), len(self._live_names)))
        return [self._by_name[name] for name in drawn if name != exclude][:count]

    def _store(self, member: Member) -> Member:
        name = member.alive.name
        number, before = bucket_of(name), self._by_name.get(name)
        if before is not None:
            self._bucket_hashes[number] ^= before.state_hash()
        self._bucket_hashes[number] ^= member.state_hash()
        self._bucket_names[number].add(name)
        self._by_name[name] = member
        if member.state is State.SUSPECT:
            self.suspected[name] = member
        else:
            self.suspected.pop(name, None)
        if member.state <= State.SUSPECT and name not in self._live_index:
            self._live_index[name] = len(self._live_names)
            self._live_names.append(name)
        elif member.state >= State.DEAD and name in self._live_index:
            index, last = self._live_index.pop(name), self._live_names.pop()
            if last != name:
                self._live_names[index], self._live_index[last] = last, index
        return member
