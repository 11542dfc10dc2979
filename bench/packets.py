"""Case 5: cost of a packet in one balancer, compared with a bare relay."""

from __future__ import annotations

import asyncio
import gc
import socket
import statistics
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Final

import xxhash

from balsamstream.core.action import ReturnToCaller, Send
from balsamstream.core.balancer import BalancerDecisions
from balsamstream.core.balancer_config import BalancerConfig
from balsamstream.core.catalogue import compute_service_number
from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import Answer, Changes, ConfigObject, RequestKind
from balsamstream.core.routing import RoutingVersion, compute_flow_key
from balsamstream.core.stored_view import write_view
from balsamstream.core.view import Member, View

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SERVICE: Final = "comptoir"
HOSTS: Final = 7
PAYLOAD_BYTES: Final = 128
BATCH: Final = 64
BATCHES: Final = 400
ROUNDS: Final = 9
GROUPS: Final = 20
GROUP: Final = 1_000
FLOW_COUNTS: Final = (1_000, 10_000, 100_000, 300_000)
ELSEWHERE_SHARE: Final = 0.5
"""Share of flows that two choices place on another host than their owner."""


@dataclass(slots=True)
class Datagram:
    """One datagram of a flow and the answer to it."""

    flow: FlowKey
    caller: Address
    holder: Address
    answer: Answer


class Rig:
    """One balancer with one service, and callers with flows.

    Parameters
    ----------
    ports : list of int
        Loopback ports of the hosts.
    """

    def __init__(self, flows: int, seed: int, ports: list[int]) -> None:
        self.random = Random(seed)
        self.balancer = _build_balancer(ports)
        entry = self.balancer.catalogue.find_service(SERVICE)
        assert entry is not None
        self.entry = entry
        self.callers = [_build_caller(number) for number in range(flows)]
        self.flows = [compute_flow_key(SERVICE, caller) for caller in self.callers]
        self.number = compute_service_number(SERVICE)
        self.version = RoutingVersion(1, 0)
        self.payload = bytes(PAYLOAD_BYTES)
        self.holders = [self._choose_holder(flow) for flow in self.flows]
        for datagram in self.build_datagrams(2 * flows):
            self.handle_answer(datagram, 100.0)

    def build_datagrams(self, count: int) -> list[Datagram]:
        """Draw flows and build what the edge passes to the balancer for each."""
        drawn: list[Datagram] = []
        for position in self.draw_positions(count):
            ip, port = self.callers[position]
            caller = Address(ip[:1] + ip[1:], port)
            flow = FlowKey(self.flows[position] | 0)
            answer = Answer(self.number, flow, caller, self.version, self.payload)
            drawn.append(Datagram(flow, caller, self.holders[position], answer))
        return drawn

    def route(self, datagram: Datagram, now: float) -> Send:
        """Route one datagram of a flow."""
        actions = self.balancer.route(
            self.entry,
            datagram.flow,
            datagram.caller,
            RequestKind.REPEATABLE,
            RequestKey(7),
            self.payload,
            now,
        )
        send = actions[0]
        assert isinstance(send, Send)
        return send

    def handle_answer(self, datagram: Datagram, now: float) -> ReturnToCaller:
        """Handle the answer to one datagram of a flow."""
        returned = self.balancer.handle_message(datagram.holder, datagram.answer, now)[
            0
        ]
        assert isinstance(returned, ReturnToCaller)
        return returned

    def draw_positions(self, count: int) -> list[int]:
        """Draw positions of flows."""
        return [self.random.randrange(len(self.flows)) for _ in range(count)]

    def _choose_holder(self, flow: FlowKey) -> Address:
        ranked = self.balancer.find_routing(self.entry).rank(flow)
        position = 1 if self.random.random() < ELSEWHERE_SHARE else 0
        return ranked[position].address


def _build_caller(number: int) -> Address:
    low = number & 255
    return Address(f"10.{number >> 16 & 255}.{number >> 8 & 255}.{low}", 40_000)


