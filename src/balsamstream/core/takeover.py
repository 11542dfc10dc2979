"""Takeover of a host's flows when a new agent process replaces the old one."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from .action import CloseFlow, Count, OpenFlow, Send
from .message import HeldFlow, PacketFlag, TakeoverPart, TakeoverRequest

if TYPE_CHECKING:
    from .action import Action
    from .flows import Flow
    from .identity import Address, FlowKey
    from .message import Packet
    from .state import AgentState
    from .view import Member

FLOWS_PER_PART: Final = 32
REQUEST_RETRY_S: Final = 0.2
TAKEOVER_TIMEOUT_S: Final = 1.0
"""Silence after which the other agent is assumed to have ended or finished."""

BEFORE_FIRST_FLOW: Final = -1


class SuccessorRole:
    """The new agent's side: requests flows until the old agent holds none."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._predecessor: Member | None = None
        self._requested_at = 0.0
        self._last_heard_at = 0.0
        self._after = BEFORE_FIRST_FLOW
        self.is_complete = False

    @property
    def predecessor(self) -> Address | None:
        """Address for packets of flows not taken over yet, or None if there is none."""
        if self._predecessor is None or self.is_complete:
            return None
        return self._predecessor.address

    def find_predecessor(self, now: float) -> None:
        """Look for another incarnation of this host's agent in the first view."""
        if self._predecessor is not None or self.is_complete:
            return
        config = self._state.config
        view = self._state.routing.view
        if view.number == 0:
            # Data centres have arrived before the first view.
            return
        listed = view.find_member(config.ref.name)
        same_address = listed is not None and listed.address == config.address
        if listed is None or listed.ref == config.ref or same_address:
            self.is_complete = True
            return
        self._predecessor = listed
        self._last_heard_at = now

    def handle_part(self, part: TakeoverPart, now: float) -> list[Action]:
        """Continue the flows of one part and request the next part."""
        old = self._predecessor
        if old is None or self.is_complete or part.predecessor != old.ref:
            return []
        self._last_heard_at = now
        if part.after != self._after:
            return []
        opened: list[Action] = []
        for held in part.flows:
            self._state.flows.record_caller_packet(
                held.flow, held.caller, held.via, now
            )
            opened.append(OpenFlow(held.flow))
        if self._state.admission is not None:
            self._state.admission.raise_share(part.share)
        if part.flows:
            self._after = part.flows[-1].flow
            count = Count("flows_taken_over", len(part.flows))
            return [*opened, *self._request_part(now), count]
        if part.left == 0:
            self.is_complete = True
            return []
        self._after = BEFORE_FIRST_FLOW
        return []

    def tick(self, now: float) -> list[Action]:
        """Repeat the request; end the takeover if the predecessor does not answer."""
        if self._predecessor is None or self.is_complete:
            return []
        if now - self._last_heard_at >= TAKEOVER_TIMEOUT_S:
            self.is_complete = True
            return []
        if now - self._requested_at < REQUEST_RETRY_S:
            return []
        return self._request_part(now)

    def _request_part(self, now: float) -> list[Action]:
        if self._predecessor is None:
            return []
        self._requested_at = now
        config = self._state.config
        message = TakeoverRequest(config.service, config.ref, self._after)
        return [Send(self._predecessor.address, message)]


class PredecessorRole:
    """The old agent's side: closes its idle flows and hands them over."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._handed_over: dict[FlowKey, Flow] = {}
        self._successor: Address | None = None
        self._requested_at = 0.0

    @property
    def successor(self) -> Address | None:
        """Address of the agent that replaces this one, or None if there is none."""
        return self._successor

    def is_done(self, now: float) -> bool:
        """Return whether the successor has taken over all flows."""
        if self._successor is None or len(self._state.flows) > 0:
            return False
        return now - self._requested_at >= TAKEOVER_TIMEOUT_S

    def handle_request(
        self, sender: Address, message: TakeoverRequest, busy: set[FlowKey], now: float
    ) -> list[Action]:
        """Hand over the next flows; those with a request in flight follow later."""
        config = self._state.config
        if message.successor.name != config.ref.name or message.successor == config.ref:
            return [Count("unexpected_message")]
        self._successor = sender
        self._requested_at = now
        self._state.leaving = True
        for flow in [
            closed_flow
            for closed_flow in self._handed_over
            if closed_flow <= message.after
        ]:
            del self._handed_over[flow]
        closed = self._close_next(message.after, busy)
        part = self._build_part(message)
        return [*closed, Send(sender, part)]

    def forward(self, packet: Packet) -> list[Action]:
        """Forward a packet of a flow that is no longer held here to the successor."""
        if self._successor is None:
            return []
        flags = packet.flags | PacketFlag.PLACED
        forwarded = replace(packet, hops=packet.hops + 1, flags=flags)
        return [Send(self._successor, forwarded)]

    def _close_next(self, after: int, busy: set[FlowKey]) -> list[Action]:
        capacity = FLOWS_PER_PART - len(self._handed_over)
        idle = sorted(
            flow for flow in self._state.flows if flow > after and flow not in busy
        )
        actions: list[Action] = []
        for flow in idle[: max(0, capacity)]:
            held = self._state.flows.find(flow)
            if held is None:
                continue
            self._handed_over[flow] = held
            self._state.flows.close(flow)
            actions.append(CloseFlow(flow, is_handed_over=True))
        return actions

    def _build_part(self, message: TakeoverRequest) -> TakeoverPart:
        state = self._state
        share = 0.0 if state.admission is None else state.admission.share
        flows = tuple(
            HeldFlow(flow, self._handed_over[flow].caller, self._handed_over[flow].via)
            for flow in sorted(self._handed_over)
            if flow > message.after
        )
        left = len(state.flows) + len(self._handed_over) - len(flows)
        return TakeoverPart(
            state.config.service, state.config.ref, message.after, left, share, flows
        )


__all__ = ["PredecessorRole", "SuccessorRole"]
