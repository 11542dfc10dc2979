"""Delays between attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes
    ----------
    base_s : float
        Upper bound of the first delay, in seconds; it doubles with each failure.
    max_s : float
        Upper bound of every delay, in seconds.
    """

    base_s: float = 0.05
    max_s: float = 2.0

    def draw_delay_s(self, failures: int, rng: random.Random) -> float:
        """Draw the delay after a number of consecutive failures, at least 1."""
        # Limited, since a large exponent overflows and does not change the bound.
        bound_s = self.base_s * 2.0 ** min(failures - 1, 30)
        return rng.uniform(0.0, min(bound_s, self.max_s))


__all__ = ["Backoff"]
