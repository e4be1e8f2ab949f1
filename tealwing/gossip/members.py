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
OWN_EARS = 2.0  # s since a member spoke to us itself in which others' doubts of it are nothing to us
REAP = 600.0  # s for which the dead and the left are remembered: so long a cut may last and heal


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
    heard: float = -inf  # when it last spoke to us itself

    @property
    def age(self) -> tuple[int, int]:
        """Its life and incarnation, as words on it are compared."""
        return self.alive.boot, self.alive.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.alive.host, self.alive.port

    def rumour(self) -> Rumour:
        """The word on it that is passed on."""
        name, (boot, incarnation) = self.alive.name, self.age
        if self.state is State.ALIVE:
            return self.alive
        if self.left is not None:
            return self.left
        return (Suspect if self.state is State.SUSPECT else Dead)(name, boot, incarnation)

    def hash(self) -> int:
        """A number that two instances share where both hold it live in the same life and incarnation.

        The dead count for nothing, so that one instance may forget them before another does.
        """
        if self.state >= State.DEAD:
            return 0
        text = f"{self.alive.name}/{self.alive.boot}/{self.alive.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode()) >> 16  # 48 bits


def bucket(name: str) -> int:
    """The bucket of a name, the same at every instance."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


class Members:
    """All members but this instance, and the round in which they are probed."""

    def __init__(self, me: str, rng: random.Random) -> None:
        self._me, self._random = me, rng
        self._all: dict[str, Member] = {}
        self._round: list[str] = []
        self._digest = [0] * BUCKETS
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._live: list[str] = []  # alive or suspected, in any order: for drawing some without a walk over all
        self._place: dict[str, int] = {}
        self.suspected: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._all.values())

    def __len__(self) -> int:
        return len(self._all)

    @property
    def live(self) -> int:
        """How many are alive or suspected."""
        return len(self._live)

    def get(self, name: str) -> Member | None:
        """A member by its name."""
        return self._all.get(name)

    def digest(self, ours: Alive) -> list[int]:
        """A hash of what is known by bucket, this instance included: others know it as a member."""
        found = list(self._digest)
        found[bucket(ours.name)] ^= Member(ours, State.ALIVE, 0.0).hash()
        return found

    def of(self, number: int) -> list[Member]:
        """The members of a bucket."""
        return [self._all[name] for name in sorted(self._names[number])]

    # Words

    def hear_alive(self, word: Alive, now: float) -> Member | None:
        """A member's word that it lives; the member where that is news."""
        known = self._all.get(word.name)
        if known is None:
            member = self._put(Member(word, State.ALIVE, now))
            # a new one joins the round at a random place, so that all are probed within two rounds
            self._round.insert(self._random.randint(0, len(self._round)), word.name)
            return member
        if (word.boot, word.incarnation) <= known.age:
            return None
        return self._put(Member(word, State.ALIVE, now))

    def hear_left(self, word: Left, now: float) -> Member | None:
        """A member's word that it ends."""
        known = self._all.get(word.name)
        if known is None or known.state is State.LEFT or (word.boot, word.incarnation) < known.age:
            return None
        return self._put(Member(known.alive, State.LEFT, now, left=word))

    def hear_doubt(self, word: Suspect | Dead, by: str, now: float) -> tuple[Member | None, bool]:
        """Another's doubt: the member where it begins a suspicion here, and whether it is worth passing on.

        That somebody holds a member dead is no more than a doubt here: each instance waits its own time, and the
        member can refute.
        """
        known = self._all.get(word.name)
        if known is None or (word.boot, word.incarnation) != known.age or now - known.heard < OWN_EARS:
            return None, False
        if known.state is State.ALIVE:
            return self.suspect(known, by, now), True
        if known.state is State.SUSPECT and known.suspicion is not None:
            return None, known.suspicion.confirm(by)
        return None, False

    def hear_itself(self, name: str, boot: int, now: float) -> bool:
        """A member spoke to us, under its own signature; whether that ended a suspicion of ours."""
        member = self._all.get(name)
        if member is None or member.alive.boot != boot or member.state >= State.DEAD:
            return False
        member.heard = now
        if member.state is State.SUSPECT:
            self._put(Member(member.alive, State.ALIVE, now, heard=now))
            return True
        return False

    # What this instance finds

    def suspect(self, member: Member, by: str, now: float) -> Member:
        """Begin a suspicion."""
        return self._put(Member(member.alive, State.SUSPECT, now, Suspicion(now, {by})))

    def bury(self, member: Member, now: float) -> Member:
        """Hold it dead."""
        return self._put(Member(member.alive, State.DEAD, now))

    def reap(self, now: float, gone: Callable[[str], None]) -> None:
        """Let go of those that have been dead or left for long."""
        for name in [m.alive.name for m in self if m.state >= State.DEAD and now - m.since > REAP]:
            number, member = bucket(name), self._all.pop(name)
            self._digest[number] ^= member.hash()
            self._names[number].discard(name)
            gone(name)

    def next(self) -> Member | None:
        """The next member to probe: a round over all in a random order, then another."""
        for _ in range(2):
            while self._round:
                member = self._all.get(self._round.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self._round = list(self._all)
            self._random.shuffle(self._round)
        return None

    def some(self, count: int, dead: bool = False, but: str = "") -> list[Member]:
        """A few members at random, live ones or dead ones."""
        if dead:
            buried = [m for m in self if m.state is State.DEAD]
            return buried if len(buried) <= count else self._random.sample(buried, count)
        drawn = self._random.sample(self._live, min(count + bool(but), len(self._live)))
        return [self._all[name] for name in drawn if name != but][:count]

    def _put(self, member: Member) -> Member:
        name = member.alive.name
        number, before = bucket(name), self._all.get(name)
        if before is not None:
            self._digest[number] ^= before.hash()
        self._digest[number] ^= member.hash()
        self._names[number].add(name)
        self._all[name] = member
        if member.state is State.SUSPECT:
            self.suspected[name] = member
        else:
            self.suspected.pop(name, None)
        if member.state <= State.SUSPECT and name not in self._place:
            self._place[name] = len(self._live)
            self._live.append(name)
        elif member.state >= State.DEAD and name in self._place:
            place, last = self._place.pop(name), self._live.pop()
            if last != name:
                self._live[place], self._place[last] = last, place
        return member
