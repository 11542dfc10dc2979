"""Discovery of nodes through the store, where each node has one entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from balsamstream.platform.documents import (
    MalformedDocument,
    NodeEntry,
    read_node,
    write_node,
)
from balsamstream.platform.stored_objects import (
    Conflict,
    Listing,
    ObjectKind,
    StoredObject,
    Unavailable,
    Written,
)

from .store_watcher import wait_before_retry

if TYPE_CHECKING:
    from balsamstream.platform.store import StoreClient

    from .events import NodeEvents


MAX_REJOIN_DELAY_S: Final = 2.0
"""Spreads the calls of all nodes after a restore of the store."""
MAX_COPY_AGE_S: Final = 60.0
"""Age of an entry that every copy of the store includes."""


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

    Attributes
    ----------
    entry_name : str
        Name of this node's entry.
    """

    def __init__(self, store: StoreClient, node: NodeEntry, events: NodeEvents) -> None:
        self._store = store
        self._node = node
        self._events = events
        self.entry_name = node.ip.replace(".", "-")
        # A front resets no lost flow before it has read which gates there are.
        self._is_urgent = node.role == "front"
        self._own_entry: StoredObject | None = None
        self._is_written = False
        self._written_at = 0.0
        self._era = 0

    async def join(self) -> list[NodeEntry]:
        """Write this node's entry, then return the others; retry until both succeed."""
        await self._write_entry()
        return await self._read_entries()

    async def rejoin(self, era: int) -> None:
        """Write this node's entry again if a restore of the store may have lost it.

        Waits for a random time first, as all nodes learn of the restore at once.

        Parameters
        ----------
        era : int
            Era of the store after the restore.
        """
        age_s = asyncio.get_running_loop().time() - self._written_at
        if not self._is_written or era <= self._era or age_s > MAX_COPY_AGE_S:
            return
        self._era = era
        await asyncio.sleep(random.uniform(0.0, MAX_REJOIN_DELAY_S))
        await self._write_entry()
        await self._correct_entry()

    async def leave(self) -> None:
        """Delete this node's entry, because its VM is being removed."""
        known = self._own_entry
        if known is None:
            return
        result = await self._store.delete(ObjectKind.NODES, known)
        if isinstance(result, Conflict) and self._is_own(result.current):
            # A restore of the store has changed the revision of the entry.
            assert result.current is not None
            result = await self._store.delete(ObjectKind.NODES, result.current)
        self._events.emit("entry_deleted", result=type(result).__name__)

    def _is_own(self, entry: StoredObject | None) -> bool:
        """Return whether an entry names this node, however it is encoded."""
        if entry is None:
            return False
        try:
            return read_node(entry.content) == self._node
        except MalformedDocument:
            return False

    def close(self) -> None:
        """Abort the connections to the store."""
        self._store.close()

    async def _write_entry(self) -> None:
        failures = 0
        content = write_node(self._node)
        while True:
            result = await self._store.create(
                ObjectKind.NODES,
                self.entry_name,
                content,
                is_urgent=self._is_urgent,
            )
            if not isinstance(result, Unavailable):
                self._is_written = True
                self._own_entry = result.current
                self._written_at = asyncio.get_running_loop().time()
                self._events.emit(
                    "entry_written", result=type(result).__name__, failures=failures
                )
                return
            failures += 1
            if failures == 1:
                self._events.emit("store_lost", kind="nodes", reason=result.reason)
            await wait_before_retry(failures)

    async def correct_entry(self) -> None:
        """Replace an entry that an earlier node has left; retry until it is written."""
        failures = 0
        while not await self._correct_entry():
            failures += 1
            await wait_before_retry(failures)

    async def _correct_entry(self) -> bool:
        """Replace an entry that says something else of this node; False if that failed.

        An earlier node at this address may have left it.
        """
        known = self._own_entry
        if known is None or self._is_own(known):
            return True
        content = write_node(self._node)
        result = await self._store.replace(ObjectKind.NODES, known, content)
        match result:
            case Written() | Conflict():
                self._own_entry = result.current
        self._events.emit("entry_corrected", result=type(result).__name__)
        return isinstance(result, Written)

    async def _read_entries(self) -> list[NodeEntry]:
        """Read all entries as they are after this node's own was written."""
        failures = 0
        while True:
            result = await self._store.list(ObjectKind.NODES, is_urgent=self._is_urgent)
            if isinstance(result, Listing):
                return self._decode_entries(result)
            failures += 1
            if failures == 1:
                self._events.emit("store_lost", kind="node_list", reason=result.reason)
            await wait_before_retry(failures)

    def _decode_entries(self, listing: Listing) -> list[NodeEntry]:
        nodes = []
        self._era = listing.position.era
        for stored in listing.objects:
            if stored.name == self.entry_name:
                # The response to a write need not show the entry.
                self._own_entry = self._own_entry or stored
                continue
            try:
                nodes.append(read_node(stored.content))
            except MalformedDocument as error:
                self._events.emit("entry_ignored", name=stored.name, reason=str(error))
        self._events.emit(
            "nodes_read", nodes=len(nodes), revision=listing.position.revision
        )
        return nodes


__all__ = ["Discovery"]
