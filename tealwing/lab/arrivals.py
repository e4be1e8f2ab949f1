"""What clients ask for: times, classes, accounts, work and tables, drawn ahead from a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import Any

import numpy as np

Shape = Callable[[float], float]  # the load at a time, over the usual


@dataclass(frozen=True, slots=True)
class Mix:
    """One class's traffic. Figures within the ranges of the operators' brief, by `BRIEF`."""

    share: float
    work: float  # s of one thread, a mean
    spread: float  # of the work, as standard deviation over mean
    io: float
    memory: float  # against the other classes


BRIEF = (
    Mix(0.81, 0.148, 1.0, 0.28, 0.5),
    Mix(0.135, 3.7, 0.8, 0.45, 2.0),
    Mix(0.055, 4.95, 0.6, 0.55, 1.5),
)
ACCOUNTS = (0.81, 0.19)
GROUPS = 40  # of tables
ZIPF = 0.7  # power of their popularity
MEMORY_UNIT = 1250.0  # MB that a query of memory 1 needs, a mean: at load 1 some four fifths are in use
ESTIMATE = 0.2  # spread of the estimates, as of "close" ones


@dataclass(frozen=True, slots=True)
class Arrivals:
    """All first tries of a run, as columns; times in seconds, need in megabytes."""

    at: Any
    cls: Any
    account: Any
    gateway: Any
    work: Any
    cost: Any  # the estimate of the work
    group: Any
    need: Any
    io: Any

    def __len__(self) -> int:
        return len(self.at)


def steady(_: float) -> float:
    """The usual load."""
    return 1.0


def square(low: float, high: float, period: float) -> Shape:
    """Between two loads, half a period each."""
    return lambda t: high if t % period >= period / 2 else low


def sawtooth(low: float, high: float, period: float) -> Shape:
    """Rising from low to high in each period, and down at once."""
    return lambda t: low + (high - low) * (t % period) / period


def burst(times: float, begin: float, length: float) -> Shape:
    """The usual, and so many times that for a while."""
    return lambda t: times if begin <= t < begin + length else 1.0


def noisy(low: float, high: float, period: float, seed: int) -> Shape:
    """A new load for each period, drawn evenly between two."""

    def load(t: float) -> float:
        share = float(np.random.default_rng((seed, int(t / period))).random())
        return low + (high - low) * share

    return load


def draw(
    rng: np.random.Generator,
    rate: float,
    seconds: float,
    gateways: int,
    shape: Shape = steady,
    mix: tuple[Mix, ...] = BRIEF,
    accounts: tuple[float, ...] = ACCOUNTS,
    surge: tuple[int, float] | None = None,
) -> Arrivals:
    """Poisson arrivals at a rate of requests a second, times the shape; surge makes one account ask more often."""
    at = _times(rng, rate, seconds, shape)
    n = len(at)
    cls = rng.choice(len(mix), n, p=_even([m.share for m in mix]))
    weights = list(accounts)
    if surge is not None:
        weights[surge[0]] *= surge[1]
    account = rng.choice(len(accounts), n, p=_even(weights))
    popularity = 1 / np.arange(1, GROUPS + 1) ** ZIPF
    group = rng.choice(GROUPS, n, p=popularity / popularity.sum())
    work, need = np.empty(n), np.empty(n)
    for place, m in enumerate(mix):
        of = cls == place
        work[of] = lognormal(rng, m.work, m.spread, int(of.sum()))
        need[of] = lognormal(rng, m.memory * MEMORY_UNIT, 0.5, int(of.sum()))
    cost = work * lognormal(rng, 1.0, ESTIMATE, n)
    io = np.array([m.io for m in mix])[cls]
    gateway = rng.integers(0, gateways, n)
    return Arrivals(at, cls, account, gateway, work, cost, group, need, io)


def _times(rng: np.random.Generator, rate: float, seconds: float, shape: Shape) -> Any:
    """A Poisson process of changing rate, by thinning one of the highest."""
    grid = np.arange(0.0, seconds, 0.05)
    loads = np.array([shape(float(t)) for t in grid])
    peak_rate = float(loads.max())
    n = int(rng.poisson(rate * peak_rate * seconds))
    times = np.sort(rng.random(n) * seconds)
    keep = rng.random(n) * peak_rate < loads[np.minimum((times / 0.05).astype(int), len(grid) - 1)]
    return times[keep]


def _even(weights: list[float]) -> Any:
    return np.array(weights) / sum(weights)


def lognormal(rng: np.random.Generator, mean: float, spread: float, n: int) -> Any:
    """So many draws of that mean, spread being their standard deviation over it."""
    sigma = sqrt(log(1 + spread * spread))
    return mean * exp(-sigma * sigma / 2) * np.exp(sigma * rng.standard_normal(n))
