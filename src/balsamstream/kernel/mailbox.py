"""Bounded queue of messages between tasks."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Bounded FIFO queue of messages to one task.

    Parameters
    ----------
    capacity : int
        Maximum number of queued messages.

    Attributes
    ----------
    refused : int
        Messages that `offer` did not queue because the mailbox was full.
    """

    def __init__(self, capacity: int) -> None:
        self._queue: asyncio.Queue[T] = asyncio.Queue(capacity)
        self.refused = 0

    def __len__(self) -> int:
        return self._queue.qsize()

    def offer(self, message: T) -> bool:
        """Queue a message unless the mailbox is full; return whether it was queued."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.refused += 1
            return False
        return True

    async def put(self, message: T) -> None:
        """Queue a message, waiting while the mailbox is full."""
        await self._queue.put(message)

    async def pop(self) -> T:
        """Remove and return the oldest message, waiting while there is none."""
        return await self._queue.get()


__all__ = ["Mailbox"]
