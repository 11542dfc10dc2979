"""Record of a host's answers at its gate."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.flows.answer_record import (
    DEFAULT_OBJECTIVE_S,
    MAX_PENDING,
    MAX_PENDING_S,
    MAX_ROUTES,
    MAX_SAMPLES,
    REPORTED_ROUTES,
    REUSE_S,
    WINDOW_S,
    AnswerRecord,
)
from balsamstream.flows.messages import RouteReport, compute_route_tag
from balsamstream.platform import packets

ROUTE = packets.pack_route("198.18.0.1", 443)
NOW = 100.0


def build_flow(number: int, route: bytes = ROUTE) -> bytes:
    return struct.pack(">H6sI", number % 65_536, route, number // 65_536)


def build_route(number: int) -> bytes:
    return packets.pack_route("198.18.0.1", 1_000 + number)


def build_record(slots: int = 1) -> AnswerRecord:
    record = AnswerRecord()
    record.slots = slots
    return record


def answer(
    record: AnswerRecord, number: int, at: float, size: int = 100, after_s: float = 0.02
) -> None:
    record.record_request(build_flow(number), at)
    record.record_answer(build_flow(number), size, at + after_s)


def get_report(record: AnswerRecord, now: float) -> RouteReport:
    (report,) = record.build_reports(now)
    return report


def test_report_has_count_median_time_and_lower_quartile_of_bytes() -> None:
    record = build_record()
    times_s = (0.01, 0.02, 0.03, 0.04, 0.5)
    for number, after_s in enumerate(times_s):
        answer(record, number, NOW + number * 0.6, 100 * (number + 1), after_s)
    report = get_report(record, NOW + 3.0)
    assert report == RouteReport(compute_route_tag(ROUTE), 5, 30.0, 200, 0)


def test_record_without_answers_reports_nothing() -> None:
    assert build_record().build_reports(NOW) == []


def test_wait_for_a_slot_is_no_service_time() -> None:
    # A queue of requests would make a well host look slow.
    record = build_record()
    for number in range(5):
        record.record_request(build_flow(number), NOW)
    for number in range(5):
        record.record_answer(build_flow(number), 100, NOW + 0.02 * (number + 1))
    assert get_report(record, NOW + 0.2).service_ms == pytest.approx(20.0)


def test_long_request_in_one_slot_does_not_shorten_the_times_of_another() -> None:
    record = build_record(slots=2)
    record.record_request(build_flow(0), NOW)
    for number in range(1, 6):
        record.record_request(build_flow(number), NOW)
    for number in range(1, 6):
        record.record_answer(build_flow(number), 100, NOW + 0.02 * number)
    assert get_report(record, NOW + 0.11).service_ms == pytest.approx(20.0)
    record.record_answer(build_flow(0), 100, NOW + 0.14)
    report = get_report(record, NOW + 0.5)
    assert (report.answers, report.failures) == (6, 0)


def test_service_time_starts_with_the_last_data_packet_of_a_request() -> None:
    record = build_record()
    record.record_request(build_flow(1), NOW)
    record.record_request(build_flow(1), NOW + 0.3)
    record.record_answer(build_flow(1), 100, NOW + 0.32)
    assert get_report(record, NOW + 0.4).service_ms == pytest.approx(20.0)


def test_request_answered_out_of_order_is_measured_from_its_arrival() -> None:
    record = build_record()
    record.record_request(build_flow(1), NOW)
    record.record_request(build_flow(2), NOW)
    record.record_answer(build_flow(2), 100, NOW + 0.02)
    assert get_report(record, NOW + 0.1).service_ms == pytest.approx(20.0)


def test_unanswered_request_fails_after_the_default_objective() -> None:
    record = build_record()
    record.record_request(build_flow(1), NOW)
    assert record.build_reports(NOW + DEFAULT_OBJECTIVE_S - 0.1) == []
    report = get_report(record, NOW + DEFAULT_OBJECTIVE_S + 0.2)
    assert (report.answers, report.failures) == (0, 1)
    record.record_answer(build_flow(1), 100, NOW + 1.5)
    report = get_report(record, NOW + 2.0)
    assert (report.answers, report.failures) == (0, 1)


def test_answer_after_the_objective_is_one_failure() -> None:
    record = build_record()
    record.learn_objective(build_flow(1), 0.25, NOW)
    answer(record, 1, NOW, after_s=0.26)
    answer(record, 2, NOW + 1.0, after_s=0.24)
    report = get_report(record, NOW + 2.0)
    assert (report.answers, report.failures) == (1, 1)


def test_request_that_waits_for_a_slot_is_not_overdue() -> None:
    # A well host with a queue would otherwise fail under load.
    record = build_record()
    record.learn_objective(build_flow(1), 0.25, NOW)
    for number in range(10):
        record.record_request(build_flow(number), NOW)
    for number in range(10):
        record.record_answer(build_flow(number), 100, NOW + 0.2 * (number + 1))
    report = get_report(record, NOW + 2.1)
    assert (report.answers, report.failures) == (10, 0)


def test_time_left_of_a_retry_does_not_lower_the_objective() -> None:
    record = build_record()
    record.learn_objective(build_flow(1), 0.25, NOW)
    record.learn_objective(build_flow(2), 0.05, NOW + 0.1)
    answer(record, 2, NOW + 0.1, after_s=0.2)
    assert get_report(record, NOW + 1.0).failures == 0


def test_objective_that_operators_lower_is_learned() -> None:
    record = build_record()
    record.learn_objective(build_flow(1), 1.0, NOW)
    record.learn_objective(build_flow(1), 0.25, NOW + WINDOW_S + 0.1)
    answer(record, 1, NOW + 6.0, after_s=0.5)
    assert get_report(record, NOW + 7.0).failures == 1


def test_reset_of_a_request_or_an_opening_is_a_failure() -> None:
    record = build_record()
    record.record_request(build_flow(1), NOW)
    record.record_failure(build_flow(1), NOW + 0.001)
    record.record_failure(build_flow(2), NOW + 0.002)
    report = get_report(record, NOW + 0.1)
    assert (report.answers, report.failures, report.service_ms) == (0, 2, 0.0)


def test_request_that_its_caller_gives_up_in_time_is_no_failure() -> None:
    record = build_record()
    record.learn_objective(build_flow(1), 0.25, NOW)
    record.record_request(build_flow(1), NOW)
    record.record_given_up(build_flow(1), NOW + 0.2)
    assert record.build_reports(NOW + 2.0) == []


def test_request_that_its_caller_gives_up_late_is_a_failure() -> None:
    record = build_record()
    record.learn_objective(build_flow(1), 0.25, NOW)
    record.record_request(build_flow(1), NOW)
    record.record_given_up(build_flow(1), NOW + 0.3)
    assert get_report(record, NOW + 2.0).failures == 1


def test_pause_of_the_gate_makes_no_request_overdue() -> None:
    record = build_record()
    record.record_request(build_flow(1), NOW)
    record.handle_pause(3.0)
    record.record_answer(build_flow(1), 100, NOW + 3.02)
    assert get_report(record, NOW + 3.1).service_ms == pytest.approx(20.0)


def test_answers_leave_the_report_after_the_window() -> None:
    record = build_record()
    answer(record, 1, NOW)
    assert get_report(record, NOW + WINDOW_S - 0.1).answers == 1
    assert record.build_reports(NOW + WINDOW_S + 0.2) == []


def test_clear_discards_answers_and_the_last_report() -> None:
    record = build_record()
    answer(record, 1, NOW)
    get_report(record, NOW + 0.1)
    record.record_request(build_flow(2), NOW)
    record.clear()
    assert record.build_reports(NOW + 0.1) == []
    assert record.build_reports(NOW + 3.0) == []


def test_report_is_reused_for_the_fronts_of_one_round() -> None:
    record = build_record()
    answer(record, 1, NOW)
    first = record.build_reports(NOW + 0.1)
    answer(record, 2, NOW + 0.11)
    assert record.build_reports(NOW + 0.1 + REUSE_S / 2) == first
    assert get_report(record, NOW + 0.1 + 2 * REUSE_S).answers == 2


def test_routes_with_the_most_answers_are_reported() -> None:
    record = build_record()
    for number in range(MAX_ROUTES + 4):
        for flow in range(number + 1):
            key = build_flow(flow, build_route(number))
            record.record_request(key, NOW)
            record.record_answer(key, 100, NOW + 0.01)
    reports = record.build_reports(NOW + 0.1)
    busiest = range(MAX_ROUTES - 1, MAX_ROUTES - 1 - REPORTED_ROUTES, -1)
    tags = [compute_route_tag(build_route(number)) for number in busiest]
    assert [report.route_tag for report in reports] == tags


@pytest.mark.parametrize(("fronts", "routes"), [(1, 8), (3, 8), (6, 4), (40, 1)])
def test_fewer_routes_are_reported_to_many_fronts(fronts: int, routes: int) -> None:
    # The reports would otherwise exceed the bound of a node's control traffic.
    record = build_record()
    for number in range(MAX_ROUTES):
        key = build_flow(1, build_route(number))
        record.record_request(key, NOW)
        record.record_answer(key, 100, NOW + 0.01)
    assert len(record.build_reports(NOW + 0.1, fronts)) == routes


def test_unused_route_makes_room_for_a_new_one() -> None:
    record = build_record()
    for number in range(MAX_ROUTES):
        key = build_flow(1, build_route(number))
        record.record_request(key, NOW)
        record.record_answer(key, 100, NOW + 0.01)
    answer(record, 1, NOW + WINDOW_S + 1.0)
    assert get_report(record, NOW + WINDOW_S + 2.0).answers == 1


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "answer", "failure", "given_up", "drop", "report"]),
        st.integers(0, 40),
        st.integers(0, 30),
        st.floats(0.0, 0.5),
    ),
    max_size=120,
)


@given(STEPS, st.integers(1, 8))
@settings(deadline=None)
def test_any_order_of_events_keeps_the_bounds(
    steps: list[tuple[str, int, int, float]], slots: int
) -> None:
    record = build_record(slots)
    now = NOW
    for action, flow_number, route_number, gap_s in steps:
        now += gap_s
        flow = build_flow(flow_number, build_route(route_number))
        match action:
            case "request":
                record.record_request(flow, now)
            case "answer":
                record.record_answer(flow, 100, now)
            case "failure":
                record.record_failure(flow, now)
            case "given_up":
                record.record_given_up(flow, now)
            case "drop":
                record.drop(flow)
            case "report":
                reports = record.build_reports(now)
                assert len(reports) <= REPORTED_ROUTES
                assert all(each.answers + each.failures > 0 for each in reports)
                assert all(each.service_ms >= 0.0 for each in reports)
    assert record.build_reports(now + WINDOW_S + MAX_PENDING_S + 1.0) == []


def test_tables_are_bounded() -> None:
    record = build_record()
    for number in range(2 * MAX_PENDING):
        record.record_request(build_flow(number), NOW)
    for number in range(2 * MAX_PENDING):
        record.record_answer(build_flow(number), 100, NOW + 0.5)
    assert get_report(record, NOW + 1.0).answers == MAX_SAMPLES
