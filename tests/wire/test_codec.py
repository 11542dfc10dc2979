"""Encoding and decoding of messages."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.core.identity import Address, FlowKey, RequestKey
from balsamstream.core.message import Changes, Message, Packet, RequestKind
from balsamstream.core.routing import RoutingVersion
from balsamstream.wire.codec import decode_message, encode_message
from balsamstream.wire.control import MAX_CONTROL_BYTES
from balsamstream.wire.error import MalformedMessage
from balsamstream.wire.packet import MAX_PAYLOAD_BYTES
from tests.wire.messages import MESSAGES


def build_packet(payload: bytes = b"x", hops: int = 0) -> Packet:
    caller = Address("192.0.2.1", 5683)
    version = RoutingVersion(3, 4)
    return Packet(
        1,
        FlowKey(2),
        caller,
        caller,
        version,
        RequestKind.REPEATABLE,
        RequestKey(5),
        2000,
        payload,
        hops,
    )


def decode_or_none(data: bytes) -> Message | None:
    try:
        return decode_message(data)
    except MalformedMessage:
        return None


@settings(derandomize=True, max_examples=400, deadline=None)
@given(MESSAGES)
def test_every_message_decodes_to_itself(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


@settings(derandomize=True, max_examples=2000, deadline=None)
@given(st.integers(0, 34), st.binary(max_size=120))
def test_arbitrary_bytes_raise_only_the_typed_error(first: int, rest: bytes) -> None:
    decode_or_none(rest)
    decode_or_none(bytes((first,)) + rest)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(MESSAGES, st.data())
def test_corrupted_messages_raise_only_the_typed_error(
    message: Message, data: st.DataObject
) -> None:
    encoded = bytearray(encode_message(message))
    place = data.draw(st.integers(0, len(encoded) - 1))
    encoded[place] ^= data.draw(st.integers(1, 255))
    decode_or_none(bytes(encoded))
    decode_or_none(bytes(encoded[:place]))


@pytest.mark.parametrize("first", range(18, 33))
@pytest.mark.parametrize(
    "body",
    [
        b"\x0c\x00\x01" * 20_000,
        b"\x0f\x00\x63\x0f\x7f\xff\xff\xff" * 2000,
        b"\x0f\x00\x05\x0c\x7f\xff\xff\xff",
        b"\x0b\x00\x01\x7f\xff\xff\xff",
        b"\x0d\x00\x09\x0b\x0b\x7f\xff\xff\xff",
        b"\x00",
    ],
)
def test_nested_and_oversized_containers_are_refused(first: int, body: bytes) -> None:
    assert decode_or_none(bytes((first,)) + body) is None


def test_deeply_nested_specs_are_refused() -> None:
    message = Changes(0, 1, True, False, ())
    encoded = encode_message(message)
    assert decode_message(encoded) == message
    deep = b"[" * 100_000
    size = len(deep).to_bytes(4, "big")
    found = b"\x0b\x00\x01\x00\x00\x00\x00\x0b\x00\x02\x00\x00\x00\x00"
    found += b"\x0a\x00\x03" + bytes(8) + b"\x0b\x00\x04" + size + deep + b"\x00"
    head = encoded[: encoded.rindex(b"\x0f\x00\x05")]
    listed = b"\x0f\x00\x05\x0c\x00\x00\x00\x01" + found + b"\x00"
    assert decode_or_none(head + listed) is None


def test_too_long_payloads_are_refused() -> None:
    assert decode_message(encode_message(build_packet(bytes(MAX_PAYLOAD_BYTES))))
    with pytest.raises(MalformedMessage):
        encode_message(build_packet(bytes(MAX_PAYLOAD_BYTES + 1)))


def test_too_large_fields_are_refused() -> None:
    with pytest.raises(MalformedMessage):
        encode_message(build_packet(hops=256))


def test_too_long_control_messages_are_refused() -> None:
    encoded = encode_message(Changes(0, 1, True, False, ()))
    assert decode_or_none(encoded + bytes(MAX_CONTROL_BYTES)) is None
