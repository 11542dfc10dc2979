"""Periodic work of a node, often while something is pending and seldom otherwise."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import NodeEvents

BUSY_INTERVAL_S: Final = 0.02
IDLE_INTERVAL_S: Final = 0.1
"""Most nodes of a large deployment are idle, and each wake-up costs."""


class Ticker:
    """Calls a function periodically.

    Parameters
    ----------
    work : callable
        Called with the time in seconds.
    is_busy : callable
        Returns whether something is pending that needs the short interval.
    events : NodeEvents
        Receives errors raised by `work`.
    """

    def __init__(
        self,
        work: Callable[[float], None],
        is_busy: Callable[[], bool],
        events: NodeEvents,
    ) -> None:
        self._work = work
        self._is_busy = is_busy
        self._events = events
        self._timer: asyncio.TimerHandle | None = None
        self._is_fast = False

    def start(self) -> None:
        """Call the function now and then periodically."""
        self._run()

    def close(self) -> None:
        """Stop calling the function."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def hasten(self) -> None:
        """Change to the short interval if something is pending since the last call."""
        if self._is_fast or self._timer is None or not self._is_busy():
            return
        self._timer.cancel()
        self._schedule()

    def _run(self) -> None:
        try:
            self._work(asyncio.get_running_loop().time())
        except Exception as error:
            self._events.emit_error("tick", error)
        self._schedule()

    def _schedule(self) -> None:
        self._is_fast = self._is_busy()
        interval_s = BUSY_INTERVAL_S if self._is_fast else IDLE_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(interval_s, self._run)


__all__ = ["BUSY_INTERVAL_S", "IDLE_INTERVAL_S", "Ticker"]
