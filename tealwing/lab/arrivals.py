"""Synthetic client traffic: times, classes, accounts, work and tables of requests, drawn in advance from a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import Any

import numpy as np

Shape = Callable[[float], float]  # the load at a time, relative to the usual load


@dataclass(frozen=True, slots=True)
class Mix:
    """The traffic of one class of requests; `BRIEF` holds figures within the ranges of the operators' brief."""

    share: float  # of all requests
    work: float  # mean, in s of one thread
    spread: float  # of the work: standard deviation over mean
    io: float  # share of the work that reads or writes
    memory: float  # mean, relative to the other classes


BRIEF = (  # lookups, reports and loads
    Mix(0.81, 0.148, 1.0, 0.28, 0.5),
    Mix(0.135, 3.7, 0.8, 0.45, 2.0),
    Mix(0.055, 4.95, 0.6, 0.55, 1.5),
)
ACCOUNTS = (0.81, 0.19)  # shares of the requests by account
GROUPS = 40  # groups of tables
ZIPF_EXPONENT = 0.7  # of the popularity of table groups
MEMORY_UNIT = 1250.0  # mean MB of a query of memory 1: at load 1 about four fifths of the engines' memory is in use
COST_ESTIMATE_SPREAD = 0.2  # standard deviation over mean of the estimate for a given work; the brief: "close"


@dataclass(frozen=True, slots=True)
class Arrivals:
    """All requests of a run, without retries, as columns; times in seconds, memory (`need`) in megabytes."""

    at: Any
    cls: Any
    account: Any
    gateway: Any
    work: Any
    cost: Any  # estimate of the work
    group: Any
    need: Any
    io: Any

    def __len__(self) -> int:
        return len(self.at)


def steady(_: float) -> float:
    """The usual load throughout."""
    return 1.0


def square(low: float, high: float, period: float) -> Shape:
    """Alternates between two loads, half a period each."""
    return lambda t: high if t % period >= period / 2 else low


def sawtooth(low: float, high: float, period: float) -> Shape:
    """Rises from low to high over each period, then drops at once."""
    return lambda t: low + (high - low) * (t % period) / period


def burst(times: float, begin: float, length: float) -> Shape:
    """The usual load, multiplied by `times` for `length` seconds from `begin`."""
    return lambda t: times if begin <= t < begin + length else 1.0


def noisy(low: float, high: float, period: float, seed: int) -> Shape:
    """A random load for each period, drawn uniformly between two loads."""

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
    """Draw Poisson arrivals at `rate` requests a second times the shape.

    surge: an account and the factor by which its share of the requests is raised.
    """
    at = _times(rng, rate, seconds, shape)
    n = len(at)
    cls = rng.choice(len(mix), n, p=_normalized([m.share for m in mix]))
    weights = list(accounts)
    if surge is not None:
        weights[surge[0]] *= surge[1]
    account = rng.choice(len(accounts), n, p=_normalized(weights))
    popularity = 1 / np.arange(1, GROUPS + 1) ** ZIPF_EXPONENT
    group = rng.choice(GROUPS, n, p=popularity / popularity.sum())
    work, need = np.empty(n), np.empty(n)
    for place, m in enumerate(mix):
        selected = cls == place
        work[selected] = lognormal(rng, m.work, m.spread, int(selected.sum()))
        need[selected] = lognormal(rng, m.memory * MEMORY_UNIT, 0.5, int(selected.sum()))
    cost = work * lognormal(rng, 1.0, COST_ESTIMATE_SPREAD, n)
    io = np.array([m.io for m in mix])[cls]
    gateway = rng.integers(0, gateways, n)
    return Arrivals(at, cls, account, gateway, work, cost, group, need, io)


def _times(rng: np.random.Generator, rate: float, seconds: float, shape: Shape) -> Any:
    """Times of a Poisson process of varying rate, by thinning a process of the peak rate."""
    grid = np.arange(0.0, seconds, 0.05)
    loads = np.array([shape(float(t)) for t in grid])
    peak_rate = float(loads.max())
    n = int(rng.poisson(rate * peak_rate * seconds))
    times = np.sort(rng.random(n) * seconds)
    keep = rng.random(n) * peak_rate < loads[np.minimum((times / 0.05).astype(int), len(grid) - 1)]
    return times[keep]


def _normalized(weights: list[float]) -> Any:
    return np.array(weights) / sum(weights)


def lognormal(rng: np.random.Generator, mean: float, spread: float, n: int) -> Any:
    """Draw `n` lognormal values; spread is their standard deviation over the mean."""
    sigma = sqrt(log(1 + spread * spread))
    return mean * exp(-sigma * sigma / 2) * np.exp(sigma * rng.standard_normal(n))
