"""Simulated returns of data centres whose hosts are all cold."""

from __future__ import annotations

import random

import pytest

from balsamstream.flows.cold_limit import ColdLimit

COLD_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
WINDOW_S = 1.0
SEED = 9


def replay_return(rate_per_s: float, offered_per_s: float) -> list[float]:
    """Offer flows of all fronts to one cold host; return the times of admissions.

    Load pattern: the evacuation of the data centre ends, and every front finds its
    hosts idle.
    """
    random.seed(SEED)
    limit = ColdLimit()
    limit.set_rate(rate_per_s)
    limit.set_cold_until(COLD_S)
    admitted_at = []
    now = 0.0
    while now < COLD_S:
        now += random.expovariate(offered_per_s)
        if limit.try_acquire(now):
            admitted_at.append(now)
    return admitted_at


@pytest.mark.parametrize("rate_per_s", [2.0, 12.0, 40.0])
@pytest.mark.parametrize("offered", [0.8, 3.0, 30.0])
def test_cold_host_gets_no_more_flows_than_its_rate_limit(
    rate_per_s: float, offered: float
) -> None:
    admitted_at = replay_return(rate_per_s, rate_per_s * offered)
    for start in admitted_at:
        inside = sum(start <= each < start + WINDOW_S for each in admitted_at)
        assert inside <= rate_per_s * OVERSHOOT + SLACK


@pytest.mark.parametrize("rate_per_s", [12.0, 40.0])
def test_cold_host_gets_its_full_rate_under_overload(rate_per_s: float) -> None:
    admitted_at = replay_return(rate_per_s, rate_per_s * 30.0)
    assert len(admitted_at) >= 0.9 * rate_per_s * COLD_S


def test_warm_host_is_not_limited() -> None:
    limit = ColdLimit()
    limit.set_rate(1.0)
    limit.set_cold_until(COLD_S)
    assert all(limit.try_acquire(COLD_S) for _ in range(100))
