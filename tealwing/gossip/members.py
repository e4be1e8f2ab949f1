"""What is known of the members, and which word on one goes before another; pure.

A life is a start under a name (`boot`); within it the incarnation grows each time that the member refutes a doubt.
Only a member itself raises either: `Alive` and `Left` are signed by it. At one incarnation left goes before dead, dead
before suspect, suspect before alive (SWIM's order). A word on an incarnation that its member never spoke of counts for
nothing, so nobody can run a member's numbers up.
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

BUCKETS = 64  # into which members fall by their names, for telling where two instances differ
RECENT_CONTACT = 2.0  # s since a member spoke to us itself in which others' doubts of it are nothing to us
REMOVE_AFTER = 600.0  # s for which the dead and the left are remembered: so long a cut may last and heal


class State(IntEnum):
    """What a member is held for, in the order in which words go before one another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Member:
    """One member."""

    alive: Alive
    state: State
    since: float
    suspicion: Suspicion | None = None
    left: Left | None = None
    last_contact: float = -inf  # when it last spoke to us itself

    @property
    def version(self) -> tuple[int, int]:
        """Its life and incarnation, as words on it are compared."""
        return self.alive.boot, self.alive.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.alive.host, self.alive.port

    def rumour(self) -> Rumour:
        """The word on it that is passed on."""
        name, (boot, incarnation) = self.alive.name, self.version
        if self.state is State.ALIVE:
            return self.alive
        if self.left is not None:
            return self.left
        return (Suspect if self.state is State.SUSPECT else Dead)(name, boot, incarnation)

    def state_hash(self) -> int:
        """A number that two instances share where both hold it live in the same life and incarnation.

        The dead count for nothing, so that one instance may forget them before another does.
        """
        if self.state >= State.DEAD:
            return 0
        text = f"{self.alive.name}/{self.alive.boot}/{self.alive.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode()) >> 16  # 48 bits


def bucket_of(name: str) -> int:
    """The bucket of a name, the same at every instance."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


class Members:
    """All members but this instance, and the round in which they are probed."""

    def __init__(self, me: str, rng: random.Random) -> None:
        self._local_name, self._random = me, rng
        self._by_name: dict[str, Member] = {}
        self._probe_order: list[str] = []
        self._bucket_hashes = [0] * BUCKETS
        self._bucket_names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._live_names: list[str] = []  # alive or suspected, in any order: for drawing some without a walk over all
        self._live_index: dict[str, int] = {}
        self.suspected: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def live(self) -> int:
        """How many are alive or suspected."""
        return len(self._live_names)

    def get(self, name: str) -> Member | None:
        """A member by its name."""
        return self._by_name.get(name)

    def digest(self, ours: Alive) -> list[int]:
        """A hash of what is known by bucket, this instance included: others know it as a member."""
        found = list(self._bucket_hashes)
        found[bucket_of(ours.name)] ^= Member(ours, State.ALIVE, 0.0).state_hash()
        return found

    def in_bucket(self, number: int) -> list[Member]:
        """The members of a bucket."""
        return [self._by_name[name] for name in sorted(self._bucket_names[number])]

    # Words

    def apply_alive(self, word: Alive, now: float) -> Member | None:
        """A member's word that it lives; the member where that is news."""
        known = self._by_name.get(word.name)
        if known is None:
            member = self._store(Member(word, State.ALIVE, now))
            # a new one joins the round at a random place, so that all are probed within two rounds
            self._probe_order.insert(self._random.randint(0, len(self._probe_order)), word.name)
            return member
        if (word.boot, word.incarnation) <= known.version:
            return None
        return self._store(Member(word, State.ALIVE, now))

    def apply_left(self, word: Left, now: float) -> Member | None:
        """A member's word that it ends."""
        known = self._by_name.get(word.name)
        if known is None or known.state is State.LEFT or (word.boot, word.incarnation) < known.version:
            return None
        return self._store(Member(known.alive, State.LEFT, now, left=word))

    def apply_suspicion(self, word: Suspect | Dead, by: str, now: float) -> tuple[Member | None, bool]:
        """Another's doubt: the member where it begins a suspicion here, and whether it is worth passing on.

        That somebody holds a member dead is no more than a doubt here: each instance waits its own time, and the
        member can refute.
        """
        known = self._by_name.get(word.name)
        if known is None or (word.boot, word.incarnation) != known.version or now - known.last_contact < RECENT_CONTACT:
            return None, False
        if known.state is State.ALIVE:
            return self.suspect(known, by, now), True
        if known.state is State.SUSPECT and known.suspicion is not None:
            return None, known.suspicion.confirm(by)
        return None, False

    def record_contact(self, name: str, boot: int, now: float) -> bool:
        """A member spoke to us, under its own signature; whether that ended a suspicion of ours."""
        member = self._by_name.get(name)
        if member is None or member.alive.boot != boot or member.state >= State.DEAD:
            return False
        member.last_contact = now
        if member.state is State.SUSPECT:
            self._store(Member(member.alive, State.ALIVE, now, last_contact=now))
            return True
        return False

    # What this instance finds

    def suspect(self, member: Member, by: str, now: float) -> Member:
        """Begin a suspicion."""
        return self._store(Member(member.alive, State.SUSPECT, now, Suspicion(now, {by})))

    def mark_dead(self, member: Member, now: float) -> Member:
        """Hold it dead."""
        return self._store(Member(member.alive, State.DEAD, now))

    def remove_expired(self, now: float, gone: Callable[[str], None]) -> None:
        """Let go of those that have been dead or left for long."""
        for name in [m.alive.name for m in self if m.state >= State.DEAD and now - m.since > REMOVE_AFTER]:
            number, member = bucket_of(name), self._by_name.pop(name)
            self._bucket_hashes[number] ^= member.state_hash()
            self._bucket_names[number].discard(name)
            gone(name)

    def next_probe_target(self) -> Member | None:
        """The next member to probe: a round over all in a random order, then another."""
        for _ in range(2):
            while self._probe_order:
                member = self._by_name.get(self._probe_order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self._probe_order = list(self._by_name)
            self._random.shuffle(self._probe_order)
        return None

    def sample(self, count: int, dead: bool = False, exclude: str = "") -> list[Member]:
        """A few members at random, live ones or dead ones."""
        if dead:
            buried = [m for m in self if m.state is State.DEAD]
            return buried if len(buried) <= count else self._random.sample(buried, count)
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
            place, last = self._live_index.pop(name), self._live_names.pop()
            if last != name:
                self._live_names[place], self._live_index[last] = last, place
        return member
