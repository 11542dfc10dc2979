"""Expected wait at a host."""

from __future__ import annotations

import pytest

from balsamstream.flows.host_work import (
    MAX_ROUTES,
    MIN_OPENING_SHARE,
    RATE_WINDOW_S,
    HostWork,
)

FAST, SLOW = b"route1", b"route2"
NOW = 100.0


def begin(work: HostWork, route: bytes) -> None:
    """Send an opening of a route to the host."""
    work.get_route(b"12" + route + b"1234").in_flight += 1


def end(work: HostWork, route: bytes) -> None:
    """End a request of a route."""
    work.get_route(b"12" + route + b"1234").in_flight -= 1


def replay_open_flows(
    work: HostWork, route: bytes, per_s: float, length_s: float
) -> float:
    """Let requests on open flows arrive, each answered at once; return the time."""
    now = NOW
    while now < NOW + length_s:
        now += 1.0 / per_s
        work.get_route(b"12" + route + b"1234").arrivals += 1
        work.forecast(now)
    return now


def build_work(slots: int = 1) -> HostWork:
    """Build the work of an idle host with a fast and a slow route."""
    work = HostWork()
    work.set_slots(slots)
    work.times.record_answer(FAST, NOW - 0.02, NOW)
    work.times.record_answer(SLOW, NOW, NOW + 0.06)
    return work


def test_wait_is_unknown_until_something_is_learned() -> None:
    work = HostWork()
    begin(work, FAST)
    assert work.compute_wait_s({}, NOW) is None
    assert work.forecast(NOW) is None


def test_idle_slot_means_no_wait() -> None:
    # A host with a free slot would otherwise look as busy as a full one.
    work = build_work(slots=2)
    assert work.compute_wait_s({}, NOW) == 0.0
    begin(work, SLOW)
    assert work.compute_wait_s({}, NOW) == 0.0


def test_each_request_counts_with_the_time_of_its_route() -> None:
    work = build_work()
    begin(work, FAST)
    begin(work, SLOW)
    assert work.compute_wait_s({SLOW: 2}, NOW) == pytest.approx(0.08 + 0.12)
    end(work, SLOW)
    assert work.compute_wait_s({}, NOW) == pytest.approx(0.02)


def test_first_of_several_running_requests_ends_early() -> None:
    work = build_work(slots=4)
    for _ in range(4):
        begin(work, SLOW)
    assert work.compute_wait_s({}, NOW) == pytest.approx(0.06 / 4)


def test_requests_on_open_flows_take_their_share_of_the_slots_first() -> None:
    # 20 requests/s of 20 ms take 0.4 of the slot, so openings wait longer.
    work = build_work()
    now = replay_open_flows(work, FAST, 20.0, 5.0)
    assert work.compute_wait_s({FAST: 3}, now) == pytest.approx(0.06 / 0.6, rel=0.1)
    later = now + 10.0
    work.times.record_answer(FAST, later - 0.02, later)
    # The window that holds the last of them ends, and one without any follows.
    work.forecast(later)
    later += RATE_WINDOW_S
    assert work.compute_wait_s({FAST: 3}, later) == pytest.approx(0.06)


def test_share_of_openings_has_a_lower_bound() -> None:
    work = build_work()
    now = replay_open_flows(work, SLOW, 200.0, 2.0)
    wait_s = work.compute_wait_s({FAST: 1}, now)
    assert wait_s == pytest.approx(0.02 / MIN_OPENING_SHARE)


def test_restart_of_the_host_discards_everything() -> None:
    work = build_work()
    begin(work, FAST)
    work.clear()
    assert work.forecast(NOW) is None
    work.times.record_answer(FAST, NOW - 0.02, NOW)
    assert work.compute_wait_s({}, NOW) == 0.0


def test_number_of_routes_is_bounded_and_the_rest_count_as_one() -> None:
    work = build_work()
    for number in range(2 * MAX_ROUTES):
        begin(work, number.to_bytes(6))
    # All count at the mean of the learned routes, 40 ms.
    wait_s = work.compute_wait_s({}, NOW)
    assert wait_s == pytest.approx(2 * MAX_ROUTES * 0.04)


def test_open_flows_take_their_share_from_the_restart_of_the_host_on() -> None:
    """Guards against openings that wait too long at a host that has just started."""
    work = build_work()
    work.clear()
    work.times.record_answer(FAST, NOW + 0.98, NOW + 1.0)
    work.get_route(b"12" + FAST + b"1234").arrivals = 40
    forecast = work.forecast(NOW + 1.0)
    assert forecast is not None
    # 0.8 s of work within the window of two seconds.
    assert forecast.opening_slots == pytest.approx(0.6)
