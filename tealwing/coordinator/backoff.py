"""Jittered waits between reconnects and limits on silence, as many gateways lose a coordinator at the same time."""

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


class SilenceLimit:
    """Limits in seconds on a connection's silence, drawn from a range; longer after connections that sent nothing.

    A coordinator that is slower than the range, such as one to which many gateways return, is given more time for its
    first line on each further connection. The maximum bounds what a connection that is lost unnoticed costs.
    """

    def __init__(self, limits: tuple[float, float], growth: float, max_limit: float) -> None:
        """Draw from the range `limits`, multiplied by `growth` for each connection in series that sent nothing."""
        self._limits, self._growth, self._max_limit = limits, growth, max_limit
        self._factor = 1.0

    def regular(self) -> float:
        """Return the limit between two lines of a connection."""
        return random.uniform(*self._limits)

    def first(self) -> float:
        """Return the limit for the first line of a connection."""
        return min(self._factor * self.regular(), self._max_limit)

    def lengthen(self) -> None:
        """Lengthen the next first limit: a connection has sent no line."""
        self._factor = min(self._growth * self._factor, self._max_limit / self._limits[0])

    def reset(self) -> None:
        """Return to the regular limit: a line has come."""
        self._factor = 1.0
