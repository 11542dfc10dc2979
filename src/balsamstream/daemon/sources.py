"""When an agent reads the platform itself because no balancer tells it anything."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from balsamstream.core.message import Changes, Ping

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamstream.core.identity import Address
    from balsamstream.core.message import Message

FIRST_READ_S: Final = 0.5
QUIET_S: Final = 10.0
MOST_BALANCERS: Final = 256


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
        self._pause_s = FIRST_READ_S
        self._next_read = now + _spread(FIRST_READ_S)

    def note_balancers(self, addresses: Iterable[Address]) -> None:
        """Note processes that are balancers; beyond a bound the oldest is dropped."""
        for address in addresses:
            self._balancers[address] = None
            if len(self._balancers) > MOST_BALANCERS:
                del self._balancers[next(iter(self._balancers))]

    def note_message(self, sender: Address, message: Message, now: float) -> None:
        """Note a message; only balancers ping, and know the configuration."""
        match message:
            case Ping():
                self.note_balancers((sender,))
            case Changes(up_to=up_to) if up_to > 0 and sender in self._balancers:
                self._pause_s = QUIET_S
                self._next_read = now + _spread(QUIET_S)

    def is_due(self, now: float) -> bool:
        """Tell whether to read now; the next read is then later."""
        if now < self._next_read:
            return False
        self._next_read = now + _spread(self._pause_s)
        self._pause_s = min(QUIET_S, 2 * self._pause_s)
        return True


def _spread(least_s: float) -> float:
    return least_s * random.uniform(1.0, 2.0)


__all__ = ["ReadSchedule"]
