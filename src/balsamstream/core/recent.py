"""Repeatable requests that a host delivered or refused recently."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .identity import RequestKey

RECENT_KEPT_S: Final = 250.0
"""Longer than copies of a request may arrive: RFC 7252 EXCHANGE_LIFETIME is 247 s."""

MAX_RECENT: Final = 20_000


class Outcome(Enum):
    """What the host did with the first copy of a request."""

    DELIVERED = "delivered"
    REFUSED = "refused"


class RecentRequests:
    """Outcomes of recent requests, so that later copies get a consistent verdict.

    Parameters
    ----------
    max_entries : int
        Size of each outcome's table; the oldest entries are dropped first.
    """

    def __init__(self, max_entries: int = MAX_RECENT) -> None:
        self._max_entries = max_entries
        self._tables: dict[Outcome, OrderedDict[RequestKey, float]] = {
            outcome: OrderedDict() for outcome in Outcome
        }

    def record(self, request: RequestKey, outcome: Outcome, now: float) -> None:
        """Record what was done with a request."""
        table = self._tables[outcome]
        table[request] = now
        table.move_to_end(request)
        if len(table) > self._max_entries:
            table.popitem(last=False)

    def has(self, request: RequestKey, outcome: Outcome, now: float) -> bool:
        """Return whether an earlier copy of a request had this outcome."""
        recorded_at = self._tables[outcome].get(request)
        return recorded_at is not None and now - recorded_at < RECENT_KEPT_S


__all__ = ["MAX_RECENT", "RECENT_KEPT_S", "Outcome", "RecentRequests"]
