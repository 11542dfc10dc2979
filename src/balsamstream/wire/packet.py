"""Encoder and decoder for packets, answers and refusals, with fixed binary headers.

Nearly all datagrams are of these types, so they are packed by ``struct``, which is
faster than the codec of the control messages; ``docs/design/wire.md`` compares the
costs.
"""

from __future__ import annotations

import struct
from socket import inet_aton, inet_ntoa
from typing import Any, Final

from balsamstream.core.identity import Address, FlowKey
from balsamstream.core.message import Answer, Packet, PacketFlag, Refusal, RequestKind
from balsamstream.core.routing import RoutingVersion
from balsamstream.core.verdict import MayHaveRun, NotRun

from .error import MalformedMessage

PACKET_TYPE: Final = 1
ANSWER_TYPE: Final = 2
REFUSAL_TYPE: Final = 3

MAX_PAYLOAD_BYTES: Final = 65_000
"""A UDP datagram holds at most 65,507 bytes, headers and seal included."""

MAX_REASON_BYTES: Final = 64
MAX_CACHED: Final = 4_096
"""Bound of each cache. Balancers' addresses and versions are few and are cached;
callers' addresses are many and are not.
"""

# type, kind, flags, hops, service, flow, request, deadline, view, data centres,
# caller, via
_PACKET: Final = struct.Struct("!BBBBQQQIIQ4sH6s")
# type, service, flow, view, data centres, caller
_ANSWER: Final = struct.Struct("!BQQIQ4sH")
# an answer's fields, may have run, retry after in seconds, length of the reason
_REFUSAL: Final = struct.Struct("!BQQIQ4sHBdB")
_VERSION: Final = struct.Struct("!IQ")

# The same layouts, with the version as 12 bytes that are its key in the cache.
_PACKET_READ: Final = struct.Struct("!BBBBQQQI12s4sH6s")
_ANSWER_READ: Final = struct.Struct("!BQQ12s4sH")
_REFUSAL_READ: Final = struct.Struct("!BQQ12s4sHBdB")

_KINDS: Final = tuple(RequestKind)
_FLAGS: Final = tuple(PacketFlag(bits) for bits in range(4))

_address_by_bytes: dict[bytes, Address] = {}
_bytes_by_address: dict[Address, bytes] = {}
_version_by_bytes: dict[bytes, RoutingVersion] = {}


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet.

    Raises
    ------
    MalformedMessage
        If a field or the payload exceeds its size.
    """
    caller = packet.caller
    via = packet.via
    version = packet.version
    payload = packet.payload
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise MalformedMessage("payload-too-long")
    try:
        header = _PACKET.pack(
            PACKET_TYPE,
            packet.kind,
            packet.flags,
            packet.hops,
            packet.service,
            packet.flow,
            packet.request,
            packet.deadline_ms,
            version.view,
            version.data_centres,
            inet_aton(caller.ip),
            caller.port,
            _bytes_by_address.get(via) or _encode_address(via),
        )
    except (struct.error, OSError) as error:
        raise MalformedMessage("packet-field") from error
    return header + payload


def decode_packet(data: bytes) -> Packet:
    """Decode a packet.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid packet.
    """
    try:
        (
            _,
            kind,
            flags,
            hops,
            service,
            flow,
            request,
            deadline_ms,
            version,
            caller_ip,
            caller_port,
            via,
        ) = _PACKET_READ.unpack_from(data)
        return Packet(
            service,
            flow,
            Address(inet_ntoa(caller_ip), caller_port),
            _address_by_bytes.get(via) or _decode_address(via),
            _version_by_bytes.get(version) or _decode_version(version),
            _KINDS[kind],
            request,
            deadline_ms,
            data[_PACKET.size :],
            hops,
            _FLAGS[flags],
        )
    except (struct.error, IndexError) as error:
        raise MalformedMessage("packet") from error


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer.

    Raises
    ------
    MalformedMessage
        If a field or the payload exceeds its size.
    """
    if len(answer.payload) > MAX_PAYLOAD_BYTES:
        raise MalformedMessage("payload-too-long")
    try:
        header = _ANSWER.pack(
            ANSWER_TYPE,
            answer.service,
            answer.flow,
            answer.version.view,
            answer.version.data_centres,
            inet_aton(answer.caller.ip),
            answer.caller.port,
        )
    except (struct.error, OSError) as error:
        raise MalformedMessage("answer-field") from error
    return header + answer.payload


