"""Answers of the backend server and their requests."""

from __future__ import annotations

from balsamstream.core.identity import NO_REQUEST, FlowKey, RequestKey
from balsamstream.edge.coap_matcher import (
    MAX_FLOWS,
    MAX_PENDING_PER_FLOW,
    CoapMatcher,
)
from balsamstream.edge.coap_message import (
    MessageType,
    build_message,
    build_option,
    encode_uint,
)

FLOW = FlowKey(1)
OTHER_FLOW = FlowKey(2)
FIRST = RequestKey(11)
SECOND = RequestKey(22)
GET = 1
CONTENT = 69


def make_request(mid: int, token: bytes = b"t") -> bytes:
    return build_message(MessageType.CON, GET, mid, token)


def make_answer(kind: MessageType, mid: int, token: bytes = b"t") -> bytes:
    return build_message(kind, CONTENT, mid, token)


def make_notification(mid: int, sequence: int, token: bytes = b"t") -> bytes:
    observe = build_option(6, encode_uint(sequence))
    return make_answer(MessageType.CON, mid, token) + observe + b"\xffboard"


def expect_one() -> CoapMatcher:
    matcher = CoapMatcher()
    matcher.record_request(FLOW, FIRST, make_request(1))
    return matcher


def test_the_first_answer_completes_and_later_ones_do_not() -> None:
    matcher = expect_one()
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 1)) == FIRST
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 1)) == NO_REQUEST
    assert matcher.match(FLOW, make_notification(90, 2)) == NO_REQUEST


def test_a_separate_answer_completes_after_the_empty_acknowledgement() -> None:
    matcher = expect_one()
    empty = build_message(MessageType.ACK, 0, 1)
    assert matcher.match(FLOW, empty) == NO_REQUEST
    assert matcher.match(FLOW, make_answer(MessageType.CON, 55)) == FIRST


def test_answers_of_another_token_or_flow_complete_nothing() -> None:
    matcher = expect_one()
    assert matcher.match(FLOW, make_answer(MessageType.NON, 1, b"u")) == NO_REQUEST
    assert matcher.match(OTHER_FLOW, make_answer(MessageType.ACK, 1)) == NO_REQUEST
    assert len(matcher) == 1


def test_crossed_answers_find_their_own_requests() -> None:
    matcher = expect_one()
    matcher.record_request(FLOW, SECOND, make_request(2, b"u"))
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 2, b"u")) == SECOND
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 1)) == FIRST


def test_a_late_acknowledgement_does_not_complete_a_request_with_its_token() -> None:
    matcher = expect_one()
    matcher.forget_request(FLOW, FIRST)
    matcher.record_request(FLOW, SECOND, make_request(2))
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 1)) == NO_REQUEST
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 2)) == SECOND


def test_a_reset_completes_the_request_that_it_rejects() -> None:
    matcher = expect_one()
    assert matcher.match(FLOW, build_message(MessageType.RST, 0, 2)) == NO_REQUEST
    assert matcher.match(FLOW, build_message(MessageType.RST, 0, 1)) == FIRST


def test_a_copy_of_an_answered_request_is_expected_again() -> None:
    matcher = expect_one()
    matcher.match(FLOW, make_answer(MessageType.ACK, 1))
    matcher.record_request(FLOW, FIRST, make_request(1))
    assert matcher.match(FLOW, make_answer(MessageType.ACK, 1)) == FIRST


def test_closing_a_flow_rejects_its_observations() -> None:
    matcher = expect_one()
    assert matcher.match(FLOW, make_notification(90, 1)) == FIRST
    matcher.match(FLOW, make_notification(91, 2))
    assert matcher.close_flow(FLOW) == [build_message(MessageType.RST, 0, 91)]
    assert matcher.close_flow(FLOW) == []


def test_an_observation_that_has_ended_is_not_rejected() -> None:
    matcher = expect_one()
    matcher.match(FLOW, make_notification(90, 1))
    matcher.match(FLOW, make_answer(MessageType.CON, 91))
    assert matcher.close_flow(FLOW) == []


def test_requests_in_flight_are_bounded() -> None:
    matcher = CoapMatcher()
    for mid in range(2 * MAX_PENDING_PER_FLOW):
        matcher.record_request(FLOW, RequestKey(mid + 1), make_request(mid))
    assert len(matcher) == MAX_PENDING_PER_FLOW
    for flow in range(MAX_FLOWS + 10):
        matcher.record_request(FlowKey(flow), FIRST, make_request(1))
    assert len(matcher._flows) == MAX_FLOWS
