"""Bounds on the error of clocks, and the durations that follow for both ends of a lease; pure.

Only durations are compared, each measured by one clock; no two clocks are. What can be wrong with a duration is the
clock's rate, and a step in its midst.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """The assumed bounds on clocks."""

    # Share by which a clock's rate may differ from real time. Quartz is within 0.0002 and time services slew by 0.0005
    # at most; forty times that leaves room for a virtual machine whose clock is corrected after a stall.
    max_drift: float = 0.02
    # s by which a clock may step within one lease, either way: monotonic clocks do not, but for such corrections.
    max_step: float = 0.2
    loss_notice: float = 0.1  # s before its lease ends, by its own clock, at which its task is notified of the loss

    def holder_duration(self, ttl: float) -> float:
        """Return the seconds of its own clock for which a holder may act, from when it *sent* the granted request."""
        return ttl * (1.0 - self.max_drift) - self.max_step

    def expiry_delay(self, ttl: float) -> float:
        """Return the seconds of its own clock after which a leader expires a lease, counted from its applied grant."""
        return ttl * (1.0 + self.max_drift) + self.max_step


DEFAULT_BOUNDS = LeaseBounds()
RENEW_FRACTION = 0.3  # of the TTL after which a holder renews: three attempts before it expires
MIN_TTL = 1.0  # s: below that the bounds above leave nothing
