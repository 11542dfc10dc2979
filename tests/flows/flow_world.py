"""Fronts, gates and hosts whose messages take time, get lost and meet cut links."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.load_policy import DEFAULT_POLICY, LoadPolicy
from balsamstream.platform import packets
from standins.flow_host import RST, TEST_CHECKSUM, FlowHost, Packet, decode
from tests.flows.deployment import (
    SERVICE,
    Deployment,
    FrontNode,
    GateNode,
    RecordedEvents,
)
from tests.flows.flow_oracle import FlowOracle
from tests.flows.flow_server import FlowServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.flows.gate import Gate
    from balsamstream.flows.heartbeat import Heartbeat
    from balsamstream.flows.held_flows import HeldFlow, SavedFlow
    from balsamstream.flows.messages import NodeName

NEAR_S = 0.0002
FAR_S = 0.0014
JITTER = 0.5
"""Share by which the time of a message varies."""
CALLER_S = 0.001
HOST_S = 0.0002
TICK_S = 0.02
SEED_INTERVAL_S = 0.5
BEAT_S = 0.77
SAVE_S = 5.0
STORE_S = (0.02, 0.1)
"""Time of a call to the store, in seconds, from and to."""
LATE_SHARE = 0.7
"""Share of a host's messages that arrive at all while they are late."""
MAX_LATE_S = 4.0
KEPT_EVENTS = 4_000


class TimedEvents(RecordedEvents):
    """Records the last events with their times; counts of packets are ignored."""

    def __init__(self, world: FlowWorld) -> None:
        super().__init__()
        self._world = world
        self.lines: Any = deque(maxlen=KEPT_EVENTS)

    def emit(self, event: str, **inputs: object) -> None:
        """Record a change of state."""
        self.lines.append((self._world.now, event, inputs))

    def emit_for_flow(self, event: str, flow: bytes, **inputs: object) -> None:
        """Record a decision on a flow."""
        self.lines.append((self._world.now, event, {"flow": flow, **inputs}))

    def count(self, name: str, amount: int = 1) -> None:
        """Ignore a count."""

    def list_since(self, start: float, flow: bytes | None = None) -> list[str]:
        """Describe the events since a time that concern a flow, or no single flow."""
        found = []
        for at, name, inputs in self.lines:
            if at < start or inputs.get("flow", flow) != flow:
                continue
            rest = {key: value for key, value in inputs.items() if key != "flow"}
            found.append(f"{at:.4f} {name} {rest}")
        return found


@dataclass
class WorldGate(GateNode):
    """A gate and a host that fail and start again."""

    server: FlowServer | None = None
    heartbeat_s: float = BEAT_S
    late_until: float = 0.0
    is_unlisted: bool = False
    seeds_due: float = 0.0

    def start(self) -> None:
        """Start the gate's process without any state."""
        super().start()
        self.is_up = True

    def is_host_running(self) -> bool:
        """Return whether there is a host."""
        return self.server is not None

    def send_to_host(self, packet: bytes) -> None:
        """Deliver a packet to the host after a short time."""
        self.deployment.after(HOST_S, self._reach_host, packet)

    def _reach_host(self, packet: bytes) -> None:
        server = self.server
        if server is None:
            return
        self.deployment.oracle.record_arrival(decode(packet), self.ip)
        server.handle_packet(packet)

    def answer(self, packet: bytes, server: FlowServer) -> None:
        """Take a packet from the host."""
        if self.is_up and self.server is server:
            self.gate.handle_host_packet(packet, self.deployment.now)


@dataclass
class WorldFront(FrontNode):
    """A front that saves its flows and restores them when it starts."""

    saved: list[SavedFlow] = field(default_factory=list)
    is_ready: bool = True
    process: int = 0
    popped: dict[bytes, tuple[str, HeldFlow]] = field(default_factory=dict)

    def start(self) -> None:
        """Start the front's process without any state."""
        self.build_front()
        self._record_popped()
        self.is_up = True
        self.is_ready = False
        self.process += 1
        self.after_store(self._read_desired)
        self.after_store(self.find_nodes)
        self.after_store(self._restore)

    def _record_popped(self) -> None:
        """Record of each flow that the front resets what it had recorded."""
        held_flows = self.front.held_flows
        pop_ended = held_flows.pop_ended

        def record(host: str, incarnation: int, now: float) -> dict[bytes, int]:
            before = dict(held_flows._flows.items())
            ended = pop_ended(host, incarnation, now)
            self.popped = {flow: (host, before[flow]) for flow in ended}
            return ended

        held_flows.pop_ended = record

    def after_store(self, function: Callable[[], None]) -> None:
        """Call a function of this process after a call to the store."""
        self.deployment.after_store(self._call, self.process, function)

    def _call(self, process: int, function: Callable[[], None]) -> None:
        if self.is_up and process == self.process:
            function()

    def _read_desired(self) -> None:
        world = self.deployment
        self.front.fleet.apply_desired_state(world.desired, "test", world.now)
        self.is_ready = True

    def find_nodes(self) -> None:
        """List the nodes, as from the store."""
        world = self.deployment
        self.front.fleet.add_listed_nodes(world.list_names(), world.now)

    def _restore(self) -> None:
        world = self.deployment
        self.front.restore_flows(self.saved, world.now)
        world.after(SAVE_S, self._call, self.process, self._save)

    def _save(self) -> None:
        self.saved = self.front.held_flows.list_saved()
        self.deployment.after(SAVE_S, self._call, self.process, self._save)


