"""Virtual clock with scheduled calls."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs calls in the order of their times, and equal times in scheduling order."""

    def __init__(self) -> None:
        self.now = 100.0
        self._calls: list[
            tuple[float, int, Callable[..., object], tuple[Any, ...]]
        ] = []
        self._count = 0

    def call_after(
        self, delay_s: float, call: Callable[..., object], *values: object
    ) -> None:
        """Schedule a call after a delay."""
        self._count += 1
        heapq.heappush(self._calls, (self.now + delay_s, self._count, call, values))

    def run_for(self, seconds: float) -> None:
        """Advance the clock and make all calls that fall due."""
        end = self.now + seconds
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call, values = heapq.heappop(self._calls)
            call(*values)
        self.now = end


__all__ = ["EventQueue"]
