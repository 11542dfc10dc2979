"""Discovery of nodes through the store, where each node has one entry."""

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
    """Writes this node's entry to the store and reads those of the other nodes.

    A node writes its own entry before it reads the others, so that of two nodes that
    start at the same time at least one discovers the other.

    Parameters
    ----------
    store : StoreClient
        Client that only this object uses.
    node : NodeEntry
        Entry of this node.
    events : NodeEvents
        Receives events and errors.
    """

    def __init__(self, store: StoreClient, node: NodeEntry, events: NodeEvents) -> None:
        self._store = store
        self._node = node
        self._events = events
        self._entry_name = node.ip.replace(".", "-")
        self._own_entry: StoredObject | None = None

    async def join(self) -> list[NodeEntry]:
        """Write this node's entry, then return the others; retry until both succeed."""
        await self._write_entry()
        return await self._read_entries()

    async def leave(self) -> None:
        """Delete this node's entry, because its VM is being removed."""
        if self._own_entry is None:
            return
        result = await self._store.delete(ObjectKind.NODES, self._own_entry)
        self._events.emit("entry_deleted", result=type(result).__name__)

    def close(self) -> None:
        """Abort the connections to the store."""
        self._store.close()

    async def _write_entry(self) -> None:
        failures = 0
        content = write_node(self._node)
        while True:
            result = await self._store.create(
                ObjectKind.NODES, self._entry_name, content
            )
            if not isinstance(result, Unavailable):
                self._events.emit(
                    "entry_written", result=type(result).__name__, failures=failures
                )
                return
            failures += 1
            if failures == 1:
                self._events.emit("store_lost", kind="nodes", reason=result.reason)
            await wait_before_retry(failures)

    async def _read_entries(self) -> list[NodeEntry]:
        failures = 0
        while True:
            result = await self._store.list(ObjectKind.NODES)
            if isinstance(result, Listing):
                return self._decode_entries(result)
            failures += 1
            await wait_before_retry(failures)

    def _decode_entries(self, listing: Listing) -> list[NodeEntry]:
        nodes = []
        for stored in listing.objects:
            if stored.name == self._entry_name:
                self._own_entry = stored
                continue
            try:
                nodes.append(read_node(stored.content))
            except MalformedDocument as error:
                self._events.emit("entry_ignored", name=stored.name, reason=str(error))
        self._events.emit("nodes_read", nodes=len(nodes), revision=listing.revision)
        return nodes


__all__ = ["Discovery"]
