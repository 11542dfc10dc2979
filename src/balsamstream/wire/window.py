"""Replay window over the counters of one sender."""

from __future__ import annotations

from typing import Final

WINDOW_COUNTERS: Final = 1_024
_MASK: Final = (1 << WINDOW_COUNTERS) - 1


class ReplayWindow:
    """Records which of a sender's last ``WINDOW_COUNTERS`` counters were received."""

    __slots__ = ("_seen", "highest")

    def __init__(self) -> None:
        self.highest = -1
        self._seen = 0

    def accept(self, counter: int) -> bool:
        """Record a counter; return whether it is new and not below the window."""
        ahead = counter - self.highest
        if ahead > 0:
            if ahead < WINDOW_COUNTERS:
                self._seen = ((self._seen << ahead) | 1) & _MASK
            else:
                self._seen = 1
            self.highest = counter
            return True
        if ahead <= -WINDOW_COUNTERS:
            return False
        bit = 1 << -ahead
        if self._seen & bit:
            return False
        self._seen |= bit
        return True


__all__ = ["WINDOW_COUNTERS", "ReplayWindow"]
