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

WHOLE = 1.0


@dataclass(frozen=True, slots=True)
class Measure:
    """One level's measures, by class; attempts 0 leaves what the deployment allows."""

    floor: tuple[float, ...]
    ceiling: tuple[float, ...]
    attempts: tuple[int, ...]
    accounts: tuple[float, ...]  # share admitted of each account, beside that of the class
    pushback: tuple[float, float]  # s


@dataclass(frozen=True, slots=True)
class Pace:
    """How shares move, and when they wait."""

    cut: float  # factor a second while pressed
    ramp: float  # s from nothing to the whole
    cold: float  # share of the capacity lacking at which a rise waits


def full(classes: int, accounts: int) -> Measure:
    """What holds at full service."""
    whole = (WHOLE,) * classes
    return Measure(whole, whole, (0,) * classes, (WHOLE,) * accounts, (0.0, 0.0))


def moved(
    shares: Sequence[float], measure: Measure, pace: Pace, seconds: float, pressed: bool, cold: float
) -> tuple[float, ...]:
    """The shares by class after some seconds under a measure."""
    found = []
    for share, floor, ceiling in zip(shares, measure.floor, measure.ceiling, strict=True):
        if pressed:
            share = max(floor, min(share, ceiling) * pace.cut**seconds)
        elif cold < pace.cold and share < ceiling:
            share = min(ceiling, share + seconds / pace.ramp)
        # a level that admits less than is admitted now cuts at once; one that admits more is risen to
        found.append(min(share, ceiling))
    return tuple(found)


def entered(shares: Sequence[float], measure: Measure) -> tuple[float, ...]:
    """The shares on entry of a level from below: its floors, or less where less is admitted already."""
    return tuple(min(share, floor) for share, floor in zip(shares, measure.floor, strict=True))


def divided(share: float, asked: Sequence[float], beyond: Sequence[float], caps: Sequence[float]) -> tuple[float, ...]:
    """One class's share over the accounts, so that what is beyond an account's share goes first.

    asked is each account's requests of the class, beyond the part of them beyond its share, caps the most admitted
    of an account. A single request does not show whether it is beyond, so an account's chance is the mean of both.
    """
    within = [n * (1 - part) for n, part in zip(asked, beyond, strict=True)]
    rest = [n * part for n, part in zip(asked, beyond, strict=True)]
    room = share * sum(asked)
    first = min(1.0, room / sum(within)) if sum(within) > 0 else share
    left = max(0.0, room - sum(within))
    second = min(1.0, left / sum(rest)) if sum(rest) > 0 else share
    chances = []
    for n, part, cap in zip(asked, beyond, caps, strict=True):
        chance = (1 - part) * first + part * second if n > 0 else share
        chances.append(min(max(chance, 0.0), cap))
    return tuple(chances)


def event(
    number: int,
    name: str,
    shares: Sequence[float],
    measure: Measure,
    arrivals: Sequence[Sequence[int]],
    beyond: Sequence[float],
) -> api.ServiceLevel:
    """The event that the decision module hears."""
    admitted = tuple(
        divided(share, [counts[cls] for counts in arrivals], beyond, measure.accounts)
        for cls, share in enumerate(shares)
    )
    return api.ServiceLevel(number, name, admitted, measure.attempts, measure.pushback)


def easing(shares: Sequence[float]) -> bool:
    """Whether less than the whole is admitted still."""
    return any(share < WHOLE for share in shares)
