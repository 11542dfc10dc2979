"""Fronts, gates, hosts and callers in one process, with a simulated clock."""

from __future__ import annotations

import random
import socket
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from balsamstream.flows.desired_state import (
    DesiredState,
    Evacuations,
    Route,
    ServiceRules,
    Share,
)
from balsamstream.flows.front import Front
from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.load_policy import DEFAULT_POLICY, LoadPolicy
from balsamstream.flows.messages import Kind, NodeName
from balsamstream.platform import packets
from standins.flow_host import ACK, FIN, RST, SYN, FlowHost, Packet, decode

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_FRONT = "10.1.0.1"
NODE_PORT = 7720
ROUTE = ("198.18.0.1", 443)
SERVICE = "comptoir"
HEARTBEAT_S = 1.0
STEP_S = 0.01


class RecordedEvents:
    """Records all events for assertions."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def emit(self, event: str, **inputs: object) -> None:
        """Record a change of state."""
        self.lines.append((event, dict(inputs)))

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Record a decision on a flow."""
        self.lines.append((event, {"flow": flow, **inputs}))

    def count(self, name: str, amount: int = 1) -> None:
        """Record an addition to a counter."""
        self.lines.append((name, {"amount": amount}))

    def observe_opening(self, seconds: float) -> None:
        """Ignore the time."""

    def observe_waiting(self, seconds: float) -> None:
        """Ignore the time."""

    def observe_service(self, seconds: float) -> None:
        """Ignore the time."""

    def observe_expected_wait(self, seconds: float) -> None:
        """Ignore the time."""

    def observe_answer(self, seconds: float) -> None:
        """Ignore the time."""

    def names(self) -> list[str]:
        """Return the names of all events, in order."""
        return [name for name, _ in self.lines]


@dataclass
class GateNode:
    """A gate and its host."""

    deployment: Deployment
    ip: str
    data_centre: str
    service: str
    gate_incarnation: int
    host: FlowHost
    incarnation: int = 1
    events: RecordedEvents = field(default_factory=RecordedEvents)
    eras: list[int] = field(default_factory=list)
    heartbeats: int = 0
    state: HostState = HostState.READY
    slots: int = 2
    cold_left_s: float = 0.0
    sends_heartbeats: bool = True
    has_host: bool = True
    is_up: bool = True
    policy: LoadPolicy | None = None
    heartbeat_s: float = HEARTBEAT_S

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start the gate's process without any state."""
        self.gate = Gate(
            self,
            self.events,
            ip=self.ip,
            service=self.service,
            data_centre=self.data_centre,
            incarnation=self.gate_incarnation,
            heartbeat_s=self.heartbeat_s,
            now=self.deployment.now,
            policy=self.deployment.policy if self.policy is None else self.policy,
        )

    def restart(self) -> None:
        """Stop the gate's process and start it again."""
        self.gate_incarnation += 1
        self.start()
        self.find_fronts()

    def restart_host(self, number: int = 9_000) -> None:
        """Start another incarnation of the host, before its first heartbeat."""
        self.host = FlowHost(number)
        self.incarnation += 1
        self.heartbeats = 0

    def find_fronts(self) -> None:
        """Find the fronts that run, as from the store."""
        fronts = [
            (node.ip, node.data_centre) for node in self.deployment.fronts.values()
        ]
        self.gate.reporter.add_fronts(fronts, self.deployment.now)

    def send_heartbeat(self, **changes: Any) -> None:
        """Send a heartbeat of the host, with some fields changed."""
        heartbeat = self.build_heartbeat(**changes)
        self.gate.handle_heartbeat(heartbeat, self.deployment.now)

    def build_heartbeat(self, **changes: Any) -> Heartbeat:
        """Build the next heartbeat of the host, with some fields changed."""
        self.heartbeats += 1
        fields = {
            "host": f"i-{self.ip}",
            "incarnation": self.incarnation,
            "sequence": self.heartbeats,
            "service": self.service,
            "data_centre": self.data_centre,
            "state": self.state,
            "slots": self.slots,
            "cold_left_s": self.cold_left_s,
        }
        return Heartbeat(**(fields | changes))

    def check_host(self) -> None:
        """Connect to the host if its gate needs to know whether there is one."""
        if self.gate.needs_host_check(self.deployment.now):
            self.connect_to_host()

    def connect_to_host(self) -> None:
        """Let the gate learn at once if nothing listens at its host's address."""
        if not self.is_host_running():
            now = self.deployment.now
            self.gate.record_refused_check(now, now)

    def is_host_running(self) -> bool:
        """Return whether there is a host."""
        return self.has_host

    def send_to_host(self, packet: bytes) -> None:
        """Deliver a packet to the host, if there is one."""
        if not self.has_host:
            return
        for answer in self.host.handle_packet(packet):
            self.deployment.enqueue(self.gate.handle_host_packet, answer)

    def send_to_caller(self, packet: bytes) -> None:
        """Hand a packet to its caller."""
        self.deployment.deliver_caller(packet, self.ip)

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""
        self.deployment.deliver_node(ip, message, self.ip)

    def handle_newer_era(self, era: int) -> None:
        """Record that the store was restored."""
        self.eras.append(era)


