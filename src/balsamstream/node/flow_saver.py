"""Saves the open flows of a front in the store, and reads them after a restart."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from balsamstream.platform.documents import (
    MalformedDocument,
    read_saved_flows,
    write_saved_flows,
)
from balsamstream.platform.stored_objects import (
    Conflict,
    NotStored,
    ObjectKind,
    StoredObject,
    Unavailable,
    Written,
)

from .store_watcher import wait_before_retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.flows.held_flows import SavedFlow
    from balsamstream.platform.store import StoreClient

    from .events import NodeEvents

MIN_INTERVAL_S: Final = 5.0
"""Least time between two saves; flows opened since the last one are not known after a
loss of power."""
SAVES_PER_S: Final = 4.0
"""Saves of all fronts together, which keeps the load on the store bounded."""
NO_FLOWS: Final = write_saved_flows([])


class FlowSaver:
    """Reads the flows that an earlier run has saved, then saves those of this run.

    Parameters
    ----------
    store : StoreClient
        Client that only this object uses.
    name : str
        Name of the object; no other node uses it.
    restore : callable
        Called with the flows of the earlier run.
    list_flows : callable
        Returns the flows to save.
    count_savers : callable
        Returns the number of fronts.
    events : NodeEvents
        Receives events and errors.
    """

    def __init__(
        self,
        store: StoreClient,
        name: str,
        restore: Callable[[list[SavedFlow]], None],
        list_flows: Callable[[], list[SavedFlow]],
        count_savers: Callable[[], int],
        events: NodeEvents,
    ) -> None:
        self._store = store
        self._name = name
        self._restore = restore
        self._list_flows = list_flows
        self._count_savers = count_savers
        self._events = events
        self._saved = NO_FLOWS

    async def run(self) -> None:
        """Read once, then save until cancelled."""
        await self._read()
        while True:
            await asyncio.sleep(max(MIN_INTERVAL_S, self._count_savers() / SAVES_PER_S))
            await self._save()

    def close(self) -> None:
        """Abort the connections to the store."""
        self._store.close()

    def handle_newer_era(self) -> None:
        """Save again, as a restore of the store may have lost the last save."""
        self._saved = b""

    async def _read(self) -> None:
        failures = 0
        while True:
            match await self._store.read(ObjectKind.FLOWS, self._name):
                case StoredObject(content=content):
                    self._apply(content)
                    return
                case NotStored():
                    await self._create()
                    return
                case Unavailable():
                    failures += 1
                    await wait_before_retry(failures)

    async def _create(self) -> None:
        await self._store.create(ObjectKind.FLOWS, self._name, NO_FLOWS)

    def _apply(self, content: bytes) -> None:
        try:
            flows = read_saved_flows(content)
        except MalformedDocument as error:
            self._events.emit("saved_flows_rejected", reason=str(error))
            return
        self._events.emit("saved_flows_read", flows=len(flows))
        self._restore(flows)

    async def _save(self) -> None:
        flows = self._list_flows()
        content = write_saved_flows(flows)
        if content == self._saved:
            return
        result = await self._store.overwrite(ObjectKind.FLOWS, self._name, content)
        match result:
            case Written():
                self._saved = content
            case Conflict():
                # The store was restored from a copy without the object.
                await self._create()
            case Unavailable():
                self._events.count("flows.unsaved", len(flows))


__all__ = ["MIN_INTERVAL_S", "SAVES_PER_S", "FlowSaver"]
