"""The state machine of a lease's holder; pure, with its own clock's time passed in.

A lease is valid by the holder's clock from when it sent the granted request, and ends there whether the fleet can be
reached or not. A request without an answer changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tealwing.lease_bounds import DEFAULT_BOUNDS, RENEW_FRACTION, LeaseBounds

ACQUIRE_BACKOFF = (0.1, 1.0)  # s between two attempts to acquire: min and max


class Action(Enum):
    """What the lease manager is to do."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    GAINED = "gained"  # notify the task
    LOST = "lost"  # notify the task, before the lease expires


@dataclass(slots=True)
class Holder:
    """A lease that this gateway wants, and its state."""

    name: str
    ttl: float  # s
    token: int = 0  # of the grant held; 0: none
    expires_at: float = 0.0  # by our clock: valid before that
    renew_at: float = 0.0
    acquire_at: float = 0.0
    backoff: float = ACQUIRE_BACKOFF[0]
    request_sent_at: float | None = None  # when the request in flight was sent; None: none is
    bounds: LeaseBounds = DEFAULT_BOUNDS

    def valid(self, now: float) -> bool:
        """Whether the task may act."""
        return self.token != 0 and now < self.expires_at - self.bounds.loss_notice

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due. A request among them counts as sent now."""
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
        """Handle the grant or renewal of the request in flight."""
        sent, self.request_sent_at = self.request_sent_at, None
        if sent is None:
            return []
        held = self.token
        self.backoff = ACQUIRE_BACKOFF[0]
        until = sent + self.bounds.holder_duration(self.ttl)
        if held and token != held:  # ours had expired, and another was granted: the task starts again
            self.token = 0
        if until - self.bounds.loss_notice <= now:  # it took so long that it is over already
            self.acquire_at = now
            return [Action.LOST] if held and not self.token else []
        self.expires_at = max(self.expires_at, until) if self.token == token else until
        self.renew_at = sent + RENEW_FRACTION * self.ttl
        if self.token == token:
            return []
        self.token = token
        return [Action.LOST, Action.GAINED] if held else [Action.GAINED]

    def rejected(self, now: float) -> list[Action]:
        """Handle a rejection: another holds the lease, or our grant has expired."""
        self.request_sent_at = None
        actions = [Action.LOST] if self.token else []
        self.token = 0
        self._schedule_retry(now)
        return actions

    def released(self, now: float) -> None:
        """Handle its release by the last holder: acquire at once, without backoff."""
        if not self.token:
            self.acquire_at, self.backoff = now, ACQUIRE_BACKOFF[0]

    def timed_out(self, now: float) -> list[Action]:
        """Handle a request without an answer: a lease that is held stays valid for as long as before."""
        self.request_sent_at = None
        if self.token:
            self.renew_at = now + ACQUIRE_BACKOFF[0]
        else:
            self._schedule_retry(now)
        return []

    def _schedule_retry(self, now: float) -> None:
        self.acquire_at = now + self.backoff
        self.backoff = min(ACQUIRE_BACKOFF[1], 2 * self.backoff)
