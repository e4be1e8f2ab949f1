"""Checks of datagrams and rumours before they count: the source's rate and the rumours' signatures; pure."""

from __future__ import annotations

from collections import Counter, OrderedDict
from hashlib import blake2b

from tealwing.gossip import messages
from tealwing.gossip.errors import MessageRejectedError, RejectionCause
from tealwing.gossip.messages import Address, SignedRumour, Verify

SENDER_RATE, SENDER_BURST = 50.0, 100.0  # datagrams accepted from one address per second, and in a burst
MAX_SENDERS = 2048  # addresses whose token buckets are kept
MAX_CACHED_SIGNATURES = 4096  # valid signatures of rumours


class SenderRateLimiter:
    """A token bucket per source address, checked before any signature, so that garbage costs little."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[Address, tuple[float, float]] = OrderedDict()  # tokens, and the time of their count

    def admit(self, source: Address, now: float) -> None:
        """Admit one datagram of a source.

        Raises:
            MessageRejectedError: the source exceeds its rate.
        """
        tokens, at = self._buckets.pop(source, (SENDER_BURST, now))
        tokens = min(SENDER_BURST, tokens + SENDER_RATE * (now - at))
        self._buckets[source] = (max(tokens - 1, 0.0), now)
        if len(self._buckets) > MAX_SENDERS:
            self._buckets.popitem(last=False)
        if tokens < 1:
            raise MessageRejectedError(RejectionCause.FLOOD)


class RumourVerifier:
    """Verifies the rumours that instances sign about themselves; valid signatures are cached."""

    def __init__(self, verify: Verify, rejected: Counter[str]) -> None:
        self.verify, self._rejected = verify, rejected
        self.valid: OrderedDict[bytes, None] = OrderedDict()  # digests, the least recently used first

    def is_authentic(self, rumour: SignedRumour) -> bool:
        """Return whether the member that the rumour is about signed it."""
        covered = messages.signed_bytes(rumour)
        digest = blake2b(rumour.signature + covered, digest_size=16).digest()
        if digest in self.valid:
            self.valid.move_to_end(digest)
            return True
        if not self.verify(rumour.name, rumour.key, covered, rumour.signature):
            self._rejected[RejectionCause.SIGNATURE.value] += 1
            return False
        self.valid[digest] = None
        if len(self.valid) > MAX_CACHED_SIGNATURES:
            self.valid.popitem(last=False)
        return True
