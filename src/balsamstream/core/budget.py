"""Retry budget: retries are limited to a share of new work."""

from __future__ import annotations

from typing import Final

MAX_TOKENS: Final = 10.0
"""Largest burst of retries, possible after a time without any."""


class RetryBudget:
    """Token bucket that new work fills and retries empty."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def add(self, share: float) -> None:
        """Add a share of one token, for one piece of new work."""
        self._tokens = min(MAX_TOKENS, self._tokens + share)

    def try_acquire(self) -> bool:
        """Take one token for a retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["RetryBudget"]
