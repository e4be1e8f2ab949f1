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
from tealwing.gossip.health_estimator import EngineHealth, HealthEstimator
from tealwing.gossip.members import Member, Members, State
from tealwing.gossip.messages import (
    Ack,
    Alive,
    Body,
    Dead,
    Digest,
    EngineObservation,
    Fetch,
    Gossip,
    HealthReport,
    Left,
    MessageRejectedError,
    Nack,
    Payload,
    Ping,
    PingRequest,
    RejectionCause,
    Rumour,
    Signer,
    Suspect,
    Verify,
)
from tealwing.gossip.replay_protection import ReplayFilter
from tealwing.gossip.rumour_queue import RumourQueue
from tealwing.gossip.send_queue import Address, Priority, SendQueue

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
class Timing:
    """The protocol's times in s, and its ceiling in bytes a second."""

    probe_interval: float = 1.0  # between two probes
    probe_timeout: float = 0.3  # for a direct answer
    gossip_interval: float = 0.2  # between two rounds of rumours
    sync_interval: float = 10.0  # between two comparisons of all that is known
    max_clock_skew: float = 10.0  # between two clocks at most
    max_bytes_per_s: float = 16384.0


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
class Counters:
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
        times: Timing,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        wall: float,
        boot: int | None = None,
    ) -> None:
        self.name, self.address, self.timing = name, address, times
        self.signer, self._verify, self._random = signer, verify, rng
        self.boot = boot if boot is not None else round(wall * 1e3)
        self._incarnation = self._sequence = 0
        self.members = Members(name, rng)
        self.health_estimator = HealthEstimator()
        self.send_queue = SendQueue(times.max_bytes_per_s, now)
        self.counters, self.events = Counters(), list[Event]()
        self.sampling_key = rng.random()  # which of many speak of engines
        self.silent = False  # another instance has our name and began later: we say nothing more
        self.health = 0  # Lifeguard's local health counter: 0 is well
        self._fresh = ReplayFilter(times.max_clock_skew)
        self._seeds = [seed for seed in seeds if seed != address]
        self._rumours = RumourQueue()
        self._claims: dict[str, HealthReport] = {}
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
        self._next_probe = now + rng.random() * times.probe_interval
        self._next_gossip = now + rng.random() * times.gossip_interval
        self._next_compare, self._compare_wait = now, times.sync_interval * AGAIN
        self._alive = self._own_alive()

    # In

    def receive(self, now: float, wall: float, source: Address, data: bytes) -> None:
        """Take one datagram. What is bad is counted by its cause, costs bounded time and changes nothing."""
        self._now, self._wall = max(now, self._now), wall
        self.counters.received += 1
        try:
            self._limit(source)
            payload = messages.decode(data, self._verify)
            if payload.name == self.name:
                self._namesake(payload)
                raise MessageRejectedError(RejectionCause.NAME)
            self._fresh.accept(payload.name, payload.boot, payload.sequence, payload.sent_at_ms, wall)
        except MessageRejectedError as error:
            self.counters.rejected[error.cause.value] += 1
            if error.cause is RejectionCause.STALE:  # two under one name: the earlier one must hear of the later
                known = self.members.get(payload.name)
                if known is not None:
                    self.send(Priority.ANSWER, source, Gossip(), [known.alive])
            return
        if self.silent:
            return
        if self.members.record_contact(payload.name, payload.boot, self._now):
            member = self.members.get(payload.name)
            if member is not None:
                self._tell("refuted", member)
        for rumour in payload.rumours:
            self._hear(rumour, payload.name)
        self._answer(source, payload)

    def tick(self, now: float, wall: float) -> None:
        """Let time pass; call some ten times a second."""
        passed = now - self._now
        if passed > LATE_TICK * self._step and passed > self.timing.probe_timeout:
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
            self._next_refute = self._now + self.timing.probe_interval / 2
            self._unwell(1)
            self._refute()
        self._check_probe()
        self._check_relays()
        self._check_suspicions()
        if self._now >= self._next_probe:
            self._next_probe = self._now + self.timing.probe_interval * (self.health + 1)
            self._begin_probe()
        if self._now >= self._next_gossip:
            self._next_gossip = self._now + self.timing.gossip_interval
            self._spread()
        if self._now >= self._next_compare:
            self._compare()
            self._next_compare = self._now + self._compare_wait * self._random.uniform(0.8, 1.2)
            self._compare_wait = min(2 * self._compare_wait, self._agreed_wait())
            self.members.remove_expired(self._now, self._gone)
        self._send_fetched()

    def publish_health(self, words: Sequence[EngineHealth]) -> None:
        """What this gateway sees of engines, for the others; the latest word only, and the worst engines first."""
        if self.silent:
            return
        gist = {(word.key, word.is_reportable, round(log2(max(word.cost, 0.1)))) for word in words}
        if self._now < self._said_at + (SAY_SAME if gist == self._gist else 0.0):
            return
        self._said_at, self._gist = self._now, gist
        worst = sorted(words, key=lambda word: (-word.cost, word.key))[:16]
        seen = [EngineObservation(w.engine, w.started_ms, w.slowness, w.failure_ratio, w.samples) for w in worst]
        version = max(round(self._wall * 1e3), 0)
        before = self._claims.get(self.name)
        if before is not None and version <= before.version:
            version = before.version + 1
        claims = HealthReport(self.name, self.boot, version, seen, bytes(8), bytes(64))
        word = messages.sign_rumour(claims, self.signer)
        assert isinstance(word, HealthReport)
        self._claims[self.name] = word
        self._pass_on(word)

    def leave(self, now: float, wall: float) -> None:
        """Tell a few that we end."""
        self._now, self._wall = max(now, self._now), wall
        word = Left(self.name, self.boot, self._incarnation, bytes(8), bytes(64))
        rumour = messages.sign_rumour(word, self.signer)
        for member in self.members.sample(FANOUT * 2):
            self.send(Priority.ANSWER, member.address, Gossip(), [rumour])
        self.silent = True

    def take_datagrams(self, now: float) -> list[tuple[Address, bytes]]:
        """The datagrams that may go now."""
        return self.send_queue.take_due(now)

    def restore(self, known: Sequence[Alive], trust: dict[str, float]) -> None:
        """What an earlier life of ours wrote down: members to look for, and the trust in them."""
        for word in known:
            if word.name != self.name and self._own_word(word):
                self.members.apply_alive(word, self._now)
        self.health_estimator.trust.update(trust)

    def replace_key(self, signer: Signer) -> None:
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
            raise MessageRejectedError(RejectionCause.FLOOD)

    def _answer(self, source: Address, payload: Payload) -> None:
        match payload.body:
            case Ping(number, to):
                if to in ("", self.name):
                    self.send(Priority.ANSWER, source, Ack(number), self._about(payload.name))
            case Ack(number):
                self._acked(number, payload.name)
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks += 1
            case PingRequest(number, name):
                member = self.members.get(name)
                if member is not None and len(self._relays) < PROBES:
                    ours = self._count()
                    limit = self.timing.probe_timeout * (self.health + 1)
                    self._relays[ours] = Relay(
                        number, source, self._now + NACK_AT * limit, self._now + self.timing.probe_interval
                    )
                    self.send(Priority.PROBE, member.address, Ping(ours, name), self._about(name))
            case Digest(buckets, answer):
                both = zip(buckets, self.members.digest(self._alive), strict=False)
                differ = [i for i, (theirs, ours) in enumerate(both) if theirs != ours]
                if answer:
                    self.send(Priority.BULK, source, Digest(self.members.digest(self._alive), False), [self._alive])
                if differ:  # and it may not be the only one: compare again soon, until one agrees
                    self.send(Priority.BULK, source, Fetch(differ), [])
                    self._compare_wait = self.timing.sync_interval * AGAIN
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

    def send(self, urgency: Priority, to: Address, body: Body, first: Sequence[Rumour]) -> None:
        """One datagram: the rumours that must ride on it, and as many others as fit."""
        if self._sequence >= messages.MAX_SEQUENCE:
            self._reborn()
        self._sequence += 1
        at = max(round(self._wall * 1e3), 0)
        payload = Payload(self.name, self.boot, self._sequence, at, body, [])
        longest = messages.MAX_DATAGRAM_BYTES
        if urgency in (Priority.ANSWER, Priority.PROBE) and not self.send_queue.has_spare_tokens():
            longest = SHORT  # what tells who lives must get through, and rumours have datagrams of their own
        room = longest - messages.datagram_size(payload) - 8  # the array's head grows by a few bytes
        riding: list[Rumour] = []
        for rumour in first:
            if (size := messages.rumour_size(rumour)) <= room:
                riding.append(rumour)
                room -= size
        if urgency is not Priority.BULK:
            riding += self._rumours.take_piggyback(room, self._most(), riding)
        payload = messages.Payload(self.name, self.boot, self._sequence, at, body, riding)
        self.send_queue.enqueue(urgency, self._now, to, messages.encode(payload, self.signer))

    # Rumours

    def _most(self) -> int:
        """How often a rumour is sent."""
        return ceil(SPREAD * log10(self.members.live + 2))

    def _hear(self, rumour: Rumour, sender: str) -> None:
        if rumour.name == self.name:
            self._of_us(rumour)
            return
        self._rumours.record_received(rumour, self._most())
        match rumour:
            case Alive():
                # only news is worth a signature's time, and only a member's own word is news
                known = self.members.get(rumour.name)
                if known is not None and (rumour.boot, rumour.incarnation) <= known.version:
                    return
                if rumour.boot / 1e3 > self._wall + self.timing.max_clock_skew or not self._own_word(rumour):
                    return
                before = known.state if known is not None else None
                member = self.members.apply_alive(rumour, self._now)
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
                member = self.members.apply_left(rumour, self._now)
                if member is not None:
                    self._pass_on(rumour)
                    self._tell("left", member)
            case Suspect() | Dead():
                if not self._may_doubt(sender):
                    return
                member, news = self.members.apply_suspicion(rumour, sender, self._now)
                if member is not None:
                    self._tell("suspected", member)
                if news:
                    self._pass_on(Suspect(rumour.name, rumour.boot, rumour.incarnation))
            case HealthReport():
                self._hear_claims(rumour)

    def _may_doubt(self, sender: str) -> bool:
        """A bucket for each member's doubts: one that slanders all must not keep all busy with refuting."""
        left, at = self._doubters.get(sender, (DOUBTS[1], self._now))
        left = min(DOUBTS[1], left + DOUBTS[0] * (self._now - at))
        self._doubters[sender] = max(left - 1, 0.0), self._now
        return left >= 1

    def _hear_claims(self, word: HealthReport) -> None:
        known = self._claims.get(word.name)
        if known is not None and (word.boot, word.version) <= (known.boot, known.version):
            return
        member = self.members.get(word.name)
        if member is None or member.state >= State.DEAD or word.boot != member.alive.boot:
            return
        age = self._wall - word.version / 1e3
        if (
            age < -self.timing.max_clock_skew
            or age > FRESH_ENOUGH + self.timing.max_clock_skew
            or not self._own_word(word)
        ):
            return
        self._claims[word.name] = word
        self.health_estimator.add_report(
            word.name,
            self._now,
            [EngineHealth(s.engine, s.started_ms, s.slowness, s.failure_ratio, s.samples) for s in word.observations],
        )
        self._pass_on(word)

    def _own_word(self, rumour: Alive | Left | HealthReport) -> bool:
        """Whether the member itself said so; signatures that held are remembered."""
        word = messages.signed_bytes(rumour)
        mark = blake2b(rumour.signature + word, digest_size=16).digest()
        if mark in self._checked:
            self._checked.move_to_end(mark)
            return True
        if not self._verify(rumour.name, rumour.key, word, rumour.signature):
            self.counters.rejected[RejectionCause.SIGNATURE.value] += 1
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
        self.counters.refuted += 1
        self._incarnation += 1
        if self._incarnation > messages.MAX_INCARNATION:
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
        signed = messages.sign_rumour(word, self.signer)
        assert isinstance(signed, Alive)
        return signed

    def _namesake(self, payload: Payload) -> None:
        """A datagram signed as us that is not ours: of two under one name the later start keeps it."""
        if payload.boot > self.boot and abs(payload.sent_at_ms / 1e3 - self._wall) <= self.timing.max_clock_skew:
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
        if not self._rumours or not self.send_queue.has_capacity(Priority.RUMOUR):
            return
        for member in self.members.sample(FANOUT):
            if self._rumours:
                self.send(Priority.RUMOUR, member.address, Gossip(), self._about(member.alive.name))

    # Probes

    def _count(self) -> int:
        self._number = (self._number + 1) % messages.MAX_INCARNATION
        return self._number

    def _begin_probe(self) -> None:
        member = self.members.next_probe_target()
        if member is None or self._probe is not None:
            return
        self.counters.probes += 1
        limit = self.timing.probe_timeout * (self.health + 1)
        end = self._now + self.timing.probe_interval * (self.health + 1) * 0.95
        self._probe = Probe(member.alive.name, self._count(), self._now, self._now + limit, end)
        about = self._about(member.alive.name)
        self.send(Priority.PROBE, member.address, Ping(self._probe.number, member.alive.name), about)

    def _acked(self, number: int, name: str) -> None:
        if self._probe is not None and self._probe.number == number:
            self._probe = None
            self.health = max(0, self.health - 1)
            return
        relay = self._relays.pop(number, None)
        if relay is not None:
            self.send(Priority.ANSWER, relay.asker, Ack(relay.number), [])

    def _check_probe(self) -> None:
        probe = self._probe
        if probe is None:
            return
        member = self.members.get(probe.name)
        if member is None or member.state >= State.DEAD:
            self._probe = None
        elif not probe.relayed and self._now >= probe.direct_until:
            probe.relayed = True
            relays = self.members.sample(RELAYS, exclude=probe.name)
            probe.nacks_due = len(relays)
            for relay in relays:
                self.send(Priority.PROBE, relay.address, PingRequest(probe.number, probe.name), [])
        elif self._now >= probe.until:
            self._probe = None
            self.counters.missed += 1
            # relays that said nothing at all: the fault may be ours
            self._unwell(int(probe.nacks < probe.nacks_due or not probe.nacks_due))
            if member.state is State.ALIVE:
                self._tell("suspected", self.members.suspect(member, self.name, self._now))
            elif member.suspicion is not None:
                member.suspicion.confirm(self.name)
            boot, incarnation = member.version
            self._pass_on(Suspect(probe.name, boot, incarnation))

    def _check_relays(self) -> None:
        for number, relay in list(self._relays.items()):
            if self._now >= relay.until:
                del self._relays[number]
            elif self._now >= relay.nack_at:
                relay.nack_at = relay.until + 1
                self.send(Priority.ANSWER, relay.asker, Nack(relay.number), [])

    def _check_suspicions(self) -> None:
        period = self.timing.probe_interval
        for member in list(self.members.suspected.values()):
            if member.suspicion is None:
                continue
            ends = member.suspicion.deadline(self.members.live + 1, period)
            if not member.suspicion.probed_again and self._now >= ends - self.timing.probe_interval:
                # a last question of our own: slander costs a live one nothing. Of many only some ask, or it would drown
                member.suspicion.probed_again = True
                if self._random.random() * self.members.live < ASKERS:
                    ping = Ping(self._count(), member.alive.name)
                    self.send(Priority.PROBE, member.address, ping, [member.rumour()])
            if self._now >= ends:
                dead = self.members.mark_dead(member, self._now)
                self._claims.pop(member.alive.name, None)
                self._tell("dead", dead)
                self._pass_on(dead.rumour())

    def _agreed_wait(self) -> float:
        """Time between comparisons that show no difference; longer among many, as each hears of more of them."""
        return self.timing.sync_interval * (1 + max(0.0, log2(max(self.members.live, 1) / SCALE_AT)))

    def _unwell(self, by: int) -> None:
        self.health = min(MOST_LOCAL, self.health + by)

    # Comparisons

    def _compare(self) -> None:
        """Tell one member, a seed while there is none, now and then one held dead, what we know, as hashes."""
        targets: list[Address] = [member.address for member in self.members.sample(1)]
        if not targets or self._random.random() < 0.1:  # a cut that has healed is found again at the seeds
            targets += self._random.sample(self._seeds, min(2, len(self._seeds)))
        for target in targets:
            self.send(Priority.BULK, target, Digest(self.members.digest(self._alive), True), [self._alive])
        for member in self.members.sample(1, dead=True):  # it may be back: what we hold it for lets it refute
            self.send(Priority.BULK, member.address, Ping(self._count(), ""), [self._alive, member.rumour()])

    def _send_fetched(self) -> None:
        """What others asked for, a datagram or two at a time, as the ceiling lets it."""
        while self._fetches and self.send_queue.has_capacity(Priority.BULK):
            to, buckets = self._fetches[0]
            batch: list[Rumour] = [self._alive]
            room = messages.MAX_DATAGRAM_BYTES - messages.FRAME_BYTES - 120
            while buckets:
                # one that we suspect may be new to the asker, so it hears that it lived too; one held dead is no news
                rumours: list[Rumour] = [
                    m.alive for m in self.members.in_bucket(buckets[0]) if m.state is State.SUSPECT
                ]
                rumours += [m.rumour() for m in self.members.in_bucket(buckets[0])]
                size = sum(map(messages.rumour_size, rumours))
                if size > room and len(batch) > 1:
                    break
                batch += rumours[:40]
                room -= size
                buckets.pop(0)
            self.send(Priority.BULK, to, Gossip(), batch)
            if not buckets:
                self._fetches.popleft()

    def _gone(self, name: str) -> None:
        self._fresh.forget(name)
        self.health_estimator.forget(name)
        self._claims.pop(name, None)
        self._doubters.pop(name, None)

    def _tell(self, what: str, member: Member) -> None:
        boot, incarnation = member.version
        fields = {"member": member.alive.name, "address": member.address, "boot": boot, "incarnation": incarnation}
        self.events.append((f"gossip_{what}", fields))


def member_status(node: Node, now: float) -> list[dict[str, Any]]:
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
                "trust": round(node.health_estimator.trust.get(member.alive.name, 1.0), 3),
            }
        )
    return found
