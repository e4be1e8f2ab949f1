"""Anti-entropy: two instances compare hashes of their member lists by bucket and exchange what differs; pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import log2

from tealwing.gossip import messages
from tealwing.gossip.context import NodeContext
from tealwing.gossip.members import State
from tealwing.gossip.messages import Address, Digest, Fetch, Gossip, Ping, Rumour
from tealwing.gossip.send_queue import Priority

RESYNC_FACTOR = 0.1  # of the sync interval: delay of the next comparison after one that found a difference
SYNC_SCALING_MEMBERS = 32  # members beyond which the sync interval grows with their binary log (as in memberlist)
SEED_PROBABILITY = 0.1  # that digests go to seeds too: through them the sides of a healed partition find each other
SEEDS_PER_SYNC = 2
MAX_PENDING_FETCHES = 16  # fetches that wait to be answered; beyond that the oldest is dropped
PAYLOAD_RESERVE_BYTES = 120  # of a datagram, for all fields of the payload but the rumours
MAX_BUCKET_RUMOURS = 40  # rumours of one bucket in one datagram; the format allows 64 in a datagram


class AntiEntropy:
    """Owns the seeds, the time of the next comparison and the fetches that wait to be answered."""

    def __init__(self, context: NodeContext, seeds: Sequence[Address]) -> None:
        self._context = context
        self._seeds = [seed for seed in seeds if seed != context.identity.address]
        self._next_sync = context.clock.now
        self._interval = context.timing.sync_interval * RESYNC_FACTOR
        self._fetches: deque[tuple[Address, list[int]]] = deque(maxlen=MAX_PENDING_FETCHES)

    def tick(self) -> bool:
        """Send digests to a member if a comparison is due; return whether it was."""
        context = self._context
        if context.clock.now < self._next_sync:
            return False
        self._send_digests()
        self._next_sync = context.clock.now + self._interval * context.random.uniform(0.8, 1.2)
        self._interval = min(2 * self._interval, self._settled_interval())
        return True

    def handle_digest(self, source: Address, digest: Digest) -> None:
        """Fetch the buckets that differ; send this instance's digest if the sender requested it."""
        context, alive = self._context, self._context.identity.alive
        pairs = zip(digest.buckets, context.members.digest(alive), strict=False)
        differing = [number for number, (theirs, ours) in enumerate(pairs) if theirs != ours]
        if digest.request_reply:
            context.outgoing.send(Priority.BULK, source, Digest(context.members.digest(alive), False), [alive])
        if differing:  # other members may differ too: compare again soon, until a comparison finds no difference
            context.outgoing.send(Priority.BULK, source, Fetch(differing), [])
            self._interval = context.timing.sync_interval * RESYNC_FACTOR
            next_sync = context.clock.now + self._interval * context.random.uniform(0.5, 1.5)
            self._next_sync = min(self._next_sync, next_sync)
        elif not digest.request_reply:
            self._interval = self._settled_interval()
            self._next_sync = context.clock.now + self._interval * context.random.uniform(0.8, 1.2)

    def handle_fetch(self, source: Address, fetch: Fetch) -> None:
        """Queue the answer to a fetch, at most one per requester at a time."""
        if all(source != to for to, _ in self._fetches):
            self._fetches.append((source, list(fetch.buckets)))

    def send_fetched(self) -> None:
        """Answer the queued fetches, a datagram at a time, while the send queue has capacity."""
        outgoing = self._context.outgoing
        while self._fetches and outgoing.send_queue.has_capacity(Priority.BULK):
            to, buckets = self._fetches[0]
            outgoing.send(Priority.BULK, to, Gossip(), self._take_batch(buckets))
            if not buckets:
                self._fetches.popleft()

    def _take_batch(self, buckets: list[int]) -> list[Rumour]:
        """Remove as many buckets from the list as fit into one datagram; return their rumours."""
        members = self._context.members
        batch: list[Rumour] = [self._context.identity.alive]
        available = messages.MAX_DATAGRAM_BYTES - messages.FRAME_BYTES - PAYLOAD_RESERVE_BYTES
        while buckets:
            in_bucket = members.in_bucket(buckets[0])
            # the requester may not know a suspected member yet, so the member's `Alive` is sent too
            rumours: list[Rumour] = [member.alive for member in in_bucket if member.state is State.SUSPECT]
            rumours += [member.rumour() for member in in_bucket]
            size = sum(map(messages.rumour_size, rumours))
            if size > available and len(batch) > 1:
                break
            batch += rumours[:MAX_BUCKET_RUMOURS]
            available -= size
            buckets.pop(0)
        return batch

    def _send_digests(self) -> None:
        """Send the digest to one member, to seeds too if there is none or at random, and ping one dead member."""
        context, alive = self._context, self._context.identity.alive
        targets = [member.address for member in context.members.sample(1)]
        if not targets or context.random.random() < SEED_PROBABILITY:
            targets += context.random.sample(self._seeds, min(SEEDS_PER_SYNC, len(self._seeds)))
        for target in targets:
            context.outgoing.send(Priority.BULK, target, Digest(context.members.digest(alive), True), [alive])
        for member in context.members.sample_dead(1):  # it may be alive again, and refutes the rumour of its death
            ping = Ping(context.outgoing.next_ping_number(), "")
            context.outgoing.send(Priority.BULK, member.address, ping, [alive, member.rumour()])

    def _settled_interval(self) -> float:
        """Return the s between comparisons that find no difference; it grows with the number of members."""
        scale = max(0.0, log2(max(self._context.members.live, 1) / SYNC_SCALING_MEMBERS))
        return self._context.timing.sync_interval * (1 + scale)
