"""Bundles of several messages in one datagram."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.wire.bundle import decode_bundle, encode_bundle
from balsamstream.wire.error import MalformedMessage

MESSAGE = st.binary(min_size=1, max_size=60).filter(lambda data: data[0] != 5)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(MESSAGE, min_size=1, max_size=8))
def test_a_bundle_decodes_to_its_messages(messages: list[bytes]) -> None:
    assert decode_bundle(encode_bundle(messages)) == messages


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(st.binary(max_size=60))
def test_arbitrary_bytes_raise_only_the_typed_error(data: bytes) -> None:
    try:
        messages = decode_bundle(b"\5" + data)
    except MalformedMessage:
        return
    assert all(messages)


@pytest.mark.parametrize("data", [b"\5\0", b"\5\0\0", b"\5\0\2x", b"\5\0\1\5"])
def test_truncated_empty_and_nested_messages_are_refused(data: bytes) -> None:
    with pytest.raises(MalformedMessage):
        decode_bundle(data)
