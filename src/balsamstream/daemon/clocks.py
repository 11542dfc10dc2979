"""Clock readings of the event loop, and detection of process pauses."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_PAUSE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Readings of all clocks at one moment, in seconds.

    Parameters
    ----------
    monotonic : float
        Monotonic clock; stands still while the VM is suspended.
    boot : float
        Boot-time clock; goes on while the VM is suspended.
    wall : float
        Wall clock; may jump.
    """

    monotonic: float
    boot: float
    wall: float


def read_clocks() -> ClockReading:
    """Read the clocks of the VM."""
    return ClockReading(
        time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME), time.time()
    )


class PauseDetector:
    """Detects that the event loop did not run for longer than `MIN_PAUSE_S`.

    In a VM paused by its hypervisor even the monotonic clock may stand still, so the
    largest of the elapsed times counts. A wall clock that is set forward looks like a
    pause, too; this costs only the datagrams that are queued at that moment.

    Parameters
    ----------
    handle_pause : callable
        Called by `update` with the length of a pause in seconds. `update` runs before
        each batch of datagrams, so a pause is handled before they are.
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
        """Start to detect pauses; a slow start of the daemon is not reported as one."""
        self.last = self._read()
        self._is_started = True

    def update(self) -> float:
        """Read the clocks and report a pause since the last reading.

        Returns
        -------
        float
            The monotonic time in seconds.
        """
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
