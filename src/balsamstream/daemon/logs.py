"""Structured logging: one rate-limited line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

    from .settings import LogLevel

EVENTS_PER_S: Final = 5.0
MAX_BURST_EVENTS: Final = 20.0
MAX_EVENT_NAMES: Final = 256


class RateLimiter:
    """Processor for structlog that drops lines above a rate for each event name.

    Each name has a token bucket. The next line that passes has the number of dropped
    ones as ``dropped_before``.

    Parameters
    ----------
    read_clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic) -> None:
        self._read_clock = read_clock
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(
        self, logger: object, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, with the number of lines dropped before it.

        Raises
        ------
        structlog.DropEvent
            If the event is above its rate.
        """
        name = str(event.get("event", ""))
        if name not in self._buckets and len(self._buckets) >= MAX_EVENT_NAMES:
            self._buckets.clear()
            self._dropped.clear()
        now = self._read_clock()
        tokens, refilled_at = self._buckets.get(name, (MAX_BURST_EVENTS, now))
        tokens = min(MAX_BURST_EVENTS, tokens + (now - refilled_at) * EVENTS_PER_S)
        if tokens < 1.0:
            self._buckets[name] = (tokens, now)
            self._dropped[name] = self._dropped.get(name, 0) + 1
            raise structlog.DropEvent
        self._buckets[name] = (tokens - 1.0, now)
        dropped = self._dropped.pop(name, 0)
        if dropped:
            event["dropped_before"] = dropped
        return event


def configure_logs(level: LogLevel) -> None:
    """Configure structlog to write lines of at least a level to standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            RateLimiter(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.value.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=False,
    )


__all__ = ["RateLimiter", "configure_logs"]
