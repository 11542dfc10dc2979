"""Failure detection of hosts by a balancer."""

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
"""Silence after which a host is no longer pinged, until it is sent a packet again."""

PROBATION_S: Final = 1.5
"""Time for a returned host to receive reports of flows placed in its absence."""


class Liveness:
    """Suspects hosts that were sent a packet and have sent nothing since.

    An idle host costs nothing: a host is pinged only while an answer is due.
    """

    def __init__(self) -> None:
        self._waiting_since: dict[Address, float] = {}
        self._last_ping_at: dict[Address, float] = {}
        self._suspects: dict[Address, float] = {}
        self._probation_until: dict[Address, float] = {}
        self._ping_number = 0

    def record_sent(self, address: Address, now: float) -> None:
        """Start to wait for a message from a host."""
        if address not in self._waiting_since:
            self._waiting_since[address] = now

    def record_heard(self, address: Address, now: float) -> None:
        """Stop waiting for a host; any message counts. A suspect goes on probation."""
        self._waiting_since.pop(address, None)
        if self._last_ping_at:
            self._last_ping_at.pop(address, None)
        if self._suspects and self._suspects.pop(address, None) is not None:
            self._probation_until[address] = now + PROBATION_S

    def is_suspect(self, address: Address) -> bool:
        """Return whether a host is to be avoided: it is suspected or on probation."""
        if not self._suspects and not self._probation_until:
            return False
        return address in self._suspects or address in self._probation_until

    def clear_waits(self, now: float) -> None:
        """Forget what is waited for, as after a pause of this process.

        Suspects go on probation: nothing is waited for from them any more, so no ping
        would ever clear them.
        """
        self._waiting_since.clear()
        self._last_ping_at.clear()
        for address in self._suspects:
            self._probation_until[address] = now + PROBATION_S
        self._suspects.clear()

    def tick(self, now: float) -> list[Send]:
        """Ping hosts whose answer is due, and suspect those that stay silent."""
        for address, until in list(self._probation_until.items()):
            if now >= until:
                del self._probation_until[address]
        self._expire_silent(now)
        sends: list[Send] = []
        for address, since in self._waiting_since.items():
            silent_s = now - since
            if silent_s >= SUSPECT_AFTER_S and address not in self._suspects:
                self._suspects[address] = now
            pinged_at = self._last_ping_at.get(address, since)
            if silent_s < PING_AFTER_S or now - pinged_at < PING_REPEAT_S:
                continue
            self._last_ping_at[address] = now
            self._ping_number += 1
            sends.append(Send(address, Ping(self._ping_number)))
        return sends

    def _expire_silent(self, now: float) -> None:
        """Forget hosts silent for ``FORGET_AFTER_S``; most of them were removed."""
        while self._waiting_since:
            address, since = next(iter(self._waiting_since.items()))
            if now - since < FORGET_AFTER_S:
                return
            del self._waiting_since[address]
            self._suspects.pop(address, None)
            self._last_ping_at.pop(address, None)


__all__ = ["SUSPECT_AFTER_S", "Liveness"]
