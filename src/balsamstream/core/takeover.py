"""A new agent process takes over the flows of the one that it replaces."""

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
ASK_REPEAT_S: Final = 0.2
PREDECESSOR_WAIT_S: Final = 1.0
"""A predecessor that is silent for so long runs no more."""

BEGIN: Final = -1


class SuccessorRole:
    """The new agent's side: asks until the old one holds nothing more."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._predecessor: Member | None = None
        self._asked = 0.0
        self._heard = 0.0
        self._after = BEGIN
        self.is_complete = False

    @property
    def predecessor(self) -> Address | None:
        """Where packets of flows go that are not taken over yet."""
        if self._predecessor is None or self.is_complete:
            return None
        return self._predecessor.address

    def find_predecessor(self, now: float) -> None:
        """Look for another run of this host's agent in the first view seen."""
        if self._predecessor is not None or self.is_complete:
            return
        config = self._state.config
        listed = self._state.routing.view.find_member(config.ref.name)
        same_place = listed is not None and listed.address == config.address
        if listed is None or listed.ref == config.ref or same_place:
            self.is_complete = True
            return
        self._predecessor = listed
        self._heard = now

    def handle_part(self, part: TakeoverPart, now: float) -> list[Action]:
        """Go on with the flows of one part and ask for the next."""
        old = self._predecessor
        if old is None or self.is_complete or part.predecessor != old.ref:
            return []
        self._heard = now
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
            return [*opened, *self._ask(now), count]
        if part.left == 0:
            self.is_complete = True
            return []
        self._after = BEGIN
        return []

    def tick(self, now: float) -> list[Action]:
        """Repeat the question; go on alone if nobody answers."""
        if self._predecessor is None or self.is_complete:
            return []
        if now - self._heard >= PREDECESSOR_WAIT_S:
            self.is_complete = True
            return []
        if now - self._asked < ASK_REPEAT_S:
            return []
        return self._ask(now)

    def _ask(self, now: float) -> list[Action]:
        if self._predecessor is None:
            return []
        self._asked = now
        config = self._state.config
        ask = TakeoverRequest(config.service, config.ref, self._after)
        return [Send(self._predecessor.address, ask)]


class PredecessorRole:
    """The old agent's side: closes its idle flows and hands them over."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._given: dict[FlowKey, Flow] = {}
        self._successor: Address | None = None
        self._asked = 0.0

    @property
    def successor(self) -> Address | None:
        """The agent that replaces this one."""
        return self._successor

    def is_done(self, now: float) -> bool:
        """Tell whether the successor has everything."""
        if self._successor is None or len(self._state.flows) > 0:
            return False
        return now - self._asked >= PREDECESSOR_WAIT_S

    def handle_request(
        self, sender: Address, ask: TakeoverRequest, busy: set[FlowKey], now: float
    ) -> list[Action]:
        """Hand the next flows over; those with a request in flight wait."""
        config = self._state.config
        if ask.successor.name != config.ref.name or ask.successor == config.ref:
            return [Count("unexpected_message")]
        self._successor = sender
        self._asked = now
        self._state.leaving = True
        for flow in [given for given in self._given if given <= ask.after]:
            del self._given[flow]
        closed = self._close_next(ask.after, busy)
        part = self._build_part(ask)
        return [*closed, Send(sender, part)]

    def pass_on(self, packet: Packet) -> list[Action]:
        """Send a packet of a flow that is not held here any more to the successor."""
        if self._successor is None:
            return []
        flags = packet.flags | PacketFlag.PLACED
        passed = replace(packet, hops=packet.hops + 1, flags=flags)
        return [Send(self._successor, passed)]

    def _close_next(self, after: int, busy: set[FlowKey]) -> list[Action]:
        room = FLOWS_PER_PART - len(self._given)
        idle = sorted(
            flow for flow in self._state.flows if flow > after and flow not in busy
        )
        actions: list[Action] = []
        for flow in idle[: max(0, room)]:
            held = self._state.flows.find(flow)
            if held is None:
                continue
            self._given[flow] = held
            self._state.flows.close(flow)
            actions.append(CloseFlow(flow, is_handed_over=True))
        return actions

    def _build_part(self, ask: TakeoverRequest) -> TakeoverPart:
        state = self._state
        share = 0.0 if state.admission is None else state.admission.share
        flows = tuple(
            HeldFlow(flow, self._given[flow].caller, self._given[flow].via)
            for flow in sorted(self._given)
            if flow > ask.after
        )
        left = len(state.flows) + len(self._given) - len(flows)
        return TakeoverPart(
            state.config.service, state.config.ref, ask.after, left, share, flows
        )


__all__ = ["PredecessorRole", "SuccessorRole"]
