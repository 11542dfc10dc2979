"""Opening packets on their way to a host: waiting, offered, given up."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from .messages import Decline
from .waiting_queue import Opening, Waiting, has_room

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import Events
    from .flow_table import FlowTable
    from .host_record import HostRecord

SYN_ANSWER_S: Final = 0.06
"""A host answers an opening packet within a millisecond unless something is wrong."""


class Offers:
    """The opening packets of one host.

    Parameters
    ----------
    events : Events
        Where decisions are noted.
    flows : FlowTable
        The flows of the host.
    host : HostRecord
        What the host has said of itself.
    send : callable
        Sends a packet of a front to the host.
    decline : callable
        Gives an opening packet back to the front it came from, with the reason.
    """

    def __init__(
        self,
        events: Events,
        flows: FlowTable,
        host: HostRecord,
        send: Callable[[bytes, str], None],
        decline: Callable[[bytes, str, Decline, float], None],
    ) -> None:
        self._events = events
        self._flows = flows
        self._host = host
        self._send = send
        self._decline = decline
        self._waiting = Waiting()
        self._offered: deque[tuple[float, bytes, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a flow's opening packet waits."""
        return flow in self._waiting

    def add(self, opening: Opening, now: float) -> None:
        """Offer an opening packet to the host, now or once it has room."""
        if not self._waiting and has_room(self._flows.work, self._host.slots):
            self._offer(opening, now)
            return
        self._events.emit_for_flow(
            "waiting",
            opening.flow,
            priority=opening.priority,
            work=self._flows.work,
            waiting=len(self._waiting),
        )
        displaced = self._waiting.add(opening)
        if displaced is not None:
            self._decline(displaced.packet, displaced.front, Decline.BUSY, now)
        self._flows.is_changed = True
        self.go_on(now)

    def go_on(self, now: float) -> None:
        """Offer as many waiting packets as there is room for."""
        while self._waiting and has_room(self._flows.work, self._host.slots):
            opening = self._waiting.take()
            if opening is None:
                return
            self._events.observe_waiting(now - opening.arrived_at)
            self._offer(opening, now)

    def turn_away(self, reason: Decline, now: float) -> None:
        """Decline all that waits, since the host takes no flows any more."""
        for opening in self._waiting.clear():
            self._decline(opening.packet, opening.front, reason, now)

    def clear(self) -> None:
        """Forget what was offered to an earlier run of the host."""
        self._offered.clear()

    def tick(self, now: float) -> None:
        """Give up what took too long."""
        self._give_up_offered(now)
        for opening in self._waiting.expire(now):
            self._decline(opening.packet, opening.front, Decline.BUSY, now)
        self.go_on(now)

    def _offer(self, opening: Opening, now: float) -> None:
        self._flows.open(opening.flow, opening.packet, opening.front, now)
        self._offered.append((now, opening.flow, opening.packet))
        self._events.count("flows.offered")
        self._send(opening.packet, opening.front)

    def _give_up_offered(self, now: float) -> None:
        """Give opening packets back that the host has not answered."""
        offered = self._offered
        while offered and now - offered[0][0] > SYN_ANSWER_S:
            offered_at, flow, packet = offered.popleft()
            known = self._flows.get(flow)
            if known is None:
                continue
            if known.sent_up_to is not None:
                self._flows.expect_confirmation(known, offered_at)
                continue
            self._flows.forget(flow)
            self._decline(packet, known.front, Decline.NO_ANSWER, now)


__all__ = ["Offers"]
