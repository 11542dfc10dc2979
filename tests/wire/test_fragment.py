"""Fragmentation and reassembly of large messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.wire.control import MAX_CONTROL_BYTES
from balsamstream.wire.error import MalformedMessage
from balsamstream.wire.fragment import (
    MAX_FRAGMENT_BYTES,
    MAX_PARTIAL_BYTES,
    MAX_PARTIAL_PER_SENDER,
    MAX_SENDERS,
    REASSEMBLY_TIMEOUT_S,
    Reassembler,
    fragment_message,
)


def build_bytes(size: int) -> bytes:
    return random.Random(size).randbytes(size)


@pytest.mark.parametrize("size", [1201, 5000, 60_000, 110_000])
def test_fragments_in_any_order_are_reassembled(size: int) -> None:
    message = build_bytes(size)
    fragments = fragment_message(message, 2**40 + 7)
    assert all(len(fragment) <= MAX_FRAGMENT_BYTES for fragment in fragments)
    random.Random(1).shuffle(fragments)
    reassembler = Reassembler()
    results = [reassembler.add("a", fragment, 0.0) for fragment in fragments]
    assert results[:-1] == [None] * (len(fragments) - 1)
    assert results[-1] == message
    assert len(reassembler) == 0


def test_short_messages_are_not_fragmented() -> None:
    assert fragment_message(b"short", 1) == [b"short"]


def test_too_long_messages_are_refused() -> None:
    with pytest.raises(MalformedMessage):
        fragment_message(build_bytes(MAX_CONTROL_BYTES + 1), 1)


def test_repeated_fragments_do_not_complete_a_message() -> None:
    first, *_ = fragment_message(build_bytes(5000), 1)
    reassembler = Reassembler()
    assert [reassembler.add("a", first, 0.0) for _ in range(9)] == [None] * 9


def test_fragments_of_two_senders_are_never_mixed() -> None:
    fragments = fragment_message(build_bytes(2000), 1)
    reassembler = Reassembler()
    assert reassembler.add("a", fragments[0], 0.0) is None
    assert reassembler.add("b", fragments[1], 0.0) is None


def test_incomplete_messages_are_bounded_in_count_and_age() -> None:
    reassembler = Reassembler()
    for sender in range(MAX_SENDERS * 2):
        for number in range(MAX_PARTIAL_PER_SENDER * 2):
            first, *_ = fragment_message(build_bytes(5000), number)
            reassembler.add(sender, first, 0.0)
    assert len(reassembler) == MAX_SENDERS * MAX_PARTIAL_PER_SENDER
    reassembler.expire_incomplete(REASSEMBLY_TIMEOUT_S + 0.1)
    assert len(reassembler) == 0
    assert reassembler.partial_bytes == 0


def test_bytes_of_incomplete_messages_are_bounded() -> None:
    reassembler = Reassembler()
    fragments = fragment_message(build_bytes(110_000), 1)[:-1]
    refused = 0
    for sender in range(MAX_SENDERS):
        for fragment in fragments:
            try:
                reassembler.add(sender, fragment, 0.0)
            except MalformedMessage:
                refused += 1
    assert refused > 0
    assert reassembler.partial_bytes <= MAX_PARTIAL_BYTES + MAX_FRAGMENT_BYTES
    reassembler.expire_incomplete(REASSEMBLY_TIMEOUT_S + 0.1)
    assert reassembler.partial_bytes == 0


def test_late_fragments_do_not_complete_an_old_message() -> None:
    first, second = fragment_message(build_bytes(2000), 1)
    reassembler = Reassembler()
    reassembler.add("a", first, 0.0)
    assert reassembler.add("a", second, REASSEMBLY_TIMEOUT_S + 0.1) is None


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.binary(max_size=40), max_size=10), st.binary(max_size=4))
def test_arbitrary_fragments_raise_only_the_typed_error(
    tails: list[bytes], number: bytes
) -> None:
    reassembler = Reassembler()
    for tail in [*tails, number + b"\0\0\0\1junk", b"\0\0\0\0\0\0\0\1junk"]:
        try:
            reassembler.add("a", b"\4" + tail, 0.0)
        except MalformedMessage:
            continue
