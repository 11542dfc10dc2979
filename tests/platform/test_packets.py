"""Packet layout, checked against the examples in the users' documentation."""

from __future__ import annotations

import pytest

from balsamstream.platform import packets

OPENING = bytes.fromhex(
    "11223344000000000000000 09c41c612000101bb64400007a1b2c3d5000008".replace(" ", "")
)
RESET = bytes.fromhex(
    "000000000000000000000000 01bb644000079c41c6120001000000000000 01".replace(" ", "")
)


def test_documented_opening_packet_is_read() -> None:
    assert packets.is_packet(OPENING)
    assert packets.get_flags(OPENING) == packets.SYN
    assert packets.get_seq(OPENING) == 0x11223344
    assert packets.get_route(OPENING) == packets.pack_route("198.18.0.1", 443)
    flow = packets.get_flow(OPENING)
    assert packets.describe_flow(flow) == "100.64.0.7:40001>198.18.0.1:443"


def test_reset_matches_the_documented_example() -> None:
    assert packets.build_reset(OPENING) == RESET
    assert packets.get_destination(RESET) == "100.64.0.7"
    assert packets.get_host_packet_flow(RESET) == packets.get_flow(OPENING)


def test_reset_of_an_open_flow_carries_the_acknowledged_sequence_number() -> None:
    later = bytearray(OPENING)
    later[4:8] = b"\x01\x02\x03\x04"
    later[30] = packets.ACK
    assert packets.get_seq(packets.build_reset(bytes(later))) == 0x01020304


def test_bounced_packet_is_restored() -> None:
    bounced = bytearray(packets.set_echo(OPENING, b"abcd"))
    bounced[30] |= packets.BOUNCED
    assert packets.get_echo(bytes(bounced)) == b"abcd"
    assert packets.restore_bounced(bytes(bounced)) == OPENING


@pytest.mark.parametrize(
    "packet",
    [b"", b"\0", OPENING[:-1], OPENING + b"x", OPENING + b"x" * 1_201, b"\xff" * 31],
)
def test_bytes_of_a_wrong_length_are_no_packet(packet: bytes) -> None:
    assert not packets.is_packet(packet)
