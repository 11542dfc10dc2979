"""Which hosts answer, as one balancer sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .action import Send
from .message import Ping

if TYPE_CHECKING:
    from .identity import Address

PING_AFTER_S: Final = 0.3
PING_REPEAT_S: Final = 0.2
SUSPECT_AFTER_S: Final = 1.0
FORGET_AFTER_S: Final = 60.0
"""A host silent for so long is pinged no more, until it is sent something again."""

PROBATION_S: Final = 1.5
"""Time for a returned host to hear what others placed for it meanwhile."""


class Liveness:
    """Hosts that were sent something and have not been heard since.

    A host at rest costs nothing: it is pinged only while an answer is due.
    """

    def __init__(self) -> None:
        self._waits: dict[Address, float] = {}
        self._pinged: dict[Address, float] = {}
        self._suspects: dict[Address, float] = {}
        self._probation: dict[Address, float] = {}
        self._number = 0

    def record_sent(self, address: Address, now: float) -> None:
        """Start to wait for a sign of life."""
        if address not in self._waits:
            self._waits[address] = now

    def record_heard(self, address: Address, now: float) -> None:
        """Take any message as a sign of life."""
        self._waits.pop(address, None)
        if self._pinged:
            self._pinged.pop(address, None)
        if self._suspects and self._suspects.pop(address, None) is not None:
            self._probation[address] = now + PROBATION_S

    def is_suspect(self, address: Address) -> bool:
        """Tell whether a host is passed over."""
        if not self._suspects and not self._probation:
            return False
        return address in self._suspects or address in self._probation

    def clear_waits(self) -> None:
        """Blame nobody for a time in which this process did not run."""
        self._waits.clear()

    def tick(self, now: float) -> list[Send]:
        """Ping hosts whose sign of life is due, and suspect the silent ones."""
        for address, until in list(self._probation.items()):
            if now >= until:
                del self._probation[address]
        self._forget_gone(now)
        sends: list[Send] = []
        for address, since in self._waits.items():
            silent = now - since
            if silent >= SUSPECT_AFTER_S and address not in self._suspects:
                self._suspects[address] = now
            pinged = self._pinged.get(address, since)
            if silent < PING_AFTER_S or now - pinged < PING_REPEAT_S:
                continue
            self._pinged[address] = now
            self._number += 1
            sends.append(Send(address, Ping(self._number)))
        return sends

    def _forget_gone(self, now: float) -> None:
        """Stop to ask hosts that have been silent for long; most were removed."""
        while self._waits:
            address, since = next(iter(self._waits.items()))
            if now - since < FORGET_AFTER_S:
                return
            del self._waits[address]
            self._suspects.pop(address, None)
            self._pinged.pop(address, None)


__all__ = ["SUSPECT_AFTER_S", "Liveness"]
