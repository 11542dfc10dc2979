"""Messages between fronts and gates.

The first byte is the kind. Control messages continue with msgpack. The others are a
short binary header, most of them followed by a packet, or by the key of a flow in HELD
and NOT_HELD. Anything else on the port is dropped and counted.

Nodes of an earlier release may run beside this one. A kind of a later protocol version
goes only to nodes that have stated this version in a control message, and fields that a
control message has gained come last and have a default.
"""

from __future__ import annotations

import enum
import socket
import struct
import zlib
from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec

PROTOCOL: Final = 2
"""Version of the messages that this release understands."""
TIMED_PROTOCOL: Final = 2
"""First version with TIMED_OPEN, TIMED_LOAD and TIMED_DECLINED."""
MS_PER_S: Final = 1_000.0
MAX_MS: Final = 65_535
"""Greatest time in a binary header, in milliseconds."""


class Kind(enum.IntEnum):
    """First byte of a message."""

    OPEN = 1
    """Front to gate: an opening packet."""
    FORWARD = 2
    """Front to gate: a later packet of a flow that is hinted to be at the gate."""
    RELAYED_SEARCH = 3
    """Gate to gate: a later packet of a flow that a front searches for."""
    DECLINED = 4
    """Gate to front: an opening packet that the gate declined."""
    STRAY = 5
    """Gate to front: a forwarded packet whose flow the host does not hold."""
    HELD = 6
    """Gate to front: the host holds the flow of a search."""
    NOT_HELD = 9
    """Gate to front: the host does not hold the flow of a search."""
    CONTROL = 7
    """Either way: a `ControlMessage`."""
    LOAD = 8
    """Gate to front: state and load of the host."""
    SEARCH = 10
    """Front to gate: a later packet of unknown holder, for this gate and others."""
    TIMED_OPEN = 11
    """Front to gate: an opening packet with the time that its caller has left."""
    TIMED_LOAD = 12
    """Gate to front: state, load and expected wait of the host."""
    TIMED_DECLINED = 13
    """Gate to front: a timed opening packet that the gate declined."""


class DeclineReason(enum.IntEnum):
    """Reason of a gate to decline an opening packet."""

    NOT_READY = 1
    """The host has left or sends no heartbeats, or the gate is about to stop."""
    DRAINING = 2
    EVACUATED = 3
    COLD = 4
    """The rate limit of the cold host is exhausted."""
    FULL = 5
    """The host holds as many flows as it may, or has bounced the packet."""
    WRONG_SERVICE = 6
    NO_ANSWER = 7
    """The host has not answered the packet in time."""
    BUSY = 8
    """The packet has waited too long, or a newer one has displaced it."""


OPEN_HEADER: Final = struct.Struct(">BIB")
"""Kind, tag of the service, priority of the route."""
TIMED_OPEN_HEADER: Final = struct.Struct(">BIBIHH")
"""Kind, tag of the service, priority of the route, tag of the route, time left until
the route's objective and until its deadline, in milliseconds."""
TIMED_DECLINED_HEADER: Final = struct.Struct(">BBHH")
"""Kind, reason, time left until the route's objective and until its deadline, in
milliseconds."""
LOAD_MESSAGE: Final = struct.Struct(">BIHHB")
"""Kind, then `sequence`, `in_flight`, `flows` and `state` as in a `Report`."""
TIMED_LOAD_MESSAGE: Final = struct.Struct(">BIHHBH")
"""As `LOAD_MESSAGE`, then `wait_ms`."""


