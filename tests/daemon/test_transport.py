"""Tests of messages between processes over real sockets."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.message import Changes, ConfigObject, Message, Ping
from balsamstream.daemon.settings import Key
from balsamstream.daemon.transport import Transport, halve_changes
from tests.daemon.sockets import (
    build_metrics,
    find_free_address,
    ignore_batch,
    open_peer,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamstream.daemon.metrics import Metrics

OLD_KEY = Key(1, b"a" * 32)
NEW_KEY = Key(2, b"b" * 32)


@dataclass
class Process:
    """A transport, its metrics and the messages that it received."""

    transport: Transport
    metrics: Metrics
    received: list[tuple[Address, Message]] = field(default_factory=list)


@asynccontextmanager
async def run_process(name: str, fail: bool = False) -> AsyncIterator[Process]:
    metrics = build_metrics()
    ref = ProcessRef(name, 1)
    transport = Transport(ref, find_free_address(), [OLD_KEY], metrics)
    process = Process(transport, metrics)

    def handle(sender: Address, message: Message) -> None:
        process.received.append((sender, message))
        if fail:
            raise RuntimeError("broken handler")

    transport.set_handler(handle, ignore_batch)
    await transport.start()
    try:
        yield process
    finally:
        await transport.close()


def build_large_changes(count: int) -> Changes:
    rng = random.Random(1)
    objects = tuple(
        ConfigObject("View", f"view-{n}", n, {"text": rng.randbytes(400).hex()})
        for n in range(count)
    )
    return Changes(0, count, False, False, objects)


def test_messages_arrive_with_their_sender() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two") as two:
            one.transport.send(two.transport.address, Ping(5))
            await wait_until(lambda: bool(two.received))
            assert two.received == [(one.transport.address, Ping(5))]

    asyncio.run(run())


def test_large_message_is_reassembled() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two") as two:
            changes = build_large_changes(60)
            one.transport.send(two.transport.address, changes)
            await wait_until(lambda: bool(two.received))
            assert two.received[0][1] == changes

    asyncio.run(run())


def test_too_large_changes_are_sent_in_part() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two") as two:
            whole = build_large_changes(400)
            one.transport.send(two.transport.address, whole)
            await wait_until(lambda: bool(two.received))
            (_, part), *_ = two.received
            assert isinstance(part, Changes)
            assert part.objects == whole.objects[: len(part.objects)]
            assert part.objects[-1].version == part.up_to
            assert part.more
            assert one.metrics.counters == {}

    asyncio.run(run())


def test_only_partial_changes_are_halved() -> None:
    found = ConfigObject("View", "view", 1, {})
    assert halve_changes(Ping(1)) is None
    assert halve_changes(Changes(0, 1, False, False, (found,))) is None
    assert halve_changes(Changes(0, 1, True, False, (found, found))) is None
    assert halve_changes(Changes(0, 1, False, False, (found, found))) is None
    later = ConfigObject("View", "view", 2, {})
    halved = halve_changes(Changes(0, 2, False, False, (found, later), "service"))
    assert halved == Changes(0, 1, False, True, (found,), "service")


def test_keys_are_replaced_without_losing_messages() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two") as two:
            address = two.transport.address
            two.transport.replace_keys([OLD_KEY, NEW_KEY])
            one.transport.send(address, Ping(1))
            one.transport.replace_keys([NEW_KEY])
            one.transport.send(address, Ping(2))
            await wait_until(lambda: len(two.received) == 2)

    asyncio.run(run())


def test_transport_survives_random_datagrams_and_a_failing_handler() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two", fail=True) as two:
            rng = random.Random(2)
            address = two.transport.address
            with open_peer() as peer:
                for size in (0, 1, 36, 37, 38, 200, 1500, 9000, 65_507):
                    peer.sendto(rng.randbytes(size), address)
                    one.transport.send(address, Ping(size))
                    await wait_until(lambda: bool(two.received))
                    two.received.clear()
            counters = two.metrics.counters
            assert counters["lost.seal_short"] == 3
            refused = counters.get("lost.seal_unknown-key", 0)
            refused += counters.get("lost.seal_forged", 0)
            assert refused == 6
            assert counters["lost.transport_handler"] == 9

    asyncio.run(run())


def test_messages_that_cannot_be_sent_are_counted() -> None:
    async def run() -> None:
        async with run_process("one") as one:
            one.transport.send(Address("no address", 1), Ping(1))
            one.transport.send(Address("127.0.0.1", 0), Ping(1))
            assert one.metrics.counters == {
                "lost.encode": 1,
                "lost.transport_send": 1,
            }

    asyncio.run(run())


def test_queued_datagrams_are_discarded() -> None:
    async def run() -> None:
        async with run_process("one") as one, run_process("two") as two:
            for number in range(10):
                one.transport.send(two.transport.address, Ping(number))
            assert two.transport.discard_queued() == 10
            one.transport.send(two.transport.address, Ping(99))
            await wait_until(lambda: bool(two.received))
            assert [message for _, message in two.received] == [Ping(99)]

    asyncio.run(run())
