"""A host of the flow protocol, without sockets.

It behaves as specified for hosts: it answers an opening packet with its own initial
sequence number, bounces packets of unknown flows, answers data on an ended flow with a
reset, and answers requests. Its checksums are a constant, so that tests can detect
packets that were modified in transit.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Final

FIN: Final = 16
SYN: Final = 8
BOUNCED: Final = 4
ACK: Final = 2
RST: Final = 1

_HEAD: Final = struct.Struct(">IIIHIHIIHB")
TEST_CHECKSUM: Final = 0x5EA1
NAMED_BYTES: Final = 16
"""Bytes of a request that the answer to a failed one repeats."""


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet of the flow protocol.

    Attributes
    ----------
    source, target : tuple of int
        IPv4 address, as an integer, and port.
    flags, seq, ack : int
        Flags, sequence number and acknowledgement number.
    data : bytes
        Payload.
    echo : int
        Field that the checksum does not cover.
    """

    source: tuple[int, int]
    target: tuple[int, int]
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    checksum: int = TEST_CHECKSUM

    def encode(self) -> bytes:
        """Encode the packet."""
        head = _HEAD.pack(
            self.seq,
            self.ack,
            self.echo,
            self.source[1],
            self.target[0],
            self.target[1],
            self.source[0],
            self.checksum,
            len(self.data),
            self.flags,
        )
        return head + self.data


def decode(body: bytes) -> Packet:
    """Decode a packet."""
    seq, ack, echo, sport, dst, dport, src, checksum, _, flags = _HEAD.unpack_from(body)
    return Packet(
        (src, sport), (dst, dport), flags, seq, ack, body[31:], echo, checksum
    )


@dataclass(slots=True)
class _FlowState:
    number: int
    is_ended: bool = False
    answers: dict[bytes, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class FlowHost:
    """State and behaviour of a host.

    Attributes
    ----------
    number : int
        Its initial sequence number on each flow.
    accepts : bool
        Whether it accepts new flows; otherwise it bounces their opening packets.
    answers : bool
        Whether it sends any packets.
    withholds_answers : bool
        Whether it never answers requests.
    fails : bool
        Whether it answers each new request with a short failure.
    received : list of Packet
        All packets received.
    run_requests : list of bytes
        The requests run, in order.
    failed_requests : set of bytes
        The requests run that were answered with a failure.
    faults : list of str
        Descriptions of invalid packets received.
    """

    number: int
    accepts: bool = True
    answers: bool = True
    withholds_answers: bool = False
    fails: bool = False
    received: list[Packet] = field(default_factory=list)
    run_requests: list[bytes] = field(default_factory=list)
    failed_requests: set[bytes] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    _flows: dict[tuple[tuple[int, int], tuple[int, int]], _FlowState] = field(
        default_factory=dict
    )

    def handle_packet(self, body: bytes) -> list[bytes]:
        """Handle a packet; return the packets that the host sends in response."""
        packet = decode(body)
        self.received.append(packet)
        if packet.checksum != TEST_CHECKSUM or packet.flags & BOUNCED:
            self.faults.append(f"packet with a wrong checksum or flag: {packet}")
        if not self.answers:
            return []
        key = (packet.source, packet.target)
        held = self._flows.get(key)
        if packet.flags & SYN:
            return self._handle_opening(packet, held)
        if held is None:
            return [_bounce(body)]
        if held.is_ended:
            return self._handle_on_ended_flow(packet, held)
        if packet.flags & RST:
            held.is_ended = True
            return []
        return self._handle_on_open_flow(packet, held)

    def has_open_flow(self, packet: Packet) -> bool:
        """Return whether the flow of a caller's packet is open at this host."""
        held = self._flows.get((packet.source, packet.target))
        return held is not None and not held.is_ended

    def _handle_opening(self, packet: Packet, held: _FlowState | None) -> list[bytes]:
        if held is None or held.is_ended:
            if not self.accepts:
                return [_bounce(packet.encode())]
            self._flows[(packet.source, packet.target)] = _FlowState(self.number)
        return [self._reply(packet, SYN | ACK, self.number, packet.seq + 1)]

    def _handle_on_ended_flow(self, packet: Packet, held: _FlowState) -> list[bytes]:
        if packet.data:
            return [self._reply(packet, RST, held.number, packet.seq)]
        if packet.flags & FIN:
            return [self._reply(packet, ACK, held.number, packet.seq + 1)]
        return []

    def _handle_on_open_flow(self, packet: Packet, held: _FlowState) -> list[bytes]:
        if packet.flags & FIN:
            held.is_ended = True
            return [self._reply(packet, FIN | ACK, held.number + 1, packet.seq + 1)]
        if not packet.data or self.withholds_answers:
            return []
        if packet.data not in held.answers:
            held.answers[packet.data] = self._run(packet.data)
        ack = packet.seq + len(packet.data)
        answer = held.answers[packet.data]
        return [self._reply(packet, ACK, held.number + 1, ack, answer)]

    def _run(self, request: bytes) -> bytes:
        self.run_requests.append(request)
        if not self.fails:
            return b"answer " + request
        self.failed_requests.add(request)
        return build_failure(request)

    def _reply(
        self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> bytes:
        return Packet(packet.target, packet.source, flags, seq, ack, data).encode()


def build_failure(request: bytes) -> bytes:
    """Build the answer to a request that has failed."""
    return b"failed " + request[:NAMED_BYTES]


def _bounce(body: bytes) -> bytes:
    return body[:30] + bytes((body[30] | BOUNCED,)) + body[31:]


__all__ = [
    "ACK",
    "BOUNCED",
    "FIN",
    "RST",
    "SYN",
    "FlowHost",
    "Packet",
    "build_failure",
    "decode",
]
