"""Queue of opening packets at a busy host: by priority, newest first.

Load pattern: all hosts come back at once, cold, and face the callers' retries of a
whole outage besides the usual stream of new requests. In FIFO order every request is
late until the backlog has drained, the newest as late as the oldest. In LIFO order
(adaptive LIFO) new requests are in time throughout, and those that are late anyway are
a little later. Without overload nothing waits here, and the order does not matter.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .host_work import Forecast

MAX_WAIT_S: Final = 0.4
"""Bound of the wait. A packet that has waited longer than a fresh request takes is
declined, so that its caller can retry."""
MAX_WAITING: Final = 512
OVERCOMMIT: Final = 2.0
"""Flows dispatched for each slot, so that no slot idles during the handshake of the
next flow."""


@dataclass(frozen=True, slots=True)
class Opening:
    """An admitted opening packet and its origin.

    Attributes
    ----------
    flow : bytes
        Key of the flow.
    packet : bytes
        Opening packet of the flow.
    front : str
        Address of the front that sent the packet.
    priority : int
        Priority of the route; 0 is the most urgent.
    arrived_at : float
        Time of arrival at the gate, in seconds.
    objective_at, deadline_at : float
        Times at which the route's objective and its deadline are over, in seconds;
        infinity if the front has not stated them.
    """

    flow: bytes
    packet: bytes
    front: str
    priority: int
    arrived_at: float
    objective_at: float = math.inf
    deadline_at: float = math.inf


class OpeningQueue(Protocol):
    """Queue of opening packets that wait for a slot of one host."""

    def __len__(self) -> int: ...

    def __contains__(self, flow: bytes) -> bool: ...

    def can_accept(self, opening: Opening, now: float) -> bool:
        """Return whether an opening packet may still be dispatched or wait."""

    def count_routes(self, now: float) -> Mapping[bytes, int]:
        """Return the number of packets that may precede a new one, by route."""

    def add(self, opening: Opening) -> Opening | None:
        """Add an opening packet; return one that it displaces, or None."""

    def pop(self, now: float) -> Opening | None:
        """Remove and return the packet that is to be dispatched next."""

    def pop_expired(self, now: float) -> list[Opening]:
        """Remove and return the packets that have waited for too long."""

    def is_plan_due(self, now: float) -> bool:
        """Return whether an arrival is a reason to forecast the turns again."""

    def pop_hopeless(self, forecast: Forecast | None, now: float) -> list[Opening]:
        """Remove and return the packets whose turn cannot come in time."""

    def drain(self) -> list[Opening]:
        """Remove and return all packets."""

    def clear_order(self) -> None:
        """Discard the record of past service, as the host has restarted."""


class WaitingQueue:
    """Bounded queue of opening packets that wait for a slot of one host."""

    def __init__(self) -> None:
        self._openings: dict[bytes, Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._openings

    def can_accept(self, _opening: Opening, _now: float) -> bool:
        """Return True, as the wait is bounded whatever the deadline."""
        return True

    def count_routes(self, _now: float) -> Mapping[bytes, int]:
        """Return the number of packets that wait, by route."""
        if not self._openings:
            return {}
        return Counter(map(packets.get_flow_route, self._openings))

    def add(self, opening: Opening) -> Opening | None:
        """Add an opening packet; return the oldest one if it is displaced, or None."""
        self._openings[opening.flow] = opening
        if len(self._openings) <= MAX_WAITING:
            return None
        return self._openings.pop(next(iter(self._openings)))

    def pop(self, _now: float = 0.0) -> Opening | None:
        """Remove and return the newest packet of the most urgent priority."""
        best: Opening | None = None
        for opening in reversed(self._openings.values()):
            if best is None or opening.priority < best.priority:
                best = opening
        if best is not None:
            del self._openings[best.flow]
        return best

    def pop_expired(self, now: float) -> list[Opening]:
        """Remove and return the packets that have waited for too long."""
        expired = []
        for opening in self._openings.values():
            if now - opening.arrived_at <= MAX_WAIT_S:
                break
            expired.append(opening)
        for opening in expired:
            del self._openings[opening.flow]
        return expired

    def is_plan_due(self, _now: float) -> bool:
        """Return False, as the bound of the wait is fixed."""
        return False

    def pop_hopeless(self, _forecast: Forecast | None, _now: float) -> list[Opening]:
        """Return nothing, as the bound of the wait is fixed."""
        return []

    def clear_order(self) -> None:
        """Discard nothing, as the order does not depend on past service."""

    def drain(self) -> list[Opening]:
        """Remove and return all packets, the oldest first."""
        openings = list(self._openings.values())
        self._openings.clear()
        return openings


def has_capacity(in_flight: int, slots: int) -> bool:
    """Return whether another flow may be dispatched to a host now.

    Parameters
    ----------
    in_flight : int
        Requests and openings that it has not begun to answer.
    slots : int
        Requests that it processes at once.
    """
    return in_flight < slots * OVERCOMMIT


__all__ = [
    "MAX_WAITING",
    "MAX_WAIT_S",
    "Opening",
    "OpeningQueue",
    "WaitingQueue",
    "has_capacity",
]
