"""Watcher that keeps a copy of the store's objects of one kind up to date."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from balsamstream.platform.stored_objects import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
    Unavailable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.platform.store import StoreClient

    from .events import NodeEvents

BASE_DELAY_S: Final = 0.2
MAX_DELAY_S: Final = 1.0


class StoreWatcher:
    """Lists the objects of one kind, then watches them for changes.

    Parameters
    ----------
    store : StoreClient
        Client that only this watcher uses.
    kind : ObjectKind
        Kind of the objects.
    on_change : callable
        Called with the position and all objects by name after each list or watch.
    events : NodeEvents
        Receives loss and return of the store, and errors raised by `on_change`.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: ObjectKind,
        on_change: Callable[[StorePosition, dict[str, StoredObject]], None],
        events: NodeEvents,
    ) -> None:
        self._store = store
        self._kind = kind
        self._on_change = on_change
        self._events = events
        self._objects: dict[str, StoredObject] = {}
        self._position = StorePosition()
        self._failures = 0

    async def run(self) -> None:
        """List and watch until cancelled."""
        is_listed = False
        while True:
            if not is_listed:
                is_listed = await self._list()
                continue
            is_listed = await self._watch()

    def close(self) -> None:
        """Abort the connections to the store."""
        self._store.close()

    def handle_newer_era(self, era: int) -> None:
        """List again if another node has read from a later era of the store.

        A watch that waits from a revision of the former era would not return what was
        written since.
        """
        if 0 < self._position.era < era:
            self._store.close()

    async def _list(self) -> bool:
        # A node that knows nothing yet cannot serve its callers.
        is_first = self._position == StorePosition()
        match await self._store.list(self._kind, is_urgent=is_first):
            case Listing(position, objects):
                self._handle_success()
                if position < self._position:
                    # A response older than the state that is already known.
                    self._events.count("store.outdated")
                    await wait_before_retry(1)
                    return False
                self._record_era(position, len(objects))
                self._objects = {each.name: each for each in objects}
                self._deliver(position)
                return True
            case Unavailable(reason):
                await self._handle_failure(reason)
        return False

    async def _watch(self) -> bool:
        match await self._store.watch(self._kind, self._position.revision):
            case Changes(position, objects):
                self._handle_success()
                if position.era != self._position.era:
                    # The watch began at a revision that means another state now.
                    self._events.count("store.other_era")
                    return False
                for each in objects:
                    self._apply(each)
                if position >= self._position:
                    self._deliver(position)
            case HistoryGone():
                self._handle_success()
                self._events.emit("history_gone", kind=self._kind.value)
                return False
            case Unavailable(reason):
                await self._handle_failure(reason)
                # The store may have been restored while it was away.
                return False
        return True

    def _record_era(self, position: StorePosition, objects: int) -> None:
        if self._position.era in (0, position.era):
            return
        self._events.emit(
            "store_restored",
            kind=self._kind.value,
            era=position.era,
            era_before=self._position.era,
            revision=position.revision,
            revision_before=self._position.revision,
            objects=objects,
            objects_before=len(self._objects),
        )

    def _apply(self, changed: StoredObject) -> None:
        known = self._objects.get(changed.name)
        if known is not None and known.revision > changed.revision:
            return
        if changed.is_deleted:
            self._objects.pop(changed.name, None)
            return
        self._objects[changed.name] = changed

    def _deliver(self, position: StorePosition) -> None:
        self._position = position
        try:
            self._on_change(position, self._objects)
        except Exception as error:
            self._events.emit_error(f"objects of {self._kind.value}", error)

    def _handle_success(self) -> None:
        if self._failures:
            self._events.emit(
                "store_regained", kind=self._kind.value, failures=self._failures
            )
        self._failures = 0

    async def _handle_failure(self, reason: str) -> None:
        self._failures += 1
        if self._failures == 1:
            self._events.emit("store_lost", kind=self._kind.value, reason=reason)
        await wait_before_retry(self._failures)


async def wait_before_retry(failures: int) -> None:
    """Sleep before the next attempt: exponential backoff with jitter."""
    max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** min(failures, 8))
    await asyncio.sleep(max_delay_s * random.uniform(0.5, 1.0))


__all__ = ["StoreWatcher", "wait_before_retry"]
