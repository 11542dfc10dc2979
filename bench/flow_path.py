"""Packets a second through fronts and gates, compared with a bare relay."""

from __future__ import annotations

import asyncio
import socket
import statistics
import time
from typing import TYPE_CHECKING, Any, Final

from balsamstream.flows.desired_state import DesiredState, Route, ServiceRules, Share
from balsamstream.flows.front import Front
from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import Heartbeat, HostState
from balsamstream.flows.messages import Kind
from balsamstream.node.datagrams import DatagramSocket
from balsamstream.node.events import NodeEvents
from balsamstream.node.logs import Logs
from balsamstream.node.metrics import Metrics
from balsamstream.node.sockets import SocketPool
from balsamstream.platform import packets
from standins.flow_host import ACK, SYN, Packet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BATCH: Final = 150
"""Packets queued at once, below what a socket's buffer holds."""
ROUNDS: Final = 200
FLOWS: Final = (1_000, 20_000)
DATA: Final = b"x" * 100
ROUTE: Final = ("198.18.0.1", 443)
HOST_NUMBER: Final = 5_000
SERVICE: Final = "comptoir"


class Sink:
    """Sends all that a role sends over a real socket, to one receiver."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._target.bind(("127.0.0.1", 0))
        self.address = self._target.getsockname()

    def send(self, data: bytes) -> None:
        """Send a datagram; a full buffer drops it, as a busy receiver would."""
        self._socket.sendto(data, self.address)

    def send_to_gate(self, _address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""
        self.send(message)

    def send_to_node(self, _ip: str, message: bytes) -> None:
        """Send a message to a node."""
        self.send(message)

    def send_to_host(self, packet: bytes) -> None:
        """Send a packet to the host."""
        self.send(packet)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""
        self.send(packet)

    def fetch_desired_state(self, _ip: str, _version: int) -> None:
        """Fetch nothing."""


def build_packet(flow: int, flags: int, **more: Any) -> Packet:  # noqa: ANN401
    """Build a caller's packet of the flow with a number."""
    source = (0x64400000 + flow // 50_000, 1_024 + flow % 50_000)
    target = (int.from_bytes(socket.inet_aton(ROUTE[0])), ROUTE[1])
    return Packet(source, target, flags, **more)


def build_events() -> NodeEvents:
    """Build events that log nothing."""
    return NodeEvents(Logs("bench", len), Metrics(), logs_flows=False)


def build_gate(sink: Sink, flows: int) -> Gate:
    """Build a gate whose host holds flows."""
    gate = Gate(
        sink,
        build_events(),
        ip="10.0.0.2",
        service=SERVICE,
        data_centre="a",
        incarnation=1,
        heartbeat_s=1e9,
        now=0.0,
    )
    gate.handle_heartbeat(
        Heartbeat("h", 1, 1, SERVICE, "a", HostState.READY, 1_000_000, 0.0), 0.0
    )
    for flow in range(flows):
        opened = build_packet(flow, SYN | ACK, seq=HOST_NUMBER)
        reverse = Packet(opened.target, opened.source, SYN | ACK, HOST_NUMBER)
        gate.handle_host_packet(reverse.encode(), 0.0)
    return gate


def build_front(sink: Sink, flows: int) -> Front:
    """Build a front that has hints for flows."""
    front = Front(
        sink, build_events(), ip="10.0.0.1", data_centre="a", node_port=1, now=0.0
    )
    route = Route("r", (Share(SERVICE, 1.0),), 1, True, 1.0, 0.1)
    desired = DesiredState(
        1, {packets.pack_route(*ROUTE): route}, {SERVICE: ServiceRules(0, 0, 0)}, 60.0
    )
    front.fleet.apply_desired_state(desired, "bench", 0.0)
    reports: list[bytes] = []
    gate = build_gate(sink, 0)
    gate.reporter._send = lambda _ip, message: reports.append(message)
    gate.reporter.send_report(["10.0.0.1"], 0.0)
    front.handle_message(reports[0], "10.0.0.2", 0.0)
    for flow in range(flows):
        front.handle_caller_packet(build_packet(flow, SYN, seq=7).encode(), 0.0)
    return front


def build_handlers(sink: Sink, flows: int) -> dict[str, Callable[..., None]]:
    """Build the handler of datagrams of each case."""
    known = {
        packets.get_flow(build_packet(flow, ACK).encode()): sink.address
        for flow in range(flows)
    }
    front, gate = build_front(sink, flows), build_gate(sink, flows)

    def relay(data: bytes, _sender: str, _now: float) -> None:
        if data[12:24] in known:
            sink.send(data)

    return {
        "relay": relay,
        "front": lambda data, _sender, _now: front.handle_caller_packet(data, 0.1),
        "gate": lambda data, _sender, _now: gate.handle_message(data, "10.0.0.1", 0.1),
        "gate_answers": lambda data, _s, _now: gate.handle_host_packet(data, 0.1),
    }


def build_datagrams(case: str, flows: int) -> list[bytes]:
    """Build the datagrams of one round of a case, spread over the flows."""
    datagrams = []
    for number in range(BATCH):
        flow = number * 7_919 % flows
        sent = build_packet(flow, ACK, seq=8, ack=HOST_NUMBER + 1, data=DATA)
        if case == "gate_answers":
            sent = Packet(sent.target, sent.source, ACK, HOST_NUMBER + 1, 8, DATA)
        body = sent.encode()
        datagrams.append(bytes((Kind.FORWARD,)) + body if case == "gate" else body)
    return datagrams


async def time_handler(handler: Callable[..., None], datagrams: list[bytes]) -> float:
    """Return how many datagrams a second of processor time are handled."""
    receiver = DatagramSocket(
        ("127.0.0.1", 0), SocketPool(), handler, build_events(), lambda: None
    )
    receiver.start()
    asyncio.get_running_loop().remove_reader(receiver._socket.fileno())  # type: ignore[union-attr]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = ("127.0.0.1", receiver.port)
    spent_s = 0.0
    for _ in range(ROUNDS):
        for datagram in datagrams:
            sender.sendto(datagram, address)
        started_at = time.process_time()
        for _ in range(BATCH // 64 + 1):
            receiver._read_batch()
        spent_s += time.process_time() - started_at
    receiver.close()
    sender.close()
    return ROUNDS * BATCH / spent_s


async def compare() -> list[dict[str, Any]]:
    """Measure the relay and each role in turn."""
    rows = []
    for flows in FLOWS:
        rates: dict[str, list[float]] = {}
        for _ in range(3):
            handlers = build_handlers(Sink(), flows)
            for case, handler in handlers.items():
                datagrams = build_datagrams(case, flows)
                rates.setdefault(case, []).append(
                    await time_handler(handler, datagrams)
                )
        medians = {case: statistics.median(values) for case, values in rates.items()}
        for case, rate in medians.items():
            rows.append(
                {
                    "case": f"flow_path {case}",
                    "flows": flows,
                    "packets_per_s": round(rate),
                    "of_relay": round(rate / medians["relay"], 2),
                }
            )
    return rows


def measure(_seed: int) -> Iterator[dict[str, Any]]:
    """Run the case; a row for each role and number of flows."""
    yield from asyncio.run(compare())


__all__ = ["measure"]
