"""Token bucket."""

from __future__ import annotations


class RateLimit:
    """Limits events to a rate, with bursts up to the bucket's capacity.

    Parameters
    ----------
    rate_per_s : float
        Tokens gained a second.
    burst : float
        Capacity of the bucket, in tokens; it is full at first.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Change rate and capacity; tokens above the new capacity are lost."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_acquire(self, now: float, tokens: float = 1.0) -> bool:
        """Take some tokens; False if there are not as many."""
        if self._refilled_at is not None:
            gained = max(0.0, now - self._refilled_at) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


__all__ = ["RateLimit"]
