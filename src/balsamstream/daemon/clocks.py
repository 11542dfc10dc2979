"""The loop's time, and pauses in which the process stood still."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_PAUSE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading of all clocks, each in seconds.

    Parameters
    ----------
    monotonic : float
        Stands still with a suspended machine.
    boot : float
        Goes on while the machine is suspended.
    wall : float
        May jump.
    """

    monotonic: float
    boot: float
    wall: float


def read_clocks() -> ClockReading:
    """Read the machine's clocks."""
    return ClockReading(
        time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME), time.time()
    )


class PauseDetector:
    """Notices that the loop stood still.

    A machine paused by its host may have its monotonic clock stand still too, so the
    largest of the elapsed times counts. A wall clock that is set forward looks like a
    pause; that costs the datagrams then queued and nothing else.

    Parameters
    ----------
    handle_pause : callable
        Called with the length of a pause in seconds before anything else goes on.
    read : callable
        Reads the clocks.
    """

    def __init__(
        self,
        handle_pause: Callable[[float], None],
        read: Callable[[], ClockReading] = read_clocks,
    ) -> None:
        self._handle_pause = handle_pause
        self._read = read
        self._is_started = False
        self.last = read()

    def start(self) -> None:
        """Look for pauses from now on: a start may take its time."""
        self.last = self._read()
        self._is_started = True

    def update(self) -> float:
        """Compare with the last check; return the monotonic time in seconds."""
        before = self.last
        now = self._read()
        self.last = now
        gap_s = max(
            now.monotonic - before.monotonic,
            now.boot - before.boot,
            now.wall - before.wall,
        )
        if gap_s > MIN_PAUSE_S and self._is_started:
            self._handle_pause(gap_s)
        return now.monotonic


__all__ = ["MIN_PAUSE_S", "ClockReading", "PauseDetector", "read_clocks"]
