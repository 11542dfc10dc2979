"""Repeatable requests that a host delivered or refused lately."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .identity import RequestKey

RECENT_KEPT_S: Final = 250.0
"""Longer than a caller's copies live: RFC 7252 EXCHANGE_LIFETIME is 247 s."""

MOST_RECENT: Final = 20_000


class Outcome(Enum):
    """What the host did with the first copy."""

    DELIVERED = "delivered"
    REFUSED = "refused"


class RecentRequests:
    """Lets later copies of a request get a verdict that agrees with the first.

    Parameters
    ----------
    most : int
        Bound of each outcome's table; the oldest are forgotten first.
    """

    def __init__(self, most: int = MOST_RECENT) -> None:
        self._most = most
        self._tables: dict[Outcome, OrderedDict[RequestKey, float]] = {
            outcome: OrderedDict() for outcome in Outcome
        }

    def record(self, request: RequestKey, outcome: Outcome, now: float) -> None:
        """Remember what was done with a request."""
        table = self._tables[outcome]
        table[request] = now
        table.move_to_end(request)
        if len(table) > self._most:
            table.popitem(last=False)

    def has(self, request: RequestKey, outcome: Outcome, now: float) -> bool:
        """Tell whether that was done with an earlier copy."""
        noted = self._tables[outcome].get(request)
        return noted is not None and now - noted < RECENT_KEPT_S


__all__ = ["MOST_RECENT", "RECENT_KEPT_S", "Outcome", "RecentRequests"]
