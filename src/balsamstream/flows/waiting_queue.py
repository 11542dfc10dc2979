"""How opening packets wait at a busy host: the newest first, by priority.

Load pattern: all hosts come back at once, slow after their start, before the callers'
retries of a whole outage and the usual stream of new requests. First come, first served
makes every request late, the newest as late as the oldest, until the backlog is gone.
Served from the newest on (adaptive LIFO), new requests are in time throughout, and
those that are late anyway are a little later. Without overload nothing waits here, and
the order does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_WAIT_S: Final = 0.4
"""What waited longer than fresh requests take is refused, so its caller can retry."""
MAX_WAITING: Final = 512
OVERCOMMIT: Final = 2.0
"""Flows offered for each slot: none must idle for the handshake of the next."""


@dataclass(frozen=True, slots=True)
class Opening:
    """An opening packet that waits.

    Attributes
    ----------
    flow : bytes
        The flow.
    packet : bytes
        The packet.
    front : str
        Address of the front that sent it.
    priority : int
        Rank of its route; 0 goes first.
    arrived_at : float
        When it came, in seconds.
    """

    flow: bytes
    packet: bytes
    front: str
    priority: int
    arrived_at: float


class WaitingQueue:
    """Opening packets that wait for a slot of one host."""

    def __init__(self) -> None:
        self._openings: dict[bytes, Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._openings

    def add(self, opening: Opening) -> Opening | None:
        """Let an opening packet wait; return one that has to go for it, if any."""
        self._openings[opening.flow] = opening
        if len(self._openings) <= MAX_WAITING:
            return None
        return self._openings.pop(next(iter(self._openings)))

    def pop(self) -> Opening | None:
        """Take the newest one of the most urgent priority."""
        best: Opening | None = None
        for opening in reversed(self._openings.values()):
            if best is None or opening.priority < best.priority:
                best = opening
        if best is not None:
            del self._openings[best.flow]
        return best

    def pop_expired(self, now: float) -> list[Opening]:
        """Take those out that have waited for too long."""
        expired = []
        for opening in self._openings.values():
            if now - opening.arrived_at <= MAX_WAIT_S:
                break
            expired.append(opening)
        for opening in expired:
            del self._openings[opening.flow]
        return expired

    def drain(self) -> list[Opening]:
        """Take all out, the oldest first."""
        openings = list(self._openings.values())
        self._openings.clear()
        return openings


def has_capacity(in_flight: int, slots: int) -> bool:
    """Tell whether a host is to be offered another flow now.

    Parameters
    ----------
    in_flight : int
        Requests and openings that it has not begun to answer.
    slots : int
        Requests that it processes at once.
    """
    return in_flight < slots * OVERCOMMIT


__all__ = ["MAX_WAIT_S", "MAX_WAITING", "Opening", "WaitingQueue", "has_capacity"]
