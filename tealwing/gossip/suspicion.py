"""The timeout after which a suspected member is declared dead, by Lifeguard's rule; pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MIN_INTERVALS = 4.0  # minimum timeout in probe intervals, times log10 of the members (Lifeguard's alpha, its default)
MAX_TO_MIN_RATIO = 6.0  # ratio of the maximum to the minimum timeout (Lifeguard's beta, its default)
CONFIRMATIONS = 3  # further reporters that bring the timeout down to its minimum (Lifeguard's K, its default)


def timeout_bounds(members: int, probe_interval: float) -> tuple[float, float]:
    """Return the minimum and maximum timeout in s of a suspicion in a cluster of that many members."""
    min_timeout = MIN_INTERVALS * max(1.0, log10(max(members, 1))) * probe_interval
    return min_timeout, MAX_TO_MIN_RATIO * min_timeout


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member: its start and its reporters."""

    since: float  # s, monotonic
    reporters: set[str] = field(default_factory=set)
    probed_again: bool = False  # whether the last probe before the timeout was sent

    def confirm(self, name: str) -> bool:
        """Add a reporter; return whether it is new and shortens the timeout, so that the rumour is worth passing on."""
        if name in self.reporters or len(self.reporters) > CONFIRMATIONS:
            return False
        self.reporters.add(name)
        return True

    def deadline(self, members: int, probe_interval: float) -> float:
        """Return the time of the declaration as dead; each further reporter brings it forward, on a log scale."""
        min_timeout, max_timeout = timeout_bounds(members, probe_interval)
        others = max(len(self.reporters) - 1, 0)
        if members <= CONFIRMATIONS:  # too few to confirm
            return self.since + min_timeout
        share = log(others + 1) / log(CONFIRMATIONS + 1)
        return self.since + max(min_timeout, max_timeout - (max_timeout - min_timeout) * share)
