"""Fronts, gates and hosts of one service, and the network, on a virtual clock."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from balsamstream.flows.desired_state import Evacuations
from balsamstream.flows.front import Front
from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.messages import NodeName
from balsamstream.platform import packets
from standins.flow_host import ACK, RST, FlowHost, Packet, decode

from .events import EventQueue
from .flow_path import build_events
from .overload_caller import ANSWER, FAILED, SHED, Caller
from .overload_load import COLD_S, SERVICE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.flows.load_policy import LoadPolicy

    from .overload_load import Load, Request

HEARTBEAT_S: Final = 0.4
TICK_S: Final = 0.01
SETTLE_S: Final = 2.0
LOCAL_DELAY_S: Final = 0.000_2
SLOTS: Final = 1
MAX_QUEUED: Final = 8
"""Requests that wait at a host for a slot; it sheds the others."""
COLD_SLOWNESS: Final = 1.6
FAILURE_S: Final = 0.001


class SlotHost:
    """One run of a host, which works on `SLOTS` requests at a time."""

    def __init__(self, node: GateNode, cold_until: float) -> None:
        self._node = node
        self._site = node.site
        self._flows = FlowHost(node.site.random.getrandbits(31))
        self._queue: deque[Packet] = deque()
        self._answers: dict[bytes, bytes] = {}
        self._busy = 0
        self.cold_until = cold_until
        self.is_up = True

    @property
    def has_idle_slot(self) -> bool:
        """Whether it would begin to work on one more request at once."""
        return self.is_up and self._busy < SLOTS

    def handle(self, body: bytes) -> None:
        """Handle a packet from the gate."""
        if not self.is_up:
            return
        packet = decode(body)
        if packet.data and self._flows.has_open_flow(packet):
            self._handle_request(packet)
            return
        for answer in self._flows.handle_packet(body):
            self._node.receive_from_host(answer)

    def _handle_request(self, packet: Packet) -> None:
        if packet.data in self._answers:
            if self._answers[packet.data]:
                self._node.receive_from_host(self._answers[packet.data])
            return
        self._answers[packet.data] = b""
        if self._site.random.random() < self._node.failing_share:
            self._site.find_request(packet).runs += 1
            self._site.queue.call_after(FAILURE_S, self._answer, packet, FAILED)
        elif self.has_idle_slot:
            self._start(packet)
        elif len(self._queue) < MAX_QUEUED:
            self._queue.append(packet)
        else:
            self._site.sheds += 1
            self._answer(packet, SHED)

    def _start(self, packet: Packet) -> None:
        request = self._site.find_request(packet)
        request.runs += 1
        self._busy += 1
        is_cold = self._site.queue.now < self.cold_until
        slowness = self._node.slowness * (COLD_SLOWNESS if is_cold else 1.0)
        self._site.queue.call_after(request.work_s * slowness, self._finish, packet)

    def _finish(self, packet: Packet) -> None:
        self._busy -= 1
        self._answer(packet, ANSWER)
        if self._queue and self.is_up:
            self._start(self._queue.popleft())

    def _answer(self, packet: Packet, data: bytes) -> None:
        if not self.is_up:
            return
        is_reset = data == FAILED and self._node.resets
        flags, data = (RST, b"") if is_reset else (ACK, data)
        seq, ack = self._flows.number + 1, packet.seq + len(packet.data)
        answer = Packet(packet.target, packet.source, flags, seq, ack, data).encode()
        self._answers[packet.data] = answer
        self._node.receive_from_host(answer)


@dataclass(slots=True, eq=False)
class Node:
    """A VM with a front or a gate, and what both send and receive."""

    site: Site
    ip: str
    data_centre: str
    role: Any = field(init=False)

    def build_arguments(self) -> dict[str, Any]:
        """Build the arguments that fronts and gates have in common."""
        site = self.site
        common = {"ip": self.ip, "data_centre": self.data_centre}
        return common | {"now": site.queue.now, "policy": site.policy}

    def receive(self, message: bytes, sender: str) -> None:
        """Handle a message of a node."""
        self.role.handle_message(message, sender, self.site.queue.now)

    def tick(self) -> None:
        """Do the periodic work, now and from now on."""
        self.site.queue.call_after(TICK_S, self.tick)
        self.role.tick(self.site.queue.now)

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""
        target = self.site.nodes[ip]
        delay_s = self.site.get_delay(self.data_centre, target.data_centre)
        self.site.queue.call_after(delay_s, target.receive, message, self.ip)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""
        decoded = decode(packet)
        caller = self.site.callers[decoded.target[0] & 0xFFFF]
        delay_s = self.site.get_delay(self.data_centre, caller.data_centre)
        self.site.queue.call_after(delay_s, caller.receive, decoded)

    def handle_newer_era(self, era: int) -> None:
        """Do nothing, as there is no store."""

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Do nothing, as there is one version."""


