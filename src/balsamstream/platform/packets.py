"""Layout of the packets that carry a flow.

The head has 31 bytes: seq, ack, echo (4 bytes each), sport (2), dst (4), dport (2),
src (4), sum (4), len (2) and flags (1), big-endian. All but ``echo`` and the bounced
flag is under a sum that only the two ends of a flow can compute.
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

_HEAD: Final = struct.Struct(">IIIHIHIIHB")
_NUMBER: Final = struct.Struct(">I")
_FLAGS: Final = 30
_ACK: Final = 4
_ECHO: Final = slice(8, 12)
_KEY: Final = slice(12, 24)
_ROUTE: Final = slice(14, 20)

FLOW_KEY_BYTES: Final = 12
LARGEST_PORT: Final = 65_535


def is_packet(packet: bytes) -> bool:
    """Tell whether the bytes can be a packet: its length fits its own field."""
    size = len(packet)
    if not HEADER_BYTES <= size <= MAX_PACKET_BYTES:
        return False
    return size == HEADER_BYTES + (packet[28] << 8 | packet[29])


def get_flags(packet: bytes) -> int:
    """Return the flags."""
    return packet[_FLAGS]


def get_data_bytes(packet: bytes) -> int:
    """Return the length of the data, in bytes."""
    return packet[28] << 8 | packet[29]


def get_seq(packet: bytes) -> int:
    """Return the sender's number of the first byte of data."""
    number: int = _NUMBER.unpack_from(packet)[0]
    return number


def get_ack(packet: bytes) -> int:
    """Return what is acknowledged; in an opening packet the count of its copies."""
    number: int = _NUMBER.unpack_from(packet, _ACK)[0]
    return number


def get_flow(packet: bytes) -> bytes:
    """Return the flow that a caller's packet belongs to.

    Returns
    -------
    bytes
        The caller's port, the route's address and port, the caller's address.
    """
    return packet[_KEY]


def get_host_packet_flow(packet: bytes) -> bytes:
    """Return the flow that a host's packet belongs to, in the same form."""
    return packet[18:24] + packet[12:18]


def get_route(packet: bytes) -> bytes:
    """Return address and port, 6 bytes, that a caller's packet is sent to."""
    return packet[_ROUTE]


def get_destination(packet: bytes) -> str:
    """Return the address that a packet is sent to."""
    return socket.inet_ntoa(packet[14:18])


def get_echo(packet: bytes) -> bytes:
    """Return the 4 bytes that a host leaves as they are when it bounces a packet."""
    return packet[_ECHO]


def set_echo(packet: bytes, echo: bytes) -> bytes:
    """Return the packet with other bytes in the field that hosts leave alone."""
    return packet[:8] + echo + packet[12:]


def restore_bounced(packet: bytes) -> bytes:
    """Return a bounced packet as its caller wrote it."""
    return (
        packet[:8]
        + b"\0\0\0\0"
        + packet[12:_FLAGS]
        + bytes((packet[_FLAGS] & ~BOUNCED,))
        + packet[HEADER_BYTES:]
    )


def build_reset(packet: bytes) -> bytes:
    """Build the reset that answers a caller's packet.

    Its number is what the caller acknowledged last, which is what an open flow has to
    see in it.
    """
    _, ack, _, sport, dst, dport, src, _, _, flags = _HEAD.unpack_from(packet)
    seq = 0 if flags & SYN else ack
    return _HEAD.pack(seq, 0, 0, dport, src, sport, dst, 0, 0, RST)


def pack_route(ip: str, port: int) -> bytes:
    """Pack address and port of a route as packets carry them.

    Raises
    ------
    ValueError
        If the address is not one of IPv4 or the port is none.
    """
    if not 0 < port <= LARGEST_PORT:
        raise ValueError(f"no port: {port}")
    try:
        return socket.inet_aton(ip) + struct.pack(">H", port)
    except OSError as error:
        raise ValueError(f"no address of IPv4: {ip}") from error


def describe_flow(flow: bytes) -> str:
    """Write a flow for logs: caller, then route, as ``IP:PORT>IP:PORT``."""
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
    "build_reset",
    "describe_flow",
    "get_ack",
    "get_host_packet_flow",
    "get_data_bytes",
    "get_echo",
    "get_flags",
    "get_flow",
    "get_destination",
    "get_route",
    "get_seq",
    "is_packet",
    "pack_route",
    "restore_bounced",
    "set_echo",
]
