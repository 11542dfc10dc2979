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
    RELAYED_SEARCH = 3
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
    SEARCH = 10
    """Front to gate: a packet to seek here and at the gates that are named."""


class DeclineReason(enum.IntEnum):
    """Why a gate did not take an opening packet."""

    NOT_READY = 1
    DRAINING = 2
    EVACUATED = 3
    COLD = 4
    FULL = 5
    WRONG_SERVICE = 6
    NO_ANSWER = 7
    BUSY = 8


OPEN_HEADER: Final = struct.Struct(">BIB")
"""Kind, tag of the service, priority of the route."""
LOAD_MESSAGE: Final = struct.Struct(">BIHHB")
"""Kind, number of the report, work, flows, state of the host."""


RELAYED_SEARCH_HEADER: Final = struct.Struct(">B4s")
"""Kind, address of the front that seeks."""
SEARCH_HEADER: Final = struct.Struct(">BB")
"""Kind, number of the addresses that follow, 4 bytes each."""
_IP_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class RelayedSearch:
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
class SearchRequest:
    """A packet that a front seeks the host of.

    Attributes
    ----------
    targets : list of str
        Addresses of the gates that are to have it, too.
    packet : bytes
        The packet.
    """

    targets: list[str]
    packet: bytes


def encode_relayed_search(front: str, packet: bytes) -> bytes:
    """Encode a packet that a gate passes on for a front."""
    return (
        RELAYED_SEARCH_HEADER.pack(Kind.RELAYED_SEARCH, socket.inet_aton(front))
        + packet
    )


def decode_relayed_search(message: bytes) -> RelayedSearch | None:
    """Decode a packet that a gate has passed on; None where it is cut off."""
    if len(message) < RELAYED_SEARCH_HEADER.size:
        return None
    _, front = RELAYED_SEARCH_HEADER.unpack_from(message)
    return RelayedSearch(socket.inet_ntoa(front), message[RELAYED_SEARCH_HEADER.size :])


def encode_search_request(targets: list[str], packet: bytes) -> bytes:
    """Encode a packet that one gate takes and passes on to others."""
    header = SEARCH_HEADER.pack(Kind.SEARCH, len(targets))
    return header + b"".join(map(socket.inet_aton, targets)) + packet


def decode_search_request(message: bytes) -> SearchRequest | None:
    """Decode a packet to pass on; None where it is cut off."""
    if len(message) < SEARCH_HEADER.size:
        return None
    _, count = SEARCH_HEADER.unpack_from(message)
    end = SEARCH_HEADER.size + count * _IP_BYTES
    if len(message) < end:
        return None
    targets = [
        socket.inet_ntoa(message[start : start + _IP_BYTES])
        for start in range(SEARCH_HEADER.size, end, _IP_BYTES)
    ]
    return SearchRequest(targets, message[end:])


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
    evacuations_revision : int
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
    evacuations_revision: int
    evacuated: list[str]
    flow_idle_s: float
    cold_per_s: float
    max_flows: int
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
    evacuations_revision : int
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
    in_flight: int
    flows: int
    evacuations_revision: int


ControlMessage: TypeAlias = Hello | Report

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(ControlMessage)
_CONTROL_HEADER: Final = bytes((Kind.CONTROL,))


def encode_control(message: ControlMessage) -> bytes:
    """Encode a control message with its first byte."""
    return _CONTROL_HEADER + _ENCODER.encode(message)


def decode_control(message: bytes) -> ControlMessage | None:
    """Decode a control message; None where it is none."""
    try:
        return _DECODER.decode(memoryview(message)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


__all__ = [
    "LOAD_MESSAGE",
    "OPEN_HEADER",
    "ControlMessage",
    "DeclineReason",
    "Hello",
    "Kind",
    "Report",
    "RelayedSearch",
    "SearchRequest",
    "decode_control",
    "decode_relayed_search",
    "decode_search_request",
    "encode_control",
    "encode_relayed_search",
    "encode_search_request",
    "compute_service_tag",
]
