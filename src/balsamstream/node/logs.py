"""Rate-limited, non-blocking log on standard output."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, Final

from logfmter import Logfmter

from balsamstream.flows.rate_limit import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S: Final = 200.0
"""Rate limit of each event; dropped lines are counted and the count is logged."""
LINE_BURST: Final = 400.0
MAX_BUFFER_BYTES: Final = 256 * 1024
FLUSH_S: Final = 0.05
STDOUT: Final = 1


class LineBudget:
    """Rate limit of the log lines of one event.

    Attributes
    ----------
    dropped : int
        Lines refused since the last line that was written.
    """

    def __init__(self) -> None:
        self._limit = RateLimit(LINES_PER_S, LINE_BURST)
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Take a token for one line; return False if there is none."""
        if self._limit.try_acquire(now):
            return True
        self.dropped += 1
        return False


class Logs:
    """Log of a node: one line of key=value pairs (logfmt) for each event.

    Lines are kept in a bounded buffer until the next flush. If the reader of standard
    output is too slow, lines are dropped and counted, but the process does not block.

    Parameters
    ----------
    node : str
        Name of the node, a field of every line.
    write : callable or None
        Writes bytes and returns how many were written; raises BlockingIOError if it
        would block. None for standard output.
    read_clock : callable
        Returns the time of a monotonic clock, in seconds.
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
        self._lost_lines = 0

    def write(self, event: str, **fields: object) -> None:
        """Buffer a line unless the event's rate limit or the buffer is exhausted."""
        now = self._read_clock()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = LineBudget()
        if not budget.try_acquire(now):
            return
        if budget.dropped:
            fields["dropped_before"] = budget.dropped
        line = Logfmter.format_params(
            {"time": f"{time.time():.3f}", "event": event, "node": self._node, **fields}
        )
        encoded = line.encode() + b"\n"
        if len(self._buffer) + len(encoded) > MAX_BUFFER_BYTES:
            self._lost_lines += 1
            return
        budget.dropped = 0
        self._buffer += encoded

    def error(self, event: str, **fields: object) -> None:
        """Buffer a line with level "error"."""
        self.write(event, level="error", **fields)

    def flush(self) -> None:
        """Write the buffered lines as far as possible without blocking."""
        if not self._buffer:
            return
        try:
            written = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # Standard output has no reader any more, so the error cannot be logged.
            self._buffer.clear()
            return
        del self._buffer[:written]
        if self._lost_lines and not self._buffer:
            lost, self._lost_lines = self._lost_lines, 0
            self.write("log_lines_lost", lines=lost, reason="the reader was too slow")


def _write_stdout(data: bytes) -> int:
    return os.write(STDOUT, data)


__all__ = ["FLUSH_S", "Logs"]
