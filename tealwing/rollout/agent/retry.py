"""Retry schedule: capped exponential backoff with jitter for each key; pure."""

from __future__ import annotations

from collections.abc import Collection, Hashable

from tealwing.coordinator.backoff import Backoff

MIN_BACKOFF, MAX_BACKOFF = 0.1, 1.0  # s; longer than it takes to apply the reports of 200 members
REPEAT_RATE = 1000.0  # retries per s of all members together, to limit the leader's load
MIN_BACKOFF_RATIO = 4.0  # minimum ratio of the maximum backoff to the minimum backoff


class Retry:
    """Schedule of actions that are retried until the state shows their effect; it holds only the keys in use."""

    def __init__(self, seed: int, max_backoff: float = MAX_BACKOFF) -> None:
        self._seed, self._max_backoff = seed, max_backoff
        self._due: dict[Hashable, tuple[float, Backoff]] = {}

    def ready(self, now: float, key: Hashable, members: int = 0) -> bool:
        """Return whether to try now, and if so schedule the retry; members is the number that share the leader."""
        found = self._due.get(key)
        if found is not None and now < found[0]:
            return False
        min_backoff = max(MIN_BACKOFF, members / REPEAT_RATE)
        backoff = (
            found[1]
            if found is not None
            else Backoff(min_backoff, max(self._max_backoff, MIN_BACKOFF_RATIO * min_backoff), self._seed)
        )
        self._due[key] = now + backoff.next(), backoff
        return True

    def retain(self, keys: Collection[Hashable]) -> None:
        """Drop all other keys."""
        for key in [key for key in self._due if key not in keys]:
            del self._due[key]

    def due(self) -> tuple[tuple[Hashable, float], ...]:
        """Return the scheduled keys and their times."""
        return tuple((key, at) for key, (at, _) in self._due.items())
