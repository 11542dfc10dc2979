"""Limits of one backend server."""

from __future__ import annotations

from balsamstream.config.objects import ColdStart, Profile, WorkClass
from balsamstream.core.admission import FAILURES_TO_HALVE, Admission
from balsamstream.core.identity import FlowKey, RequestKey

FLOW = FlowKey(1)


def build_admission(initial: float = 0.1) -> Admission:
    profile = Profile("counter", cold_start=ColdStart(initial, 0.0, 10.0))
    return Admission(profile, 2, 0.0)


def answer_requests(admission: Admission, seconds: float) -> None:
    for number in range(int(seconds * 20)):
        now = number * 0.05
        admission.start_request(FLOW, RequestKey(number + 1), now)
        admission.end_request(FLOW, RequestKey(number + 1), now + 0.01)
        admission.tick(now + 0.05)


def test_limits_rise_with_answers_no_faster_than_the_ramp() -> None:
    admission = build_admission()
    answer_requests(admission, 5.0)
    assert 0.5 < admission.share <= 0.1 + 0.9 * 5.0 / 10.0 + 1e-9


def test_limits_do_not_rise_without_answers() -> None:
    admission = build_admission()
    admission.tick(60.0)
    assert admission.share == 0.1


def test_refusals_of_the_backend_server_lower_the_limits() -> None:
    admission = build_admission()
    admission.share = 1.0
    admission.count_refusal()
    admission.tick(1.0)
    assert admission.share < 1.0


def test_failures_in_a_row_halve_the_limits_at_once() -> None:
    admission = build_admission()
    admission.share = 1.0
    for _ in range(FAILURES_TO_HALVE):
        admission.count_failure()
    assert admission.share == 0.5


def test_capacity_is_reserved_for_work_that_is_shed_last() -> None:
    admission = build_admission(1.0)
    limit = admission.limits.in_flight
    for number in range(int(limit * 0.95)):
        admission.start_request(FLOW, RequestKey(number + 1), 0.0)
    assert not admission.can_start_request(WorkClass.REPEATABLE)
    assert admission.can_start_request(WorkClass.NON_REPEATABLE)


def answer_batches(admission: Admission, latency_s: float, together: int) -> None:
    for first in range(0, 40, together):
        keys = [RequestKey(10_000 + first + number) for number in range(together)]
        for key in keys:
            admission.start_request(FLOW, key, 100.0 + first)
        for key in keys:
            admission.end_request(FLOW, key, 100.0 + first + latency_s)


def test_limits_stay_low_for_the_hold_after_the_first_answer() -> None:
    profile = Profile("counter", cold_start=ColdStart(0.1, 3.0, 10.0))
    admission = Admission(profile, 2, 0.0)
    answer_requests(admission, 2.9)
    assert admission.share == 0.1
    answer_requests(admission, 6.0)
    assert admission.share > 0.1


def test_answers_that_all_slow_down_are_taken_for_a_cold_start() -> None:
    admission = build_admission()
    answer_requests(admission, 5.0)
    admission.share = 1.0
    answer_batches(admission, 0.05, together=1)
    assert admission.share == 0.1


def test_answers_that_wait_behind_others_are_no_cold_start() -> None:
    admission = build_admission()
    answer_requests(admission, 5.0)
    admission.share = 1.0
    answer_batches(admission, 0.05, together=10)
    assert admission.share == 1.0


def test_usual_answers_after_one_fast_answer_are_no_cold_start() -> None:
    admission = build_admission()
    admission.start_request(FLOW, RequestKey(1), 0.0)
    admission.end_request(FLOW, RequestKey(1), 0.0001)
    admission.share = 1.0
    answer_batches(admission, 0.05, together=1)
    assert admission.share == 1.0
