"""One gateway's wish to hold a lease, as a machine of states; pure, with its own clock's time passed in.

It acts only while the lease is valid by its own clock, counted from when it sent the request that was granted, and
stops before the end whether it reaches anyone or not. An answer that does not come leaves all as it was.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tealwing.leases.bounds import DEFAULT_BOUNDS, RENEW_FRACTION, LeaseBounds

ACQUIRE_BACKOFF = (0.1, 1.0)  # s between two tries to acquire, least and most


class Action(Enum):
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
    expires_at: float = 0.0  # by our clock: valid before that
    renew_at: float = 0.0
    acquire_at: float = 0.0
    backoff: float = ACQUIRE_BACKOFF[0]
    request_sent_at: float | None = None  # when the request that is out was sent; None: none is
    bounds: LeaseBounds = DEFAULT_BOUNDS

    def valid(self, now: float) -> bool:
        """Whether the task may act."""
        return self.token != 0 and now < self.expires_at - self.bounds.loss_notice

    def tick(self, now: float) -> list[Action]:
        """Time has passed. A request that is to be sent counts as sent now."""
        actions = []
        if self.token and not self.valid(now):
            self.token = 0
            actions.append(Action.LOST)
        if self.request_sent_at is not None:
            return actions
        if self.token and now >= self.renew_at:
            self.request_sent_at = now
            actions.append(Action.RENEW)
        elif not self.token and now >= self.acquire_at:
            self.request_sent_at = now
            actions.append(Action.ACQUIRE)
        return actions

    def granted(self, now: float, token: int) -> list[Action]:
        """The request that was out has been granted, or renewed the grant."""
        sent, self.request_sent_at = self.request_sent_at, None
        if sent is None:
            return []
        held = self.token
        self.backoff = ACQUIRE_BACKOFF[0]
        until = sent + self.bounds.holder_duration(self.ttl)
        if held and token != held:  # ours had run out, and another was given: the task begins anew
            self.token = 0
        if until - self.bounds.loss_notice <= now:  # it took so long that nothing is left of it
            self.acquire_at = now
            return [Action.LOST] if held and not self.token else []
        self.expires_at = max(self.expires_at, until) if self.token == token else until
        self.renew_at = sent + RENEW_FRACTION * self.ttl
        if self.token == token:
            return []
        self.token = token
        return [Action.LOST, Action.GAINED] if held else [Action.GAINED]

    def rejected(self, now: float) -> list[Action]:
        """Another holds it, or our grant is over."""
        self.request_sent_at = None
        actions = [Action.LOST] if self.token else []
        self.token = 0
        self._schedule_retry(now)
        return actions

    def released(self, now: float) -> None:
        """Nobody holds it any more, as the log tells: no need to wait."""
        if not self.token:
            self.acquire_at, self.backoff = now, ACQUIRE_BACKOFF[0]

    def timed_out(self, now: float) -> list[Action]:
        """Nothing is known of the request that was out: what is held stays as long as it did."""
        self.request_sent_at = None
        if self.token:
            self.renew_at = now + ACQUIRE_BACKOFF[0]
        else:
            self._schedule_retry(now)
        return []

    def _schedule_retry(self, now: float) -> None:
        self.acquire_at = now + self.backoff
        self.backoff = min(ACQUIRE_BACKOFF[1], 2 * self.backoff)
