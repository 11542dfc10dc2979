"""Flows that a host may hold from before its gate began.

Load pattern: gates are stopped and started under load, or all at once, while their
hosts live on. Only a host knows what it held before; it is asked with the callers' own
packets, and its answer is told from those to an earlier flow with the same ends.
"""

from __future__ import annotations

import enum
from typing import Final

from balsamstream.platform import packets

FLOW_LIFETIME_S: Final = 60.0
"""Older flows may be discarded, so a gate that ran for so long has seen all begin."""
ASKED_S: Final = 1.0
"""How long a host may take to show that it holds a flow it was asked about."""


class Answer(enum.Enum):
    """What a packet of a host says of a flow that it was asked about."""

    HELD = enum.auto()
    NOT_HELD = enum.auto()
    AMBIGUOUS = enum.auto()


class UnseenFlows:
    """What is known of the flows that began before the gate.

    Parameters
    ----------
    now : float
        When the gate began, in seconds.

    Attributes
    ----------
    knows_all : bool
        Whether the gate has seen every flow of the host begin.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._asked: dict[bytes, tuple[str, float]] = {}
        self.knows_all = False

    def clear(self) -> None:
        """Forget what an earlier incarnation of the host was asked."""
        self._asked.clear()

    def ask(self, flow: bytes, front: str, now: float) -> None:
        """Note that the host is asked about a flow for a front."""
        self._asked[flow] = (front, now)

    def get_asker(self, flow: bytes) -> str:
        """Return the front for which the host was asked, empty for none."""
        return self._asked.get(flow, ("", 0.0))[0]

    def end(self, flow: bytes) -> None:
        """Forget that the host was asked, as it has said that it knows nothing."""
        self._asked.pop(flow, None)

    def take_answer(self, flow: bytes, packet: bytes) -> Answer:
        """Read from a host's packet whether it holds a flow.

        A reset or an empty packet may be about an earlier flow with the same ends.
        """
        flags = packets.get_flags(packet)
        if flags & packets.RST:
            self.end(flow)
            return Answer.NOT_HELD
        if not packets.get_data_bytes(packet) and not flags & packets.FIN:
            return Answer.AMBIGUOUS
        self.end(flow)
        return Answer.HELD

    def expire(self, now: float) -> None:
        """Forget what the host has not answered."""
        if now - self._started_at > FLOW_LIFETIME_S:
            self.knows_all = True
        for flow, (_, asked_at) in list(self._asked.items()):
            if now - asked_at > ASKED_S:
                del self._asked[flow]


__all__ = ["ASKED_S", "FLOW_LIFETIME_S", "Answer", "UnseenFlows"]