def _build_balancer(ports: list[int]) -> BalancerDecisions:
    config = BalancerConfig(
        ProcessRef("balancer-1", 1), Address("127.0.0.1", 6001), "medina"
    )
    balancer = BalancerDecisions(config, Random(1))
    members = tuple(
        Member(
            ProcessRef(f"{SERVICE}-{number}", 1),
            Address("127.0.0.1", port),
            "medina",
            2,
        )
        for number, port in enumerate(ports)
    )
    spec = {"address": "127.0.0.1:5683", "profile": "counter"}
    objects = (
        ConfigObject("Profile", "counter", 1, {}),
        ConfigObject("Service", SERVICE, 2, spec),
        ConfigObject("View", SERVICE, 3, write_view(View(SERVICE, 1, members))),
    )
    changes = Changes(0, 3, True, False, objects)
    balancer.handle_message(config.address, changes, 100.0)
    return balancer


def time_calls(
    call: Callable[[Datagram, float], object], datagrams: list[Datagram]
) -> float:
    """Return the time of one call in microseconds."""
    now = 200.0
    started_at = time.perf_counter()
    for datagram in datagrams:
        call(datagram, now)
    return (time.perf_counter() - started_at) / len(datagrams) * 1e6


def skip(datagram: Datagram, now: float) -> None:
    """Do nothing; measures the overhead of a call."""


def measure_decisions(seed: int) -> dict[str, Any]:
    """Time the decisions on packets and answers, alternating the numbers of flows."""
    ports = list(range(7001, 7001 + HOSTS))
    rigs = [Rig(flows, seed, ports) for flows in FLOW_COUNTS]
    gc.collect()
    gc.freeze()
    rounds = [[_time_round(rig) for rig in rigs] for _ in range(ROUNDS)]
    gc.unfreeze()
    return {
        "flows": list(FLOW_COUNTS),
        "hints": [rig.balancer.hint_count for rig in rigs],
        "route_us": _take_medians([[pair[0] for pair in line] for line in rounds]),
        "answer_us": _take_medians([[pair[1] for pair in line] for line in rounds]),
        "growth": _take_medians([_relate_to_first(line) for line in rounds]),
    }


def _relate_to_first(line: list[tuple[float, float]]) -> list[float]:
    """Return each cost of packet and answer relative to that of the fewest flows."""
    return [sum(pair) / sum(line[0]) for pair in line]


def _take_medians(rounds: list[list[float]]) -> list[float]:
    return [round(statistics.median(column), 3) for column in zip(*rounds)]


def _time_round(rig: Rig) -> tuple[float, float]:
    route_us = 0.0
    answer_us = 0.0
    for _ in range(GROUPS):
        datagrams = rig.build_datagrams(GROUP)
        idle = time_calls(skip, datagrams)
        route_us += time_calls(rig.route, datagrams) - idle
        answer_us += time_calls(rig.handle_answer, datagrams) - idle
    return route_us / GROUPS, answer_us / GROUPS


class Loopback:
    """A caller's socket, a relay's socket and the hosts' sockets in one process."""

    def __init__(self) -> None:
        self.front = _open_socket()
        self.caller = _open_socket()
        self.hosts = [_open_socket() for _ in range(HOSTS)]
        self.ports = [opened.getsockname()[1] for opened in self.hosts]

    def close(self) -> None:
        """Close all sockets."""
        for opened in (self.front, self.caller, *self.hosts):
            opened.close()

    def send_batch(self, payloads: list[bytes]) -> None:
        """Send datagrams to the relay."""
        address = self.front.getsockname()
        for payload in payloads:
            self.caller.sendto(payload, address)

    def drain_hosts(self) -> int:
        """Read what the relay sent to the hosts."""
        count = 0
        for opened in self.hosts:
            while True:
                try:
                    opened.recv(2_048)
                except BlockingIOError:
                    break
                count += 1
        return count


def _open_socket() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    opened.bind(("127.0.0.1", 0))
    return opened


