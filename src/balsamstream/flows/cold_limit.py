"""How many new flows a cold host is given.

Load pattern: hosts of a whole data centre come back cold at once, and every front finds
them idle and sends there. The gate is the one place that all opening packets of a host
pass, so it alone can hold the bound.
"""

from __future__ import annotations

from typing import Final

BURST_S: Final = 0.1
"""Flows that may come together, as a time at the allowed rate."""


class ColdLimit:
    """A token bucket that is in force while a host is cold."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._cold_until = 0.0
        self._tokens = 1.0
        self._refilled_at = 0.0

    def set_rate(self, rate_per_s: float) -> None:
        """Set how many flows a second a cold host bears; 0 for any number."""
        self._rate_per_s = rate_per_s

    def set_cold_until(self, until: float) -> None:
        """Set when the host is warm, in seconds of the loop's clock."""
        self._cold_until = until

    def is_cold(self, now: float) -> bool:
        """Tell whether the host is cold."""
        return now < self._cold_until

    def try_acquire(self, now: float) -> bool:
        """Take a token for a new flow; False where none is left."""
        if not self.is_cold(now) or self._rate_per_s <= 0.0:
            return True
        burst = max(1.0, self._rate_per_s * BURST_S)
        gained = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(burst, self._tokens + max(0.0, gained))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["ColdLimit"]
