"""Counters and gauges, sent to statsd; the status page shows the counters."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import structlog

from balsamstream.kernel import Service

if TYPE_CHECKING:
    from statsd import StatsClient

    from balsamstream.kernel import Kernel

    from .settings import MetricsSettings

FLUSH_INTERVAL_S: Final = 1.0
MAX_NAMES: Final = 512
OVERFLOW_NAME: Final = "other"


class Metrics(Service):
    """Registry of counters and gauges that sends them to statsd periodically.

    Beyond `MAX_NAMES` names, a new counter adds to the counter `OVERFLOW_NAME`, and a
    new gauge is dropped.

    Parameters
    ----------
    kernel : Kernel
        Runs the sending task.
    settings : MetricsSettings or None
        Address of statsd, or None to send nothing.
    name : str
        Name of the host or balancer, part of each metric's name.
    """

    def __init__(
        self, kernel: Kernel, settings: MetricsSettings | None, name: str
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._name = name
        self._counters: dict[str, int] = {}
        self._unsent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._log = structlog.get_logger("balsamstream.daemon")

    async def start(self) -> None:
        """Start the sending task, if there is a statsd server."""
        if self._settings is not None:
            self._kernel.start_task("metrics", self._flush_periodically(self._settings))

    async def close(self) -> None:
        """Send what is left and end the sending task."""
        await self._kernel.end_task("metrics")

    @property
    def counters(self) -> dict[str, int]:
        """Values of all counters since the start, sorted by name."""
        return dict(sorted(self._counters.items()))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if name not in self._counters and len(self._counters) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self._counters[name] = self._counters.get(name, 0) + amount
        self._unsent[name] = self._unsent.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self._gauges or len(self._gauges) < MAX_NAMES:
            self._gauges[name] = value

    def count_loss(self, place: str, error: Exception) -> None:
        """Count and log a datagram that was lost because of an error."""
        self.count(f"lost.{place}")
        self._log.warning("datagram_lost", place=place, error=repr(error)[:200])

    async def _flush_periodically(self, settings: MetricsSettings) -> None:
        from statsd import StatsClient

        prefix = f"{settings.prefix}.{self._name}"
        client = StatsClient(settings.statsd.ip, settings.statsd.port, prefix)
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_S)
                self._send(client)
        finally:
            self._send(client)
            client.close()

    def _send(self, client: StatsClient) -> None:
        unsent, self._unsent = self._unsent, {}
        with client.pipeline() as pipeline:
            for name, amount in unsent.items():
                pipeline.incr(name, amount)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)


__all__ = ["Metrics"]
