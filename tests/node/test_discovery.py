"""Entries of nodes in the store, across restarts and restores of the store."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from aiohttp import web

from balsamstream.node import discovery as discovery_module
from balsamstream.node.discovery import Discovery
from balsamstream.node.events import NodeEvents
from balsamstream.node.logs import Logs
from balsamstream.node.metrics import Metrics
from balsamstream.platform.documents import NodeEntry
from balsamstream.platform.store import StoreClient
from standins.object_store import ObjectStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

ENTRY = NodeEntry("10.1.0.11", "gate", "medina", "comptoir")
NAME = "10-1-0-11"
FRONT_ENTRY = NodeEntry("10.1.0.1", "front", "medina")


@contextlib.asynccontextmanager
async def run_store() -> AsyncIterator[tuple[ObjectStore, int]]:
    """Serve a store on loopback; yield it and its port."""
    store = ObjectStore()
    runner = web.AppRunner(store.build(), shutdown_timeout=0.05)
    await runner.setup()
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        await web.SockSite(runner, listening).start()
        try:
            yield store, listening.getsockname()[1]
        finally:
            # Ends the watches that wait.
            await store.forget_history()
            await runner.cleanup()


def build_discovery(port: int, entry: NodeEntry = ENTRY) -> Discovery:
    events = NodeEvents(Logs("n", lambda data: len(data)), Metrics(), logs_flows=False)
    return Discovery(StoreClient("127.0.0.1", port), entry, events)


def test_entry_of_another_service_at_the_address_is_replaced() -> None:
    async def run() -> object:
        async with run_store() as (store, port):
            old = build_discovery(
                port, NodeEntry("10.1.0.11", "gate", "medina", "etiquettes")
            )
            await old.join()
            old.close()
            new = build_discovery(port)
            await new.join()
            await new.correct_entry()
            new.close()
            return store.get_spec("nodes", NAME)

    spec = asyncio.run(run())
    assert isinstance(spec, dict)
    assert spec["service"] == "comptoir"


def test_entry_that_a_restore_has_lost_is_written_again_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "MAX_REJOIN_DELAY_S", 0.05)

    async def run() -> tuple[list[str], int]:
        async with run_store() as (store, port):
            copy = store.copy()
            discovery = build_discovery(port)
            await discovery.join()
            await store.restore(copy)
            before = store.calls
            for _ in range(3):
                await discovery.rejoin(store.era)
            calls = store.calls - before
            discovery.close()
            return store.list_names("nodes"), calls

    names, calls = asyncio.run(run())
    assert names == [NAME]
    assert calls == 1


def test_entry_is_deleted_by_the_revision_that_it_has_after_a_restore() -> None:
    async def run() -> list[str]:
        async with run_store() as (store, port):
            discovery = build_discovery(port)
            await discovery.join()
            copy = store.copy()
            await store.put("other", "x", {})
            await store.restore(copy)
            await store.put("nodes", NAME, store.get_spec("nodes", NAME))
            await discovery.leave()
            discovery.close()
            return store.list_names("nodes")

    assert asyncio.run(run()) == []


def test_entry_of_a_later_node_at_the_address_is_kept() -> None:
    async def run() -> list[str]:
        async with run_store() as (store, port):
            discovery = build_discovery(port)
            await discovery.join()
            other = NodeEntry("10.1.0.11", "gate", "medina", "etiquettes")
            later = build_discovery(port, other)
            await later.join()
            await later.correct_entry()
            await discovery.leave()
            discovery.close()
            later.close()
            return store.list_names("nodes")

    assert asyncio.run(run()) == [NAME]


def test_entry_of_an_earlier_node_is_replaced_once_the_store_is_back() -> None:
    async def run() -> object:
        async with run_store() as (store, port):
            entry = NodeEntry("10.1.0.11", "gate", "medina", "etiquettes")
            before = build_discovery(port, entry)
            await before.join()
            before.close()
            after = build_discovery(port)
            await after.join()
            store.lost_share = 1.0
            correcting = asyncio.create_task(after.correct_entry())
            await asyncio.sleep(0.1)
            store.lost_share = 0.0
            await correcting
            after.close()
            return store.get_spec("nodes", NAME)

    spec = asyncio.run(run())
    assert isinstance(spec, dict)
    assert spec["service"] == "comptoir"


def test_of_two_nodes_that_start_together_one_discovers_the_other() -> None:
    """A front and a gate do not miss each other though the store's lists are old."""

    async def run() -> tuple[list[NodeEntry], list[NodeEntry]]:
        async with run_store() as (store, port):
            store.outdated = store.copy()
            front = build_discovery(port, FRONT_ENTRY)
            gate = build_discovery(port)
            found = (await front.join(), await gate.join())
            front.close()
            gate.close()
            return found

    by_front, by_gate = asyncio.run(run())
    assert ENTRY in by_front or FRONT_ENTRY in by_gate
