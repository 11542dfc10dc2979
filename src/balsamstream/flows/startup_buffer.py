"""Opening packets that come before a front knows enough to place them.

Load pattern: fronts start again under full load, and packets of callers are there
before the desired state and the gates' reports are, a few milliseconds later. Refusing
them would spend the callers' retries on nothing.
"""

from __future__ import annotations

from collections import deque
from typing import Final

DISCOVERY_S: Final = 1.0
"""After its start a front can't tell that a service has no host."""
MAX_HOLD_S: Final = 0.15
"""Longest time that a packet is kept; a caller sends the next copy after 0.2 s."""
MAX_HELD: Final = 512


class StartupBuffer:
    """Packets that are tried again with the next tick.

    Parameters
    ----------
    now : float
        When the front began, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._discovery_ends_at = now + DISCOVERY_S
        self._held: deque[tuple[float, bytes]] = deque(maxlen=MAX_HELD)

    def hold(self, packet: bytes, arrived_at: float, now: float) -> bool:
        """Keep a packet for a while; False where the front should know by now."""
        if now >= self._discovery_ends_at or now - arrived_at > MAX_HOLD_S:
            return False
        self._held.append((arrived_at, packet))
        return True

    def is_discovery_over(self, now: float) -> bool:
        """Tell whether the front has had the time to hear every node."""
        return now >= self._discovery_ends_at

    def restart_discovery(self, now: float) -> None:
        """Begin anew, as after a pause in which the front heard nobody."""
        self._discovery_ends_at = now + DISCOVERY_S

    def drain(self) -> list[tuple[float, bytes]]:
        """Take out what is to be tried again: when each came, and the packet."""
        held = list(self._held)
        self._held.clear()
        return held


__all__ = ["StartupBuffer"]
