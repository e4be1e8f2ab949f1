"""Jittered exponential backoff of reconnects, as many gateways lose a coordinator at the same time."""

from __future__ import annotations

import random

GROWTH = 3.0  # maximum ratio of a wait to the one before; a few waits lead to the longest


class Backoff:
    """Waits in seconds, each drawn between the minimum and GROWTH times the last one, up to the maximum.

    Each wait depends on the one before it, not on a count of calls, so callers that began together drift apart.
    """

    def __init__(self, min_wait: float, max_wait: float, seed: int | None = None) -> None:
        self._min_wait, self._max_wait, self._random = min_wait, max_wait, random.Random(seed)
        self._last = min_wait

    def next(self) -> float:
        """Return the next wait in seconds."""
        self._last = min(self._max_wait, self._random.uniform(self._min_wait, GROWTH * self._last))
        return self._last

    def reset(self) -> None:
        """Start again from the minimum wait."""
        self._last = self._min_wait
