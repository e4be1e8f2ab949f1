"""Observe by the local clock when permits given before an ExpirePermit must have expired; pure.

All members measure; only the first of a pseudo-random order confirm, and others if the expiry stays unconfirmed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import xxhash

from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.agent.retry import Retry
from tealwing.rules.records import Body, ConfirmExpiry, ExpirePermit, Forget, Member

BATCH_SIZE = 3  # members that confirm at a time: two are needed, and one may be down
BATCH_INTERVAL = 0.5  # s between batches


class ExpiryObserver:
    """One member's observation of permit expiry."""

    def __init__(self, name: str, bounds: LeaseBounds = DEFAULT_BOUNDS, seed: int = 0) -> None:
        self.name, self._bounds, self._retry = name, bounds, Retry(seed)
        # when an expiry, by member and index, was applied here or first seen
        self._observed_at: dict[tuple[str, int], float] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether an expiry was unconfirmed at the last call."""
        return bool(self._observed_at)

    def applied(self, now: float, index: int, body: Body) -> None:
        """Start the measurement if the applied entry expires a permit."""
        if isinstance(body, ExpirePermit | Forget):
            self._observed_at.setdefault((body.member, index), now)

    def due(self, now: float, tables: Mapping[str, Mapping[str, Any]]) -> list[ConfirmExpiry]:
        """Return the confirmations that this member can give now."""
        members: Mapping[str, Member] = tables["rule_members"]
        unconfirmed = {
            (name, member.expiry_index)
            for name, member in members.items()
            if member.expiry_index and not member.expiry_confirmed
        }
        self._observed_at = {key: self._observed_at.get(key, now) for key in sorted(unconfirmed)}
        self._retry.retain(unconfirmed)
        local = members.get(self.name)
        found: list[ConfirmExpiry] = []
        if local is None or local.expiry_index:
            return found
        for name, expiry_index in sorted(unconfirmed):
            member = members[name]
            if name == self.name or self.name in member.confirmed_by:
                continue
            overdue = now - self._observed_at[name, expiry_index] - self._bounds.expiry_delay(member.permit / 1e3)
            if overdue < 0 or overdue < BATCH_INTERVAL * (self._rank(name, expiry_index, members) // BATCH_SIZE):
                continue
            if self._retry.ready(now, (name, expiry_index)):
                found.append(ConfirmExpiry(name, expiry_index, self.name))
        return found

    def _rank(self, name: str, expiry_index: int, members: Mapping[str, Member]) -> int:
        own_order = _order(name, expiry_index, self.name)
        able = (other for other, member in members.items() if other != name and not member.expiry_index)
        return sum(1 for other in able if _order(name, expiry_index, other) < own_order)


def _order(name: str, expiry_index: int, other: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{name}/{expiry_index}/{other}".encode()), other
