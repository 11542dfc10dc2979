"""Flows placed on behalf of an owner that a balancer could not reach."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from .action import Send
from .message import ReportReply
from .routing import RoutingVersion

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .action import Action
    from .identity import FlowKey, ProcessRef
    from .state import AgentState
    from .view import Member

BEFORE_FIRST_FLOW: Final = -1
FLOWS_PER_PART: Final = 120
MOST_ACTED: Final = 2_000
TELL_REPEAT_S: Final = 1.0
KEPT_S: Final = 30.0
NO_VERSION: Final = RoutingVersion(0, 0)


class ActingPlacements:
    """Tells absent owners what was placed for them, so that they know on return."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._placed: OrderedDict[FlowKey, tuple[ProcessRef, float]] = OrderedDict()
        self._told = 0.0

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._placed

    def record(self, flow: FlowKey, now: float) -> None:
        """Remember a flow that was placed for its owner."""
        owner = self._state.routing.find_owner(flow)
        if owner is None:
            return
        self._placed[flow] = (owner.ref, now)
        if len(self._placed) > MOST_ACTED:
            self._placed.popitem(last=False)

    def notify_owners(
        self, pins: Mapping[FlowKey, ProcessRef], now: float
    ) -> list[Action]:
        """Tell each owner its flows, once a second while they are fresh.

        Parameters
        ----------
        pins : mapping of FlowKey to ProcessRef
            Where flows were placed; one that is not there is held here.
        """
        self._forget_old(now)
        if not self._placed or now - self._told < TELL_REPEAT_S:
            return []
        self._told = now
        return [
            action
            for member in self._state.routing.eligible
            for action in self._tell_owner(member, pins)
        ]

    def _forget_old(self, now: float) -> None:
        while self._placed:
            flow, (_, placed) = next(iter(self._placed.items()))
            if placed > now - KEPT_S:
                return
            del self._placed[flow]

    def _tell_owner(
        self, owner: Member, pins: Mapping[FlowKey, ProcessRef]
    ) -> list[Send]:
        by_holder: dict[ProcessRef, list[FlowKey]] = {}
        for flow, (ref, _) in self._placed.items():
            if ref != owner.ref:
                continue
            holder = pins.get(flow, self._state.config.ref)
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
    """Build a report that nobody asked for: some flows of an owner and their holder."""
    service = state.config.service
    note = ReportReply(service, NO_VERSION, holder, BEFORE_FIRST_FLOW, False, flows)
    return Send(owner.address, note)


__all__ = [
    "BEFORE_FIRST_FLOW",
    "FLOWS_PER_PART",
    "ActingPlacements",
    "build_unsolicited_report",
]
