"""Computes what a service level admits: shares by class and account, attempt limits and Retry-After; pure.

A level has a floor and a ceiling for each class's admitted share. On entry the floor applies. While the level's entry
condition holds, the share is reduced; while it does not, and few engines are in slow start, the share rises at a
bounded rate up to the ceiling. Back at full service, it rises to 1. So rejected clients do not all return at once, and
a level's minimum stay costs little once the overload has passed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from tealwing import interface as api

ALL_ADMITTED = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """The limits of one service level, by class; max_attempts 0 keeps the deployment's limit."""

    floor: tuple[float, ...]
    ceiling: tuple[float, ...]
    max_attempts: tuple[int, ...]
    account_caps: tuple[float, ...]  # upper bound on each account's admitted share
    retry_after_range: tuple[float, float]  # s


@dataclass(frozen=True, slots=True)
class RecoveryRamp:
    """Rates at which admitted shares fall and rise, and the slow-start share that delays a rise."""

    decrease_factor: float  # per second of overload
    ramp_time: float  # s in which a share rises from 0 to 1
    max_warming_up_share: float  # share of capacity that engines in slow start lack; shares rise only below it


def full_service_limits(classes: int, accounts: int) -> AdmissionLimits:
    """Return the limits of full service, which admit every request."""
    shares = (ALL_ADMITTED,) * classes
    return AdmissionLimits(shares, shares, (0,) * classes, (ALL_ADMITTED,) * accounts, (0.0, 0.0))


def adjust_shares(
    shares: Sequence[float],
    limits: AdmissionLimits,
    ramp: RecoveryRamp,
    seconds: float,
    overloaded: bool,
    warming_up_share: float,
) -> tuple[float, ...]:
    """Return the admitted share of each class after `seconds` more under the limits."""
    adjusted = []
    for share, floor, ceiling in zip(shares, limits.floor, limits.ceiling, strict=True):
        if overloaded:
            share = max(floor, min(share, ceiling) * ramp.decrease_factor**seconds)
        elif warming_up_share < ramp.max_warming_up_share and share < ceiling:
            share = min(ceiling, share + seconds / ramp.ramp_time)
        # a lower ceiling applies at once; a higher one is approached by the ramp
        adjusted.append(min(share, ceiling))
    return tuple(adjusted)


def shares_on_entry(shares: Sequence[float], limits: AdmissionLimits) -> tuple[float, ...]:
    """Return the shares on entry to a level from below: each class's floor, or its present share if that is lower."""
    return tuple(min(share, floor) for share, floor in zip(shares, limits.floor, strict=True))


def divide_among_accounts(
    share: float, requested: Sequence[float], beyond_quota: Sequence[float], caps: Sequence[float]
) -> tuple[float, ...]:
    """Divide one class's share among the accounts, so that requests beyond an account's quota are shed first.

    `requested` counts each account's requests of the class, `beyond_quota` is the fraction of them beyond the
    account's quota, and `caps` is the upper bound on each account's share. A single request does not show whether it
    is beyond the quota, so an account's admission probability is the weighted mean of the two cases.
    """
    within = [n * (1 - part) for n, part in zip(requested, beyond_quota, strict=True)]
    excess = [n * part for n, part in zip(requested, beyond_quota, strict=True)]
    capacity = share * sum(requested)
    within_probability = min(1.0, capacity / sum(within)) if sum(within) > 0 else share
    remaining = max(0.0, capacity - sum(within))
    excess_probability = min(1.0, remaining / sum(excess)) if sum(excess) > 0 else share
    probabilities = []
    for n, part, cap in zip(requested, beyond_quota, caps, strict=True):
        probability = (1 - part) * within_probability + part * excess_probability if n > 0 else share
        probabilities.append(min(max(probability, 0.0), cap))
    return tuple(probabilities)


def service_level_event(
    number: int,
    name: str,
    shares: Sequence[float],
    limits: AdmissionLimits,
    arrivals: Sequence[Sequence[int]],
    beyond_quota: Sequence[float],
) -> api.ServiceLevel:
    """Return the event that gives the decision module the level in force and its limits."""
    admitted = tuple(
        divide_among_accounts(share, [counts[cls] for counts in arrivals], beyond_quota, limits.account_caps)
        for cls, share in enumerate(shares)
    )
    return api.ServiceLevel(number, name, admitted, limits.max_attempts, limits.retry_after_range)


def is_recovering(shares: Sequence[float]) -> bool:
    """Return whether the admitted share of some class is still below 1."""
    return any(share < ALL_ADMITTED for share in shares)
