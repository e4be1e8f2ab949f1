"""When a thing that has not come about is tried again: capped waits, with jitter; pure."""

from __future__ import annotations

from collections.abc import Collection, Hashable

from tealwing.coordinator.backoff import Backoff

LEAST, MOST = 0.1, 1.0  # s: a large fleet takes half as long to show a word, and it need not be said twice


class Retry:
    """Things that are wanted until the state shows them. At most as many as are wanted at one moment."""

    def __init__(self, seed: int, most: float = MOST) -> None:
        self._seed, self._most = seed, most
        self._due: dict[Hashable, tuple[float, Backoff]] = {}

    def ready(self, now: float, key: Hashable) -> bool:
        """Whether to try it now; counts as tried if so."""
        found = self._due.get(key)
        if found is not None and now < found[0]:
            return False
        backoff = found[1] if found is not None else Backoff(LEAST, self._most, self._seed)
        self._due[key] = now + backoff.next(), backoff
        return True

    def keep(self, wanted: Collection[Hashable]) -> None:
        """Forget all that is wanted no more."""
        for key in [key for key in self._due if key not in wanted]:
            del self._due[key]

    def due(self) -> tuple[tuple[Hashable, float], ...]:
        """What is waited for, and until when."""
        return tuple((key, at) for key, (at, _) in self._due.items())
