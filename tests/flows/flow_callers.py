"""Callers that keep flows open with pauses, and the routers in front of them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from standins.flow_host import ACK, FIN, RST, SYN, TEST_CHECKSUM, Packet
from tests.flows.deployment import ROUTE, to_number

if TYPE_CHECKING:
    from tests.flows.flow_world import FlowWorld

COPIES_S = (0.2, 0.6)
ATTEMPT_S = 1.4
REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
BUDGETS_S = (1.2, 4.0)
RESET_WINDOW = 76_800
PROBE_S = 0.5
MISSES = 2
LATE_COPIES = 0.1
"""Share of the flows of which a copy of the opening packet arrives late."""
MASK = 0xFFFF_FFFF


class Routers:
    """Selects the front of each flow among those that are ready.

    Parameters
    ----------
    world : FlowWorld
        Fronts and clock.
    """

    def __init__(self, world: FlowWorld) -> None:
        self._world = world
        self._misses: dict[str, int] = {}
        self._probe()

    def _probe(self) -> None:
        for ip, front in self._world.fronts.items():
            is_ready = front.is_up and front.is_ready
            self._misses[ip] = 0 if is_ready else self._misses.get(ip, 0) + 1
        self._world.after(PROBE_S, self._probe)

    def select(self, flow: CallerFlow) -> str:
        """Return the front that gets the next packet of a flow."""
        fronts = self._world.fronts.values()
        near = [each.ip for each in fronts if each.data_centre == flow.data_centre]
        usable = [ip for ip in near if self._misses[ip] < MISSES]
        if not usable:
            usable = [ip for ip in self._misses if self._misses[ip] < MISSES]
        name = f"{flow.port} {flow.salt} "
        return max(usable or near, key=lambda ip: zlib.crc32((name + ip).encode()))


class Caller:
    """A caller that opens one flow after another.

    Parameters
    ----------
    world : FlowWorld
        Clock and fronts.
    routers : Routers
        Select the fronts.
    number : int
        Number of the caller.
    data_centre : str
        Where it is.
    idle_s : tuple of float
        Time between two requests, from and to.
    """

    def __init__(
        self,
        world: FlowWorld,
        routers: Routers,
        number: int,
        data_centre: str,
        idle_s: tuple[float, float],
    ) -> None:
        self.world = world
        self.routers = routers
        self.number = number
        self.data_centre = data_centre
        self.idle_s = idle_s
        self.opened = 0
        self.flow: CallerFlow | None = None
        world.after(world.random.uniform(0.0, 3.0), self.open)

    def open(self) -> None:
        """Open the next flow."""
        self.opened += 1
        self.flow = CallerFlow(self, 10_000 + self.opened)
        self.flow.open()

    def handle_end(self) -> None:
        """Open the next flow soon."""
        self.flow = None
        self.world.after(self.world.random.uniform(0.05, 1.0), self.open)


class CallerFlow:
    """One flow of a caller.

    Parameters
    ----------
    caller : Caller
        Caller of the flow.
    port : int
        Port of the caller.
    """

    def __init__(self, caller: Caller, port: int) -> None:
        self._caller = caller
        self._world = caller.world
        self._random = caller.world.random
        self.data_centre = caller.data_centre
        self.port = port
        self.salt = caller.number
        self.source = (
            to_number(f"100.64.{caller.number // 250}.7") + caller.number,
            port,
        )
        self.next_seq = self._random.getrandbits(32)
        self.acked = 0
        self.is_open = False
        self.is_ended = False
        self.opened_at = self._world.now
        self.last_packet_at = self._world.now
        self._requests_left = self._random.choice((1, 2, 3, 5, 20))
        self._request: Packet | None = None
        self._budget_s = self._random.choice(BUDGETS_S)
        self._world.flows[self.source] = self

    def _build(self, flags: int, data: bytes = b"") -> Packet:
        target = (to_number(ROUTE[0]), ROUTE[1])
        return Packet(self.source, target, flags, self.next_seq, self.acked, data)

    def _send(self, packet: Packet) -> None:
        self.last_packet_at = self._world.now
        front = self._caller.routers.select(self)
        self._world.oracle.record_sent(packet, front)
        self._world.send_from_caller(packet, front)

    # Opening.

    def open(self) -> None:
        """Send the opening packet and its copies."""
        syn = self._build(SYN)
        self._send(syn)
        for copy, delay in enumerate(COPIES_S, 1):
            late = Packet(syn.source, syn.target, SYN, syn.seq, copy)
            self._world.after(delay, self._copy, late)
        self._world.after(ATTEMPT_S, self._give_up_opening)
        if self._random.random() < LATE_COPIES:
            late = Packet(
                syn.source, syn.target, SYN, syn.seq, self._random.randrange(3)
            )
            delay = self._random.choice((0.1, 0.5, 1.0, 2.0, 4.0, 8.0))
            self._world.after(delay * self._random.uniform(0.5, 1.5), self._delay, late)

    def _copy(self, packet: Packet) -> None:
        if not self.is_open and not self.is_ended:
            self._send(packet)

    def _delay(self, packet: Packet) -> None:
        """Deliver a late copy of the opening packet."""
        self._world.send_from_caller(packet, self._caller.routers.select(self))

    def _give_up_opening(self) -> None:
        if not self.is_open:
            self.end()

    # Packets from the host.

    def handle_packet(self, packet: Packet) -> None:
        """Handle a packet for the caller."""
        if self.is_ended:
            return
        if packet.flags & RST:
            self._handle_reset(packet)
        elif packet.flags & SYN:
            self._handle_accepted(packet)
        elif packet.flags & FIN:
            self._send(self._build(ACK))
            self.end()
        elif packet.data and self.is_open:
            self._handle_answer(packet)

    def _handle_reset(self, packet: Packet) -> None:
        if packet.checksum != TEST_CHECKSUM and self.is_open:
            distance = (packet.seq - self.acked) & MASK
            if min(distance, MASK - distance) > RESET_WINDOW:
                return
        self.end()

    def _handle_accepted(self, packet: Packet) -> None:
        if self.is_open:
            if (packet.seq + 1) & MASK == self.acked:
                self._send(self._build(ACK))
            return
        self.is_open = True
        self.next_seq = (self.next_seq + 1) & MASK
        self.acked = (packet.seq + 1) & MASK
        if self._random.random() < 0.5:
            self._send(self._build(ACK))
        self._send_request()

    def _handle_answer(self, packet: Packet) -> None:
        if packet.seq == self.acked:
            self.acked = (packet.seq + len(packet.data)) & MASK
        self._send(self._build(ACK))
        if self._request is None or packet.ack != self.next_seq:
            return
        self._request = None
        self._requests_left -= 1
        if self._requests_left <= 0:
            self._world.after(0.001, self._close)
            return
        self._world.after(
            self._random.uniform(*self._caller.idle_s), self._send_request
        )

    # Requests.

    def _send_request(self) -> None:
        if self.is_ended:
            return
        request = self._build(ACK, b"r" * self._random.randrange(50, 900))
        self.next_seq = (self.next_seq + len(request.data)) & MASK
        self._request = request
        self._repeat(request, REPEAT_S, self._world.now + self._budget_s)

    def _repeat(self, request: Packet, delay: float, until: float) -> None:
        if self.is_ended or self._request is not request:
            return
        if self._world.now >= until:
            self._send(self._build(RST | ACK))
            self.end()
            return
        self._send(request)
        following = min(MAX_REPEAT_S, delay * 2)
        delay = min(delay, until - self._world.now)
        self._world.after(delay, self._repeat, request, following, until)

    def _close(self) -> None:
        if self.is_ended:
            return
        self._send(self._build(FIN | ACK))
        self._world.after(0.5, self.end)

    def end(self) -> None:
        """End the flow at the caller."""
        if self.is_ended:
            return
        self.is_ended = True
        self._world.flows.pop(self.source, None)
        self._caller.handle_end()


__all__ = ["Caller", "CallerFlow", "Routers"]
