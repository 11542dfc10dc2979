"""How a node is found by others, and finds them: one object of each in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.platform.documents import (
    MalformedDocument,
    NodeEntry,
    read_node,
    write_node,
)
from balsamstream.platform.store import (
    Listing,
    ObjectKind,
    StoreClient,
    StoredObject,
    Unavailable,
)

from .store_watcher import wait_before_retry

if TYPE_CHECKING:
    from .events import NodeEvents


class Discovery:
    """The entry of this node in the store, and those of the others.

    A node writes its entry before it reads the others', so of two that start together
    one finds the other.

    Parameters
    ----------
    store : Store
        A connection of this part's own.
    node : NodeEntry
        This node.
    events : NodeEvents
        Where failures are noted.
    """

    def __init__(self, store: StoreClient, node: NodeEntry, events: NodeEvents) -> None:
        self._store = store
        self._node = node
        self._events = events
        self._name = node.ip.replace(".", "-")
        self._entry: StoredObject | None = None

    async def join(self) -> list[NodeEntry]:
        """Write the entry of this node, then read all; try until it is done."""
        await self._write()
        return await self._read()

    async def leave(self) -> None:
        """Delete the entry, as this node's machine is taken away."""
        if self._entry is None:
            return
        result = await self._store.delete(ObjectKind.NODES, self._entry)
        self._events.emit("entry_deleted", result=type(result).__name__)

    def close(self) -> None:
        """Drop the connection."""
        self._store.close()

    async def _write(self) -> None:
        failures = 0
        content = write_node(self._node)
        while True:
            result = await self._store.create(ObjectKind.NODES, self._name, content)
            if not isinstance(result, Unavailable):
                self._events.emit(
                    "entry_written", result=type(result).__name__, failures=failures
                )
                return
            failures += 1
            if failures == 1:
                self._events.emit("store_lost", kind="nodes", reason=result.reason)
            await wait_before_retry(failures)

    async def _read(self) -> list[NodeEntry]:
        failures = 0
        while True:
            result = await self._store.list(ObjectKind.NODES)
            if isinstance(result, Listing):
                return self._convert(result)
            failures += 1
            await wait_before_retry(failures)

    def _convert(self, listing: Listing) -> list[NodeEntry]:
        nodes = []
        for stored in listing.objects:
            if stored.name == self._name:
                self._entry = stored
                continue
            try:
                nodes.append(read_node(stored.content))
            except MalformedDocument as error:
                self._events.emit("entry_ignored", name=stored.name, reason=str(error))
        self._events.emit("nodes_read", nodes=len(nodes), revision=listing.revision)
        return nodes


__all__ = ["Discovery"]
