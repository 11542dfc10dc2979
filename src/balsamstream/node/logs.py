"""Log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Final

from logfmter import Logfmter

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S: Final = 200.0
"""Of one event; what comes above it is counted and the count is logged."""
LINE_BURST: Final = 400.0
MAX_BUFFER_BYTES: Final = 256 * 1024
FLUSH_S: Final = 0.05
STDOUT: Final = 1


class LineBudget:
    """How many lines of one event may be written.

    Parameters
    ----------
    now : float
        Time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._tokens = LINE_BURST
        self._seen_at = now
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Take a line; False where it is one too many."""
        gained = (now - self._seen_at) * LINES_PER_S
        self._tokens = min(LINE_BURST, self._tokens + gained)
        self._seen_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class Logs:
    """Writes a line of key=value pairs for each event.

    Lines wait in a bounded buffer for the next flush. A reader that has stopped reading
    costs lines, which are counted, and no time.

    Parameters
    ----------
    node : str
        Name of the node, in every line.
    write : callable
        Writes bytes and returns how many it took; raises BlockingIOError where none.
    read_clock : callable
        Returns seconds of a clock that never falls.
    """

    def __init__(
        self,
        node: str,
        write: Callable[[bytes], int] | None = None,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if write is None:
            os.set_blocking(STDOUT, False)
        self._write = write or _write_stdout
        self._node = node
        self._read_clock = read_clock
        self._budgets: dict[str, LineBudget] = {}
        self._buffer = bytearray()
        self._lost = 0

    def write(self, event: str, **fields: object) -> None:
        """Write a line, unless there are too many of this event."""
        now = self._read_clock()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = LineBudget(now)
        if not budget.try_acquire(now):
            return
        if budget.dropped:
            fields["dropped_before"] = budget.dropped
            budget.dropped = 0
        line = Logfmter.format_params(
            {"time": f"{time.time():.3f}", "event": event, "node": self._node, **fields}
        )
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._lost += 1
            return
        self._buffer += line.encode() + b"\n"

    def error(self, event: str, **fields: object) -> None:
        """Write a line on a fault of the program itself."""
        self.write(event, level="error", **fields)

    def flush(self) -> None:
        """Hand on what waits, as far as the reader takes it."""
        if not self._buffer:
            return
        try:
            taken = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is no place to say so.
            self._buffer.clear()
            return
        del self._buffer[:taken]
        if self._lost and not self._buffer:
            lost, self._lost = self._lost, 0
            self.write("log_lines_lost", lines=lost, reason="the reader was too slow")


def _write_stdout(data: bytes) -> int:
    return os.write(STDOUT, data)


__all__ = ["FLUSH_S", "Logs"]
