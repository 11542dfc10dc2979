"""Rate limit of new flows for a cold host.

Load pattern: all hosts of a data centre come back cold at once, and every front finds
them idle and places flows there. All opening packets of a host pass its gate, so only
the gate can enforce the limit.
"""

from __future__ import annotations

from typing import Final

from .rate_limit import RateLimit

BURST_S: Final = 0.1
"""Capacity of the bucket, as the time that the rate takes to fill it."""


class ColdLimit:
    """Rate limit of new flows that applies while a host is cold."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._cold_until = 0.0
        self._limit = RateLimit(self._rate_per_s, 1.0)

    def set_rate(self, rate_per_s: float) -> None:
        """Set the limit for a cold host, in flows a second; 0 for no limit."""
        self._rate_per_s = rate_per_s
        self._limit.set_rate(rate_per_s, max(1.0, rate_per_s * BURST_S))

    def set_cold_until(self, until: float) -> None:
        """Set the end of the cold start, in seconds of the loop's clock."""
        self._cold_until = until

    def is_cold(self, now: float) -> bool:
        """Return whether the host is still in its cold start."""
        return now < self._cold_until

    def try_acquire(self, now: float) -> bool:
        """Take a token for a new flow; False if none is left."""
        if not self.is_cold(now) or self._rate_per_s <= 0.0:
            return True
        return self._limit.try_acquire(now)


__all__ = ["ColdLimit"]
