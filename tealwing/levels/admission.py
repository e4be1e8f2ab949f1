"""What a level does: the share of each class and account that is admitted, attempts, and the pushback; pure.

A level names for a class a floor and a ceiling of what it admits. On entry the floor holds. While the level's entry
condition holds the share is cut, while it does not and the fleet is not cold it rises, by a bounded pace, up to the
ceiling; after the last level it rises on to the whole. So those who were turned away do not all come back at once,
and a level that has to stay for its least time costs little once the flood has passed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from tealwing import interface as api

ALL_ADMITTED = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """One level's measures, by class; attempts 0 leaves what the deployment allows."""

    floor: tuple[float, ...]
    ceiling: tuple[float, ...]
    max_attempts: tuple[int, ...]
    account_caps: tuple[float, ...]  # share admitted of each account, beside that of the class
    retry_after_range: tuple[float, float]  # s


@dataclass(frozen=True, slots=True)
class RecoveryRamp:
    """How shares move, and when they wait."""

    decrease_factor: float  # factor a second while pressed
    ramp_time: float  # s from nothing to the whole
    max_warming_up_share: float  # share of the capacity lacking at which a rise waits


def full_service_limits(classes: int, accounts: int) -> AdmissionLimits:
    """What holds at full service."""
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
    """The shares by class after some seconds under a measure."""
    adjusted = []
    for share, floor, ceiling in zip(shares, limits.floor, limits.ceiling, strict=True):
        if overloaded:
            share = max(floor, min(share, ceiling) * ramp.decrease_factor**seconds)
        elif warming_up_share < ramp.max_warming_up_share and share < ceiling:
            share = min(ceiling, share + seconds / ramp.ramp_time)
        # a level that admits less than is admitted now cuts at once; one that admits more is risen to
        adjusted.append(min(share, ceiling))
    return tuple(adjusted)


def shares_on_entry(shares: Sequence[float], limits: AdmissionLimits) -> tuple[float, ...]:
    """The shares on entry of a level from below: its floors, or less where less is admitted already."""
    return tuple(min(share, floor) for share, floor in zip(shares, limits.floor, strict=True))


def divide_among_accounts(
    share: float, requested: Sequence[float], beyond: Sequence[float], caps: Sequence[float]
) -> tuple[float, ...]:
    """One class's share over the accounts, so that what is beyond an account's share goes first.

    asked is each account's requests of the class, beyond the part of them beyond its share, caps the most admitted
    of an account. A single request does not show whether it is beyond, so an account's chance is the mean of both.
    """
    within = [n * (1 - part) for n, part in zip(requested, beyond, strict=True)]
    excess = [n * part for n, part in zip(requested, beyond, strict=True)]
    capacity = share * sum(requested)
    within_chance = min(1.0, capacity / sum(within)) if sum(within) > 0 else share
    remaining = max(0.0, capacity - sum(within))
    excess_chance = min(1.0, remaining / sum(excess)) if sum(excess) > 0 else share
    chances = []
    for n, part, cap in zip(requested, beyond, caps, strict=True):
        chance = (1 - part) * within_chance + part * excess_chance if n > 0 else share
        chances.append(min(max(chance, 0.0), cap))
    return tuple(chances)


def service_level_event(
    number: int,
    name: str,
    shares: Sequence[float],
    limits: AdmissionLimits,
    arrivals: Sequence[Sequence[int]],
    beyond: Sequence[float],
) -> api.ServiceLevel:
    """The event that the decision module hears."""
    admitted = tuple(
        divide_among_accounts(share, [counts[cls] for counts in arrivals], beyond, limits.account_caps)
        for cls, share in enumerate(shares)
    )
    return api.ServiceLevel(number, name, admitted, limits.max_attempts, limits.retry_after_range)


def is_recovering(shares: Sequence[float]) -> bool:
    """Whether less than the whole is admitted still."""
    return any(share < ALL_ADMITTED for share in shares)
