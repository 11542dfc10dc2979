"""Flows placed on behalf of an owner that a balancer could not reach."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from .action import Send
from .message import HeldFlowsReply
from .routing import RoutingVersion

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .action import Action
    from .identity import FlowKey, ProcessRef
    from .state import AgentState
    from .view import Member

BEFORE_FIRST_FLOW: Final = -1
FLOWS_PER_PART: Final = 120
MAX_PLACEMENTS: Final = 2_000
NOTIFY_INTERVAL_S: Final = 1.0
RETENTION_S: Final = 30.0
NO_VERSION: Final = RoutingVersion(0, 0)


class ActingPlacements:
    """Flows placed for unreachable owners, and the reports of their holders.

    The reports are repeated, so that an owner that is reachable again receives them.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._placed: OrderedDict[FlowKey, tuple[ProcessRef, float]] = OrderedDict()
        self._notified_at = 0.0

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._placed

    def record(self, flow: FlowKey, now: float) -> None:
        """Record a flow that was placed for its owner."""
        owner = self._state.routing.find_owner(flow)
        if owner is None:
            return
        self._placed[flow] = (owner.ref, now)
        if len(self._placed) > MAX_PLACEMENTS:
            self._placed.popitem(last=False)

    def notify_owners(
        self, holders: Mapping[FlowKey, ProcessRef], now: float
    ) -> list[Action]:
        """Send each owner the holders of its flows, once a second until they expire.

        Parameters
        ----------
        holders : mapping of FlowKey to ProcessRef
            Hosts that flows were placed on; a flow without an entry is held here.
        """
        self._expire(now)
        if not self._placed or now - self._notified_at < NOTIFY_INTERVAL_S:
            return []
        self._notified_at = now
        return [
            action
            for member in self._state.routing.eligible
            for action in self._notify_owner(member, holders)
        ]

    def _expire(self, now: float) -> None:
        while self._placed:
            flow, (_, placed_at) = next(iter(self._placed.items()))
            if placed_at > now - RETENTION_S:
                return
            del self._placed[flow]

    def _notify_owner(
        self, owner: Member, holders: Mapping[FlowKey, ProcessRef]
    ) -> list[Send]:
        by_holder: dict[ProcessRef, list[FlowKey]] = {}
        for flow, (ref, _) in self._placed.items():
            if ref != owner.ref:
                continue
            holder = holders.get(flow, self._state.config.ref)
            by_holder.setdefault(holder, []).append(flow)
        sends: list[Send] = []
        for holder, flows in by_holder.items():
            for first in range(0, len(flows), FLOWS_PER_PART):
                part = tuple(flows[first : first + FLOWS_PER_PART])
                sends.append(build_unsolicited_report(self._state, owner, holder, part))
        return sends


def build_unsolicited_report(
    state: AgentState, owner: Member, holder: ProcessRef, flows: tuple[FlowKey, ...]
) -> Send:
    """Build a report without a request: some flows of an owner and their holder."""
    service = state.config.service
    report = HeldFlowsReply(
        service, NO_VERSION, holder, BEFORE_FIRST_FLOW, False, flows
    )
    return Send(owner.address, report)


__all__ = [
    "BEFORE_FIRST_FLOW",
    "FLOWS_PER_PART",
    "ActingPlacements",
    "build_unsolicited_report",
]
