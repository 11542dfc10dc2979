"""Messages between the nodes.

Those that carry a packet are a short head before the packet; the others are msgpack
behind one byte. Anything else on the port is dropped and counted.
"""

from __future__ import annotations

import enum
import socket
import struct
import zlib
from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec


class Kind(enum.IntEnum):
    """First byte of a message."""

    OPEN = 1
    """Front to gate: an opening packet."""
    FORWARD = 2
    """Front to gate: a later packet of a flow that the gate is believed to hold."""
    SEEK = 3
    """Gate to gate: a later packet of a flow that a front seeks."""
    DECLINED = 4
    """Gate to front: the opening packet was not taken."""
    STRAY = 5
    """Gate to front: a packet that was carried here, but whose flow is not."""
    HELD = 6
    """Gate to front: the host holds the flow that was sought."""
    NOT_HELD = 9
    """Gate to front: the host does not hold the flow that was sought."""
    CONTROL = 7
    """Either way: one of the structures below."""
    LOAD = 8
    """Gate to front: what the host is doing."""
    SPREAD = 10
    """Front to gate: a packet to seek here and at the gates that are named."""


class Decline(enum.IntEnum):
    """Why a gate did not take an opening packet."""

    NOT_READY = 1
    DRAINING = 2
    EVACUATED = 3
    COLD = 4
    FULL = 5
    WRONG_SERVICE = 6
    NO_ANSWER = 7
    BUSY = 8


OPEN_HEAD: Final = struct.Struct(">BIB")
"""Kind, tag of the service, priority of the route."""
LOAD_BODY: Final = struct.Struct(">BIHHB")
"""Kind, number of the report, work, flows, state of the host."""


SEEK_HEAD: Final = struct.Struct(">B4s")
"""Kind, address of the front that seeks."""
SPREAD_HEAD: Final = struct.Struct(">BB")
"""Kind, number of the addresses that follow, 4 bytes each."""
_IP_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class Sought:
    """A packet that a gate passes on for a front.

    Attributes
    ----------
    front : str
        Address of the front that seeks the packet's host.
    packet : bytes
        The packet.
    """

    front: str
    packet: bytes


@dataclass(frozen=True, slots=True)
class Spread:
    """A packet that a front seeks the host of.

    Attributes
    ----------
    others : list of str
        Addresses of the gates that are to have it, too.
    packet : bytes
        The packet.
    """

    others: list[str]
    packet: bytes


def encode_seek(front: str, packet: bytes) -> bytes:
    """Encode a packet that a gate passes on for a front."""
    return SEEK_HEAD.pack(Kind.SEEK, socket.inet_aton(front)) + packet


def decode_seek(message: bytes) -> Sought | None:
    """Decode a packet that a gate has passed on; None where it is cut off."""
    if len(message) < SEEK_HEAD.size:
        return None
    _, front = SEEK_HEAD.unpack_from(message)
    return Sought(socket.inet_ntoa(front), message[SEEK_HEAD.size :])


def encode_spread(others: list[str], packet: bytes) -> bytes:
    """Encode a packet that one gate takes and passes on to others."""
    head = SPREAD_HEAD.pack(Kind.SPREAD, len(others))
    return head + b"".join(map(socket.inet_aton, others)) + packet


def decode_spread(message: bytes) -> Spread | None:
    """Decode a packet to pass on; None where it is cut off."""
    if len(message) < SPREAD_HEAD.size:
        return None
    _, amount = SPREAD_HEAD.unpack_from(message)
    end = SPREAD_HEAD.size + amount * _IP_BYTES
    if len(message) < end:
        return None
    others = [
        socket.inet_ntoa(message[begin : begin + _IP_BYTES])
        for begin in range(SPREAD_HEAD.size, end, _IP_BYTES)
    ]
    return Spread(others, message[end:])


def compute_service_tag(name: str) -> int:
    """Return the number that stands for a service in messages."""
    return zlib.crc32(name.encode())


class Hello(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """What a front tells gates and other fronts twice a second.

    Attributes
    ----------
    data_centre : str
        Where the front stands.
    is_leaving : bool
        Whether it is about to end.
    version : int
        Version of the desired state that it has in force; 0 for none.
    evacuations : int
        The store's revision of the evacuations.
    evacuated : list of str
        Data centres that are taken out.
    flow_idle_s : float
        Time after which a silent flow may be forgotten, in seconds.
    cold_per_s : float
        Requests a second that a cold host of the gate's service bears; 0: no bound.
    connections : int
        Flows that a host of the gate's service holds; 0 where not known.
    fronts, gates : list of str
        Some nodes that the front has heard from lately, by address.
    """

    data_centre: str
    is_leaving: bool
    version: int
    evacuations: int
    evacuated: list[str]
    flow_idle_s: float
    cold_per_s: float
    connections: int
    fronts: list[str]
    gates: list[str]


class Report(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """What a gate tells the fronts of its host.

    Attributes
    ----------
    gate_incarnation : int
        Number drawn at each start of the gate's process.
    sequence : int
        Rises with each report of an incarnation.
    host : str
        Identifier of the host.
    service : str
        Service of the host.
    data_centre : str
        Where it stands.
    state : int
        A `HostState`.
    slots : int
        Requests that the host processes at once.
    cold_left_s : float
        How much longer the host is cold, in seconds.
    work : int
        Requests that the host has not begun to answer.
    flows : int
        Open flows.
    evacuations : int
        The store's revision of the evacuations that the gate has in force.
    """

    gate_incarnation: int
    sequence: int
    host: str
    service: str
    data_centre: str
    state: int
    slots: int
    cold_left_s: float
    work: int
    flows: int
    evacuations: int


Control: TypeAlias = Hello | Report

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Control)
_CONTROL_HEAD: Final = bytes((Kind.CONTROL,))


def encode_control(message: Control) -> bytes:
    """Encode a control message with its first byte."""
    return _CONTROL_HEAD + _ENCODER.encode(message)


def decode_control(message: bytes) -> Control | None:
    """Decode a control message; None where it is none."""
    try:
        return _DECODER.decode(memoryview(message)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


__all__ = [
    "LOAD_BODY",
    "OPEN_HEAD",
    "Control",
    "Decline",
    "Hello",
    "Kind",
    "Report",
    "Sought",
    "Spread",
    "decode_control",
    "decode_seek",
    "decode_spread",
    "encode_control",
    "encode_seek",
    "encode_spread",
    "compute_service_tag",
]
