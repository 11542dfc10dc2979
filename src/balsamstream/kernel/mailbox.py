"""Bounded queues of typed messages between tasks."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Messages to one task, in order.

    Parameters
    ----------
    capacity : int
        Most messages that wait.
    """

    def __init__(self, capacity: int) -> None:
        self._queue: asyncio.Queue[T] = asyncio.Queue(capacity)
        self.refused = 0

    def __len__(self) -> int:
        return self._queue.qsize()

    def offer(self, message: T) -> bool:
        """Put a message if there is room; tell whether there was."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.refused += 1
            return False
        return True

    async def put(self, message: T) -> None:
        """Put a message, waiting for room."""
        await self._queue.put(message)

    async def pop(self) -> T:
        """Take the oldest message, waiting for one."""
        return await self._queue.get()


__all__ = ["Mailbox"]
