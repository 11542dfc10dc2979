"""Open flows of a front in the store, across its restarts."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from balsamstream.flows.held_flows import SavedFlow
from balsamstream.node import flow_saver as flow_saver_module
from balsamstream.node.events import NodeEvents
from balsamstream.node.flow_saver import FlowSaver
from balsamstream.node.logs import Logs
from balsamstream.node.metrics import Metrics
from balsamstream.platform.store import StoreClient

from .test_discovery import run_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

KIND = "flows"
NAME = "10-1-0-1"
FLOWS = [
    SavedFlow(bytes(range(12)), "10.1.0.11", 1_776_730_730_583, 0xFFFF_FFFF),
    SavedFlow(bytes(range(1, 13)), "10.1.0.12", 7, 0),
]


@contextlib.asynccontextmanager
async def run_saver(
    port: int, flows: list[SavedFlow], restored: list[SavedFlow]
) -> AsyncIterator[FlowSaver]:
    """Run a saver of a front with some flows for some time."""
    logs = Logs("n", lambda data: len(data))
    events = NodeEvents(logs, Metrics(), logs_flows=False)
    store = StoreClient("127.0.0.1", port)
    saver = FlowSaver(store, NAME, restored.extend, lambda: flows, lambda: 1, events)
    task = asyncio.create_task(saver.run())
    await asyncio.sleep(0.2)
    yield saver
    task.cancel()
    saver.close()


def test_flows_come_back_after_a_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(flow_saver_module, "MIN_INTERVAL_S", 0.05)
    monkeypatch.setattr(flow_saver_module, "SAVES_PER_S", 100.0)

    async def run() -> list[SavedFlow]:
        restored: list[SavedFlow] = []
        async with run_store() as (store, port):
            async with run_saver(port, FLOWS, []) as saver:
                # A restore of the store from a copy without the object.
                await store.remove(KIND, NAME)
                saver.handle_newer_era()
                await asyncio.sleep(0.2)
            async with run_saver(port, [], restored):
                pass
        return restored

    assert asyncio.run(run()) == FLOWS


def test_malformed_flows_are_ignored() -> None:
    async def run() -> list[SavedFlow]:
        restored: list[SavedFlow] = []
        async with run_store() as (store, port):
            broken = [{"host": "10.1.0.11", "incarnation": 1, "flows": "AAAA"}]
            await store.put(KIND, NAME, broken)
            async with run_saver(port, [], restored):
                return restored

    assert asyncio.run(run()) == []
