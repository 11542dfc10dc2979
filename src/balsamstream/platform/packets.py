"""Layout of the packets that carry a flow.

The header has 31 bytes: seq, ack, echo (4 bytes each), sport (2), dst (4), dport (2),
src (4), sum (4), len (2) and flags (1), big-endian. The checksum ``sum`` covers
everything except ``echo`` and the bounced flag; only the two endpoints of a flow can
compute it.
"""

from __future__ import annotations

import socket
import struct
from typing import Final

HEADER_BYTES: Final = 31
MAX_PACKET_BYTES: Final = HEADER_BYTES + 1_200

FIN: Final = 16
SYN: Final = 8
BOUNCED: Final = 4
"""The host returned the packet: it does not hold the flow or cannot accept it."""
ACK: Final = 2
RST: Final = 1

_HEADER: Final = struct.Struct(">IIIHIHIIHB")
_FLOW_KEY: Final = struct.Struct(">HIHI")
_UINT32: Final = struct.Struct(">I")
_FLAGS_OFFSET: Final = 30
_ACK_OFFSET: Final = 4
_ECHO_FIELD: Final = slice(8, 12)
_FLOW_KEY_FIELD: Final = slice(12, 24)
_ROUTE_FIELD: Final = slice(14, 20)
_FLOW_ROUTE_FIELD: Final = slice(2, 8)
_FLOW_CALLER_FIELD: Final = slice(8, 12)

FLOW_KEY_BYTES: Final = 12
SEQ_MASK: Final = 0xFFFF_FFFF
"""Sequence numbers and differences between them wrap around."""
MAX_PORT: Final = 65_535


def is_packet(packet: bytes) -> bool:
    """Return whether the size is allowed and agrees with the length field."""
    size = len(packet)
    if not HEADER_BYTES <= size <= MAX_PACKET_BYTES:
        return False
    return size == HEADER_BYTES + (packet[28] << 8 | packet[29])


def get_flags(packet: bytes) -> int:
    """Return the flags."""
    return packet[_FLAGS_OFFSET]


def get_data_bytes(packet: bytes) -> int:
    """Return the length of the payload, in bytes."""
    return packet[28] << 8 | packet[29]


def get_seq(packet: bytes) -> int:
    """Return the sequence number of the first payload byte."""
    number: int = _UINT32.unpack_from(packet)[0]
    return number


def get_ack(packet: bytes) -> int:
    """Return the acknowledgement number; in an opening packet, its copy number."""
    number: int = _UINT32.unpack_from(packet, _ACK_OFFSET)[0]
    return number


def get_flow(packet: bytes) -> bytes:
    """Return the flow key of a packet sent by a caller.

    Returns
    -------
    bytes
        The caller's port, the route's address and port, the caller's address.
    """
    return packet[_FLOW_KEY_FIELD]


def get_host_packet_flow(packet: bytes) -> bytes:
    """Return the flow key of a packet sent by a host, in the form of `get_flow`."""
    return packet[18:24] + packet[12:18]


def get_route(packet: bytes) -> bytes:
    """Return the destination address and port of a caller's packet, 6 bytes."""
    return packet[_ROUTE_FIELD]


def get_flow_route(flow: bytes) -> bytes:
    """Return the route's address and port in a flow key, in the form of `get_route`."""
    return flow[_FLOW_ROUTE_FIELD]


def get_flow_caller(flow: bytes) -> bytes:
    """Return the caller's address in a flow key, 4 bytes."""
    return flow[_FLOW_CALLER_FIELD]


def get_destination(packet: bytes) -> str:
    """Return the destination IP address of a packet."""
    return socket.inet_ntoa(packet[14:18])


def get_echo(packet: bytes) -> bytes:
    """Return the 4-byte echo field, which a host keeps when it bounces a packet."""
    return packet[_ECHO_FIELD]


def set_echo(packet: bytes, echo: bytes) -> bytes:
    """Return a copy of the packet with another echo field."""
    return packet[:8] + echo + packet[12:]


def restore_bounced(packet: bytes) -> bytes:
    """Return a bounced packet as its caller sent it: no echo, no bounced flag."""
    return (
        packet[:8]
        + b"\0\0\0\0"
        + packet[12:_FLAGS_OFFSET]
        + bytes((packet[_FLAGS_OFFSET] & ~BOUNCED,))
        + packet[HEADER_BYTES:]
    )


def build_reset(packet: bytes) -> bytes:
    """Build the reset packet that answers a caller's packet.

    Its sequence number is the caller's last acknowledgement number, without which an
    open flow ignores the reset.
    """
    _, ack, _, sport, dst, dport, src, _, _, flags = _HEADER.unpack_from(packet)
    seq = 0 if flags & SYN else ack
    return _HEADER.pack(seq, 0, 0, dport, src, sport, dst, 0, 0, RST)


def build_flow_reset(flow: bytes, ack: int) -> bytes:
    """Build the reset packet of an open flow without a packet of its caller.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    ack : int
        Last acknowledgement number of the caller; see `build_reset`.
    """
    sport, dst, dport, src = _FLOW_KEY.unpack(flow)
    return _HEADER.pack(ack, 0, 0, dport, src, sport, dst, 0, 0, RST)


def pack_route(ip: str, port: int) -> bytes:
    """Pack the address and port of a route as in a packet header.

    Raises
    ------
    ValueError
        If the IPv4 address or the port is invalid.
    """
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"invalid port: {port}")
    try:
        return socket.inet_aton(ip) + struct.pack(">H", port)
    except OSError as error:
        raise ValueError(f"invalid IPv4 address: {ip}") from error


def describe_flow(flow: bytes) -> str:
    """Format a flow key for logs as ``CALLER_IP:PORT>ROUTE_IP:PORT``."""
    caller = socket.inet_ntoa(flow[8:12])
    route = socket.inet_ntoa(flow[2:6])
    caller_port = flow[0] << 8 | flow[1]
    route_port = flow[6] << 8 | flow[7]
    return f"{caller}:{caller_port}>{route}:{route_port}"


__all__ = [
    "ACK",
    "BOUNCED",
    "FIN",
    "FLOW_KEY_BYTES",
    "HEADER_BYTES",
    "MAX_PACKET_BYTES",
    "RST",
    "SYN",
    "build_flow_reset",
    "build_reset",
    "describe_flow",
    "get_ack",
    "get_host_packet_flow",
    "get_data_bytes",
    "get_echo",
    "get_flags",
    "get_flow",
    "get_flow_caller",
    "get_flow_route",
    "get_destination",
    "get_route",
    "get_seq",
    "is_packet",
    "pack_route",
    "restore_bounced",
    "set_echo",
]
