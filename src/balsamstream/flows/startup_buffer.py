"""Buffer for opening packets that arrive before a front can place them.

Load pattern: fronts restart under full load, and callers' packets arrive a few
milliseconds before the desired state and the gates' reports. Refusing them would use up
the callers' retries.
"""

from __future__ import annotations

from collections import deque
from typing import Final

DISCOVERY_S: Final = 1.0
"""Time after a start in which a front cannot conclude that a service has no host."""
MAX_HOLD_S: Final = 0.15
"""Bound of a packet's time in the buffer; a caller retransmits after 0.2 s."""
MAX_HELD: Final = 512


class StartupBuffer:
    """Opening packets that are handled again at the next tick.

    Parameters
    ----------
    now : float
        Start of the front, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._discovery_ends_at = now + DISCOVERY_S
        self._held: deque[tuple[float, bytes]] = deque(maxlen=MAX_HELD)

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, packet: bytes, arrived_at: float, now: float) -> bool:
        """Buffer a packet; False after discovery or once its time has run out."""
        if now >= self._discovery_ends_at or now - arrived_at > MAX_HOLD_S:
            return False
        self._held.append((arrived_at, packet))
        return True

    def restart_discovery(self, now: float) -> None:
        """Start discovery again, as after a pause in which no message arrived."""
        self._discovery_ends_at = now + DISCOVERY_S

    def drain(self) -> list[tuple[float, bytes]]:
        """Remove and return all packets, each with its time of arrival."""
        held = list(self._held)
        self._held.clear()
        return held


__all__ = ["StartupBuffer"]
