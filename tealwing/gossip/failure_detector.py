"""SWIM's failure detector with Lifeguard's refinements: direct and relayed probes, suspicion timeouts; pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from tealwing.gossip.context import NodeContext
from tealwing.gossip.events import MemberChange
from tealwing.gossip.members import Member, State
from tealwing.gossip.messages import Ack, Address, Nack, Ping, PingRequest, Suspect
from tealwing.gossip.send_queue import Priority

INDIRECT_PROBES = 3  # relays that probe a member for this instance (SWIM's k, at Lifeguard's default)
NACK_FRACTION = 0.8  # of the probe timeout after which a relay reports that it has no answer (Lifeguard's)
PROBE_END_FRACTION = 0.95  # of the probe interval after which a probe ends, before the next begins
PAUSE_FACTOR = 3.0  # times the mean interval between ticks: a longer one means that this process was paused
TICK_SMOOTHING = 0.1  # weight of the latest interval in that mean
EXPECTED_TICK = 0.1  # s between two ticks, the initial value of that mean
FINAL_PROBERS = 64  # approximate number of members that probe a suspected one again before they declare it dead
MAX_RELAYED_PROBES = 256  # in flight at the same time


@dataclass(slots=True)
class Probe:
    """A probe by this instance that is in flight."""

    name: str
    number: int
    direct_deadline: float
    deadline: float
    relayed: bool = False
    nacks_expected: int = 0
    nacks: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """A probe by this instance at another member's request."""

    number: int  # of the requester's own probe
    requester: Address
    nack_at: float
    deadline: float


