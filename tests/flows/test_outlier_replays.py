"""Replays of the loads that outliers cause, with and without their detection."""

from __future__ import annotations

import random

import pytest

from balsamstream.flows.deviations import find_deviations
from balsamstream.flows.messages import RouteReport
from balsamstream.flows.placement import Host

from .outlier_replay import (
    Behaviour,
    answer,
    answer_errors,
    answer_slowly,
    answer_with_long_ones,
    fail_fast,
    fail_half,
    flap,
    replay,
    reset_all,
)

HOSTS = 11
SEEDS = range(8)


def put_among_healthy(behaviour: Behaviour) -> list[Behaviour]:
    return [behaviour] + [answer] * (HOSTS - 1)


@pytest.mark.parametrize("behaviour", [fail_fast, reset_all])
def test_host_that_fails_in_a_millisecond_gets_few_flows(behaviour: Behaviour) -> None:
    # It is always the least loaded and attracts three times its share of the flows.
    hosts = put_among_healthy(behaviour)
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert former.get_share_of(0) >= 0.2
    assert former.failed >= 0.015 * former.requests
    assert result.get_share_of(0) <= 0.04
    assert result.failed <= 0.002 * result.requests


def test_host_that_answers_with_short_errors_gets_few_flows() -> None:
    # It resets nothing, so that only the size and the time of its answers tell.
    hosts = put_among_healthy(answer_errors)
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert former.failed >= 0.2 * former.requests
    assert result.failed <= 0.03 * result.requests


def test_host_five_times_slower_gets_few_flows() -> None:
    hosts = put_among_healthy(answer_slowly)
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert former.get_share_of(0) >= 0.025
    assert result.get_share_of(0) <= 0.015
    assert result.get_share_in_time() >= 0.999


def test_host_that_fails_half_gets_few_flows() -> None:
    hosts = put_among_healthy(fail_half)
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert former.get_share_of(0) >= 0.12
    assert result.get_share_of(0) <= 0.03
    assert result.failed <= former.failed


def test_detection_changes_nothing_among_healthy_hosts() -> None:
    former = replay([answer] * HOSTS, detects=False)
    result = replay([answer] * HOSTS, detects=True)
    assert result.by_host == former.by_host
    assert not result.count("host_use")


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("utilisation", [0.1, 0.6])
@pytest.mark.parametrize("stated_objective_s", [None, 0.1])
def test_rare_long_requests_eject_no_healthy_host(
    seed: int, utilisation: float, stated_objective_s: float | None
) -> None:
    # With an objective of 0.1 s, most of the long requests count as failures.
    result = replay(
        [answer_with_long_ones] * HOSTS,
        detects=True,
        utilisation=utilisation,
        duration_s=10.0,
        seed=seed,
        stated_objective_s=stated_objective_s,
    )
    assert not result.count("host_use")
    assert not result.count("outliers.spared")


@pytest.mark.parametrize("requests", [8, 11, 16, 40])
def test_rare_long_requests_are_no_deviation_in_many_windows(requests: int) -> None:
    # Few requests in a window are the hard case; a fleet sees many such windows.
    rng = random.Random(requests)
    for _ in range(2_000):
        hosts = [build_host_with_long_requests(rng, requests) for _ in range(HOSTS)]
        assert not find_deviations(hosts)


def build_host_with_long_requests(rng: random.Random, requests: int) -> Host:
    outcomes = [answer_with_long_ones(rng, 0.0) for _ in range(requests)]
    times = sorted(each.work_s for each in outcomes if each.work_s <= 0.1)
    sizes = sorted(each.answer_bytes for each in outcomes)
    count = len(times)
    host = Host(str(rng.random()), ("", 1))
    host.routes = [
        RouteReport(
            1,
            count,
            times[(count - 1) // 2] * 1_000.0,
            sizes[count // 4],
            requests - count,
        )
    ]
    return host


def build_flapping(count: int) -> list[Behaviour]:
    return [flap(1.0 + 0.35 * number, 0.7 * number) for number in range(count)]


def test_twenty_flapping_hosts_get_few_flows_while_most_are_healthy() -> None:
    hosts = build_flapping(20) + [answer] * 42
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert sum(former.by_host[:20]) >= 0.5 * sum(former.by_host)
    assert sum(result.by_host[:20]) <= 0.2 * sum(result.by_host)
    assert result.failed <= 0.2 * former.failed
    assert result.most_reduced <= len(hosts) // 3


def test_twenty_flapping_hosts_of_a_small_service_take_no_third_away() -> None:
    # More hosts flap than may be reduced, so the peers' median rate is high as well.
    hosts = build_flapping(20) + [answer] * 14
    former = replay(hosts, detects=False)
    result = replay(hosts, detects=True)
    assert result.most_reduced <= len(hosts) // 3
    assert result.get_share_in_time() >= former.get_share_in_time() - 0.02


def test_fault_of_all_hosts_ejects_none() -> None:
    result = replay([fail_half] * HOSTS, detects=True, duration_s=8.0)
    assert not result.count("outliers.ejected")
