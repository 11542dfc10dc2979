"""Tests of the balancer's socket towards callers."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from balsamstream.core.action import RefuseCaller, ReturnToCaller
from balsamstream.core.catalogue import Catalogue, ServiceEntry, compute_service_number
from balsamstream.core.identity import Address, FlowKey
from balsamstream.core.message import Changes, ConfigObject, RequestKind
from balsamstream.core.routing import compute_flow_key
from balsamstream.core.verdict import NotRun
from balsamstream.daemon.edge import Edge
from balsamstream.daemon.settings import EdgeSettings
from balsamstream.edge.coap_message import MessageType, build_message, parse_head
from balsamstream.edge.proxy_header import encode_header, split_datagram
from tests.daemon.sockets import (
    build_metrics,
    find_free_address,
    ignore_batch,
    open_peer,
    receive,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamstream.edge.protocol import Classification

SERVICE = "comptoir"
ADDRESS = Address("198.51.100.1", 5683)
CALLER = Address("192.0.2.1", 40_000)
OTHER_CALLER = Address("192.0.2.2", 40_000)
DATAGRAM = build_message(MessageType.CON, 2, 9, b"token")
NUMBER = compute_service_number(SERVICE)


class DatagramRecorder:
    """Records callers' datagrams."""

    def __init__(self) -> None:
        self.received: list[tuple[str, FlowKey, Address, RequestKind, bytes]] = []

    def handle_datagram(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        classified: Classification,
        payload: bytes,
    ) -> None:
        """Record a datagram."""
        self.received.append((entry.spec.name, flow, caller, classified.kind, payload))


def build_catalogue(address: Address) -> Catalogue:
    catalogue = Catalogue()
    spec = {"address": str(address), "profile": "counter", "protocol": "coap"}
    objects = (
        ConfigObject("Profile", "counter", 1, {}),
        ConfigObject("Service", SERVICE, 2, spec),
    )
    catalogue.apply_changes(Changes(0, 2, True, False, objects))
    return catalogue


@asynccontextmanager
async def run_edge(
    is_relayed: bool = True,
) -> AsyncIterator[tuple[Edge, DatagramRecorder]]:
    recorder = DatagramRecorder()
    listen = find_free_address()
    service = ADDRESS if is_relayed else listen
    settings = EdgeSettings(listen, is_relayed)
    edge = Edge(settings, build_catalogue(service), build_metrics())
    edge.set_handler(recorder, ignore_batch)
    await edge.start()
    try:
        yield edge, recorder
    finally:
        await edge.close()


def relay(payload: bytes, caller: Address = CALLER, to: Address = ADDRESS) -> bytes:
    return encode_header(caller, to) + payload


def test_relayed_request_is_handled_and_its_answer_sent_back() -> None:
    async def run() -> None:
        async with run_edge() as (edge, recorder):
            with open_peer() as fabric:
                fabric.sendto(relay(DATAGRAM), edge.listen)
                await wait_until(lambda: bool(recorder.received))
                flow = compute_flow_key(SERVICE, CALLER)
                kind = RequestKind.NON_REPEATABLE
                assert recorder.received == [(SERVICE, flow, CALLER, kind, DATAGRAM)]
                edge.send_answer(ReturnToCaller(NUMBER, CALLER, b"answer"))
                datagram, _ = await receive(fabric)
                assert datagram == encode_header(ADDRESS, CALLER) + b"answer"

    asyncio.run(run())


def test_answer_goes_through_the_fabric_that_relays_for_the_caller() -> None:
    async def run() -> None:
        async with run_edge() as (edge, recorder):
            with open_peer() as first, open_peer() as second:
                first.sendto(relay(DATAGRAM), edge.listen)
                await wait_until(lambda: len(recorder.received) == 1)
                second.sendto(relay(DATAGRAM, OTHER_CALLER), edge.listen)
                await wait_until(lambda: len(recorder.received) == 2)
                edge.send_answer(ReturnToCaller(NUMBER, CALLER, b"one"))
                edge.send_answer(ReturnToCaller(NUMBER, OTHER_CALLER, b"two"))
                assert (await receive(first))[0].endswith(b"one")
                assert (await receive(second))[0].endswith(b"two")

    asyncio.run(run())


def test_direct_request_needs_no_header() -> None:
    async def run() -> None:
        async with run_edge(is_relayed=False) as (edge, recorder):
            with open_peer() as caller:
                caller.sendto(DATAGRAM, edge.listen)
                await wait_until(lambda: bool(recorder.received))
                address = Address(*caller.getsockname())
                assert recorder.received[0][2] == address
                edge.send_answer(ReturnToCaller(NUMBER, address, b"answer"))
                assert (await receive(caller))[0] == b"answer"

    asyncio.run(run())


def test_refusal_is_built_and_sent() -> None:
    async def run() -> None:
        async with run_edge() as (edge, recorder):
            with open_peer() as fabric:
                fabric.sendto(relay(DATAGRAM), edge.listen)
                await wait_until(lambda: bool(recorder.received))
                verdict = NotRun(2.0, "full")
                edge.send_refusal(RefuseCaller(NUMBER, CALLER, verdict, DATAGRAM))
                datagram, _ = await receive(fabric)
                head = parse_head(split_datagram(datagram).payload)
                assert head is not None
                assert (head.code, head.token) == (0xA3, b"token")

    asyncio.run(run())


def test_answers_and_refusals_that_cannot_be_sent_are_counted() -> None:
    async def run() -> None:
        async with run_edge() as (edge, _):
            edge.send_answer(ReturnToCaller(1, CALLER, b""))
            edge.send_answer(ReturnToCaller(NUMBER, CALLER, b""))
            edge.send_refusal(RefuseCaller(1, CALLER, NotRun(1.0, ""), DATAGRAM))
            edge.send_refusal(RefuseCaller(NUMBER, CALLER, NotRun(1.0, ""), b"junk"))
            assert edge.metrics.counters == {
                "lost.answer_without_service": 1,
                "lost.no_fabric": 1,
                "lost.refusal_without_form": 1,
                "lost.refusal_without_service": 1,
            }

    asyncio.run(run())


def test_malformed_datagrams_are_counted_and_dropped() -> None:
    async def run() -> None:
        async with run_edge() as (edge, recorder):
            rng = random.Random(3)
            with open_peer() as peer:
                for size in (0, 1, 27, 28, 29, 1500, 65_507):
                    peer.sendto(rng.randbytes(size), edge.listen)
                peer.sendto(relay(b""), edge.listen)
                peer.sendto(relay(b"\xff" * 2000), edge.listen)
                peer.sendto(relay(DATAGRAM, to=CALLER), edge.listen)
                peer.sendto(relay(DATAGRAM), edge.listen)
                await wait_until(lambda: bool(recorder.received))
            assert len(recorder.received) == 1
            assert edge.metrics.counters == {
                "lost.malformed": 2,
                "lost.proxy_header": 7,
                "lost.unknown_service": 1,
            }

    asyncio.run(run())