class FailureDetector:
    """Owns the probe in flight, the relayed probes and the deadlines of both."""

    def __init__(self, context: NodeContext, first_probe_at: float, on_dead: Callable[[str], None]) -> None:
        self._context, self._on_dead = context, on_dead
        self._next_probe = first_probe_at
        self._mean_tick = EXPECTED_TICK
        self._probe: Probe | None = None
        self._relayed: OrderedDict[int, RelayedProbe] = OrderedDict()

    @property
    def _probe_timeout(self) -> float:
        return self._context.timing.probe_timeout * (self._context.local_health.score + 1)

    def record_elapsed(self, elapsed: float) -> None:
        """Record the s since the last tick; after a pause of this process extend all deadlines by them."""
        if elapsed <= PAUSE_FACTOR * self._mean_tick or elapsed <= self._context.timing.probe_timeout:
            self._mean_tick += TICK_SMOOTHING * (max(elapsed, 0.001) - self._mean_tick)
            return
        self._context.local_health.degrade(1)  # the awaited answers may have arrived and not been read yet
        if self._probe is not None:
            self._probe.direct_deadline += elapsed
            self._probe.deadline += elapsed
        for member in self._context.members.suspected.values():
            if member.suspicion is not None:
                member.suspicion.since += elapsed

    def tick(self) -> None:
        """Check all deadlines, and begin the next probe if it is due."""
        self._check_probe()
        self._check_relayed()
        self._check_suspicions()
        now = self._context.clock.now
        if now >= self._next_probe:
            self._next_probe = now + self._context.timing.probe_interval * (self._context.local_health.score + 1)
            self._begin_probe()

    def handle_ack(self, ack: Ack) -> None:
        """End this instance's probe, or forward the ack to the member that requested the probe."""
        if self._probe is not None and self._probe.number == ack.number:
            self._probe = None
            self._context.local_health.improve()
            return
        relayed = self._relayed.pop(ack.number, None)
        if relayed is not None:
            self._context.outgoing.send(Priority.ANSWER, relayed.requester, Ack(relayed.number), [])

    def handle_nack(self, nack: Nack) -> None:
        """Count a relay that responds but has no answer from the probed member."""
        if self._probe is not None and self._probe.number == nack.number:
            self._probe.nacks += 1

    def handle_ping_request(self, requester: Address, request: PingRequest) -> None:
        """Probe a member at another member's request."""
        context = self._context
        member = context.members.get(request.name)
        if member is None or len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        number, now = context.outgoing.next_ping_number(), context.clock.now
        self._relayed[number] = RelayedProbe(
            request.number, requester, now + NACK_FRACTION * self._probe_timeout, now + context.timing.probe_interval
        )
        ping = Ping(number, request.name)
        context.outgoing.send(Priority.PROBE, member.address, ping, context.outgoing.rumours_for(request.name))

    def _begin_probe(self) -> None:
        context = self._context
        member = context.members.next_probe_target()
        if member is None or self._probe is not None:
            return
        context.counters.probes += 1
        name, now = member.alive.name, context.clock.now
        deadline = now + context.timing.probe_interval * (context.local_health.score + 1) * PROBE_END_FRACTION
        probe = Probe(name, context.outgoing.next_ping_number(), now + self._probe_timeout, deadline)
        self._probe = probe
        ping = Ping(probe.number, name)
        context.outgoing.send(Priority.PROBE, member.address, ping, context.outgoing.rumours_for(name))

    def _check_probe(self) -> None:
        probe, context = self._probe, self._context
        if probe is None:
            return
        member = context.members.get(probe.name)
        if member is None or member.state >= State.DEAD:
            self._probe = None
        elif not probe.relayed and context.clock.now >= probe.direct_deadline:
            probe.relayed = True
            relays = context.members.sample(INDIRECT_PROBES, exclude=probe.name)
            probe.nacks_expected = len(relays)
            for relay in relays:
                context.outgoing.send(Priority.PROBE, relay.address, PingRequest(probe.number, probe.name), [])
        elif context.clock.now >= probe.deadline:
            self._probe = None
            self._probe_failed(probe, member)

    def _probe_failed(self, probe: Probe, member: Member) -> None:
        context = self._context
        context.counters.missed += 1
        # if a relay sent nothing at all, the fault may be this instance's own
        context.local_health.degrade(int(probe.nacks < probe.nacks_expected or not probe.nacks_expected))
        if member.state is State.ALIVE:
            suspected = context.members.suspect(member, context.identity.name, context.clock.now)
            context.report(MemberChange.SUSPECTED, suspected)
        elif member.suspicion is not None:
            member.suspicion.confirm(context.identity.name)
        boot, incarnation = member.version
        context.outgoing.publish(Suspect(probe.name, boot, incarnation))

    def _check_relayed(self) -> None:
        now = self._context.clock.now
        for number, relayed in list(self._relayed.items()):
            if now >= relayed.deadline:
                del self._relayed[number]
            elif now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline + 1  # sent once
                self._context.outgoing.send(Priority.ANSWER, relayed.requester, Nack(relayed.number), [])

    def _check_suspicions(self) -> None:
        context, interval = self._context, self._context.timing.probe_interval
        for member in list(context.members.suspected.values()):
            if member.suspicion is None:
                continue
            deadline = member.suspicion.deadline(context.members.live + 1, interval)
            if not member.suspicion.probed_again and context.clock.now >= deadline - interval:
                member.suspicion.probed_again = True
                self._probe_again(member)
            if context.clock.now >= deadline:
                dead = context.members.mark_dead(member, context.clock.now)
                self._on_dead(member.alive.name)
                context.report(MemberChange.DEAD, dead)
                context.outgoing.publish(dead.rumour())

    def _probe_again(self, member: Member) -> None:
        """Probe a suspected member once more, so that false suspicions don't remove a live member.

        Among many members only some do this: the probes of all would flood the suspected one.
        """
        context = self._context
        if context.random.random() * context.members.live < FINAL_PROBERS:
            ping = Ping(context.outgoing.next_ping_number(), member.alive.name)
            context.outgoing.send(Priority.PROBE, member.address, ping, [member.rumour()])