class FlowWorld(Deployment):
    """A deployment of which each message takes time.

    Attributes
    ----------
    random : random.Random
        Source of all that is drawn.
    oracle : FlowOracle
        Knows which flows are open and judges what callers and hosts get.
    cuts : list of tuple
        Links that are cut: two sets of addresses and the end of the cut, in seconds.
    store_back_at : float
        End of the last outage of the store, in seconds.
    """

    def __init__(
        self, seed: int, loss: float = 0.0, policy: LoadPolicy = DEFAULT_POLICY
    ) -> None:
        super().__init__(loss=loss, policy=policy)
        self.random = random.Random(seed)
        self._seed = seed
        self._links: dict[tuple[str, str], random.Random] = {}
        self.oracle = FlowOracle(self)
        self.cuts: list[tuple[frozenset[str], frozenset[str], float]] = []
        self.store_back_at = 0.0
        self.flows: dict[tuple[int, int], Any] = {}
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()

    # Clock.

    def after(self, delay: float, function: Callable[..., None], *values: Any) -> None:
        """Call a function after a time."""
        entry = (self.now + delay, next(self._order), function, values)
        heapq.heappush(self._heap, entry)

    def after_store(self, function: Callable[..., None], *values: Any) -> None:
        """Call a function after a call to the store, which may be silent for long."""
        outage_s = max(0.0, self.store_back_at - self.now)
        self.after(outage_s + self.random.uniform(*STORE_S), function, *values)

    def run(self, max_messages: int = 0) -> None:
        """Do nothing: messages arrive as time passes."""

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, values = heapq.heappop(self._heap)
            function(*values)
        self.now = end

    # Nodes.

    def add_gate(self, ip: str, data_centre: str = "medina", **more: Any) -> WorldGate:
        """Add a gate and its host."""
        events = TimedEvents(self)
        gate = WorldGate(
            self, ip, data_centre, SERVICE, 1, FlowHost(0), events=events, **more
        )
        self.gates[ip] = gate
        gate.connect_to_host()
        self.start_host(gate, self.random.uniform(0.0, 0.1))
        self.after_store(self._list_gate, gate, gate.gate)
        self._repeat(TICK_S, self._tick_gate, gate)
        return gate

    def add_front(self, ip: str, data_centre: str = "medina") -> WorldFront:
        """Add a front."""
        front = WorldFront(self, ip, data_centre, TimedEvents(self))
        self.fronts[ip] = front
        self._repeat(TICK_S, self._tick_front, front)
        return front

    def _repeat(self, period: float, function: Callable[..., None], *a: Any) -> None:
        function(*a)
        self.after(
            period * self.random.uniform(0.9, 1.1), self._repeat, period, function, *a
        )

    def _tick_gate(self, gate: WorldGate) -> None:
        if not gate.is_up:
            return
        gate.gate.tick(self.now)
        gate.check_host()
        if gate.is_unlisted:
            self._contact_seeds(gate)

    def _contact_seeds(self, gate: WorldGate) -> None:
        """Report to all fronts, as while the store is silent; see `GateService`."""
        is_found = gate.gate.state is not HostState.UNKNOWN
        if not is_found or self.now < gate.seeds_due or gate.gate.reporter.fronts:
            return
        gate.seeds_due = self.now + SEED_INTERVAL_S
        gate.gate.reporter.send_report(list(self.fronts), self.now)

    def list_names(self) -> list[NodeName]:
        """List the nodes that have an entry."""
        unlisted = {gate.ip for gate in self.gates.values() if gate.is_unlisted}
        return [each for each in super().list_names() if each.ip not in unlisted]

    def _tick_front(self, front: WorldFront) -> None:
        if front.is_up:
            front.front.tick(self.now)

    def _list_gate(self, node: WorldGate, gate: Gate) -> None:
        """Let a gate that has started list the nodes."""
        if node.gate is not gate or not node.is_up:
            return
        node.is_unlisted = False
        node.find_fronts()

    def start_gate(self, gate: WorldGate) -> None:
        """Start the process of a gate again."""
        gate.gate_incarnation += 1
        gate.start()
        gate.connect_to_host()
        self.after_store(self._list_gate, gate, gate.gate)

    def start_host(self, gate: WorldGate, first_beat_s: float) -> None:
        """Start a host with a higher incarnation."""
        gate.incarnation += 1
        gate.heartbeats = 0
        gate.server = FlowServer(self, gate)
        self.after(first_beat_s, self._beat, gate, gate.server)

    def _beat(self, gate: WorldGate, server: FlowServer) -> None:
        if gate.server is not server:
            return
        heartbeat = gate.build_heartbeat(
            cold_left_s=max(0.0, 2.0 - self.now + server.started_at),
            state=server.state,
        )
        if self.now >= gate.late_until:
            self._hear(gate, heartbeat)
        elif self.random.random() < LATE_SHARE:
            delay = self.random.uniform(0.0, MAX_LATE_S)
            self.after(delay, self._hear, gate, heartbeat)
        self.after(BEAT_S, self._beat, gate, server)

    def _hear(self, gate: WorldGate, heartbeat: Heartbeat) -> None:
        if not gate.is_up:
            return
        gate.gate.handle_heartbeat(heartbeat, self.now)

    def leave_host(self, gate: WorldGate) -> None:
        """Deliver the last message of a host to its gate, in time or late."""
        delay = 0.0
        if self.now < gate.late_until:
            delay = self.random.uniform(0.0, MAX_LATE_S)
        self.after(delay, self._hear_leave, gate)

    def _hear_leave(self, gate: WorldGate) -> None:
        if not gate.is_up:
            return
        gate.gate.handle_leave(f"i-{gate.ip}", self.now)

    # Messages.

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two nodes is cut."""
        for first, second, until in self.cuts:
            if self.now >= until:
                continue
            if (one in first and other in second) or (one in second and other in first):
                return True
        return False

    def deliver_node(self, ip: str, message: bytes, sender: str) -> None:
        """Deliver a message after some time unless it is lost."""
        if self.cuts and self.is_cut(ip, sender):
            return
        draw = self._get_link(ip, sender)
        if self.loss and draw.random() < self.loss:
            return
        is_near = ip.split(".")[1] == sender.split(".")[1]
        delay = (NEAR_S if is_near else FAR_S) * (1 + JITTER * draw.random())
        self.after(delay, self._reach_node, ip, message, sender)

    def _get_link(self, ip: str, sender: str) -> random.Random:
        """Return the source of a link's delays and losses.

        Each link has its own, as nodes may send to others in any order.
        """
        draw = self._links.get((ip, sender))
        if draw is None:
            draw = random.Random(f"{self._seed} {ip} {sender}")
            self._links[ip, sender] = draw
        return draw

    def _reach_node(self, ip: str, message: bytes, sender: str) -> None:
        gate, front = self.gates.get(ip), self.fronts.get(ip)
        if gate is not None and gate.is_up:
            gate.gate.handle_message(message, sender, self.now)
        elif front is not None and front.is_up:
            front.front.handle_message(message, sender, self.now)

    def deliver_caller(self, packet: bytes, sender: str) -> None:
        """Deliver a packet to its caller."""
        decoded = decode(packet)
        if decoded.flags & RST and decoded.checksum != TEST_CHECKSUM:
            self.oracle.record_reset(decoded, sender)
        self.after(CALLER_S, self._reach_caller, decoded)

    def _reach_caller(self, packet: Packet) -> None:
        flow = self.flows.get(packet.target)
        if flow is not None:
            flow.handle_packet(packet)

    def send_from_caller(self, packet: Packet, front: str) -> None:
        """Send a caller's packet to a front."""
        self.after(CALLER_S, self._reach_front, packet.encode(), front)

    def _reach_front(self, packet: bytes, ip: str) -> None:
        front = self.fronts[ip]
        if front.is_up:
            front.front.handle_caller_packet(packet, self.now)


def get_key(packet: Packet) -> bytes:
    """Return the key of the flow of a caller's packet."""
    return packets.get_flow(packet.encode())


__all__ = ["BEAT_S", "FlowWorld", "TimedEvents", "WorldFront", "WorldGate", "get_key"]
