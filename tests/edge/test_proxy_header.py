"""Encoding and splitting of PROXY protocol headers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.core.identity import Address
from balsamstream.edge.proxy_header import (
    HEADER_BYTES,
    ProxyHeaderError,
    encode_header,
    split_datagram,
    unpack_address,
)

CALLER = Address("192.0.2.7", 40_000)
SERVICE = Address("198.51.100.1", 5683)


def test_a_header_matches_the_specification() -> None:
    assert encode_header(CALLER, SERVICE) == (
        b"\x0d\x0a\x0d\x0a\x00\x0d\x0a\x51\x55\x49\x54\x0a\x21\x12\x00\x0c"
        b"\xc0\x00\x02\x07\xc6\x33\x64\x01\x9c\x40\x16\x33"
    )


def test_a_datagram_is_split_into_addresses_and_payload() -> None:
    datagram = encode_header(CALLER, SERVICE) + b"payload"
    relayed = split_datagram(datagram)
    assert (relayed.caller, relayed.payload) == (CALLER, b"payload")
    assert unpack_address(relayed.service) == SERVICE


def test_type_length_value_fields_are_skipped() -> None:
    header = bytearray(encode_header(CALLER, SERVICE))
    header[15] += 4
    datagram = bytes(header) + b"\x04\x00\x01\x00payload"
    relayed = split_datagram(datagram)
    assert (relayed.caller, relayed.payload) == (CALLER, b"payload")
    assert unpack_address(relayed.service) == SERVICE


@pytest.mark.parametrize("size", range(HEADER_BYTES))
def test_truncated_headers_are_refused(size: int) -> None:
    with pytest.raises(ProxyHeaderError):
        split_datagram(encode_header(CALLER, SERVICE)[:size])


@pytest.mark.parametrize(("place", "value"), [(0, 1), (12, 0x20), (13, 0x11), (15, 11)])
def test_other_headers_are_refused(place: int, value: int) -> None:
    header = bytearray(encode_header(CALLER, SERVICE))
    header[place] = value
    with pytest.raises(ProxyHeaderError):
        split_datagram(bytes(header) + b"payload")


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=60), st.booleans())
def test_arbitrary_bytes_raise_only_the_typed_error(
    datagram: bytes, signed: bool
) -> None:
    if signed:
        datagram = encode_header(CALLER, SERVICE)[:14] + datagram
    try:
        split_datagram(datagram)
    except ProxyHeaderError:
        return
