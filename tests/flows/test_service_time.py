"""Service times that a gate learns."""

from __future__ import annotations

import pytest

from balsamstream.flows.service_time import (
    MAX_ROUTES,
    MAX_SAMPLE_AGE_S,
    MAX_SAMPLES,
    ServiceTimes,
)

ROUTE = b"route1"
WORK_S = 0.025


def learn(
    times: ServiceTimes,
    samples: list[float],
    route: bytes = ROUTE,
    now: float = 100.0,
) -> float:
    """Record answers of an otherwise idle host; return the time after them."""
    for service_s in samples:
        now += 0.01 + service_s
        times.record_answer(route, now - service_s, now)
    return now


def test_nothing_is_estimated_without_samples() -> None:
    # A guessed time would make a gate that has just started decline openings.
    times = ServiceTimes()
    assert times.estimate_mean_s(ROUTE, 1.0) is None
    assert times.get_median_s(ROUTE, 1.0) is None


def test_wait_for_a_slot_is_not_service() -> None:
    # Requests that arrive together would otherwise count each other's service.
    times = ServiceTimes()
    for number in range(1, 6):
        times.record_answer(ROUTE, 100.0, 100.0 + number * WORK_S)
    assert times.get_median_s(ROUTE, 101.0) == pytest.approx(WORK_S)


@pytest.mark.parametrize("slots", [1, 2, 3])
def test_slot_becomes_free_with_the_answer_that_many_answers_before(
    slots: int,
) -> None:
    times = ServiceTimes()
    times.set_slots(slots)
    for batch in range(1, 5):
        for _ in range(slots):
            times.record_answer(ROUTE, 100.0, 100.0 + batch * WORK_S)
    assert times.estimate_mean_s(ROUTE, 101.0) == pytest.approx(WORK_S)


def test_failed_request_frees_its_slot() -> None:
    # Otherwise the next answer counts the time of the request that failed.
    times = ServiceTimes()
    times.record_answer(ROUTE, 100.0, 100.0 + WORK_S)
    times.record_failure(100.5)
    assert times.record_answer(ROUTE, 100.0, 100.525) == pytest.approx(WORK_S)


def test_rare_long_requests_hardly_change_the_estimates() -> None:
    # 3 % of the requests take seven times as long; the plain mean rises by 19 %.
    times = ServiceTimes()
    now = learn(times, [WORK_S] * 31 + [7 * WORK_S])
    assert times.get_median_s(ROUTE, now) == pytest.approx(WORK_S)
    mean_s = times.estimate_mean_s(ROUTE, now)
    assert mean_s is not None
    assert WORK_S < mean_s < 1.1 * WORK_S


def test_slower_host_is_learned_from_its_latest_answers() -> None:
    times = ServiceTimes()
    now = learn(times, [WORK_S] * 40 + [5 * WORK_S] * MAX_SAMPLES)
    assert times.estimate_mean_s(ROUTE, now) == pytest.approx(5 * WORK_S)


def test_old_samples_are_discarded() -> None:
    times = ServiceTimes()
    now = learn(times, [WORK_S] * 5)
    assert times.estimate_mean_s(ROUTE, now + MAX_SAMPLE_AGE_S / 2) is not None
    assert times.estimate_mean_s(ROUTE, now + MAX_SAMPLE_AGE_S + 1.0) is None
    assert times.get_median_s(ROUTE, now + MAX_SAMPLE_AGE_S + 1.0) is None


def test_route_without_samples_counts_as_the_mean_of_the_others() -> None:
    times = ServiceTimes()
    now = learn(times, [0.02], b"route1")
    now = learn(times, [0.04], b"route2", now)
    assert times.estimate_mean_s(b"route3", now) == pytest.approx(0.03)


def test_number_of_routes_is_bounded_and_the_latest_stay() -> None:
    times = ServiceTimes()
    routes = [b"rt%04d" % number for number in range(3 * MAX_ROUTES)]
    now = 100.0
    for route in routes:
        now = learn(times, [WORK_S], route, now)
    kept = [each for each in routes if times.get_median_s(each, now) is not None]
    assert kept == routes[-MAX_ROUTES:]


def test_restart_of_the_host_discards_what_was_learned() -> None:
    times = ServiceTimes()
    now = learn(times, [WORK_S] * 5)
    times.clear()
    assert times.estimate_mean_s(ROUTE, now) is None
    # The first answer of the new incarnation has no earlier slot to wait for.
    assert times.record_answer(ROUTE, now, now + 1.0) == pytest.approx(1.0)
