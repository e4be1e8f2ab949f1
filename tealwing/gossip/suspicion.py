"""How long a member is suspected before it is held dead: the Lifeguard rule; pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

LEAST = 4.0  # periods, times the decimal log of the members (Lifeguard's alpha, at its default)
MOST = 6.0  # times the least (Lifeguard's beta, at its default)
CONFIRMATIONS = 3  # that bring the time down to the least (Lifeguard's K, at its default)


def bounds(members: int, period: float) -> tuple[float, float]:
    """Least and most time in s that a suspicion of one among so many members lasts."""
    least = LEAST * max(1.0, log10(max(members, 1))) * period
    return least, MOST * least


@dataclass(slots=True)
class Suspicion:
    """One member's suspicion: since when, and who else suspects it."""

    since: float
    by: set[str] = field(default_factory=set)
    asked: bool = False  # whether the member was pinged once more, before it is held dead

    def confirm(self, name: str) -> bool:
        """Another's word; whether it is new and counts, and so is worth passing on."""
        if name in self.by or len(self.by) > CONFIRMATIONS:
            return False
        self.by.add(name)
        return True

    def ends(self, members: int, period: float) -> float:
        """When the member is held dead. Each confirmation by a further member shortens it, on a log scale."""
        least, most = bounds(members, period)
        others = max(len(self.by) - 1, 0)
        if members <= CONFIRMATIONS:  # so many can't confirm
            return self.since + least
        share = log(others + 1) / log(CONFIRMATIONS + 1)
        return self.since + max(least, most - (most - least) * share)