class FrontNode(Node):
    """A front."""

    def start(self) -> None:
        """Start the front, which knows the desired state and all nodes."""
        now = self.site.queue.now
        self.role = Front(self, build_events(), node_port=1, **self.build_arguments())
        self.role.fleet.apply_desired_state(self.site.desired, "bench", now)
        self.role.fleet.add_listed_nodes(self.site.list_names(), now)

    def receive_from_caller(self, packet: Packet) -> None:
        """Handle a packet of a caller."""
        self.role.handle_caller_packet(packet.encode(), self.site.queue.now)

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""
        self.send_to_node(address[0], message)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a reset to a caller; only a refusal has the sequence number 0."""
        if packets.get_seq(packet) == 0:
            self.site.refusals += 1
            self.site.idle_refusals += self.site.has_idle_slot()
        super().send_to_caller(packet)


@dataclass(slots=True, eq=False)
class GateNode(Node):
    """A gate and its host; how the host works holds for all of its runs."""

    slowness: float = 1.0
    failing_share: float = 0.0
    resets: bool = False
    host: SlotHost = field(init=False)
    _incarnation: int = 0
    _heartbeats: int = 0

    def start(self) -> None:
        """Start the gate and its host, which is not cold."""
        more = {"service": SERVICE, "incarnation": 1, "heartbeat_s": HEARTBEAT_S}
        self.role = Gate(self, build_events(), **more, **self.build_arguments())
        fronts = [(node.ip, node.data_centre) for node in self.site.fronts]
        self.role.reporter.add_fronts(fronts, self.site.queue.now)
        self.start_host(0.0)

    def start_host(self, cold_s: float = COLD_S) -> None:
        """Start the next run of the host."""
        self._incarnation += 1
        self._heartbeats = 0
        self.host = SlotHost(self, self.site.queue.now + cold_s)
        self._send_heartbeats(self.host)

    def stop_host(self) -> None:
        """Stop the host without notice."""
        self.host.is_up = False

    def _send_heartbeats(self, host: SlotHost) -> None:
        """Send heartbeats of a run of the host until it ends."""
        if not host.is_up:
            return
        now = self.site.queue.now
        self._heartbeats += 1
        heartbeat = Heartbeat(
            host=f"i-{self.ip}",
            incarnation=self._incarnation,
            sequence=self._heartbeats,
            service=SERVICE,
            data_centre=self.data_centre,
            state=HostState.READY,
            slots=SLOTS,
            cold_left_s=max(0.0, host.cold_until - now),
        )
        self.role.handle_heartbeat(heartbeat, now)
        self.site.queue.call_after(HEARTBEAT_S, self._send_heartbeats, host)

    def receive_from_host(self, packet: bytes) -> None:
        """Handle a packet of the host, once the present call has ended."""
        self.site.queue.call_after(0.0, self._handle_host_packet, packet)

    def _handle_host_packet(self, packet: bytes) -> None:
        self.role.handle_host_packet(packet, self.site.queue.now)

    def send_to_host(self, packet: bytes) -> None:
        """Send a packet to the host."""
        self.site.queue.call_after(0.0, self.host.handle, packet)


class Site:
    """A deployment of one service with its callers.

    Parameters
    ----------
    load : Load
        Size of the deployment, and what fails.
    policy : LoadPolicy
        Decisions under load that are switched on at all nodes.
    seed : int
        Seed of what is random at hosts and of the times of ticks.
    """

    def __init__(self, load: Load, policy: LoadPolicy, seed: int) -> None:
        self.queue = EventQueue()
        self.random = random.Random(seed)
        self.policy = policy
        self.refusals = self.idle_refusals = self.sheds = 0
        self.evacuated: frozenset[str] = frozenset()
        self.data_centres = [f"dc-{number}" for number in range(load.data_centres)]
        self.desired = load.build_desired_state()
        self._load = load
        self._requests: Sequence[Request] = ()
        self.fronts = [
            FrontNode(self, f"10.2.0.{n}", dc) for n, dc in self._spread(load.fronts)
        ]
        self.gates = [
            GateNode(self, f"10.1.0.{n}", dc) for n, dc in self._spread(load.hosts)
        ]
        self.callers = [
            Caller(self.queue, n, dc, self._send_to_front)
            for n, dc in self._spread(load.callers)
        ]
        self.nodes: dict[str, FrontNode | GateNode] = {}
        self.nodes |= {node.ip: node for node in (*self.fronts, *self.gates)}
        for node in self.nodes.values():
            node.start()
            self.queue.call_after(self.random.uniform(0.0, TICK_S), node.tick)

    def _spread(self, count: int) -> list[tuple[int, str]]:
        names = self.data_centres
        return [(number, names[number % len(names)]) for number in range(count)]

    def play(self, requests: Sequence[Request]) -> None:
        """Send requests at their times, until all have ended."""
        self._requests = requests
        self.queue.run_for(SETTLE_S)
        if self._load.disturb is not None:
            self._load.disturb(self)
        for request in requests:
            caller = self.callers[request.caller]
            self.queue.call_after(request.started_at, caller.start, request)
        while not all(request.is_done for request in requests):
            self.queue.run_for(HEARTBEAT_S)

    def evacuate(self, *data_centres: str) -> None:
        """Replace the set of evacuated data centres."""
        now = self.queue.now
        self.evacuated = frozenset(data_centres)
        evacuations = Evacuations(1, round(now * 1_000), self.evacuated)
        for node in self.fronts:
            node.role.fleet.apply_evacuations(evacuations, "bench", now)

    def get_delay(self, source: str, target: str) -> float:
        """Return the delay between two data centres, in seconds."""
        return LOCAL_DELAY_S if source == target else self._load.delay_s

    def has_idle_slot(self) -> bool:
        """Return whether a host that may get new flows has an idle slot."""
        return any(
            gate.host.has_idle_slot and gate.data_centre not in self.evacuated
            for gate in self.gates
        )

    def find_request(self, packet: Packet) -> Request:
        """Return the request that a packet carries."""
        return self._requests[int(packet.data.split()[0])]

    def list_names(self) -> list[NodeName]:
        """List all nodes, as the store does."""
        gates = [NodeName(n.ip, n.data_centre, SERVICE, 0) for n in self.gates]
        return gates + [NodeName(n.ip, n.data_centre, "", 0) for n in self.fronts]

    def _send_to_front(self, caller: Caller, packet: Packet) -> None:
        # As in the routers: a flow keeps its front while the rotation is unchanged.
        fronts = [n for n in self.fronts if n.data_centre == caller.data_centre]
        front = fronts[packet.source[1] % len(fronts)]
        self.queue.call_after(LOCAL_DELAY_S, front.receive_from_caller, packet)


__all__ = ["GateNode", "Site"]