@dataclass
class FrontNode:
    """A front and the versions that it would fetch."""

    deployment: Deployment
    ip: str
    data_centre: str
    events: RecordedEvents = field(default_factory=RecordedEvents)
    fetched: list[tuple[str, int]] = field(default_factory=list)
    eras: list[int] = field(default_factory=list)
    is_up: bool = True

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start the front's process, which knows only the desired state."""
        self.build_front()
        self.front.fleet.apply_desired_state(
            self.deployment.desired, "test", self.deployment.now
        )

    def build_front(self) -> None:
        """Replace the front by one without any state."""
        self.front = Front(
            self,
            self.events,
            ip=self.ip,
            data_centre=self.data_centre,
            node_port=NODE_PORT,
            now=self.deployment.now,
            policy=self.deployment.front_policy,
        )

    def find_nodes(self) -> None:
        """List the nodes, as from the store."""
        self.front.fleet.add_listed_nodes(
            self.deployment.list_names(), self.deployment.now
        )

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""
        self.deployment.deliver_node(address[0], message, self.ip)

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""
        self.deployment.deliver_node(ip, message, self.ip)

    def handle_newer_era(self, era: int) -> None:
        """Record that the store was restored."""
        self.eras.append(era)

    def send_to_caller(self, packet: bytes) -> None:
        """Hand a packet to its caller."""
        self.deployment.deliver_caller(packet, self.ip)

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Record a fetch of the desired state."""
        self.fetched.append((ip, version))


class Deployment:
    """A deployment whose nodes exchange messages through one queue.

    Attributes
    ----------
    control : dict of str to list of int
        Sizes of the control and load messages that each node has sent, in bytes.
    loss : float
        Share of the messages between nodes that are lost, 0 to 1.
    policy : LoadPolicy
        Decisions under load that all nodes make.
    front_policy : LoadPolicy
        Decisions under load that are switched on at the fronts.
    """

    def __init__(
        self,
        route: tuple[str, int] = ROUTE,
        loss: float = 0.0,
        policy: LoadPolicy = DEFAULT_POLICY,
        front_policy: LoadPolicy | None = None,
    ) -> None:
        self.front_policy = policy if front_policy is None else front_policy
        self.now = 100.0
        self.policy = policy
        self.gates: dict[str, GateNode] = {}
        self.fronts: dict[str, FrontNode] = {}
        self.to_callers: list[tuple[Packet, str]] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.control: defaultdict[str, list[int]] = defaultdict(list)
        self.loss = loss
        self._random = random.Random(1)
        self._queue: deque[Any] = deque()
        self._is_running = False
        self._heartbeat_due = self.now
        self.desired = build_desired(1, {route: SERVICE})

    def add_gate(self, ip: str, data_centre: str = "medina", **more: Any) -> GateNode:
        """Add a gate, and a host that starts after it."""
        number = 1_000 * (len(self.gates) + 1)
        fields = {
            "service": SERVICE,
            "gate_incarnation": 1,
            "host": FlowHost(number),
        } | more
        node = GateNode(self, ip, data_centre, **fields)
        self.gates[ip] = node
        node.gate.record_refused_check(self.now, self.now)
        node.send_heartbeat()
        node.find_fronts()
        self.run()
        return node

    def add_front(self, ip: str, data_centre: str = "medina") -> FrontNode:
        """Add a front that knows every node."""
        node = FrontNode(self, ip, data_centre)
        self.fronts[ip] = node
        node.find_nodes()
        self.run()
        return node

    def list_names(self) -> list[NodeName]:
        """List all nodes as the store would."""
        gates = [
            NodeName(node.ip, node.data_centre, node.service, 0)
            for node in self.gates.values()
        ]
        fronts = [
            NodeName(node.ip, node.data_centre, "", 0) for node in self.fronts.values()
        ]
        return gates + fronts

    def apply_desired_state(self, desired: DesiredState) -> None:
        """Apply a desired state at all fronts."""
        self.desired = desired
        for node in self.fronts.values():
            node.front.fleet.apply_desired_state(desired, "test", self.now)
        self.run()

    def evacuate(self, revision: int, *data_centres: str) -> None:
        """Apply a set of evacuations at all fronts."""
        evacuations = Evacuations(1, revision, frozenset(data_centres))
        for node in self.fronts.values():
            node.front.fleet.apply_evacuations(evacuations, "test", self.now)
        self.run()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in small steps, with all ticks and heartbeats due."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if self.now >= self._heartbeat_due:
                self._heartbeat_due = self.now + HEARTBEAT_S
                for gate in self.gates.values():
                    if gate.sends_heartbeats and gate.is_up:
                        gate.send_heartbeat()
            for gate in self.gates.values():
                if gate.is_up:
                    gate.gate.tick(self.now)
                    gate.check_host()
            for front in self.fronts.values():
                if front.is_up:
                    front.front.tick(self.now)
            self.run()

    def enqueue(self, function: Any, packet: bytes) -> None:
        """Deliver a packet after the messages that are already queued."""
        self._queue.append((function, (packet,)))

    def deliver_node(self, ip: str, message: bytes, sender: str) -> None:
        """Queue a message to a node unless it is lost or the node is down."""
        if message[0] in (Kind.CONTROL, Kind.LOAD):
            self.control[sender].append(len(message))
        if (sender, ip) in self.blocked_links:
            return
        if self.loss and self._random.random() < self.loss:
            return
        gate, front = self.gates.get(ip), self.fronts.get(ip)
        if gate is not None and gate.is_up:
            self._queue.append((gate.gate.handle_message, (message, sender)))
        elif front is not None and front.is_up:
            self._queue.append((front.front.handle_message, (message, sender)))

    def deliver_caller(self, packet: bytes, sender: str) -> None:
        """Record a packet to its caller."""
        self.to_callers.append((decode(packet), sender))

    def run(self, max_messages: int = 100_000) -> None:
        """Deliver messages until none is left; fail above a bound."""
        if self._is_running:
            return
        self._is_running = True
        while self._queue:
            max_messages -= 1
            assert max_messages > 0, "nodes send each other messages without end"
            function, arguments = self._queue.popleft()
            function(*arguments, self.now)
        self._is_running = False

    def send(self, packet: Packet, front: str) -> list[Packet]:
        """Send a caller packet through a front; return what the caller receives."""
        before = len(self.to_callers)
        self.fronts[front].front.handle_caller_packet(packet.encode(), self.now)
        self.run()
        received = [each for each, _ in self.to_callers[before:]]
        return [each for each in received if each.target == packet.source]


@dataclass
class Caller:
    """One flow of a caller."""

    deployment: Deployment
    port: int = 40_001
    ip: str = "100.64.0.7"
    route: tuple[str, int] = ROUTE
    seq: int = 7
    acked: int = 0

    def build(self, flags: int, **more: Any) -> Packet:
        """Build a packet of the flow."""
        return Packet(
            (to_number(self.ip), self.port),
            (to_number(self.route[0]), self.route[1]),
            flags,
            **more,
        )

    def open(self, front: str, copy: int = 0) -> list[Packet]:
        """Send an opening packet and record the host's sequence number."""
        answers = self.deployment.send(self.build(SYN, seq=self.seq, ack=copy), front)
        for answer in answers:
            if answer.flags & SYN:
                self.acked = answer.seq + 1
        return answers

    def resend_first_opening(self, front: str) -> list[Packet]:
        """Send the first opening packet again, as if it had been delayed."""
        return self.deployment.send(self.build(SYN, seq=self.seq), front)

    def send_request(self, front: str, data: bytes = b"request") -> list[Packet]:
        """Send a request."""
        packet = self.build(ACK, seq=self.seq + 1, ack=self.acked, data=data)
        return self.deployment.send(packet, front)

    def acknowledge(self, front: str) -> list[Packet]:
        """Send a packet without data."""
        return self.deployment.send(
            self.build(ACK, seq=self.seq + 1, ack=self.acked), front
        )

    def end(self, front: str) -> list[Packet]:
        """End the flow."""
        packet = self.build(FIN | ACK, seq=self.seq + 2, ack=self.acked)
        return self.deployment.send(packet, front)

    def get_holder(self) -> GateNode:
        """Return the one gate whose host holds the flow."""
        packet = self.build(ACK)
        holders = [
            g for g in self.deployment.gates.values() if g.host.has_open_flow(packet)
        ]
        assert len(holders) == 1
        return holders[0]


