"""The state machine of a lease's holder; pure, with the time of the holder's clock passed in.

The duration of a lease counts by the holder's clock from when the holder sent the granted request, and ends whether the
fleet can be reached or not. A request without an answer changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tealwing.lease_bounds import DEFAULT_BOUNDS, RENEW_FRACTION, LeaseBounds

ACQUIRE_BACKOFF = (0.1, 1.0)  # minimum and maximum s between two attempts to acquire a lease


class Action(Enum):
    """Action that the holder requests from the lease manager."""

    ACQUIRE = "acquire"  # send a request to acquire the lease
    RENEW = "renew"  # send a request to renew it
    GAINED = "gained"  # notify the task that the lease is held
    LOST = "lost"  # notify the task of the loss, before the lease expires


@dataclass(slots=True)
class Holder:
    """State of one lease that this gateway wants to hold."""

    name: str
    ttl: float  # s
    token: int = 0  # fencing token of the grant held; 0: none is held
    expires_at: float = 0.0  # end of the grant by the holder's clock
    renew_at: float = 0.0  # earliest time of the next renewal
    acquire_at: float = 0.0  # earliest time of the next attempt to acquire
    backoff: float = ACQUIRE_BACKOFF[0]  # s before the attempt after the next rejection
    request_sent_at: float | None = None  # when the request in flight was sent; None: no request is in flight
    bounds: LeaseBounds = DEFAULT_BOUNDS

    def valid(self, now: float) -> bool:
        """Whether the task may act: the lease is held, and the notice before its end has not begun."""
        return self.token != 0 and now < self.expires_at - self.bounds.loss_notice

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due; a request among them counts as sent at `now`."""
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
        """Handle the grant that the request in flight acquired or renewed."""
        sent_at, self.request_sent_at = self.request_sent_at, None
        if sent_at is None:
            return []
        old_token = self.token
        self.backoff = ACQUIRE_BACKOFF[0]
        until = sent_at + self.bounds.holder_duration(self.ttl)
        if old_token and token != old_token:  # the old grant had expired, and this is a new one: the task restarts
            self.token = 0
        if until - self.bounds.loss_notice <= now:  # the reply took so long that the grant has ended already
            self.acquire_at = now
            return [Action.LOST] if old_token and not self.token else []
        self.expires_at = max(self.expires_at, until) if self.token == token else until
        self.renew_at = sent_at + RENEW_FRACTION * self.ttl
        if self.token == token:
            return []
        self.token = token
        return [Action.LOST, Action.GAINED] if old_token else [Action.GAINED]

    def rejected(self, now: float) -> list[Action]:
        """Handle a rejection: another gateway holds the lease, or this holder's grant has expired."""
        self.request_sent_at = None
        actions = [Action.LOST] if self.token else []
        self.token = 0
        self._schedule_retry(now)
        return actions

    def released(self, now: float) -> None:
        """Handle the end of the lease at another holder: try to acquire it at once, without backoff."""
        if not self.token:
            self.acquire_at, self.backoff = now, ACQUIRE_BACKOFF[0]

    def timed_out(self, now: float) -> list[Action]:
        """Handle a request that got no answer: a lease that is held keeps its end."""
        self.request_sent_at = None
        if self.token:
            self.renew_at = now + ACQUIRE_BACKOFF[0]
        else:
            self._schedule_retry(now)
        return []

    def _schedule_retry(self, now: float) -> None:
        """Schedule the next attempt to acquire, and double the backoff up to its maximum."""
        self.acquire_at = now + self.backoff
        self.backoff = min(ACQUIRE_BACKOFF[1], 2 * self.backoff)
