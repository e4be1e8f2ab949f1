"""The index table against the paper's equation (12) and against an independent cost computation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing.policy import mpi_table

rates = st.floats(0.2, 5.0)


@pytest.mark.parametrize("lam", [0.3, 0.9, 1.0, 1.7])
@pytest.mark.parametrize("mu", [0.5, 1.0, 2.0])
def test_index_of_single_server_without_abandonment_is_the_sum_of_equation_12(lam: float, mu: float) -> None:
    h, n = 1.5, 12
    table = mpi_table(lam, mu, 0.0, 1.0, n, h, 0.0)
    rho = lam / mu
    for j in range(n):
        assert table[j] == pytest.approx(h / mu * sum(sum(rho**k for k in range(i)) for i in range(1, j + 2)))


def threshold_costs(
    lam: float, mu: float, theta: float, m: float, h: float, c: float, threshold: int
) -> tuple[float, float]:
    """Return the mean holding and abandonment cost, and the rejection rate, if admission stops at the threshold."""
    weights = [1.0]
    for j in range(1, threshold + 1):
        weights.append(weights[-1] * lam / (max(j - m, 0) * theta + min(j, m) * mu))
    total = sum(weights)
    cost = sum(w * (h * j + max(j - m, 0) * c * theta) for j, w in enumerate(weights))
    return cost / total, lam * weights[-1] / total


@given(lam=rates, mu=rates, share=st.floats(0.05, 1.0), m=st.integers(1, 5), h=rates, c=st.floats(0.0, 3.0))
def test_index_makes_neighbouring_thresholds_cost_the_same(
    lam: float, mu: float, share: float, m: int, h: float, c: float
) -> None:
    theta = share * mu
    table = mpi_table(lam, mu, theta, float(m), 9, h, c)
    for j, nu in enumerate(table):
        closed = threshold_costs(lam, mu, theta, m, h, c, j)
        opened = threshold_costs(lam, mu, theta, m, h, c, j + 1)
        assert nu * (closed[1] - opened[1]) == pytest.approx(opened[0] - closed[0], rel=1e-6, abs=1e-9)


@given(lam=rates, mu=rates, theta=rates, m=st.floats(1.0, 6.0), h=rates, c=rates)
def test_index_is_nondecreasing_in_query_count(
    lam: float, mu: float, theta: float, m: float, h: float, c: float
) -> None:
    table = mpi_table(lam, mu, theta, m, 20, h, c)
    assert all(b >= a - 1e-9 * abs(a) for a, b in zip(table, table[1:], strict=False))


def test_index_below_capacity_is_holding_cost_over_service_rate() -> None:
    assert mpi_table(3.0, 2.0, 0.1, 6.0, 6, 1.0, 1.0) == pytest.approx([0.5] * 6)
