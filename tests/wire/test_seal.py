"""Authentication of datagrams and protection against replay."""

from __future__ import annotations

from collections import OrderedDict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.wire.seal import (
    MAX_AGE_S,
    MAX_SENDERS,
    CoarseClock,
    Key,
    Sealer,
    SealError,
)
from balsamstream.wire.window import WINDOW_COUNTERS, ReplayWindow

WALL = 1_700_000_000.0
ONE = Address("127.0.0.1", 1)
TWO = Address("127.0.0.1", 2)
THREE = Address("127.0.0.1", 3)
OLD_KEY = Key(1, b"a" * 32)
NEW_KEY = Key(2, b"b" * 32)


def build_sealer(
    address: Address,
    clock: CoarseClock | None = None,
    keys: tuple[Key, ...] = (OLD_KEY,),
    incarnation: int = 1,
) -> Sealer:
    ref = ProcessRef(str(address), incarnation)
    return Sealer(ref, address, keys, clock or CoarseClock(WALL, 0.0))


def get_refusal_reason(receiver: Sealer, source: Address, datagram: bytes) -> str:
    with pytest.raises(SealError) as caught:
        receiver.open(source, datagram)
    return caught.value.reason


def test_the_receiver_opens_the_message() -> None:
    receiver = build_sealer(TWO)
    datagram = build_sealer(ONE).seal(TWO, b"message")
    assert receiver.open(ONE, datagram) == b"message"


def test_a_replay_is_refused() -> None:
    receiver = build_sealer(TWO)
    datagram = build_sealer(ONE).seal(TWO, b"message")
    receiver.open(ONE, datagram)
    assert get_refusal_reason(receiver, ONE, datagram) == "replay"


def test_a_datagram_is_refused_at_another_receiver_or_from_another_source() -> None:
    datagram = build_sealer(ONE).seal(TWO, b"message")
    assert get_refusal_reason(build_sealer(THREE), ONE, datagram) == "forged"
    assert get_refusal_reason(build_sealer(TWO), THREE, datagram) == "forged"


def test_each_changed_bit_is_refused() -> None:
    datagram = build_sealer(ONE).seal(TWO, b"message")
    for place in range(len(datagram) * 8):
        changed = bytearray(datagram)
        changed[place // 8] ^= 1 << place % 8
        reason = get_refusal_reason(build_sealer(TWO), ONE, bytes(changed))
        assert reason in ("forged", "unknown-key")


def test_keys_rotate_without_a_gap() -> None:
    sender = build_sealer(ONE)
    receiver = build_sealer(TWO)
    receiver.replace_keys([OLD_KEY, NEW_KEY])
    receiver.open(ONE, sender.seal(TWO, b"1"))
    sender.replace_keys([NEW_KEY, OLD_KEY])
    receiver.open(ONE, sender.seal(TWO, b"2"))
    receiver.replace_keys([NEW_KEY])
    receiver.open(ONE, sender.seal(TWO, b"3"))
    sender.replace_keys([OLD_KEY])
    assert get_refusal_reason(receiver, ONE, sender.seal(TWO, b"4")) == "unknown-key"


def test_missing_keys_and_equal_key_numbers_are_refused() -> None:
    with pytest.raises(ValueError, match="numbers"):
        build_sealer(ONE, keys=(OLD_KEY, Key(1, b"c")))
    with pytest.raises(ValueError, match="numbers"):
        build_sealer(ONE, keys=())


def test_a_restarted_receiver_refuses_old_datagrams() -> None:
    datagram = build_sealer(ONE).seal(TWO, b"message")
    later = WALL + MAX_AGE_S + 1
    restarted = build_sealer(TWO, CoarseClock(later, 0.0), incarnation=2)
    assert get_refusal_reason(restarted, ONE, datagram) == "old"


def test_a_delayed_datagram_of_a_known_sender_is_refused() -> None:
    sender = build_sealer(ONE)
    clock = CoarseClock(WALL, 0.0)
    receiver = build_sealer(TWO, clock)
    receiver.open(ONE, sender.seal(TWO, b"1"))
    delayed = sender.seal(TWO, b"2")
    clock.advance(WALL + MAX_AGE_S + 2, MAX_AGE_S + 2)
    assert get_refusal_reason(receiver, ONE, delayed) == "old"


@pytest.mark.parametrize("jump_s", [-100_000.0, 100_000.0])
def test_clock_jumps_do_not_interrupt_known_senders(jump_s: float) -> None:
    sender_clock = CoarseClock(WALL, 0.0)
    receiver_clock = CoarseClock(WALL, 0.0)
    sender = build_sealer(ONE, sender_clock)
    receiver = build_sealer(TWO, receiver_clock)
    receiver.open(ONE, sender.seal(TWO, b"0"))
    sender.open(TWO, receiver.seal(ONE, b"0"))
    for elapsed in range(100):
        sender_clock.advance(WALL + jump_s + elapsed, elapsed)
        receiver_clock.advance(WALL + elapsed, elapsed)
        receiver.open(ONE, sender.seal(TWO, b"sent"))
        sender.open(TWO, receiver.seal(ONE, b"returned"))


def test_counters_stay_unique_when_receivers_are_discarded() -> None:
    sender = build_sealer(ONE)
    receiver = build_sealer(TWO)
    for _ in range(5):
        receiver.open(ONE, sender.seal(TWO, b"message"))
        sender.replace_keys([OLD_KEY])


def test_the_table_of_senders_is_bounded() -> None:
    receiver = build_sealer(TWO)
    for incarnation in range(MAX_SENDERS + 10):
        sender = build_sealer(ONE, incarnation=incarnation)
        receiver.open(ONE, sender.seal(TWO, b"message"))
    assert len(receiver._senders) == MAX_SENDERS


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_the_typed_error(datagram: bytes) -> None:
    with pytest.raises(SealError):
        build_sealer(TWO).open(ONE, datagram)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.integers(0, 3 * WINDOW_COUNTERS), max_size=60))
def test_the_window_accepts_each_counter_once(counters: list[int]) -> None:
    window = ReplayWindow()
    accepted: OrderedDict[int, None] = OrderedDict()
    for counter in counters:
        highest = max(accepted, default=-1)
        expected = counter not in accepted and counter > highest - WINDOW_COUNTERS
        assert window.accept(counter) == expected
        if expected:
            accepted[counter] = None
