"""How long a member is suspected before it is held dead: Lifeguard's rule; pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MIN_INTERVALS = 4.0  # probe intervals, times the decimal log of the members (Lifeguard's alpha, at its default)
MAX_TO_MIN_RATIO = 6.0  # of the timeouts (Lifeguard's beta, at its default)
CONFIRMATIONS = 3  # that bring the timeout down to its minimum (Lifeguard's K, at its default)


def timeout_bounds(members: int, probe_interval: float) -> tuple[float, float]:
    """Return the minimum and maximum time in s that a suspicion of one among so many members lasts."""
    min_timeout = MIN_INTERVALS * max(1.0, log10(max(members, 1))) * probe_interval
    return min_timeout, MAX_TO_MIN_RATIO * min_timeout


@dataclass(slots=True)
class Suspicion:
    """One member's suspicion: since when, and who suspects it."""

    since: float
    reporters: set[str] = field(default_factory=set)
    probed_again: bool = False  # whether the member was probed once more, before it is held dead

    def confirm(self, name: str) -> bool:
        """Add a reporter; return whether it is new and counts, and so is worth passing on."""
        if name in self.reporters or len(self.reporters) > CONFIRMATIONS:
            return False
        self.reporters.add(name)
        return True

    def deadline(self, members: int, probe_interval: float) -> float:
        """Return when the member is held dead. Each confirmation by a further member shortens it, on a log scale."""
        min_timeout, max_timeout = timeout_bounds(members, probe_interval)
        others = max(len(self.reporters) - 1, 0)
        if members <= CONFIRMATIONS:  # so few can't confirm
            return self.since + min_timeout
        share = log(others + 1) / log(CONFIRMATIONS + 1)
        return self.since + max(min_timeout, max_timeout - (max_timeout - min_timeout) * share)
