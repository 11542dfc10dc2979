"""Tests of the fabric between callers and balancers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from standins.addresses import LOOPBACK
from standins.fabric import Cut, Fabric
from standins.proxy_header import HeaderError, decode_header, encode_header

from .backend import RecordedBackend, open_caller, send_get
from .relay import Relay

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

REQUESTS = 30


def run_with_relays(
    directory: Path, test: Callable[[Fabric, list[Relay]], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with RecordedBackend(directory).running() as backend:
            relays = [Relay(backend.address) for _ in range(2)]
            balancers = [relay.address for relay in relays]
            fabric = Fabric([(LOOPBACK, 0)], balancers, seed=1)
            await fabric.start()
            for relay in relays:
                relay.start()
            try:
                await test(fabric, relays)
            finally:
                fabric.close()
                for relay in relays:
                    relay.close()

    asyncio.run(run())


async def make_requests(fabric: Fabric) -> None:
    async with open_caller(fabric.service_addresses[0]) as caller:
        for _ in range(REQUESTS):
            answer = await send_get(caller, "chart")
            assert answer.code.is_successful()


def test_datagrams_of_one_flow_reach_all_balancers(tmp_path: Path) -> None:
    async def test(fabric: Fabric, relays: list[Relay]) -> None:
        await make_requests(fabric)
        assert all(relay.received > REQUESTS / 4 for relay in relays)

    run_with_relays(tmp_path, test)


def test_removed_balancer_receives_no_datagram(tmp_path: Path) -> None:
    async def test(fabric: Fabric, relays: list[Relay]) -> None:
        fabric.remove_balancer(relays[0].address)
        await make_requests(fabric)
        assert [relay.received for relay in relays] == [0, REQUESTS]

    run_with_relays(tmp_path, test)


def test_cut_drops_one_direction_only(tmp_path: Path) -> None:
    async def test(fabric: Fabric, relays: list[Relay]) -> None:
        fabric.remove_balancer(relays[0].address)
        fabric.cut_balancer(relays[1].address, Cut(back=True))
        async with open_caller(fabric.service_addresses[0]) as caller:
            with pytest.raises(AssertionError):
                await send_get(caller, "chart")
        assert relays[1].received > 0
        assert fabric.counts.to_callers == 0

    run_with_relays(tmp_path, test)


def test_faults_leave_confirmable_requests_answered(tmp_path: Path) -> None:
    async def test(fabric: Fabric, _relays: list[Relay]) -> None:
        fabric.shares.duplicate = 0.2
        fabric.shares.lose = 0.1
        fabric.shares.reorder = 0.2
        await make_requests(fabric)
        assert fabric.counts.duplicated
        assert fabric.counts.lost
        assert fabric.counts.reordered

    run_with_relays(tmp_path, test)


def test_decoded_header_equals_the_encoded_one() -> None:
    source, destination = ("192.0.2.1", 40_000), ("198.51.100.2", 5_683)
    whole = encode_header(source, destination) + b"payload"
    assert decode_header(whole) == (source, destination, b"payload")
    for length in range(28):
        with pytest.raises(HeaderError):
            decode_header(whole[:length])
