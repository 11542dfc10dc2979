"""CoAP classification, refusals and deadlines, checked with aiocoap's codec."""

from __future__ import annotations

import aiocoap
import pytest
from aiocoap.numbers.types import Type
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.config.objects import Repeatability
from balsamstream.core.identity import NO_REQUEST, FlowKey
from balsamstream.core.message import RequestKind
from balsamstream.core.state import HEAD_BYTES
from balsamstream.core.verdict import MayHaveRun, NotRun
from balsamstream.edge.coap import DEADLINE_OPTION, CoapProtocol

FLOW = FlowKey(77)
COAP = CoapProtocol()


def build_request(
    code: aiocoap.Code = aiocoap.GET,
    kind: Type = Type.CON,
    mid: int = 7,
    token: bytes = b"tok",
    **options: object,
) -> bytes:
    message = aiocoap.Message(
        code=code, uri_path=("board", "long-path-segment"), _mtype=kind, _mid=mid
    )
    message.token = token
    for name, value in options.items():
        setattr(message.opt, name, value)
    message.payload = b"payload"
    return bytes(message.encode())


def classify_kind(datagram: bytes, requests: Repeatability) -> RequestKind | None:
    classified = COAP.classify(FLOW, datagram, requests)
    return None if classified is None else classified.kind


@pytest.mark.parametrize(
    ("code", "kind"),
    [
        (aiocoap.GET, RequestKind.REPEATABLE),
        (aiocoap.PUT, RequestKind.REPEATABLE),
        (aiocoap.DELETE, RequestKind.REPEATABLE),
        (aiocoap.FETCH, RequestKind.REPEATABLE),
        (aiocoap.iPATCH, RequestKind.REPEATABLE),
        (aiocoap.POST, RequestKind.NON_REPEATABLE),
        (aiocoap.PATCH, RequestKind.NON_REPEATABLE),
    ],
)
def test_methods_decide_whether_a_request_is_repeatable(
    code: aiocoap.Code, kind: RequestKind
) -> None:
    datagram = build_request(code)
    assert classify_kind(datagram, Repeatability.BY_METHOD) is kind
    assert classify_kind(datagram, Repeatability.REPEATABLE) is RequestKind.REPEATABLE
    wanted = RequestKind.NON_REPEATABLE
    assert classify_kind(datagram, Repeatability.NON_REPEATABLE) is wanted


def test_unknown_methods_are_not_repeatable() -> None:
    kind = classify_kind(b"\x40\x1f\x00\x01", Repeatability.BY_METHOD)
    assert kind is RequestKind.NON_REPEATABLE


@pytest.mark.parametrize("kind", [Type.ACK, Type.RST])
def test_empty_messages_hold_no_request(kind: Type) -> None:
    message = aiocoap.Message(code=aiocoap.EMPTY, _mtype=kind, _mid=9)
    classified = COAP.classify(FLOW, bytes(message.encode()), Repeatability.BY_METHOD)
    assert classified is not None
    assert classified.kind is RequestKind.NONE
    assert classified.request == NO_REQUEST


def test_only_copies_of_a_request_share_its_key() -> None:
    first = build_request(mid=1)
    others = [
        COAP.classify(FLOW, build_request(mid=2), Repeatability.BY_METHOD),
        COAP.classify(FLOW, build_request(mid=1, token=b"x"), Repeatability.BY_METHOD),
        COAP.classify(FlowKey(78), first, Repeatability.BY_METHOD),
    ]
    known = COAP.classify(FLOW, first, Repeatability.BY_METHOD)
    assert known == COAP.classify(FLOW, first, Repeatability.BY_METHOD)
    assert known not in others


@pytest.mark.parametrize(
    ("kind", "answer"), [(Type.CON, Type.ACK), (Type.NON, Type.NON)]
)
@pytest.mark.parametrize(("wait_s", "max_age"), [(0.0, 1), (1.2, 2), (300.0, 300)])
def test_requests_not_run_are_refused_with_max_age(
    kind: Type, answer: Type, wait_s: float, max_age: int
) -> None:
    head = build_request(aiocoap.POST, kind, 513, b"12345678")[:HEAD_BYTES]
    refusal = COAP.build_refusal(head, NotRun(wait_s, "full"))
    assert refusal is not None
    message = aiocoap.Message.decode(refusal)
    assert message.code is aiocoap.SERVICE_UNAVAILABLE
    assert message.opt.max_age == max_age
    assert (message.mtype, message.mid, message.token) == (answer, 513, b"12345678")


def test_requests_that_may_have_run_are_refused_with_gateway_timeout() -> None:
    refusal = COAP.build_refusal(build_request(aiocoap.POST), MayHaveRun("silent"))
    assert refusal is not None
    message = aiocoap.Message.decode(refusal)
    assert message.code is aiocoap.GATEWAY_TIMEOUT
    assert message.token == b"tok"


def test_only_requests_are_refused() -> None:
    for head in (b"", b"\x60\x00\x00\x01", b"\x50\x45\x00\x01", b"\xff" * 12):
        assert COAP.build_refusal(head, NotRun(1.0, "full")) is None


@pytest.mark.parametrize("deadline_ms", [0, 1, 255, 256, 2000, 100_000])
@pytest.mark.parametrize(
    "options",
    [{}, {"observe": 0}, {"content_format": 60, "accept": 0}, {"if_none_match": True}],
)
def test_the_deadline_is_the_only_change(
    deadline_ms: int, options: dict[str, object]
) -> None:
    before = aiocoap.Message.decode(build_request(**options))
    datagram = COAP.add_deadline(build_request(**options), deadline_ms)
    after = aiocoap.Message.decode(datagram)
    number = aiocoap.OptionNumber(DEADLINE_OPTION)
    (deadline,) = after.opt.get_option(number)
    assert int.from_bytes(deadline.value, "big") == deadline_ms
    assert not number.is_critical()
    after.opt.delete_option(number)
    assert after.opt.encode() == before.opt.encode()
    assert after.payload == before.payload
    assert (after.code, after.mid, after.token) == (
        before.code,
        before.mid,
        before.token,
    )


def test_a_deadline_is_added_once() -> None:
    once = COAP.add_deadline(build_request(), 100)
    assert COAP.add_deadline(once, 50) == once


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(st.binary(max_size=60), st.booleans())
def test_arbitrary_bytes_never_raise(datagram: bytes, is_coap: bool) -> None:
    if is_coap:
        datagram = b"\x40\x02" + datagram
    COAP.classify(FLOW, datagram, Repeatability.BY_METHOD)
    COAP.build_refusal(datagram, NotRun(float("1e300"), "full"))
    COAP.add_deadline(datagram, 5)
    matcher = COAP.build_matcher()
    matcher.record_request(FLOW, NO_REQUEST, datagram)
    matcher.match(FLOW, datagram)
