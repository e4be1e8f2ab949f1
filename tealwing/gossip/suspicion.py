"""How long a member is suspected before it is held dead: the Lifeguard rule; pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MIN_PERIODS = 4.0  # periods, times the decimal log of the members (Lifeguard's alpha, at its default)
MAX_TO_MIN_RATIO = 6.0  # times the least (Lifeguard's beta, at its default)
CONFIRMATIONS = 3  # that bring the time down to the least (Lifeguard's K, at its default)


def timeout_bounds(members: int, period: float) -> tuple[float, float]:
    """Least and most time in s that a suspicion of one among so many members lasts."""
    least = MIN_PERIODS * max(1.0, log10(max(members, 1))) * period
    return least, MAX_TO_MIN_RATIO * least


@dataclass(slots=True)
class Suspicion:
    """One member's suspicion: since when, and who else suspects it."""

    since: float
    reporters: set[str] = field(default_factory=set)
    probed_again: bool = False  # whether the member was pinged once more, before it is held dead

    def confirm(self, name: str) -> bool:
        """Another's word; whether it is new and counts, and so is worth passing on."""
        if name in self.reporters or len(self.reporters) > CONFIRMATIONS:
            return False
        self.reporters.add(name)
        return True

    def deadline(self, members: int, period: float) -> float:
        """When the member is held dead. Each confirmation by a further member shortens it, on a log scale."""
        least, most = timeout_bounds(members, period)
        others = max(len(self.reporters) - 1, 0)
        if members <= CONFIRMATIONS:  # so many can't confirm
            return self.since + least
        share = log(others + 1) / log(CONFIRMATIONS + 1)
        return self.since + max(least, most - (most - least) * share)
