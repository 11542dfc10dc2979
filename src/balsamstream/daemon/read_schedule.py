"""Schedule of an agent's own reads of the platform."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from balsamstream.core.message import Changes, Ping

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamstream.core.identity import Address
    from balsamstream.core.message import Message

# Intervals before jitter, which lengthens each by up to its own length.
INITIAL_READ_INTERVAL_S: Final = 0.5
MAX_READ_INTERVAL_S: Final = 10.0
MAX_BALANCERS: Final = 256


class ReadSchedule:
    """Decides when an agent reads the platform because no balancer sends changes.

    Changes from a balancer postpone the next read. Changes from other agents do not:
    all agents may have lost contact with the balancers at once. Intervals grow
    exponentially up to a maximum, and jitter spreads the reads of many agents.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._balancers: dict[Address, None] = {}
        self._interval_s = INITIAL_READ_INTERVAL_S
        self._next_read_at = now + _add_jitter(INITIAL_READ_INTERVAL_S)

    def record_balancers(self, addresses: Iterable[Address]) -> None:
        """Record addresses of balancers; above a limit the oldest are dropped."""
        for address in addresses:
            self._balancers[address] = None
            if len(self._balancers) > MAX_BALANCERS:
                del self._balancers[next(iter(self._balancers))]

    def handle_message(self, sender: Address, message: Message, now: float) -> None:
        """Record a balancer by its ping, or postpone the next read after its changes.

        Only balancers send pings. Changes up to version 0 come from a balancer that
        has no configuration, and are ignored.
        """
        match message:
            case Ping():
                self.record_balancers((sender,))
            case Changes(up_to=up_to) if up_to > 0 and sender in self._balancers:
                self._interval_s = MAX_READ_INTERVAL_S
                self._next_read_at = now + _add_jitter(MAX_READ_INTERVAL_S)

    def try_start_read(self, now: float) -> bool:
        """Return whether a read is due; if so, schedule the next one."""
        if now < self._next_read_at:
            return False
        self._next_read_at = now + _add_jitter(self._interval_s)
        self._interval_s = min(MAX_READ_INTERVAL_S, 2 * self._interval_s)
        return True


def _add_jitter(interval_s: float) -> float:
    return interval_s * random.uniform(1.0, 2.0)


__all__ = ["ReadSchedule"]
