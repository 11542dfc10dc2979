"""Case 5, whole path: the daemon's edge, decisions and transport with real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING, Any, Final

from balsamstream.core.action import Send
from balsamstream.core.identity import Address, ProcessRef
from balsamstream.daemon.edge import Edge
from balsamstream.daemon.metrics import Metrics
from balsamstream.daemon.settings import EdgeSettings, Key
from balsamstream.daemon.transport import Transport
from balsamstream.edge.coap_message import MessageType, build_message
from balsamstream.edge.proxy_header import encode_header
from balsamstream.kernel import Kernel

from .packets import (
    BATCH,
    BATCHES,
    FLOW_COUNTS,
    PAYLOAD_BYTES,
    ROUNDS,
    Loopback,
    Rig,
    build_bare_relay,
    describe_turns,
    time_relay,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamstream.core.catalogue import ServiceEntry
    from balsamstream.core.identity import FlowKey
    from balsamstream.core.message import Message
    from balsamstream.edge.protocol import Classification

SERVICE_ADDRESS: Final = Address("127.0.0.1", 5683)
TOKEN: Final = b"token"
GET: Final = 1


class Balancer:
    """Balancer of the daemon for callers' datagrams, without platform and status.

    Parameters
    ----------
    rig : Rig
        Provides the decisions.
    """

    def __init__(self, rig: Rig) -> None:
        self.decisions = rig.balancer
        self.done = asyncio.Event()
        self._left = 0
        metrics = Metrics(Kernel(), None, "bench")
        ref = ProcessRef("balancer-1", 1)
        key = Key(1, bytes(32))
        self.transport = Transport(ref, find_free_address(), [key], metrics)
        self.transport.set_handler(_ignore_message, _ignore_batch)
        settings = EdgeSettings(find_free_address())
        self.edge = Edge(settings, rig.balancer.catalogue, metrics)
        self.edge.set_handler(self, _ignore_batch)

    async def start(self) -> None:
        """Bind the sockets."""
        await self.transport.start()
        await self.edge.start()

    async def close(self) -> None:
        """Close the sockets."""
        await self.edge.close()
        await self.transport.close()

    def expect(self, datagrams: int) -> None:
        """Set ``done`` after a number of datagrams."""
        self._left = datagrams
        self.done.clear()

    def handle_datagram(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        classified: Classification,
        payload: bytes,
    ) -> None:
        """Route a datagram as the daemon's balancer does."""
        kind, request = classified.kind, classified.request
        actions = self.decisions.route(
            entry, flow, caller, kind, request, payload, 200.0
        )
        for action in actions:
            match action:
                case Send(to, message):
                    self.transport.send(to, message)
        self._left -= 1
        if self._left == 0:
            # Runs after the transport's flush, which was scheduled before.
            asyncio.get_running_loop().call_soon(self.done.set)


def find_free_address() -> Address:
    """Return a free loopback address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


def _ignore_message(sender: Address, message: Message) -> None:
    return


def _ignore_batch() -> None:
    return


def draw_batches(rig: Rig) -> list[list[bytes]]:
    """Build datagrams as the fabric sends them: PROXY header and CoAP request."""
    batches: list[list[bytes]] = []
    number = 0
    for _ in range(BATCHES):
        batch: list[bytes] = []
        for position in rig.draw_positions(BATCH):
            number += 1
            request = build_message(MessageType.CON, GET, number & 0xFFFF, TOKEN)
            header = encode_header(rig.callers[position], SERVICE_ADDRESS)
            fill = bytes(PAYLOAD_BYTES - len(request) - 1)
            batch.append(header + request + b"\xff" + fill)
        batches.append(batch)
    return batches


async def time_balancer(
    loopback: Loopback, rig: Rig, batches: list[list[bytes]]
) -> float:
    """Return microseconds for each datagram through the whole path."""
    balancer = Balancer(rig)
    await balancer.start()
    spent = 0.0
    for batch in batches:
        for datagram in batch:
            loopback.caller.sendto(datagram, balancer.edge.listen)
        balancer.expect(len(batch))
        started_at = time.perf_counter()
        await balancer.done.wait()
        spent += time.perf_counter() - started_at
        loopback.drain_hosts()
    await balancer.close()
    return spent / sum(len(batch) for batch in batches) * 1e6


def measure_whole(flows: int, seed: int) -> dict[str, Any]:
    """Time a bare relay and the whole path in turns, on the same datagrams."""
    loopback = Loopback()
    rig = Rig(flows, seed, loopback.ports)
    bare_relay = build_bare_relay(loopback)
    times: list[tuple[float, float]] = []
    for _ in range(ROUNDS):
        batches = draw_batches(rig)
        first = asyncio.run(time_relay(loopback, bare_relay, batches))
        second = asyncio.run(time_balancer(loopback, rig, batches))
        times.append((first, second))
    loopback.close()
    return describe_turns(flows, times, "whole_us")


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure requests at few and at many flows."""
    for flows in (FLOW_COUNTS[0], FLOW_COUNTS[-1]):
        part = "requests through edge, decisions, codec, seal and sockets"
        yield {"case": "whole", "part": part, **measure_whole(flows, seed)}


__all__ = ["measure", "measure_whole"]
