"""One instance's part of the protocol, without I/O and without a clock: datagrams and ticks in, datagrams out.

Membership is SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips and Currey, 2018).
Each period one member is probed, directly and then through others; one that answers none is suspected for a time
that shrinks as others confirm; it refutes with a higher incarnation; an instance that is slow itself lengthens its
own times. Rumours ride on probes and go out by themselves while they are new, each a bounded number of times. Every
so often two instances compare hashes by bucket and send each other what differs: so joiners and healed cuts come to
the same state, at a cost that does not grow with the members while they agree.

The caller gives two times: `now`, seconds that never go back, and `wall`, seconds of the Unix clock, for stamps only.
Same seed and same calls, same datagrams.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from math import ceil, inf, log2, log10
from typing import Any

from tealwing.gossip import messages
from tealwing.gossip.beliefs import Beliefs, Word
from tealwing.gossip.budget import Address, Budget, Urgency
from tealwing.gossip.members import Member, Members, State
from tealwing.gossip.messages import (
    Ack,
    Alive,
    Body,
    Cause,
    Claims,
    Dead,
    Digest,
    Fetch,
    Gossip,
    Left,
    Nack,
    Payload,
    Ping,
    PingFor,
    Rejected,
    Rumour,
    Seen,
    Signer,
    Suspect,
    Verify,
)
from tealwing.gossip.replayed import Fresh
from tealwing.gossip.rumours import Rumours

RELAYS = 3  # members asked to probe for us (SWIM's k, at Lifeguard's default)
SPREAD = 4  # a rumour goes out so many times the decimal log of the members (memberlist's factor)
FANOUT = 3  # members that a new rumour goes to at a time (memberlist's)
MOST_LOCAL = 8  # of the local health counter (Lifeguard's S)
NACK_AT = 0.8  # of the time-out at which a relay says that it has no answer (Lifeguard's)
LATE_TICK = 3.0  # times the usual step of the clock at which this process itself was slow
ASKERS = 64  # members that ask a suspected one once more themselves before they hold it dead
SHORT = 420  # bytes of a probe or an answer while the ceiling is near: room for two rumours
PROBES = 256  # that we make for others at once
SENDER_RATE, SENDER_DEPTH = 50.0, 100.0  # datagrams a second taken of one address, and at once
SAY_SAME = 1.0  # s until a word that says nothing new, to a factor of two, is said again
DOUBTS = (2.0, 16.0)  # doubts a second that are heard of one member, and at once: a rack may fail whole
SENDERS = 2048  # addresses whose rate is kept
CHECKED = 4096  # signatures of rumours that are remembered as good
FRESH_ENOUGH = 10.0  # s after which a claim is not passed on: it has aged out where it matters
AGAIN = 0.1  # of the usual time until the next comparison, where one showed a difference
SCALE_AT = 32  # members past which full comparisons grow rarer, by the binary log (memberlist's)


@dataclass(frozen=True, slots=True)
class Times:
    """The protocol's times in s, and its ceiling in bytes a second."""

    period: float = 1.0  # between two probes
    answer: float = 0.3  # for a direct answer
    gossip: float = 0.2  # between two rounds of rumours
    compare: float = 10.0  # between two comparisons of all that is known
    skew: float = 10.0  # between two clocks at most
    ceiling: float = 16384.0


