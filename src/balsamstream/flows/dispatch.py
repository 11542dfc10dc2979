"""Dispatch of opening packets from a gate to its host, with a queue for overload."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .messages import DeclineReason
from .waiting_queue import Opening, OpeningQueue, has_capacity

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import Events
    from .flow_table import FlowTable
    from .host_record import HostRecord

SYN_TIMEOUT_S: Final = 0.06
"""Time to answer an opening packet; a healthy host needs less than a millisecond."""


class OpeningDispatcher:
    """Dispatches opening packets to one host, queues them, and times them out.

    Parameters
    ----------
    events : Events
        Logs and counts decisions.
    flows : FlowTable
        Flows of the host.
    host : HostRecord
        Last heartbeat of the host.
    waiting : OpeningQueue
        Queue of the openings that wait.
    send : callable
        Sends a front's packet to the host.
    decline : callable
        Returns an opening packet to its front, with the reason.
    """

    def __init__(
        self,
        events: Events,
        flows: FlowTable,
        host: HostRecord,
        waiting: OpeningQueue,
        send: Callable[[bytes, str], None],
        decline: Callable[[Opening, DeclineReason, float], None],
    ) -> None:
        self._events = events
        self._flows = flows
        self._host = host
        self._send = send
        self._decline = decline
        self._waiting = waiting
        self._dispatched: deque[tuple[float, Opening]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def has_pending_work(self) -> bool:
        """Whether packets wait, or the host has yet to answer dispatched ones."""
        return bool(self._waiting) or bool(self._dispatched)

    def is_waiting(self, flow: bytes) -> bool:
        """Return whether a flow's opening packet is in the queue."""
        return flow in self._waiting

    def find_dispatched(self, flow: bytes) -> Opening | None:
        """Return a flow's opening if it was dispatched within `SYN_TIMEOUT_S`."""
        for _, opening in reversed(self._dispatched):
            if opening.flow == flow:
                return opening
        return None

    def compute_wait_s(self, now: float) -> float | None:
        """Return the expected time until the host begins one more request, if known."""
        waiting = self._waiting.count_routes(now)
        return self._flows.work.compute_wait_s(waiting, now)

    def get_service_s(self, flow: bytes, now: float) -> float | None:
        """Return the learned median service time of a flow's route, if known."""
        route = packets.get_flow_route(flow)
        median_s = self._flows.work.times.get_median_s(route, now)
        return None if median_s is None else round(median_s, 4)

    def submit(self, opening: Opening, now: float) -> None:
        """Dispatch an opening packet now, or queue it until the host has capacity."""
        if not self._waiting.can_accept(opening, now):
            self._decline(opening, DeclineReason.BUSY, now)
            return
        displaced = self._waiting.add(opening)
        if displaced is not None:
            self._decline(displaced, DeclineReason.BUSY, now)
        self.dispatch_waiting(now)
        if not self.is_waiting(opening.flow):
            return
        self._flows.is_load_changed = True
        self._events.emit_for_flow(
            "waiting",
            opening.flow,
            priority=opening.priority,
            in_flight=self._flows.in_flight,
            waiting=len(self._waiting),
            service_s=self.get_service_s(opening.flow, now),
        )
        if self._waiting.is_plan_due(now):
            self._decline_hopeless(now)

    def dispatch_waiting(self, now: float) -> None:
        """Dispatch as many waiting packets as the host has capacity for.

        Those that have waited for too long are declined first. After a pause of this
        process there may be some although no tick was due.
        """
        self._flows.expire_unconfirmed(now)
        self._decline_all(self._waiting.pop_expired(now), now)
        while self._waiting and has_capacity(self._flows.in_flight, self._host.slots):
            opening = self._waiting.pop(now)
            if opening is None:
                return
            if now > opening.arrived_at:
                self._events.observe_waiting(now - opening.arrived_at)
            self._dispatch(opening, now)

    def decline_waiting(self, reason: DeclineReason, now: float) -> None:
        """Decline all waiting packets, as the host accepts no new flows."""
        for opening in self._waiting.drain():
            self._decline(opening, reason, now)

    def handle_host_end(self, now: float) -> None:
        """Decline what a host that has ended has not answered, flows still in place."""
        for _, opening in self._dispatched:
            self._decline_unanswered(opening, now)
        self._dispatched.clear()
        self._waiting.clear_order()

    def tick(self, now: float) -> None:
        """Decline packets that timed out, and dispatch what there is capacity for."""
        self._expire_unanswered(now)
        self.dispatch_waiting(now)
        self._decline_hopeless(now)

    def _decline_hopeless(self, now: float) -> None:
        """Decline packets whose turn cannot come before their deadline."""
        if not self._waiting:
            return
        forecast = self._flows.work.forecast(now)
        self._decline_all(self._waiting.pop_hopeless(forecast, now), now)

    def _decline_all(self, openings: list[Opening], now: float) -> None:
        for opening in openings:
            self._decline(opening, DeclineReason.BUSY, now)

    def _dispatch(self, opening: Opening, now: float) -> None:
        self._flows.open(opening.flow, opening.packet, opening.front, now)
        self._dispatched.append((now, opening))
        self._events.count("flows.offered")
        self._send(opening.packet, opening.front)

    def _expire_unanswered(self, now: float) -> None:
        """Decline opening packets that the host has not answered in time."""
        dispatched = self._dispatched
        while dispatched and now - dispatched[0][0] > SYN_TIMEOUT_S:
            _, opening = dispatched.popleft()
            self._decline_unanswered(opening, now)

    def _decline_unanswered(self, opening: Opening, now: float) -> None:
        entry = self._flows.get(opening.flow)
        if entry is None or entry.host_next_seq is not None:
            return
        self._flows.remove(opening.flow)
        opening = replace(opening, front=entry.front)
        self._decline(opening, DeclineReason.NO_ANSWER, now)


__all__ = ["OpeningDispatcher"]
