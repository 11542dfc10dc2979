"""A host with its own sequence numbers on each flow, which repeats its answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamstream.flows.heartbeat import HostState
from standins.flow_host import ACK, BOUNCED, FIN, RST, SYN, Packet, decode

if TYPE_CHECKING:
    from tests.flows.flow_world import FlowWorld, WorldGate

WORK_S = 0.022
REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
MAX_REPEATS = 8
HOST_S = 0.0002
MASK = 0xFFFF_FFFF


@dataclass
class ServerFlow:
    """State of a flow at a host.

    Attributes
    ----------
    first : int
        Sequence number of the host's answer to the opening packet.
    caller_next, next : int
        Sequence numbers after the last byte of the caller and of the host.
    acked : int
        Highest acknowledgement of the caller.
    is_open, is_ended : bool
        Whether the caller has confirmed the flow, and whether it has ended.
    answer : Packet or None
        Last answer, repeated until it is acknowledged.
    """

    first: int
    caller_next: int
    next: int
    acked: int = 0
    is_open: bool = False
    is_ended: bool = False
    answer: Packet | None = None


class FlowServer:
    """One start of a host.

    Parameters
    ----------
    world : FlowWorld
        Clock and oracle.
    gate : WorldGate
        Gate that takes the host's packets.
    """

    def __init__(self, world: FlowWorld, gate: WorldGate) -> None:
        self._world = world
        self._gate = gate
        self.started_at = world.now
        self.state = HostState.READY
        self.flows: dict[tuple[int, int], ServerFlow] = {}

    def _send(self, packet: Packet, delay: float = HOST_S) -> None:
        self._world.after(delay, self._gate.answer, packet.encode(), self)

    def _reply(
        self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> Packet:
        return Packet(packet.target, packet.source, flags, seq & MASK, ack & MASK, data)

    def handle_packet(self, body: bytes) -> None:
        """Handle a packet of a caller."""
        packet = decode(body)
        flow = self.flows.get(packet.source)
        if packet.flags & SYN:
            self._handle_opening(packet, flow)
            return
        if flow is None or not self._is_own(packet, flow):
            bounced = body[:30] + bytes((body[30] | BOUNCED,)) + body[31:]
            self._world.after(HOST_S, self._gate.answer, bounced, self)
            return
        if flow.is_ended:
            self._handle_ended(packet, flow)
            return
        if not flow.is_open:
            flow.is_open = True
            self._world.oracle.record_open(packet, self._gate.ip, self)
        flow.acked = packet.ack
        if packet.flags & (FIN | RST):
            flow.is_ended = True
            self._world.oracle.record_end(packet.source)
            if packet.flags & FIN:
                self._send(self._reply(packet, FIN | ACK, flow.next, packet.seq + 1))
            return
        if packet.data:
            self._handle_request(packet, flow)

    def _is_own(self, packet: Packet, flow: ServerFlow) -> bool:
        """Return whether a packet acknowledges what this host has sent."""
        if flow.is_open or flow.is_ended or packet.flags & RST:
            return True
        return packet.ack == (flow.first + 1) & MASK

    def _handle_opening(self, packet: Packet, flow: ServerFlow | None) -> None:
        if flow is None:
            first = self._world.random.getrandbits(32)
            flow = ServerFlow(first, (packet.seq + 1) & MASK, (first + 1) & MASK)
            self.flows[packet.source] = flow
        if not flow.is_ended:
            self._send(self._reply(packet, SYN | ACK, flow.first, packet.seq + 1))

    def _handle_ended(self, packet: Packet, flow: ServerFlow) -> None:
        if packet.data:
            self._send(self._reply(packet, RST, flow.next, packet.seq))
        elif packet.flags & FIN:
            self._send(self._reply(packet, ACK, flow.next, packet.seq + 1))

    def _handle_request(self, packet: Packet, flow: ServerFlow) -> None:
        end = (packet.seq + len(packet.data)) & MASK
        if packet.seq != flow.caller_next:
            if flow.answer is not None and end == flow.caller_next:
                self._send(flow.answer)
            return
        flow.caller_next = end
        size = self._world.random.randrange(100, 1200)
        answer = self._reply(packet, ACK, flow.next, end, b"a" * size)
        flow.answer = None
        self._world.after(WORK_S, self._finish, flow, answer)

    def _finish(self, flow: ServerFlow, answer: Packet) -> None:
        flow.answer = answer
        flow.next = (answer.seq + len(answer.data)) & MASK
        self._repeat(flow, answer, 0)

    def _repeat(self, flow: ServerFlow, answer: Packet, repeats: int) -> None:
        if self._gate.server is not self or flow.is_ended:
            return
        if flow.answer is not answer or flow.acked == flow.next:
            return
        if repeats > MAX_REPEATS:
            flow.is_ended = True
            self._world.oracle.record_end(answer.target)
            return
        self._send(answer)
        delay = min(MAX_REPEAT_S, REPEAT_S * 2**repeats)
        self._world.after(delay, self._repeat, flow, answer, repeats + 1)


__all__ = ["FlowServer", "ServerFlow"]
