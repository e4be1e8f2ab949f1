"""The leader's side: which leases have expired by its clock; pure.

The time of a grant counts from when this leader applied it or was elected, whichever is later: so it never ends before
the holder's own time, which began when the holder sent the request.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds

REPROPOSE_INTERVAL = 1.0  # s after which an expiry that was proposed and not applied is proposed again


@dataclass(slots=True)
class WatchedGrant:
    """One grant: its token, the index of the entry that renewed it last, and when it expires."""

    token: int
    renewed: int
    expires_at: float


class LeaseExpiry:
    """The current grants, by the entries applied."""

    def __init__(self, bounds: LeaseBounds = DEFAULT_BOUNDS) -> None:
        self._bounds = bounds
        self._leading = False
        self._grants: dict[str, tuple[int, int, float]] = {}  # token, renewed, ttl
        self._watched: dict[str, WatchedGrant] = {}

    def set_leading(self, now: float, leads: bool) -> None:
        """Record whether this member leads from now on."""
        self._leading = leads
        self._watched = {}
        if leads:
            for name, (token, renewed, ttl) in self._grants.items():
                self._watched[name] = WatchedGrant(token, renewed, now + self._bounds.expiry_delay(ttl))

    def granted(self, now: float, name: str, token: int, renewed: int, ttl: float) -> None:
        """Record an applied grant or renewal; ttl in s."""
        self._grants[name] = token, renewed, ttl
        if self._leading:
            self._watched[name] = WatchedGrant(token, renewed, now + self._bounds.expiry_delay(ttl))

    def replace(self, now: float, grants: dict[str, tuple[int, int, float]]) -> None:
        """Replace all grants by those of a snapshot: token, renewal and TTL by name."""
        self._grants = dict(grants)
        self.set_leading(now, self._leading)

    def ended(self, name: str) -> None:
        """Record an applied release or expiry."""
        self._grants.pop(name, None)
        self._watched.pop(name, None)

    def clone(self) -> LeaseExpiry:
        """Return an independent copy, for the model checker."""
        twin = LeaseExpiry(self._bounds)
        twin._leading, twin._grants = self._leading, dict(self._grants)
        twin._watched = {name: replace(watched) for name, watched in self._watched.items()}
        return twin

    def deadlines(self) -> tuple[tuple[str, int, int, float], ...]:
        """Return the watched grants: name, token, renewal and deadline."""
        return tuple((name, w.token, w.renewed, w.expires_at) for name, w in sorted(self._watched.items()))

    def expired(self, now: float) -> list[tuple[str, int, int]]:
        """Return the expired grants: name, token, and the index of the entry that renewed them last."""
        expired = []
        for name, watched in self._watched.items():
            if now >= watched.expires_at:
                watched.expires_at = now + REPROPOSE_INTERVAL
                expired.append((name, watched.token, watched.renewed))
        return expired
