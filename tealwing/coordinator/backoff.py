"""Jittered exponential backoff of reconnects; pure. Many gateways lose a coordinator at the same time."""

from __future__ import annotations

import random

GROWTH = 3.0  # most that a wait is of the one before: some calls in all until the longest


class Backoff:
    """Waits in seconds, each drawn between the minimum and GROWTH times the last, up to the maximum.

    Each follows from the one before it, not from a count of calls, so callers that began together drift apart.
    """

    def __init__(self, min_wait: float, max_wait: float, seed: int | None = None) -> None:
        self._min_wait, self._max_wait, self._random = min_wait, max_wait, random.Random(seed)
        self._last = min_wait

    def next(self) -> float:
        """Return the next wait."""
        self._last = min(self._max_wait, self._random.uniform(self._min_wait, GROWTH * self._last))
        return self._last

    def reset(self) -> None:
        """Start again with short waits."""
        self._last = self._min_wait
