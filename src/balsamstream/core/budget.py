"""Retries as a share of new work."""

from __future__ import annotations

from typing import Final

MOST_SAVED: Final = 10.0
"""Retries that may follow each other after a quiet time."""


class RetryBudget:
    """Earned by new work, spent by retries."""

    def __init__(self) -> None:
        self._saved = MOST_SAVED

    def add(self, share: float) -> None:
        """Earn a share of one retry for one piece of new work."""
        self._saved = min(MOST_SAVED, self._saved + share)

    def try_acquire(self) -> bool:
        """Spend one retry if one has been earned."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


__all__ = ["RetryBudget"]
