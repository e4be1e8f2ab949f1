"""Dissemination: rumours piggybacked on other datagrams, and rounds of datagrams with rumours only; pure."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, log10

from tealwing.gossip import messages
from tealwing.gossip.config import Timing
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.members import Members, State
from tealwing.gossip.messages import Address, Body, Gossip, Payload, Rumour
from tealwing.gossip.rumour_queue import RumourQueue
from tealwing.gossip.send_queue import Priority, SendQueue

RETRANSMIT_FACTOR = 4  # times the decimal log of the members: sends of a rumour (memberlist's RetransmitMult)
GOSSIP_FANOUT = 3  # members that receive a round of rumours (memberlist's GossipNodes)
SHORT_DATAGRAM_BYTES = 420  # limit of a probe or an answer without spare tokens: room for two rumours
ARRAY_HEADER_BYTES = 8  # by which the payload's header of its array of rumours may grow


class Disseminator:
    """Owns the queue of rumours, the queue of datagrams and the numbers of pings."""

    def __init__(
        self,
        identity: LocalIdentity,
        clock: Clock,
        members: Members,
        timing: Timing,
        first_ping_number: int,
        first_round_at: float,
    ) -> None:
        self._identity, self._clock, self._members, self._timing = identity, clock, members, timing
        self.send_queue = SendQueue(timing.max_bytes_per_s, clock.now)
        self._rumours = RumourQueue()
        self._ping_number, self._next_round = first_ping_number, first_round_at

    def next_ping_number(self) -> int:
        """Return the number of the next ping, which its answer repeats."""
        self._ping_number = (self._ping_number + 1) % messages.MAX_INCARNATION
        return self._ping_number

    def publish(self, rumour: Rumour) -> None:
        """Queue a rumour; it replaces an older one on the same subject."""
        self._rumours.add(rumour)

    def record_received(self, rumour: Rumour) -> None:
        """Count a queued rumour that another member has sent as one send of this instance."""
        self._rumours.record_received(rumour, self._max_sends())

    def send(self, priority: Priority, to: Address, body: Body, first: Sequence[Rumour]) -> None:
        """Queue one datagram with the rumours that must go with it, and as many others as fit."""
        identity, sent_at_ms = self._identity, self._clock.unix_ms
        sequence = identity.next_sequence()
        payload = Payload(identity.name, identity.boot, sequence, sent_at_ms, body, [])
        limit = messages.MAX_DATAGRAM_BYTES
        if priority in (Priority.ANSWER, Priority.PROBE) and not self.send_queue.has_spare_tokens():
            limit = SHORT_DATAGRAM_BYTES  # failure detection has priority; rumours also have datagrams of their own
        available = limit - messages.datagram_size(payload) - ARRAY_HEADER_BYTES
        piggybacked: list[Rumour] = []
        for rumour in first:
            if (size := messages.rumour_size(rumour)) <= available:
                piggybacked.append(rumour)
                available -= size
        if priority is not Priority.BULK:
            piggybacked += self._rumours.take_piggyback(available, self._max_sends(), piggybacked)
        payload = Payload(identity.name, identity.boot, sequence, sent_at_ms, body, piggybacked)
        self.send_queue.enqueue(priority, self._clock.now, to, messages.encode(payload, identity.signer))

    def rumours_for(self, name: str) -> list[Rumour]:
        """Return the rumours to send to a member: its suspicion or death to refute, or the local `Alive` if unknown."""
        member = self._members.get(name)
        if member is None:
            return [self._identity.alive]
        return [member.rumour()] if member.state in (State.SUSPECT, State.DEAD) else []

    def tick(self) -> None:
        """Send queued rumours to a few random members if a round is due."""
        if self._clock.now < self._next_round:
            return
        self._next_round = self._clock.now + self._timing.gossip_interval
        if not self._rumours or not self.send_queue.has_capacity(Priority.RUMOUR):
            return
        for member in self._members.sample(GOSSIP_FANOUT):
            if self._rumours:
                self.send(Priority.RUMOUR, member.address, Gossip(), self.rumours_for(member.alive.name))

    def _max_sends(self) -> int:
        return ceil(RETRANSMIT_FACTOR * log10(self._members.live + 2))
