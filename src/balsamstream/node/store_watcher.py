"""Keeps what the store holds of one kind known to this process."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from balsamstream.platform.store import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    StoreClient,
    StoredObject,
    Unavailable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import NodeEvents

FIRST_DELAY_S: Final = 0.2
LONGEST_DELAY_S: Final = 1.0


class StoreWatcher:
    """Lists a kind, then watches it, without end.

    Parameters
    ----------
    store : Store
        A connection of this follower's own.
    kind : Kind
        What to follow.
    take : callable
        Takes the revision, all objects by name, and the names that changed.
    events : NodeEvents
        Where loss and return of the store are noted.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: ObjectKind,
        take: Callable[[int, dict[str, StoredObject]], None],
        events: NodeEvents,
    ) -> None:
        self._store = store
        self._kind = kind
        self._take = take
        self._events = events
        self._objects: dict[str, StoredObject] = {}
        self._revision = 0
        self._failures = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        is_listed = False
        while True:
            if not is_listed:
                is_listed = await self._list()
                continue
            is_listed = await self._watch()

    def close(self) -> None:
        """Drop the connection."""
        self._store.close()

    async def _list(self) -> bool:
        match await self._store.list(self._kind):
            case Listing(revision, objects):
                self._note_reached()
                if revision < self._revision:
                    # An answer from before what is known already.
                    self._events.count("store.outdated")
                    await wait_before_retry(1)
                    return False
                self._objects = {each.name: each for each in objects}
                self._hand_over(revision)
                return True
            case Unavailable(reason):
                await self._wait(reason)
        return False

    async def _watch(self) -> bool:
        match await self._store.watch(self._kind, self._revision):
            case Changes(revision, objects):
                self._note_reached()
                for each in objects:
                    self._apply(each)
                if revision >= self._revision:
                    self._hand_over(revision)
            case HistoryGone():
                self._note_reached()
                self._events.emit("history_gone", kind=self._kind.value)
                return False
            case Unavailable(reason):
                await self._wait(reason)
        return True

    def _apply(self, changed: StoredObject) -> None:
        known = self._objects.get(changed.name)
        if known is not None and known.revision > changed.revision:
            return
        if changed.is_deleted:
            self._objects.pop(changed.name, None)
            return
        self._objects[changed.name] = changed

    def _hand_over(self, revision: int) -> None:
        self._revision = revision
        try:
            self._take(revision, self._objects)
        except Exception as error:
            self._events.emit_error(f"objects of {self._kind.value}", error)

    def _note_reached(self) -> None:
        if self._failures:
            self._events.emit(
                "store_regained", kind=self._kind.value, failures=self._failures
            )
        self._failures = 0

    async def _wait(self, reason: str) -> None:
        self._failures += 1
        if self._failures == 1:
            self._events.emit("store_lost", kind=self._kind.value, reason=reason)
        await wait_before_retry(self._failures)


async def wait_before_retry(failures: int) -> None:
    """Wait before a call is made again, longer after each failure."""
    longest = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2 ** min(failures, 8))
    await asyncio.sleep(longest * random.uniform(0.5, 1.0))


__all__ = ["StoreWatcher", "wait_before_retry"]