def decode_answer(data: bytes) -> Answer:
    """Decode an answer.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid answer.
    """
    try:
        _, service, flow, version, ip, port = _ANSWER_READ.unpack_from(data)
    except struct.error as error:
        raise MalformedMessage("answer") from error
    return Answer(
        service,
        FlowKey(flow),
        Address(inet_ntoa(ip), port),
        _version_by_bytes.get(version) or _decode_version(version),
        data[_ANSWER.size :],
    )


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal; a reason above ``MAX_REASON_BYTES`` is truncated.

    Raises
    ------
    MalformedMessage
        If a field or the head exceeds its size.
    """
    if len(refusal.head) > MAX_PAYLOAD_BYTES:
        raise MalformedMessage("payload-too-long")
    match refusal.verdict:
        case NotRun(retry_after_s, reason):
            may_have_run = 0
        case MayHaveRun(reason):
            may_have_run = 1
            retry_after_s = 0.0
    text = reason.encode(errors="replace")[:MAX_REASON_BYTES]
    try:
        header = _REFUSAL.pack(
            REFUSAL_TYPE,
            refusal.service,
            refusal.flow,
            refusal.version.view,
            refusal.version.data_centres,
            inet_aton(refusal.caller.ip),
            refusal.caller.port,
            may_have_run,
            retry_after_s,
            len(text),
        )
    except (struct.error, OSError) as error:
        raise MalformedMessage("refusal-field") from error
    return header + text + refusal.head


def decode_refusal(data: bytes) -> Refusal:
    """Decode a refusal.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid refusal.
    """
    try:
        fields = _REFUSAL_READ.unpack_from(data)
    except struct.error as error:
        raise MalformedMessage("refusal") from error
    _, service, flow, version, ip, port, may_have_run, retry, size = fields
    end = _REFUSAL.size + size
    finite = 0.0 <= retry < float("inf")
    if size > MAX_REASON_BYTES or len(data) < end or may_have_run > 1 or not finite:
        raise MalformedMessage("refusal")
    reason = data[_REFUSAL.size : end].decode(errors="replace")
    return Refusal(
        service,
        FlowKey(flow),
        Address(inet_ntoa(ip), port),
        _decode_version(version),
        MayHaveRun(reason) if may_have_run else NotRun(retry, reason),
        data[end:],
    )


def _encode_address(address: Address) -> bytes:
    packed = _bytes_by_address.get(address)
    if packed is None:
        packed = inet_aton(address.ip) + struct.pack("!H", address.port)
        _clear_if_full(_bytes_by_address)
        _bytes_by_address[address] = packed
    return packed


def _decode_address(packed: bytes) -> Address:
    address = _address_by_bytes.get(packed)
    if address is None:
        address = Address(inet_ntoa(packed[:4]), int.from_bytes(packed[4:], "big"))
        _clear_if_full(_address_by_bytes)
        _address_by_bytes[packed] = address
    return address


def _decode_version(packed: bytes) -> RoutingVersion:
    version = _version_by_bytes.get(packed)
    if version is None:
        version = RoutingVersion(*_VERSION.unpack(packed))
        _clear_if_full(_version_by_bytes)
        _version_by_bytes[packed] = version
    return version


def _clear_if_full(cache: dict[Any, Any]) -> None:
    if len(cache) >= MAX_CACHED:
        cache.clear()


__all__ = [
    "ANSWER_TYPE",
    "MAX_PAYLOAD_BYTES",
    "PACKET_TYPE",
    "REFUSAL_TYPE",
    "decode_answer",
    "decode_packet",
    "decode_refusal",
    "encode_answer",
    "encode_packet",
    "encode_refusal",
]
