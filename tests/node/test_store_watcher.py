"""Watches of the store across its restores from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from balsamstream.node.events import NodeEvents
from balsamstream.node.logs import Logs
from balsamstream.node.metrics import Metrics
from balsamstream.node.store_watcher import StoreWatcher
from balsamstream.platform.store import StoreClient
from balsamstream.platform.stored_objects import (
    ObjectKind,
    StorePosition,
)

from .test_discovery import run_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamstream.platform.stored_objects import (
        StoredObject,
    )
    from standins.object_store import ObjectStore, StoreCopy

WITHIN_S = 4.0
KIND = "evacuations"


class Recorder:
    """Records what a watcher delivers."""

    def __init__(self) -> None:
        self.position = StorePosition()
        self.names: set[str] = set()
        self.positions: list[StorePosition] = []

    def handle_change(
        self, position: StorePosition, objects: dict[str, StoredObject]
    ) -> None:
        """Record the objects at a position."""
        self.position = position
        self.positions.append(position)
        self.names = set(objects)

    async def wait_for(self, era: int, names: set[str]) -> None:
        """Wait until the watcher has delivered some objects in an era."""
        async with asyncio.timeout(WITHIN_S):
            while (self.position.era, self.names) != (era, names):
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_watcher() -> AsyncIterator[tuple[ObjectStore, StoreWatcher, Recorder]]:
    """Run a watcher of a store on loopback."""
    async with run_store() as (store, port):
        recorder = Recorder()
        events = NodeEvents(
            Logs("n", lambda data: len(data)), Metrics(), logs_flows=False
        )
        watcher = StoreWatcher(
            StoreClient("127.0.0.1", port),
            ObjectKind.EVACUATIONS,
            recorder.handle_change,
            events,
        )
        task = asyncio.create_task(watcher.run())
        try:
            yield store, watcher, recorder
        finally:
            # In this order: a connection that ends at the same moment would turn the
            # cancellation into an error of the call, and the watcher would go on.
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            watcher.close()


async def evacuate_after_copy(store: ObjectStore, recorder: Recorder) -> StoreCopy:
    """Copy the store, write an evacuation and wait until the watcher has it."""
    saved = store.copy()
    await store.put(KIND, "thyna", {})
    await recorder.wait_for(1, {"thyna"})
    return saved


def test_older_state_is_adopted_after_a_restore() -> None:
    async def run() -> None:
        async with run_watcher() as (store, _, recorder):
            saved = await evacuate_after_copy(store, recorder)
            await store.restore(saved)
            await recorder.wait_for(2, set())

    asyncio.run(run())


def test_revision_given_out_again_hides_no_change() -> None:
    # The watch waits from a revision that the restored store gives to another change.
    async def run() -> None:
        async with run_watcher() as (store, _, recorder):
            saved = await evacuate_after_copy(store, recorder)
            await store.restore(saved)
            await store.put(KIND, "medina", {})
            await recorder.wait_for(2, {"medina"})
            await store.put(KIND, "sakiet", {})
            await recorder.wait_for(2, {"medina", "sakiet"})

    asyncio.run(run())


def test_several_restores_while_the_store_is_away() -> None:
    async def run() -> None:
        async with run_watcher() as (store, _, recorder):
            saved = await evacuate_after_copy(store, recorder)
            store.mode = "reset"
            await store.restore(saved)
            await store.restore(saved)
            await store.put(KIND, "medina", {})
            store.mode = "up"
            await recorder.wait_for(3, {"medina"})

    asyncio.run(run())


def test_node_that_the_store_refuses_is_put_right_once_it_is_served() -> None:
    async def run() -> None:
        async with run_watcher() as (store, _, recorder):
            saved = await evacuate_after_copy(store, recorder)
            store.refused = {"127.0.0.1"}
            await store.restore(saved)
            await asyncio.sleep(0.3)
            store.refused = set()
            await recorder.wait_for(2, set())

    asyncio.run(run())


def test_later_era_heard_from_another_node_ends_the_wait() -> None:
    async def run() -> None:
        async with run_watcher() as (store, watcher, recorder):
            await store.put(KIND, "thyna", {})
            await recorder.wait_for(1, {"thyna"})
            saved = store.copy()
            # The store forgets to end the watch, which waits for half a minute.
            store.era += 1
            calls = store.calls
            watcher.handle_newer_era(store.era)
            await recorder.wait_for(2, {"thyna"})
            assert store.calls - calls <= 3
            assert store.copy().revision == saved.revision

    asyncio.run(run())


def test_positions_never_go_back() -> None:
    async def run() -> list[StorePosition]:
        async with run_watcher() as (store, _, recorder):
            for number in range(3):
                saved = store.copy()
                await store.put(KIND, f"dc-{number}", {})
                await asyncio.sleep(0.05)
                await store.restore(saved)
                await asyncio.sleep(0.7)
            return recorder.positions

    positions = asyncio.run(run())
    assert positions == sorted(positions)
