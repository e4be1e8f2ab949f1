"""One gateway's wish to hold a lease, as a machine of states; pure, with its own clock's time passed in.

It acts only while the lease is valid by its own clock, counted from when it sent the request that was granted, and
stops before the end whether it reaches anyone or not. An answer that does not come leaves all as it was.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tealwing.peers.bounds import RENEW_SHARE, USUAL, Bounds

RETRY = (0.1, 1.0)  # s between two tries to acquire, least and most


class Do(Enum):
    """What the shell is to do."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    GAINED = "gained"  # tell the task
    LOST = "lost"  # tell the task, before the lease is over


@dataclass(slots=True)
class Holder:
    """The wish, and what came of it so far."""

    name: str
    ttl: float  # s
    token: int = 0  # of the grant held; 0: none
    until: float = 0.0  # by our clock: valid before that
    renew_at: float = 0.0
    try_at: float = 0.0
    pause: float = RETRY[0]
    sent: float | None = None  # when the request that is out was sent; None: none is
    bounds: Bounds = USUAL

    def valid(self, now: float) -> bool:
        """Whether the task may act."""
        return self.token != 0 and now < self.until - self.bounds.told

    def tick(self, now: float) -> list[Do]:
        """Time has passed. A request that is to be sent counts as sent now."""
        found = []
        if self.token and not self.valid(now):
            self.token = 0
            found.append(Do.LOST)
        if self.sent is not None:
            return found
        if self.token and now >= self.renew_at:
            self.sent = now
            found.append(Do.RENEW)
        elif not self.token and now >= self.try_at:
            self.sent = now
            found.append(Do.ACQUIRE)
        return found

    def granted(self, now: float, token: int) -> list[Do]:
        """The request that was out has been granted, or renewed the grant."""
        sent, self.sent = self.sent, None
        if sent is None:
            return []
        held = self.token
        self.pause = RETRY[0]
        until = sent + self.bounds.holder_may(self.ttl)
        if held and token != held:  # ours had run out, and another was given: the task begins anew
            self.token = 0
        if until - self.bounds.told <= now:  # it took so long that nothing is left of it
            self.try_at = now
            return [Do.LOST] if held and not self.token else []
        self.until = max(self.until, until) if self.token == token else until
        self.renew_at = sent + RENEW_SHARE * self.ttl
        if self.token == token:
            return []
        self.token = token
        return [Do.LOST, Do.GAINED] if held else [Do.GAINED]

    def refused(self, now: float) -> list[Do]:
        """Another holds it, or our grant is over."""
        self.sent = None
        found = [Do.LOST] if self.token else []
        self.token = 0
        self._later(now)
        return found

    def free(self, now: float) -> None:
        """Nobody holds it any more, as the log tells: no need to wait."""
        if not self.token:
            self.try_at, self.pause = now, RETRY[0]

    def unanswered(self, now: float) -> list[Do]:
        """Nothing is known of the request that was out: what is held stays as long as it did."""
        self.sent = None
        if self.token:
            self.renew_at = now + RETRY[0]
        else:
            self._later(now)
        return []

    def _later(self, now: float) -> None:
        self.try_at = now + self.pause
        self.pause = min(RETRY[1], 2 * self.pause)