async def time_relay(
    loopback: Loopback,
    choose: Callable[[bytes], tuple[bytes, Address]],
    batches: list[list[bytes]],
) -> float:
    """Return microseconds for each datagram that a relay receives and forwards."""
    loop = asyncio.get_running_loop()
    front = loopback.front
    done = asyncio.Event()

    def drain() -> None:
        for _ in range(BATCH):
            try:
                data, _ = front.recvfrom(2_048)
            except BlockingIOError:
                break
            forwarded, address = choose(data)
            front.sendto(forwarded, address)
        done.set()

    loop.add_reader(front.fileno(), drain)
    spent = 0.0
    forwarded = 0
    for batch in batches:
        loopback.send_batch(batch)
        done.clear()
        started_at = time.perf_counter()
        await done.wait()
        spent += time.perf_counter() - started_at
        forwarded += loopback.drain_hosts()
    loop.remove_reader(front.fileno())
    return spent / forwarded * 1e6


def build_bare_relay(loopback: Loopback) -> Callable[[bytes], tuple[bytes, Address]]:
    """Build a relay that hashes and forwards."""
    hosts = [Address("127.0.0.1", port) for port in loopback.ports]

    def choose(data: bytes) -> tuple[bytes, Address]:
        return data, hosts[xxhash.xxh3_64_intdigest(data[:8]) % HOSTS]

    return choose


def build_deciding_relay(rig: Rig) -> Callable[[bytes], tuple[bytes, Address]]:
    """Build a relay that hashes the flow and forwards as the balancer decides."""
    callers = rig.callers
    balancer = rig.balancer

    def choose(data: bytes) -> tuple[bytes, Address]:
        position = int.from_bytes(data[:8])
        caller = callers[position]
        flow = compute_flow_key(SERVICE, caller)
        request = RequestKey(xxhash.xxh3_64_intdigest(data))
        kind = RequestKind.REPEATABLE
        actions = balancer.route(rig.entry, flow, caller, kind, request, data, 200.0)
        send = actions[0]
        assert isinstance(send, Send)
        return data, send.to

    return choose


def describe_turns(
    flows: int, times: list[tuple[float, float]], name: str
) -> dict[str, Any]:
    """Compare the times of a bare relay and of another relay, timed in turns.

    Parameters
    ----------
    times : list of tuple of float
        Microseconds for a datagram, the bare relay's first.
    name : str
        Key of the other relay's time.
    """
    ratios = [first / second for first, second in times]
    return {
        "flows": flows,
        "bare_us": round(statistics.median(first for first, _ in times), 2),
        name: round(statistics.median(second for _, second in times), 2),
        "rate_ratio": round(statistics.median(ratios), 3),
        "rate_ratio_least": round(min(ratios), 3),
        "rate_ratio_most": round(max(ratios), 3),
    }


def measure_relays(flows: int, seed: int) -> dict[str, Any]:
    """Time a bare relay and one with the balancer's decisions in turns."""
    loopback = Loopback()
    rig = Rig(flows, seed, loopback.ports)
    bare_relay = build_bare_relay(loopback)
    deciding_relay = build_deciding_relay(rig)
    times: list[tuple[float, float]] = []
    for _ in range(ROUNDS):
        batches = _draw_batches(rig)
        first = asyncio.run(time_relay(loopback, bare_relay, batches))
        second = asyncio.run(time_relay(loopback, deciding_relay, batches))
        times.append((first, second))
    loopback.close()
    return describe_turns(flows, times, "deciding_us")


def _draw_batches(rig: Rig) -> list[list[bytes]]:
    fill = bytes(PAYLOAD_BYTES - 8)
    return [
        [position.to_bytes(8) + fill for position in rig.draw_positions(BATCH)]
        for _ in range(BATCHES)
    ]


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure the decisions alone and with sockets."""
    yield {
        "case": "packets",
        "part": "decisions alone",
        **measure_decisions(seed),
    }
    for flows in (FLOW_COUNTS[0], FLOW_COUNTS[-1]):
        yield {
            "case": "packets",
            "part": "sockets and decisions, without codec and edge",
            **measure_relays(flows, seed),
        }


__all__ = ["measure", "measure_decisions", "measure_relays"]