@dataclass(slots=True)
class Probe:
    """A probe of ours that is under way."""

    name: str
    number: int
    began: float
    direct_until: float
    until: float
    relayed: bool = False
    nacks_due: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A probe that we make for another."""

    number: int  # as the other counts
    asker: Address
    nack_at: float
    until: float


@dataclass(slots=True)
class Counts:
    """What was counted since the start."""

    rejected: Counter[str] = field(default_factory=Counter)
    received: int = 0
    probes: int = 0
    missed: int = 0
    refuted: int = 0


Event = tuple[str, dict[str, Any]]  # a name and fields, for the log


class Node:
    """One instance."""

    def __init__(
        self,
        name: str,
        address: Address,
        signer: Signer,
        verify: Verify,
        times: Times,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        wall: float,
        boot: int | None = None,
    ) -> None:
        self.name, self.address, self.times = name, address, times
        self.signer, self._verify, self._random = signer, verify, rng
        self.boot = boot if boot is not None else round(wall * 1e3)
        self._incarnation = self._sequence = 0
        self.members = Members(name, rng)
        self.beliefs = Beliefs()
        self.budget = Budget(times.ceiling, now)
        self.counts, self.events = Counts(), list[Event]()
        self.lot = rng.random()  # which of many speak of engines
        self.silent = False  # another instance has our name and began later: we say nothing more
        self.health = 0  # Lifeguard's local health counter: 0 is well
        self._fresh = Fresh(times.skew)
        self._seeds = [seed for seed in seeds if seed != address]
        self._rumours = Rumours()
        self._claims: dict[str, Claims] = {}
        self._checked: OrderedDict[bytes, None] = OrderedDict()
        self._senders: OrderedDict[Address, tuple[float, float]] = OrderedDict()
        self._said_at, self._gist = -inf, set[Any]()
        self._doubters: dict[str, tuple[float, float]] = {}
        self._doubted, self._next_refute = False, now
        self._probe: Probe | None = None
        self._relays: OrderedDict[int, Relay] = OrderedDict()
        self._number = rng.randrange(1 << 20)
        self._fetches: deque[tuple[Address, list[int]]] = deque(maxlen=16)
        self._now, self._wall, self._step = now, wall, 0.1
        self._next_probe = now + rng.random() * times.period
        self._next_gossip = now + rng.random() * times.gossip
        self._next_compare, self._compare_wait = now, times.compare * AGAIN
        self._alive = self._own_alive()

    # In

    def datagram(self, now: float, wall: float, source: Address, data: bytes) -> None:
        """Take one datagram. What is bad is counted by its cause, costs bounded time and changes nothing."""
        self._now, self._wall = max(now, self._now), wall
        self.counts.received += 1
        try:
            self._limit(source)
            payload = messages.decode(data, self._verify)
            if payload.name == self.name:
                self._namesake(payload)
                raise Rejected(Cause.NAME)
            self._fresh.take(payload.name, payload.boot, payload.sequence, payload.at, wall)
        except Rejected as error:
            self.counts.rejected[error.cause.value] += 1
            if error.cause is Cause.STALE:  # two under one name: the earlier one must hear of the later
                known = self.members.get(payload.name)
                if known is not None:
                    self.tell(Urgency.ANSWER, source, Gossip(), [known.alive])
            return
        if self.silent:
            return
        if self.members.hear_itself(payload.name, payload.boot, self._now):
            member = self.members.get(payload.name)
            if member is not None:
                self._tell("refuted", member)
        for rumour in payload.rumours:
            self._hear(rumour, payload.name)
        self._answer(source, payload)

    def tick(self, now: float, wall: float) -> None:
        """Let time pass; call some ten times a second."""
        passed = now - self._now
        if passed > LATE_TICK * self._step and passed > self.times.answer:
            self._unwell(1)  # the process stood still: what we waited for may be here and unread
            if self._probe is not None:  # so nobody is blamed for what we slept through
                self._probe.direct_until += passed
                self._probe.until += passed
            for member in self.members.suspected.values():
                if member.suspicion is not None:
                    member.suspicion.since += passed
        else:
            self._step += 0.1 * (max(passed, 0.001) - self._step)
        self._now, self._wall = max(now, self._now), wall
        if self.silent:
            return
        if self._doubted and self._now >= self._next_refute:
            self._doubted = False
            self._next_refute = self._now + self.times.period / 2
            self._unwell(1)
            self._refute()
        self._check_probe()
        self._check_relays()
        self._check_suspicions()
        if self._now >= self._next_probe:
            self._next_probe = self._now + self.times.period * (self.health + 1)
            self._begin_probe()
        if self._now >= self._next_gossip:
            self._next_gossip = self._now + self.times.gossip
            self._spread()
        if self._now >= self._next_compare:
            self._compare()
            self._next_compare = self._now + self._compare_wait * self._random.uniform(0.8, 1.2)
            self._compare_wait = min(2 * self._compare_wait, self._agreed_wait())
            self.members.reap(self._now, self._gone)
        self._send_fetched()

    def say(self, words: Sequence[Word]) -> None:
        """What this gateway sees of engines, for the others; the latest word only, and the worst engines first."""
        if self.silent:
            return
        gist = {(word.key, word.speaks, round(log2(max(word.cost, 0.1)))) for word in words}
        if self._now < self._said_at + (SAY_SAME if gist == self._gist else 0.0):
            return
        self._said_at, self._gist = self._now, gist
        worst = sorted(words, key=lambda word: (-word.cost, word.key))[:16]
        seen = [Seen(w.engine, w.started, w.slow, w.failed, w.samples) for w in worst]
        version = max(round(self._wall * 1e3), 0)
        before = self._claims.get(self.name)
        if before is not None and version <= before.version:
            version = before.version + 1
        claims = Claims(self.name, self.boot, version, seen, bytes(8), bytes(64))
        word = messages.signed(claims, self.signer)
        assert isinstance(word, Claims)
        self._claims[self.name] = word
        self._pass_on(word)

    def leave(self, now: float, wall: float) -> None:
        """Tell a few that we end."""
        self._now, self._wall = max(now, self._now), wall
        word = Left(self.name, self.boot, self._incarnation, bytes(8), bytes(64))
        rumour = messages.signed(word, self.signer)
        for member in self.members.some(FANOUT * 2):
            self.tell(Urgency.ANSWER, member.address, Gossip(), [rumour])
        self.silent = True

    def out(self, now: float) -> list[tuple[Address, bytes]]:
        """The datagrams that may go now."""
        return self.budget.ready(now)

    def recall(self, known: Sequence[Alive], trust: dict[str, float]) -> None:
        """What an earlier life of ours wrote down: members to look for, and the trust in them."""
        for word in known:
            if word.name != self.name and self._own_word(word):
                self.members.hear_alive(word, self._now)
        self.beliefs.trust.update(trust)

    def renew_key(self, signer: Signer) -> None:
        """Sign with another key from now on; what was said of us goes out anew under it."""
        self.signer = signer
        self._refute()

    # Datagrams

    def _limit(self, source: Address) -> None:
        """A bucket for each address, checked before any signature: garbage costs little."""
        tokens, at = self._senders.pop(source, (SENDER_DEPTH, self._now))
        tokens = min(SENDER_DEPTH, tokens + SENDER_RATE * (self._now - at))
        self._senders[source] = (max(tokens - 1, 0.0), self._now)
        if len(self._senders) > SENDERS:
            self._senders.popitem(last=False)
        if tokens < 1:
            raise Rejected(Cause.FLOOD)

    def _answer(self, source: Address, payload: Payload) -> None:
        match payload.body:
            case Ping(number, to):
                if to in ("", self.name):
                    self.tell(Urgency.ANSWER, source, Ack(number), self._about(payload.name))
            case Ack(number):
                self._acked(number, payload.name)
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks += 1
            case PingFor(number, name):
                member = self.members.get(name)
                if member is not None and len(self._relays) < PROBES:
                    ours = self._count()
                    limit = self.times.answer * (self.health + 1)
                    self._relays[ours] = Relay(
                        number, source, self._now + NACK_AT * limit, self._now + self.times.period
                    )
                    self.tell(Urgency.PROBE, member.address, Ping(ours, name), self._about(name))
            case Digest(buckets, answer):
                both = zip(buckets, self.members.digest(self._alive), strict=False)
                differ = [i for i, (theirs, ours) in enumerate(both) if theirs != ours]
                if answer:
                    self.tell(Urgency.BULK, source, Digest(self.members.digest(self._alive), False), [self._alive])
                if differ:  # and it may not be the only one: compare again soon, until one agrees
                    self.tell(Urgency.BULK, source, Fetch(differ), [])
                    self._compare_wait = self.times.compare * AGAIN
                    again = self._now + self._compare_wait * self._random.uniform(0.5, 1.5)
                    self._next_compare = min(self._next_compare, again)
                elif not answer:
                    self._compare_wait = self._agreed_wait()
                    self._next_compare = self._now + self._compare_wait * self._random.uniform(0.8, 1.2)
            case Fetch(buckets):
                if all(source != to for to, _ in self._fetches):
                    self._fetches.append((source, list(buckets)))
            case Gossip():
                pass

    def tell(self, urgency: Urgency, to: Address, body: Body, first: Sequence[Rumour]) -> None:
        """One datagram: the rumours that must ride on it, and as many others as fit."""
        if self._sequence >= messages.MOST_SEQUENCE:
            self._reborn()
        self._sequence += 1
        at = max(round(self._wall * 1e3), 0)
        payload = Payload(self.name, self.boot, self._sequence, at, body, [])
        longest = messages.LARGEST
        if urgency in (Urgency.ANSWER, Urgency.PROBE) and not self.budget.plenty():
            longest = SHORT  # what tells who lives must get through, and rumours have datagrams of their own
        room = longest - messages.bare(payload) - 8  # the array's head grows by a few bytes
        riding: list[Rumour] = []
        for rumour in first:
            if (size := messages.size(rumour)) <= room:
                riding.append(rumour)
                room -= size
        if urgency is not Urgency.BULK:
            riding += self._rumours.riding(room, self._most(), riding)
        payload = messages.Payload(self.name, self.boot, self._sequence, at, body, riding)
        self.budget.add(urgency, self._now, to, messages.encode(payload, self.signer))

    # Rumours

    def _most(self) -> int:
        """How often a rumour is sent."""
        return ceil(SPREAD * log10(self.members.live + 2))

    def _hear(self, rumour: Rumour, sender: str) -> None:
        if rumour.name == self.name:
            self._of_us(rumour)
            return
        self._rumours.heard(rumour, self._most())
        match rumour:
            case Alive():
                # only news is worth a signature's time, and only a member's own word is news
                known = self.members.get(rumour.name)
                if known is not None and (rumour.boot, rumour.incarnation) <= known.age:
                    return
                if rumour.boot / 1e3 > self._wall + self.times.skew or not self._own_word(rumour):
                    return
                before = known.state if known is not None else None
                member = self.members.hear_alive(rumour, self._now)
                if member is not None:
                    self._pass_on(rumour)
                    if before is None or before >= State.DEAD:
                        self._tell("joined", member)
                    elif before is State.SUSPECT:
                        self._tell("refuted", member)
            case Left():
                known = self.members.get(rumour.name)
                if known is None or known.state is State.LEFT or not self._own_word(rumour):
                    return
                member = self.members.hear_left(rumour, self._now)
                if member is not None:
                    self._pass_on(rumour)
                    self._tell("left", member)
            case Suspect() | Dead():
                if not self._may_doubt(sender):
                    return
                member, news = self.members.hear_doubt(rumour, sender, self._now)
                if member is not None:
                    self._tell("suspected", member)
                if news:
                    self._pass_on(Suspect(rumour.name, rumour.boot, rumour.incarnation))
            case Claims():
                self._hear_claims(rumour)

    def _may_doubt(self, sender: str) -> bool:
        """A bucket for each member's doubts: one that slanders all must not keep all busy with refuting."""
        left, at = self._doubters.get(sender, (DOUBTS[1], self._now))
        left = min(DOUBTS[1], left + DOUBTS[0] * (self._now - at))
        self._doubters[sender] = max(left - 1, 0.0), self._now
        return left >= 1

    def _hear_claims(self, word: Claims) -> None:
        known = self._claims.get(word.name)
        if known is not None and (word.boot, word.version) <= (known.boot, known.version):
            return
        member = self.members.get(word.name)
        if member is None or member.state >= State.DEAD or word.boot != member.alive.boot:
            return
        age = self._wall - word.version / 1e3
        if age < -self.times.skew or age > FRESH_ENOUGH + self.times.skew or not self._own_word(word):
            return
        self._claims[word.name] = word
        self.beliefs.hear(
            word.name,
            self._now,
            [Word(s.engine, s.started, s.slow, s.failed, s.samples) for s in word.seen],
        )
        self._pass_on(word)

    def _own_word(self, rumour: Alive | Left | Claims) -> bool:
        """Whether the member itself said so; signatures that held are remembered."""
        word = messages.own_word(rumour)
        mark = blake2b(rumour.signature + word, digest_size=16).digest()
        if mark in self._checked:
            self._checked.move_to_end(mark)
            return True
        if not self._verify(rumour.name, rumour.key, word, rumour.signature):
            self.counts.rejected[Cause.SIGNATURE.value] += 1
            return False
        self._checked[mark] = None
        if len(self._checked) > CHECKED:
            self._checked.popitem(last=False)
        return True

    def _of_us(self, rumour: Rumour) -> None:
        """Another's word on this instance: a doubt of our present incarnation is refuted, all else is nothing."""
        if isinstance(rumour, Suspect | Dead):
            if (rumour.boot, rumour.incarnation) == (self.boot, self._incarnation):
                self._doubted = True  # refuted in the next tick: once, however many say so
        elif rumour.boot > self.boot and self._own_word(rumour):
            self._silence(rumour.boot)

    def _refute(self) -> None:
        self.counts.refuted += 1
        self._incarnation += 1
        if self._incarnation > messages.MOST:
            self._reborn()
        self._alive = self._own_alive()
        self._pass_on(self._alive)

    def _reborn(self) -> None:
        """A number has reached its limit: a later life under the same name, with numbers from the start."""
        self.boot = max(self.boot + 1, round(self._wall * 1e3))
        self._incarnation = self._sequence = 0
        self._alive = self._own_alive()
        self._claims.pop(self.name, None)

    def _own_alive(self) -> Alive:
        host, port = self.address
        word = Alive(self.name, host, port, self.boot, self._incarnation, bytes(8), bytes(64))
        signed = messages.signed(word, self.signer)
        assert isinstance(signed, Alive)
        return signed

    def _namesake(self, payload: Payload) -> None:
        """A datagram signed as us that is not ours: of two under one name the later start keeps it."""
        if payload.boot > self.boot and abs(payload.at / 1e3 - self._wall) <= self.times.skew:
            self._silence(payload.boot)

    def _silence(self, boot: int) -> None:
        if not self.silent:
            self.silent = True
            self.events.append(("gossip_name_taken", {"name": self.name, "boot": self.boot, "later": boot}))

    def _pass_on(self, rumour: Rumour) -> None:
        """Let a rumour go out; it takes the place of an older one on the same matter."""
        self._rumours.add(rumour)

    def _about(self, name: str) -> list[Rumour]:
        """What must ride on a message to a member: that we live, and doubts of it, so that it can refute."""
        member = self.members.get(name)
        if member is None:
            return [self._alive]
        return [member.rumour()] if member.state in (State.SUSPECT, State.DEAD) else []

    def _spread(self) -> None:
        """New rumours, to a few members."""
        if not self._rumours or not self.budget.room(Urgency.RUMOUR):
            return
        for member in self.members.some(FANOUT):
            if self._rumours:
                self.tell(Urgency.RUMOUR, member.address, Gossip(), self._about(member.alive.name))

    # Probes

    def _count(self) -> int:
        self._number = (self._number + 1) % messages.MOST
        return self._number

    def _begin_probe(self) -> None:
        member = self.members.next()
        if member is None or self._probe is not None:
            return
        self.counts.probes += 1
        limit = self.times.answer * (self.health + 1)
        end = self._now + self.times.period * (self.health + 1) * 0.95
        self._probe = Probe(member.alive.name, self._count(), self._now, self._now + limit, end)
        about = self._about(member.alive.name)
        self.tell(Urgency.PROBE, member.address, Ping(self._probe.number, member.alive.name), about)

    def _acked(self, number: int, name: str) -> None:
        if self._probe is not None and self._probe.number == number:
            self._probe = None
            self.health = max(0, self.health - 1)
            return
        relay = self._relays.pop(number, None)
        if relay is not None:
            self.tell(Urgency.ANSWER, relay.asker, Ack(relay.number), [])

    def _check_probe(self) -> None:
        probe = self._probe
        if probe is None:
            return
        member = self.members.get(probe.name)
        if member is None or member.state >= State.DEAD:
            self._probe = None
        elif not probe.relayed and self._now >= probe.direct_until:
            probe.relayed = True
            relays = self.members.some(RELAYS, but=probe.name)
            probe.nacks_due = len(relays)
            for relay in relays:
                self.tell(Urgency.PROBE, relay.address, PingFor(probe.number, probe.name), [])
        elif self._now >= probe.until:
            self._probe = None
            self.counts.missed += 1
            # relays that said nothing at all: the fault may be ours
            self._unwell(int(probe.nacks < probe.nacks_due or not probe.nacks_due))
            if member.state is State.ALIVE:
                self._tell("suspected", self.members.suspect(member, self.name, self._now))
            elif member.suspicion is not None:
                member.suspicion.confirm(self.name)
            boot, incarnation = member.age
            self._pass_on(Suspect(probe.name, boot, incarnation))

    def _check_relays(self) -> None:
        for number, relay in list(self._relays.items()):
            if self._now >= relay.until:
                del self._relays[number]
            elif self._now >= relay.nack_at:
                relay.nack_at = relay.until + 1
                self.tell(Urgency.ANSWER, relay.asker, Nack(relay.number), [])

    def _check_suspicions(self) -> None:
        period = self.times.period
        for member in list(self.members.suspected.values()):
            if member.suspicion is None:
                continue
            ends = member.suspicion.ends(self.members.live + 1, period)
            if not member.suspicion.asked and self._now >= ends - self.times.period:
                # a last question of our own: slander costs a live one nothing. Of many only some ask, or it would drown
                member.suspicion.asked = True
                if self._random.random() * self.members.live < ASKERS:
                    ping = Ping(self._count(), member.alive.name)
                    self.tell(Urgency.PROBE, member.address, ping, [member.rumour()])
            if self._now >= ends:
                dead = self.members.bury(member, self._now)
                self._claims.pop(member.alive.name, None)
                self._tell("dead", dead)
                self._pass_on(dead.rumour())

    def _agreed_wait(self) -> float:
        """Time between comparisons that show no difference; longer among many, as each hears of more of them."""
        return self.times.compare * (1 + max(0.0, log2(max(self.members.live, 1) / SCALE_AT)))

    def _unwell(self, by: int) -> None:
        self.health = min(MOST_LOCAL, self.health + by)

    # Comparisons

    def _compare(self) -> None:
        """Tell one member, a seed while there is none, now and then one held dead, what we know, as hashes."""
        targets: list[Address] = [member.address for member in self.members.some(1)]
        if not targets or self._random.random() < 0.1:  # a cut that has healed is found again at the seeds
            targets += self._random.sample(self._seeds, min(2, len(self._seeds)))
        for target in targets:
            self.tell(Urgency.BULK, target, Digest(self.members.digest(self._alive), True), [self._alive])
        for member in self.members.some(1, dead=True):  # it may be back: what we hold it for lets it refute
            self.tell(Urgency.BULK, member.address, Ping(self._count(), ""), [self._alive, member.rumour()])

    def _send_fetched(self) -> None:
        """What others asked for, a datagram or two at a time, as the ceiling lets it."""
        while self._fetches and self.budget.room(Urgency.BULK):
            to, buckets = self._fetches[0]
            batch: list[Rumour] = [self._alive]
            room = messages.LARGEST - messages.HEAD - 120
            while buckets:
                # one that we suspect may be new to the asker, so it hears that it lived too; one held dead is no news
                rumours: list[Rumour] = [m.alive for m in self.members.of(buckets[0]) if m.state is State.SUSPECT]
                rumours += [m.rumour() for m in self.members.of(buckets[0])]
                size = sum(map(messages.size, rumours))
                if size > room and len(batch) > 1:
                    break
                batch += rumours[:40]
                room -= size
                buckets.pop(0)
            self.tell(Urgency.BULK, to, Gossip(), batch)
            if not buckets:
                self._fetches.popleft()

    def _gone(self, name: str) -> None:
        self._fresh.forget(name)
        self.beliefs.forget(name)
        self._claims.pop(name, None)
        self._doubters.pop(name, None)

    def _tell(self, what: str, member: Member) -> None:
        boot, incarnation = member.age
        fields = {"member": member.alive.name, "address": member.address, "boot": boot, "incarnation": incarnation}
        self.events.append((f"gossip_{what}", fields))


def fields_of(node: Node, now: float) -> list[dict[str, Any]]:
    """The members as operators see them."""
    found = []
    for member in sorted(node.members, key=lambda m: m.alive.name):
        host, port = member.address
        found.append(
            {
                "name": member.alive.name,
                "address": f"{host}:{port}",
                "state": member.state.name.lower(),
                "for_s": round(max(now - member.since, 0.0), 1),
                "incarnation": member.alive.incarnation,
                "trust": round(node.beliefs.trust.get(member.alive.name, 1.0), 3),
            }
        )
    return found