def build_deployment(gates: Iterable[str], fronts: Iterable[str]) -> Deployment:
    """Build a deployment in one data centre and let its nodes find each other."""
    deployment = Deployment()
    for ip in gates:
        deployment.add_gate(ip)
    for ip in fronts:
        deployment.add_front(ip)
    deployment.pass_time(1.0)
    return deployment


def open_flow(
    deployment: Deployment, port: int = 40_001, front: str = FIRST_FRONT
) -> Caller:
    """Open a flow through a front and send a request on it."""
    caller = Caller(deployment, port)
    caller.open(front)
    caller.send_request(front)
    return caller


def list_resets(deployment: Deployment) -> list[Packet]:
    """List the resets that callers got."""
    return [packet for packet, _ in deployment.to_callers if packet.flags & RST]


def build_desired(
    version: int,
    routes: dict[tuple[str, int], str],
    cold_per_s: float = 0.0,
    **more: Any,
) -> DesiredState:
    """Build a desired state that sends each route to one service."""
    built = {
        packets.pack_route(*key): Route(
            "r",
            (Share(service, 1.0),),
            more.get("priority", 1),
            True,
            more.get("deadline_s", 2.0),
            0.25,
        )
        for key, service in routes.items()
    }
    rules = {
        service: ServiceRules(2_000, 2.0, cold_per_s) for service in routes.values()
    }
    return DesiredState(version, built, rules, 15.0)


def to_number(ip: str) -> int:
    """Return an address as a number."""
    return int.from_bytes(socket.inet_aton(ip))


__all__ = [
    "ROUTE",
    "SERVICE",
    "Caller",
    "FrontNode",
    "GateNode",
    "Deployment",
    "build_deployment",
    "build_desired",
    "list_resets",
    "open_flow",
    "to_number",
]
