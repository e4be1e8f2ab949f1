"""One instance's part of the protocol, without I/O and without a clock: datagrams and ticks in, datagrams out.

Membership is SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips and Currey, 2018).
Each interval one member is probed, directly and then through relays (`failure_detector`). A member that answers neither
is suspected for a time that shrinks as others confirm (`suspicion`); it refutes with a higher incarnation
(`membership`). Rumours are piggybacked on probes and sent in datagrams of their own while they are new, each a bounded
number of times (`dissemination`). Periodically two instances compare hashes and exchange what differs
(`anti_entropy`): joining instances and healed partitions thus converge to the same state, at a cost that does not grow
with the number of members while they agree.

The caller passes two times: `now`, monotonic seconds, and `wall`, seconds of the Unix clock, for timestamps only. The
same seed and the same calls give the same datagrams.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from tealwing.gossip import messages
from tealwing.gossip.anti_entropy import AntiEntropy
from tealwing.gossip.config import Timing
from tealwing.gossip.context import Counters, NodeContext
from tealwing.gossip.dissemination import GOSSIP_FANOUT, Disseminator
from tealwing.gossip.errors import MessageRejectedError, RejectionCause
from tealwing.gossip.events import GossipEvent
from tealwing.gossip.failure_detector import FailureDetector
from tealwing.gossip.health_estimator import EngineHealth, HealthEstimator
from tealwing.gossip.health_reports import HealthReports
from tealwing.gossip.identity import Clock, LocalIdentity
from tealwing.gossip.members import Members
from tealwing.gossip.membership import Membership
from tealwing.gossip.messages import (
    Ack,
    Address,
    Alive,
    Body,
    Digest,
    Fetch,
    Gossip,
    Nack,
    Payload,
    Ping,
    PingRequest,
    Rumour,
    Signer,
    Verify,
)
from tealwing.gossip.replay_protection import ReplayFilter
from tealwing.gossip.send_queue import Priority, SendQueue
from tealwing.gossip.verification import RumourVerifier, SenderRateLimiter

FIRST_PING_NUMBERS = 1 << 20  # range from which an instance draws its first ping number


class Node:
    """Combines the protocol's parts for one instance, and dispatches datagrams and ticks to them."""

    def __init__(
        self,
        identity: LocalIdentity,
        clock: Clock,
        verify: Verify,
        timing: Timing,
        seeds: Sequence[Address],
        rng: random.Random,
    ) -> None:
        # the results of simulated clusters depend on the order of these draws
        self.sampling_key = rng.random()  # selects which of many members report on engines
        first_ping_number = rng.randrange(FIRST_PING_NUMBERS)
        first_probe_at = clock.now + rng.random() * timing.probe_interval
        first_round_at = clock.now + rng.random() * timing.gossip_interval
        self.identity = identity
        self.members = Members(identity.name, rng)
        outgoing = Disseminator(identity, clock, self.members, timing, first_ping_number, first_round_at)
        self._context = NodeContext(identity, clock, timing, rng, self.members, outgoing)
        self._clock, self._outgoing = clock, outgoing
        self._sender_limiter = SenderRateLimiter()
        self._replay_filter = ReplayFilter(timing.max_clock_skew)
        self.verifier = RumourVerifier(verify, self.counters.rejected)
        self._reports = HealthReports(self._context, self.verifier)
        self.membership = Membership(self._context, self.verifier, self._reports)
        self._failure_detector = FailureDetector(self._context, first_probe_at, self._reports.forget_report)
        self._anti_entropy = AntiEntropy(self._context, seeds)

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.identity.name

    @property
    def address(self) -> Address:
        """The host and port at which the instance listens."""
        return self.identity.address

    @property
    def silent(self) -> bool:
        """Whether the instance sends nothing more: it left, or a later start has its name."""
        return self.identity.silent

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score; 0 is healthy."""
        return self._context.local_health.score

    @property
    def counters(self) -> Counters:
        """The totals since the node's start."""
        return self._context.counters

    @property
    def events(self) -> list[GossipEvent]:
        """The events that the owner has not taken; it removes them from the list."""
        return self._context.events

    @property
    def health_estimator(self) -> HealthEstimator:
        """The estimator of the engines' health from the members' reports."""
        return self._reports.estimator

    @property
    def send_queue(self) -> SendQueue:
        """The queue of datagrams to send."""
        return self._outgoing.send_queue

    def receive(self, now: float, wall: float, source: Address, data: bytes) -> None:
        """Handle one datagram. A bad one is counted by its cause, costs bounded time and changes nothing."""
        self._clock.advance(now, wall)
        self.counters.received += 1
        try:
            self._sender_limiter.admit(source, self._clock.now)
            payload = messages.decode(data, self.verifier.verify)
            self._check_sender(source, payload)
        except MessageRejectedError as error:
            self.counters.rejected[error.cause.value] += 1
            return
        if self.silent:
            return
        self.membership.record_contact(payload.name, payload.boot)
        for rumour in payload.rumours:
            self.membership.apply(rumour, payload.name)
        self._handle_body(source, payload)

    def tick(self, now: float, wall: float) -> None:
        """Advance the time and do what is due; to be called about ten times a second."""
        self._failure_detector.record_elapsed(now - self._clock.now)
        self._clock.advance(now, wall)
        if self.silent:
            return
        self.membership.tick()
        self._failure_detector.tick()
        self._outgoing.tick()
        if self._anti_entropy.tick():
            self.members.remove_expired(self._clock.now, self._forget)
        self._anti_entropy.send_fetched()

    def publish_health(self, engines: Sequence[EngineHealth]) -> None:
        """Publish this gateway's evidence on engines; only the latest report counts."""
        self._reports.publish(engines)

    def leave(self, now: float, wall: float) -> None:
        """Notify a few members that this instance leaves, and stop sending."""
        self._clock.advance(now, wall)
        left = self.identity.left()
        for member in self.members.sample(GOSSIP_FANOUT * 2):
            self.send(Priority.ANSWER, member.address, Gossip(), [left])
        self.identity.silent = True

    def take_datagrams(self, now: float) -> list[tuple[Address, bytes]]:
        """Return the datagrams that may be sent now."""
        return self.send_queue.take_due(now)

    def restore(self, known: Sequence[Alive], trust: dict[str, float]) -> None:
        """Restore members and the trust in them from the persisted state of an earlier start."""
        for alive in known:
            self.membership.restore_member(alive)
        self.health_estimator.trust.update(trust)

    def replace_key(self, signer: Signer) -> None:
        """Sign with another key from now on, and publish an `Alive` signed with it."""
        self.identity.signer = signer
        self.membership.refute()

    def send(self, priority: Priority, to: Address, body: Body, first: Sequence[Rumour]) -> None:
        """Queue one datagram with the rumours that must go with it, and as many others as fit."""
        self._outgoing.send(priority, to, body, first)

    def _check_sender(self, source: Address, payload: Payload) -> None:
        """Reject a datagram under this instance's name, and one that is repeated or of an earlier boot."""
        if payload.name == self.name:
            self.membership.check_name_conflict(payload)
            raise MessageRejectedError(RejectionCause.NAME)
        try:
            self._replay_filter.accept(
                payload.name, payload.boot, payload.sequence, payload.sent_at_ms, self._clock.unix_time
            )
        except MessageRejectedError as error:
            known = self.members.get(payload.name)
            if error.cause is RejectionCause.STALE and known is not None:
                # two instances have one name: the earlier start must learn of the later one
                self.send(Priority.ANSWER, source, Gossip(), [known.alive])
            raise

    def _handle_body(self, source: Address, payload: Payload) -> None:
        match payload.body:
            case Ping(number, to):
                if to in ("", self.name):
                    self.send(Priority.ANSWER, source, Ack(number), self._outgoing.rumours_for(payload.name))
            case Ack():
                self._failure_detector.handle_ack(payload.body)
            case Nack():
                self._failure_detector.handle_nack(payload.body)
            case PingRequest():
                self._failure_detector.handle_ping_request(source, payload.body)
            case Digest():
                self._anti_entropy.handle_digest(source, payload.body)
            case Fetch():
                self._anti_entropy.handle_fetch(source, payload.body)
            case Gossip():
                pass

    def _forget(self, name: str) -> None:
        self._replay_filter.forget(name)
        self._reports.forget(name)
        self.membership.forget(name)


def member_status(node: Node, now: float) -> list[dict[str, Any]]:
    """Return the members as the control socket shows them."""
    status = []
    for member in sorted(node.members, key=lambda m: m.alive.name):
        host, port = member.address
        status.append(
            {
                "name": member.alive.name,
                "address": f"{host}:{port}",
                "state": member.state.name.lower(),
                "for_s": round(max(now - member.since, 0.0), 1),
                "incarnation": member.alive.incarnation,
                "trust": round(node.health_estimator.trust.get(member.alive.name, 1.0), 3),
            }
        )
    return status
