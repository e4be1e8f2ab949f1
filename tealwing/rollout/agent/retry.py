"""When a thing that has not come about is tried again: capped waits, with jitter; pure."""

from __future__ import annotations

from collections.abc import Collection, Hashable

from tealwing.coordinator.backoff import Backoff

MIN_BACKOFF, MAX_BACKOFF = (
    0.1,
    1.0,
)  # s: 200 members take half as long to show what all said, and it need not be said twice
REPEAT_RATE = 1000.0  # messages a second that all members together repeat at most: a leader has others to take in
MIN_BACKOFF_RATIO = 4.0  # times the least wait that the longest is, at least


class Retry:
    """Things that are wanted until the state shows them. At most as many as are wanted at one moment."""

    def __init__(self, seed: int, max_backoff: float = MAX_BACKOFF) -> None:
        self._seed, self._max_backoff = seed, max_backoff
        self._due: dict[Hashable, tuple[float, Backoff]] = {}

    def ready(self, now: float, key: Hashable, members: int = 0) -> bool:
        """Whether to try it now; counts as tried if so. members is how many want the like of the same leader."""
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
        """Forget all that is wanted no more."""
        for key in [key for key in self._due if key not in keys]:
            del self._due[key]

    def due(self) -> tuple[tuple[Hashable, float], ...]:
        """What is waited for, and until when."""
        return tuple((key, at) for key, (at, _) in self._due.items())
