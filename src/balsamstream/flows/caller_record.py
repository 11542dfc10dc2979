"""Service that callers have had lately at one host.

Load pattern: one caller sends ten times as much as the others. Without a record of who
was served, it gets ten times their share of a host that cannot serve all.
"""

from __future__ import annotations

import math
from typing import Final

MAX_CALLERS: Final = 1_024
DECAY_S: Final = 5.0
"""Time in which the record of a service falls to 1/e."""
LEVEL_REQUESTS: Final = 2.0
"""Requests below which callers count as equally served. Each further level is twice as
much, so that small differences do not override the order by objective and age."""


class CallerRecord:
    """Decaying sums of the work that was dispatched for each caller."""

    def __init__(self) -> None:
        self._served: dict[bytes, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._served)

    def add(self, caller: bytes, work_s: float, now: float) -> None:
        """Record that a request of a caller is dispatched."""
        total_s = self.get_served_s(caller, now) + work_s
        self._served.pop(caller, None)
        self._served[caller] = (total_s, now)
        if len(self._served) > MAX_CALLERS:
            del self._served[next(iter(self._served))]

    def get_served_s(self, caller: bytes, now: float) -> float:
        """Return the decayed work that was dispatched for a caller, in seconds."""
        served = self._served.get(caller)
        if served is None:
            return 0.0
        total_s, at = served
        return total_s * math.exp((at - now) / DECAY_S)

    def clear(self) -> None:
        """Discard all records."""
        self._served.clear()


def compute_level(served_s: float, work_s: float) -> int:
    """Return the level of service of a caller; 0 is the least.

    Parameters
    ----------
    served_s : float
        Decayed work that was dispatched for the caller, in seconds.
    work_s : float
        Work of one request, in seconds.
    """
    return int(served_s / (work_s * LEVEL_REQUESTS)).bit_length()


__all__ = ["DECAY_S", "MAX_CALLERS", "CallerRecord", "compute_level"]
