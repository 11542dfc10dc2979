"""Counters, gauges and histograms of a node in the Prometheus text format."""

from __future__ import annotations

import sys
from bisect import bisect_left
from typing import Final

BUCKETS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
"""Upper bounds of the histogram buckets, in seconds."""


def block_ssl_import() -> None:
    """Make imports of the standard library's ssl fail, as it costs four megabytes.

    A node uses no TLS, and asyncio does without the module.
    """
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]


def allow_ssl_import() -> None:
    """Undo `block_ssl_import` for a library that cannot do without the module."""
    if "ssl" in sys.modules and sys.modules["ssl"] is None:
        del sys.modules["ssl"]


class Metrics:
    """Counters, gauges and histograms of a process since its start."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def get_count(self, name: str) -> int:
        """Return the value of a counter, 0 if it was never counted."""
        return self._counters.get(name, 0)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(BUCKETS_S) + 1)
            self._sums[name] = 0.0
        buckets[bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[name] += seconds

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        allow_ssl_import()
        # Imported late: only a node that is scraped needs the library.
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )
        from prometheus_client.exposition import generate_latest

        families = [
            CounterMetricFamily(_build_metric_name(name), name, value=value)
            for name, value in sorted(self._counters.items())
        ]
        families += [
            GaugeMetricFamily(_build_metric_name(name), name, value=value)
            for name, value in sorted(self._gauges.items())
        ]
        for name, buckets in sorted(self._histograms.items()):
            rows = []
            total = 0
            for bound, amount in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
                total += amount
                rows.append((str(bound), float(total)))
            family = HistogramMetricFamily(
                _build_metric_name(name), name, buckets=rows, sum_value=self._sums[name]
            )
            families.append(family)
        return bytes(generate_latest(_FixedCollector(families)))


class _FixedCollector:
    """Registry for `generate_latest` that returns a fixed list of families."""

    def __init__(self, families: list) -> None:  # type: ignore[type-arg]
        self._families = families

    def collect(self) -> list:  # type: ignore[type-arg]
        return self._families


def _build_metric_name(name: str) -> str:
    return "balsamstream_" + name.replace(".", "_")


__all__ = ["Metrics", "allow_ssl_import", "block_ssl_import"]