RELAYED_SEARCH_HEADER: Final = struct.Struct(">B4s")
"""Kind, address of the searching front."""
SEARCH_HEADER: Final = struct.Struct(">BB")
"""Kind, number of target addresses that follow, 4 bytes each."""
_IP_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class RelayedSearch:
    """Search for the holder of a flow that one gate relays to another.

    Attributes
    ----------
    front : str
        Address of the searching front.
    packet : bytes
        Caller packet of the flow.
    """

    front: str
    packet: bytes


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Search for the holder of a flow that a front sends to a relay.

    Attributes
    ----------
    targets : list of str
        Addresses of the gates to relay the packet to.
    packet : bytes
        Caller packet of the flow.
    """

    targets: list[str]
    packet: bytes


def encode_relayed_search(front: str, packet: bytes) -> bytes:
    """Encode a search that a gate relays for a front."""
    return (
        RELAYED_SEARCH_HEADER.pack(Kind.RELAYED_SEARCH, socket.inet_aton(front))
        + packet
    )


def decode_relayed_search(message: bytes) -> RelayedSearch | None:
    """Decode a relayed search, or None if the message is too short."""
    if len(message) < RELAYED_SEARCH_HEADER.size:
        return None
    _, front = RELAYED_SEARCH_HEADER.unpack_from(message)
    return RelayedSearch(socket.inet_ntoa(front), message[RELAYED_SEARCH_HEADER.size :])


def encode_search_request(targets: list[str], packet: bytes) -> bytes:
    """Encode a search that a gate handles and relays to the targets."""
    header = SEARCH_HEADER.pack(Kind.SEARCH, len(targets))
    return header + b"".join(map(socket.inet_aton, targets)) + packet


def decode_search_request(message: bytes) -> SearchRequest | None:
    """Decode a search request, or None if the message is too short."""
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
    """Return the CRC-32 that identifies a service in messages."""
    return zlib.crc32(name.encode())


def compute_route_tag(route: bytes) -> int:
    """Return the CRC-32 that identifies a route, from its address and port."""
    return zlib.crc32(route)


def clamp_ms(seconds: float) -> int:
    """Return a time in milliseconds as a header holds it, 0 to `MAX_MS`."""
    return max(0, min(MAX_MS, round(seconds * MS_PER_S)))


class NodeName(msgspec.Struct, array_like=True, frozen=True):
    """A node that one node names to another.

    Attributes
    ----------
    ip, data_centre : str
        Address and data centre of the node.
    service : str
        Service of a gate's host; empty for a front.
    age_s : int
        Time since the node's last message to any node, in seconds.
    """

    ip: str
    data_centre: str
    service: str
    age_s: int


class Hello(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Periodic message of a front to some gates and some other fronts.

    Attributes
    ----------
    data_centre : str
        Data centre of the front.
    is_reply : bool
        Whether this answers a hello; it is not answered itself.
    is_leaving : bool
        Whether the front is about to stop.
    needs_names : bool
        Whether the front has not learnt yet which nodes there are.
    version : int
        Version of the desired state that the front has in force; 0 for none.
    evacuations_era, evacuations_revision : int
        Era and revision of the store that the evacuations were read at.
    evacuated : list of str
        Names of the evacuated data centres.
    service : str
        Service that the limits are for; empty for none, as in a hello to a front.
    flow_idle_s : float
        Time without a packet after which a flow may be discarded, in seconds.
    cold_per_s : float
        Requests a second that a cold host of the service can handle, which limits its
        new flows; 0 for no limit.
    max_flows : int
        Bound of the flows that a host of the service holds; 0 for no bound.
    names : list of NodeName
        Some nodes that have run lately; only fronts in a hello to a gate.
    protocol : int
        Version of the messages that the front understands.
    gates : int
        Gates that have run lately by what the front knows, with names for another
        front; 0 if it does not know all, or names none.
    """

    data_centre: str
    is_reply: bool
    is_leaving: bool
    needs_names: bool
    version: int
    evacuations_era: int
    evacuations_revision: int
    evacuated: list[str]
    service: str
    flow_idle_s: float
    cold_per_s: float
    max_flows: int
    names: list[NodeName]
    protocol: int = 1
    gates: int = 0


class RouteReport(msgspec.Struct, array_like=True, frozen=True):
    """Answers of a host on one route in the recent past.

    Attributes
    ----------
    route_tag : int
        Tag of the route.
    answers : int
        Requests that the host has answered.
    service_ms : float
        Median of the time that it worked on one, without the wait, in milliseconds.
    answer_bytes : int
        Lower quartile of the payload of an answer's first packet, in bytes.
    failures : int
        Requests that the host has reset or not answered within the route's objective
        after it could begin.
    """

    route_tag: int
    answers: int
    service_ms: float
    answer_bytes: int
    failures: int


class Report(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Full report of a gate to a front on the state of its host.

    Attributes
    ----------
    gate_incarnation : int
        Number drawn at each start of the gate's process.
    sequence : int
        Rises with each report or load message of an incarnation.
    host : str
        Identifier of the host.
    service : str
        Service of the host.
    data_centre : str
        Data centre of the host.
    state : int
        State of the host, a `HostState`.
    slots : int
        Requests that the host processes at once.
    cold_left_s : float
        Remaining time of the cold start, in seconds.
    in_flight : int
        Requests and opening packets that the host has not begun to answer, and opening
        packets that wait at the gate.
    flows : int
        Flows that the host holds.
    evacuations_era, evacuations_revision : int
        Era and revision of the evacuations that the gate has in force.
    seeks_hello : bool
        Whether the gate relies on this front's hellos.
    may_hold_flows : bool
        Whether the host holds flows, as far as the gate can tell; False only if it is
        certain that it holds none.
    protocol : int
        Version of the messages that the gate understands.
    wait_ms : int
        Expected time until the host begins to work on one more request, in
        milliseconds.
    routes : list of RouteReport
        Recent answers on the routes with most of them.
    host_incarnation : int
        Incarnation of the host, in milliseconds since 1970; 0 if it is not known.
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
    evacuations_era: int
    evacuations_revision: int
    seeks_hello: bool
    may_hold_flows: bool
    protocol: int = 1
    wait_ms: int = 0
    routes: list[RouteReport] = []
    host_incarnation: int = 0


ControlMessage: TypeAlias = Hello | Report

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(ControlMessage)
_CONTROL_HEADER: Final = bytes((Kind.CONTROL,))


def encode_control(message: ControlMessage) -> bytes:
    """Encode a control message, with its kind as the first byte."""
    return _CONTROL_HEADER + _ENCODER.encode(message)


def decode_control(message: bytes) -> ControlMessage | None:
    """Decode a control message, or None if it is malformed."""
    try:
        return _DECODER.decode(memoryview(message)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


__all__ = [
    "LOAD_MESSAGE",
    "MAX_MS",
    "MS_PER_S",
    "OPEN_HEADER",
    "PROTOCOL",
    "TIMED_DECLINED_HEADER",
    "TIMED_LOAD_MESSAGE",
    "TIMED_OPEN_HEADER",
    "TIMED_PROTOCOL",
    "ControlMessage",
    "DeclineReason",
    "Hello",
    "Kind",
    "NodeName",
    "RelayedSearch",
    "Report",
    "RouteReport",
    "SearchRequest",
    "clamp_ms",
    "compute_route_tag",
    "compute_service_tag",
    "decode_control",
    "decode_relayed_search",
    "decode_search_request",
    "encode_control",
    "encode_relayed_search",
    "encode_search_request",
]
