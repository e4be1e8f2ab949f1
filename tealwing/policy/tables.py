"""The marginal productivity index as pure functions; letters and equation numbers are those of Niño-Mora's paper.

lam: arrival rate (1/s), mu: service rate of one server (1/s), theta: abandonment rate (1/s), m: servers (capacity in
queries), n: buffer size (table length), h: holding cost a second, c: cost of an abandonment, j: queries present,
nu*(j): the index at j.
"""

from __future__ import annotations

from math import inf


def mpi_table(lam: float, mu: float, theta: float, m: float, n: int, h: float, c: float) -> list[float]:
    """Return the indices nu*(0) to nu*(n-1) by (8)-(10) at alpha = 0, with the rates and costs of (11) and r = 0."""
    theta = min(theta, mu)  # Assumption 1: d(j) stays concave

    past, below = max(1 - m, 0.0), min(1, m)
    rate, cost = past * theta + below * mu, h + past * c * theta  # mu(j) and C(j) of (11), here at j = 1
    table = [value := cost / rate]  # nu*(j), from j = 0
    a, work = 1.0, lam * rate / (lam + rate)  # a(1); w^S(2)(0) of (9), where Delta d(1) = mu(1)
    for j in range(2, n + 1):
        past, below = (0.0, j) if j <= m else (j - m, m)
        next_rate, next_cost = past * theta + below * mu, h * j + past * c * theta
        dd = next_rate - rate  # Delta d and, below, Delta C at j
        pull = work * rate / lam  # w^S(j)(j-2) / rho(j-2), with rho(j-2) = lam / mu(j-1)
        table.append(value := value + (next_cost - cost - value * dd) / (dd + pull))  # (8)
        both = lam + next_rate
        a = 1 - lam * rate / ((lam + rate) * both) / a  # (10)
        work = lam * (dd + pull) / (a * both)  # (9)
        rate, cost = next_rate, next_cost
    return table


def interpolate(table: list[float], count: float) -> float:
    """Return the index at a fractional query count, interpolated linearly; infinite from the table's length on."""
    if count >= len(table):
        return inf
    low, high = int(count), min(int(count) + 1, len(table) - 1)
    return table[low] + (count - low) * (table[high] - table[low])
