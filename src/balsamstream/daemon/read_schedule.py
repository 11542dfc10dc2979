"""When an agent reads the platform itself because no balancer tells it anything."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from balsamstream.core.message import Changes, Ping

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamstream.core.identity import Address
    from balsamstream.core.message import Message

INITIAL_READ_INTERVAL_S: Final = 0.5
MAX_READ_INTERVAL_S: Final = 10.0
MAX_BALANCERS: Final = 256


class ReadSchedule:
    """Times of an agent's own reads; an answer of a balancer puts the next one off.

    Answers of other agents do not: all of them may have lost touch together. Each wait
    is drawn between once and twice its least length, to spread the reads of many.

    Parameters
    ----------
    now : float
        Seconds of a clock that never falls.
    """

    def __init__(self, now: float) -> None:
        self._balancers: dict[Address, None] = {}
        self._interval_s = INITIAL_READ_INTERVAL_S
        self._next_read_at = now + _add_jitter(INITIAL_READ_INTERVAL_S)

    def record_balancers(self, addresses: Iterable[Address]) -> None:
        """Note processes that are balancers; beyond a bound the oldest is dropped."""
        for address in addresses:
            self._balancers[address] = None
            if len(self._balancers) > MAX_BALANCERS:
                del self._balancers[next(iter(self._balancers))]

    def handle_message(self, sender: Address, message: Message, now: float) -> None:
        """Note a message; only balancers ping, and know the configuration."""
        match message:
            case Ping():
                self.record_balancers((sender,))
            case Changes(up_to=up_to) if up_to > 0 and sender in self._balancers:
                self._interval_s = MAX_READ_INTERVAL_S
                self._next_read_at = now + _add_jitter(MAX_READ_INTERVAL_S)

    def try_start_read(self, now: float) -> bool:
        """Tell whether to read now; the next read is then later."""
        if now < self._next_read_at:
            return False
        self._next_read_at = now + _add_jitter(self._interval_s)
        self._interval_s = min(MAX_READ_INTERVAL_S, 2 * self._interval_s)
        return True


def _add_jitter(least_s: float) -> float:
    return least_s * random.uniform(1.0, 2.0)


__all__ = ["ReadSchedule"]
