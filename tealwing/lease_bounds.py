"""Bounds on clock errors, and the resulting lease durations for the holder and for the leader; no I/O.

Only durations are compared, each measured by one clock; times of two clocks are never compared. The error of a
measured duration is the drift of its clock plus the steps of the clock within it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """The assumed bounds on clock errors."""

    # Fraction by which a clock's rate may differ from real time. Quartz is within 0.0002 and time services slew by at
    # most 0.0005; forty times that covers a virtual machine whose clock is corrected after a stall.
    max_drift: float = 0.02
    # s by which a clock may step within one lease, either way: monotonic clocks step only in such corrections.
    max_step: float = 0.2
    loss_notice: float = 0.1  # s before the lease ends, by the holder's clock, at which its task is notified

    def holder_duration(self, ttl: float) -> float:
        """Return the seconds, by its own clock, that a holder may act after it *sent* the request that was granted."""
        return ttl * (1.0 - self.max_drift) - self.max_step

    def expiry_delay(self, ttl: float) -> float:
        """Return the seconds, by its own clock, after which a leader expires a lease whose grant it has applied."""
        return ttl * (1.0 + self.max_drift) + self.max_step


DEFAULT_BOUNDS = LeaseBounds()
RENEW_FRACTION = 0.3  # of the TTL, after which a holder renews the lease: three attempts fit before it expires
MIN_TTL = 1.0  # s; a shorter lease leaves no usable time after the bounds above
