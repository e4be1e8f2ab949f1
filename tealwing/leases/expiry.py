"""The leader's side of leases: which have expired by the leader's clock; pure.

The duration of a grant counts from when this leader applied it or was elected, whichever is later. It therefore never
ends before the holder's duration, which began when the holder sent the request.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds

REPROPOSE_INTERVAL = 1.0  # s after which a proposed expiry that is not applied yet is proposed again


@dataclass(slots=True)
class WatchedGrant:
    """A grant that the leader watches: its token, the index of its last renewal, and when it expires."""

    token: int
    renewed: int
    expires_at: float


class LeaseExpiry:
    """Expiry of the current grants, which are known from the applied entries."""

    def __init__(self, bounds: LeaseBounds = DEFAULT_BOUNDS) -> None:
        self._bounds = bounds
        self._leading = False
        self._grants: dict[str, tuple[int, int, float]] = {}  # token, renewed, ttl
        self._watched: dict[str, WatchedGrant] = {}

    def set_leading(self, now: float, leads: bool) -> None:
        """Record whether this member leads from now on; a new leader restarts the duration of each grant."""
        self._leading = leads
        self._watched = {}
        if leads:
            for name, (token, renewed, ttl) in self._grants.items():
                self._watched[name] = WatchedGrant(token, renewed, now + self._bounds.expiry_delay(ttl))

    def granted(self, now: float, name: str, token: int, renewed: int, ttl: float) -> None:
        """Record an applied grant or renewal; `ttl` is in s."""
        self._grants[name] = token, renewed, ttl
        if self._leading:
            self._watched[name] = WatchedGrant(token, renewed, now + self._bounds.expiry_delay(ttl))

    def replace(self, now: float, grants: dict[str, tuple[int, int, float]]) -> None:
        """Replace all grants by those of a snapshot: token, index of the last renewal and TTL in s, by name."""
        self._grants = dict(grants)
        self.set_leading(now, self._leading)

    def ended(self, name: str) -> None:
        """Record an applied release or expiry of a lease."""
        self._grants.pop(name, None)
        self._watched.pop(name, None)

    def clone(self) -> LeaseExpiry:
        """Return an independent copy, for the model checker."""
        duplicate = LeaseExpiry(self._bounds)
        duplicate._leading, duplicate._grants = self._leading, dict(self._grants)
        duplicate._watched = {name: replace(watched) for name, watched in self._watched.items()}
        return duplicate

    def deadlines(self) -> tuple[tuple[str, int, int, float], ...]:
        """Return the watched grants: name, token, index of the last renewal, and deadline."""
        return tuple(
            (name, watched.token, watched.renewed, watched.expires_at)
            for name, watched in sorted(self._watched.items())
        )

    def expired(self, now: float) -> list[tuple[str, int, int]]:
        """Return the expired grants: name, token and index of the last renewal; the caller proposes their expiry."""
        expired = []
        for name, watched in self._watched.items():
            if now >= watched.expires_at:
                watched.expires_at = now + REPROPOSE_INTERVAL
                expired.append((name, watched.token, watched.renewed))
        return expired
