"""Every member measures by its own clock when the permits given before a lapse must be over; pure.

All measure, and few speak: the first in an order by lapse, and others only where those stay silent.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import xxhash

from tealwing.leases.bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.retry import Retry
from tealwing.rules.records import Body, Forget, Lapse, Member, Witness

FIRST = 3  # members that speak at once: two are needed, and one may be away
NEXT = 0.5  # s after which as many more do


class Witnesses:
    """One member's watch over lapses."""

    def __init__(self, name: str, bounds: LeaseBounds = DEFAULT_BOUNDS, seed: int = 0) -> None:
        self.name, self._bounds, self._retry = name, bounds, Retry(seed)
        self._since: dict[tuple[str, int], float] = {}  # by member and lapse: when it was applied here, or seen first

    @property
    def is_waiting(self) -> bool:
        """Whether a lapse is open, as of the last look."""
        return bool(self._since)

    def applied(self, now: float, index: int, body: Body) -> None:
        """An entry was applied."""
        if isinstance(body, Lapse | Forget):
            self._since.setdefault((body.member, index), now)

    def due(self, now: float, tables: Mapping[str, Mapping[str, Any]]) -> list[Witness]:
        """What we can say now."""
        members: Mapping[str, Member] = tables["rule_members"]
        open_ = {(name, member.lapsed) for name, member in members.items() if member.lapsed and not member.over}
        self._since = {key: self._since.get(key, now) for key in sorted(open_)}
        self._retry.keep(open_)
        me = members.get(self.name)
        found: list[Witness] = []
        if me is None or me.lapsed:
            return found
        for name, lapse in sorted(open_):
            member = members[name]
            if name == self.name or self.name in member.witnesses:
                continue
            waited = now - self._since[name, lapse] - self._bounds.expiry_delay(member.permit / 1e3)
            if waited < 0 or waited < NEXT * (self._rank(name, lapse, members) // FIRST):
                continue
            if self._retry.ready(now, (name, lapse)):
                found.append(Witness(name, lapse, self.name))
        return found

    def _rank(self, name: str, lapse: int, members: Mapping[str, Member]) -> int:
        ours = _order(name, lapse, self.name)
        able = (other for other, member in members.items() if other != name and not member.lapsed)
        return sum(1 for other in able if _order(name, lapse, other) < ours)


def _order(name: str, lapse: int, other: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{name}/{lapse}/{other}".encode()), other
