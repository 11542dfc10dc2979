"""Placement of new flows, and the holders of flows that are placed."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING, Final

from .acting import (
    BEFORE_FIRST_FLOW,
    FLOWS_PER_PART,
    ActingPlacements,
    build_unsolicited_report,
)
from .action import Count, Send
from .budget import RetryBudget
from .load import FULL, estimate_load
from .message import (
    HeldFlowsReply,
    HeldFlowsRequest,
    HolderReply,
    HolderRequest,
    PacketFlag,
    RequestKind,
)

if TYPE_CHECKING:
    from .action import Action
    from .identity import Address, FlowKey, ProcessRef
    from .message import Packet
    from .state import AgentState
    from .view import Member

MAX_HOLDERS: Final = 200_000
MAX_QUERIED_FLOWS: Final = 2_000
MAX_WAITING_PACKETS: Final = 8
HOLDER_TIMEOUT_S: Final = 0.2
REORDERING_WINDOW_S: Final = 1.0
"""Longer than the time between the arrivals of packets that were sent together."""

SYNC_RETRY_S: Final = 0.2
SYNC_TIMEOUT_S: Final = 3.0


class Disposition(Enum):
    """What the agent does with a packet whose flow it does not hold."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    DROP = "drop"
    FORWARDED = "forwarded"
    """The placement's actions forward the packet or query the holder of its flow."""


@dataclass(frozen=True, slots=True)
class Placement:
    """A decision on one packet and the actions that carry it out."""

    packet: Packet
    disposition: Disposition
    actions: tuple[Action, ...] = ()


@dataclass(slots=True)
class _HolderQuery:
    """Packets of one flow that wait for the members' replies on who holds it."""

    awaited: set[ProcessRef]
    deadline: float
    packets: list[Packet] = field(default_factory=list)


@dataclass(slots=True)
class _PendingReport:
    """Report of held flows that is not yet received completely from a member."""

    member: Member
    started_at: float
    requested_at: float
    after: int = BEFORE_FIRST_FLOW


class Ownership:
    """Placement of the flows whose buckets this host owns.

    A routing change moves buckets between hosts. Until each reachable member has
    reported the flows that it holds in this host's buckets, the members are queried
    for the holder of an unknown flow before the flow counts as new.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._holders: OrderedDict[FlowKey, ProcessRef] = OrderedDict()
        self._queries: dict[FlowKey, _HolderQuery] = {}
        self._pending_reports: dict[ProcessRef, _PendingReport] = {}
        self._acting = ActingPlacements(state)
        self._forwarded_at: OrderedDict[FlowKey, float] = OrderedDict()
        self._budget = RetryBudget()

    @property
    def is_synced(self) -> bool:
        """Whether all members have reported their flows, or have timed out."""
        return not self._pending_reports

    def find_holder(self, flow: FlowKey) -> str | None:
        """Return the name of the host that a flow was placed on, or None if unknown."""
        holder = self._holders.get(flow)
        return None if holder is None else holder.name

    def start_sync(self, now: float) -> list[Action]:
        """Request from each reachable member the flows of the buckets owned here.

        The holders of flows in buckets no longer owned are forgotten: the new owner
        may place these flows again, and the entries may be wrong when a bucket returns.
        """
        me = self._state.config.ref
        for flow in list(self._holders):
            if flow in self._acting or flow in self._forwarded_at:
                continue
            if not self._is_owner(me, flow):
                del self._holders[flow]
        self._pending_reports = {
            member.ref: _PendingReport(member, now, now)
            for member in self._state.routing.reachable
            if member.ref != me
        }
        return [
            self._request_report(pending) for pending in self._pending_reports.values()
        ]

    def place(self, packet: Packet, sender: Address, now: float) -> list[Placement]:
        """Decide on a packet whose flow is not held here."""
        state = self._state
        ranked = state.routing.rank(packet.flow)
        if PacketFlag.PLACED in packet.flags:
            return [self._handle_placed(packet, sender, now)]
        if not ranked:
            return [Placement(packet, Disposition.REFUSE)]
        me = state.config.ref
        owner = ranked[0]
        acting = PacketFlag.ACTING in packet.flags and owner.ref != me
        if not acting and owner.ref != me:
            return [self._forward(packet, owner, PacketFlag.NONE, "passed_to_owner")]
        holder = self._find_live_holder(packet.flow, now)
        if holder is not None:
            return [
                self._forward(packet, holder, PacketFlag.PLACED, "passed_to_holder")
            ]
        if acting or not self.is_synced or packet.flow in self._queries:
            excluded = owner.ref if acting else me
            return self._request_holder(packet, excluded, now)
        return [self._place_new(packet, now)]

    def handle_holder_reply(self, reply: HolderReply, now: float) -> list[Placement]:
        """Handle a member's reply on who holds a flow."""
        query = self._queries.get(reply.flow)
        if query is None:
            return []
        holder = None if reply.holder is None else self._find_other_member(reply.holder)
        if holder is not None:
            self._record_holder(reply.flow, holder.ref)
            return self._decide_waiting(reply.flow, now)
        if reply.member in self._pending_reports:
            # It may still route by the older view and open the flow after this reply.
            return []
        query.awaited.discard(reply.member)
        if query.awaited:
            return []
        return self._decide_waiting(reply.flow, now)

    def handle_holder_request(self, message: HolderRequest) -> HolderReply:
        """Build the reply that names the holder of a flow, as far as known here."""
        state = self._state
        name = state.config.ref.name
        holder = name if message.flow in state.flows else self.find_holder(message.flow)
        return HolderReply(state.config.service, message.flow, state.config.ref, holder)

    def handle_held_flows_request(
        self, message: HeldFlowsRequest
    ) -> HeldFlowsReply | None:
        """Build the report of the next flows held here whose buckets the sender owns.

        Returns None while the sender's routing is newer than the one here: flows opened
        under the older routing afterwards would be missing from the report.
        """
        state = self._state
        if not state.routing.version.covers(message.version):
            return None
        held = sorted(
            flow
            for flow in state.flows
            if flow > message.after and self._is_owner(message.owner, flow)
        )
        part = tuple(held[:FLOWS_PER_PART])
        return HeldFlowsReply(
            state.config.service,
            message.version,
            state.config.ref,
            message.after,
            len(held) > len(part),
            part,
        )

    def handle_held_flows_reply(
        self, reply: HeldFlowsReply, now: float
    ) -> list[Action]:
        """Record the holder of the flows that a member reports."""
        for flow in reply.flows:
            if flow not in self._state.flows:
                self._record_holder(flow, reply.holder)
        pending = self._pending_reports.get(reply.holder)
        if pending is None or reply.version != self._state.routing.version:
            return []
        if reply.after != pending.after:
            return []
        if not reply.more or not reply.flows:
            del self._pending_reports[reply.holder]
            self._stop_awaiting(reply.holder, now)
            return []
        pending.after = reply.flows[-1]
        pending.requested_at = now
        return [self._request_report(pending)]

    def _stop_awaiting(self, member: ProcessRef, now: float) -> None:
        """Stop waiting for a member's replies, because its report is complete.

        Queries that waited only for this member are decided at the next tick.
        """
        for query in self._queries.values():
            query.awaited.discard(member)
            if not query.awaited:
                query.deadline = now

    def tick(self, now: float) -> tuple[list[Placement], list[Action]]:
        """Repeat requests, and decide without the members that do not reply."""
        actions: list[Action] = []
        for pending in list(self._pending_reports.values()):
            if now - pending.started_at >= SYNC_TIMEOUT_S:
                del self._pending_reports[pending.member.ref]
                actions.append(Count("report_given_up"))
                continue
            if now - pending.requested_at < SYNC_RETRY_S:
                continue
            pending.requested_at = now
            actions.append(self._request_report(pending))
        placements: list[Placement] = []
        for flow, query in list(self._queries.items()):
            if now >= query.deadline:
                placements += self._decide_waiting(flow, now)
        self._expire_forwarded(now)
        actions += self._acting.notify_owners(self._holders, now)
        return placements, actions

    def forget_holder(self, flow: FlowKey) -> None:
        """Forget the recorded holder of a flow that is opened here."""
        self._holders.pop(flow, None)

    def _is_owner(self, owner: ProcessRef, flow: FlowKey) -> bool:
        member = self._state.routing.find_owner(flow)
        return member is not None and member.ref == owner

    def _request_report(self, pending: _PendingReport) -> Send:
        state = self._state
        message = HeldFlowsRequest(
            state.config.service, state.routing.version, state.config.ref, pending.after
        )
        return Send(pending.member.address, message)

    def _handle_placed(self, packet: Packet, sender: Address, now: float) -> Placement:
        holder = self._find_live_holder(packet.flow, now)
        came_from_holder = holder is not None and holder.address == sender
        if came_from_holder and packet.flow not in self._forwarded_at:
            # The recorded holder sent the packet here: it no longer holds the flow.
            del self._holders[packet.flow]
        elif holder is not None:
            # Refused here before and forwarded; the owner may not know that yet.
            return self._forward(packet, holder, PacketFlag.PLACED, "passed_to_holder")
        owner = self._state.routing.find_owner(packet.flow)
        if owner is not None and self._was_placed_late(packet, sender, owner):
            unplaced = replace(packet, flags=packet.flags & ~PacketFlag.PLACED)
            return self._forward(unplaced, owner, PacketFlag.NONE, "placed_late")
        admission = self._state.admission
        if admission is None:
            return Placement(packet, Disposition.REFUSE)
        fits = admission.can_open_flow(len(self._state.flows))
        if fits and self._state.takes_flows:
            return Placement(packet, Disposition.ACCEPT)
        return self._place_again(packet, now)

    def _was_placed_late(self, packet: Packet, sender: Address, owner: Member) -> bool:
        """Return whether a former owner of the bucket placed the flow here.

        The report to the present owner may have been sent without this flow.
        """
        if owner.address == sender or owner.ref == self._state.config.ref:
            return False
        if PacketFlag.ACTING in packet.flags:
            return False
        return not packet.version.covers(self._state.routing.version)

    def _place_again(self, packet: Packet, now: float) -> Placement:
        """Forward a flow refused here to another host, within the retry budget."""
        best: Member | None = None
        best_load = FULL
        for member in self._state.routing.rank(packet.flow):
            if member.ref == self._state.config.ref:
                continue
            load = self._estimate_load(member, now)
            if load is None or load >= best_load:
                continue
            best, best_load = member, load
        if best is None or not self._budget.try_acquire():
            return Placement(packet, Disposition.REFUSE, (Count("placed_refused"),))
        self._record_holder(packet.flow, best.ref)
        self._record_forwarded(packet.flow, now)
        self._state.loads.count_placed(best.ref.name, now)
        forwarded = self._forward(packet, best, PacketFlag.PLACED, "placed_again")
        return replace(
            forwarded, actions=(*forwarded.actions, *self._notify_owner(packet.flow))
        )

    def _record_forwarded(self, flow: FlowKey, now: float) -> None:
        """Record a flow just forwarded; more packets of it may be on their way."""
        self._forwarded_at[flow] = now
        if len(self._forwarded_at) > MAX_QUERIED_FLOWS:
            self._forwarded_at.popitem(last=False)

    def _expire_forwarded(self, now: float) -> None:
        while self._forwarded_at:
            flow, forwarded_at = next(iter(self._forwarded_at.items()))
            if forwarded_at > now - REORDERING_WINDOW_S:
                return
            del self._forwarded_at[flow]

    def _notify_owner(self, flow: FlowKey) -> list[Send]:
        """Notify a flow's owner, which placed the flow here, of the new holder."""
        owner = self._state.routing.find_owner(flow)
        if owner is None or owner.ref == self._state.config.ref:
            return []
        return [
            build_unsolicited_report(self._state, owner, self._holders[flow], (flow,))
        ]

    def _forward(
        self, packet: Packet, member: Member, flags: PacketFlag, counter: str
    ) -> Placement:
        forwarded = replace(
            packet,
            version=self._state.routing.version,
            hops=packet.hops + 1,
            flags=packet.flags | flags,
        )
        actions = (Send(member.address, forwarded), Count(counter))
        return Placement(packet, Disposition.FORWARDED, actions)

    def _find_other_member(self, name: str) -> Member | None:
        if name == self._state.config.ref.name:
            return None
        return self._state.routing.find_reachable_by_name(name)

    def _find_live_holder(self, flow: FlowKey, now: float) -> Member | None:
        holder = self._holders.get(flow)
        if holder is None:
            return None
        member = self._find_other_member(holder.name)
        hosts = len(self._state.routing.reachable)
        is_gone = member is None or member.ref != holder
        if is_gone or self._state.loads.is_silent(holder.name, hosts, now):
            del self._holders[flow]
            return None
        self._holders.move_to_end(flow)
        return member

    def _record_holder(self, flow: FlowKey, host: ProcessRef) -> None:
        if host == self._state.config.ref:
            # The flow table has what is held here; an entry may name where it went.
            return
        self._holders[flow] = host
        self._holders.move_to_end(flow)
        if len(self._holders) > MAX_HOLDERS:
            self._holders.popitem(last=False)

    def _request_holder(
        self, packet: Packet, excluded: ProcessRef, now: float
    ) -> list[Placement]:
        query = self._queries.get(packet.flow)
        if query is not None:
            if len(query.packets) < MAX_WAITING_PACKETS:
                query.packets.append(packet)
            return []
        if len(self._queries) >= MAX_QUERIED_FLOWS:
            return [Placement(packet, Disposition.REFUSE, (Count("asked_table_full"),))]
        me = self._state.config.ref
        others = [
            member
            for member in self._state.routing.reachable
            if member.ref not in (me, excluded)
        ]
        if not others:
            return [self._place_new(packet, now)]
        awaited = {member.ref for member in others}
        self._queries[packet.flow] = _HolderQuery(
            awaited, now + HOLDER_TIMEOUT_S, [packet]
        )
        message = HolderRequest(self._state.config.service, packet.flow)
        sends = tuple(Send(member.address, message) for member in others)
        return [Placement(packet, Disposition.FORWARDED, sends)]

    def _decide_waiting(self, flow: FlowKey, now: float) -> list[Placement]:
        """Decide on the packets that waited for a flow's holder."""
        query = self._queries.pop(flow)
        placements: list[Placement] = []
        for packet in query.packets:
            if flow in self._state.flows:
                placements.append(Placement(packet, Disposition.ACCEPT))
                continue
            holder = self._find_live_holder(flow, now)
            if holder is None:
                placements.append(self._place_or_forward(packet, now))
                continue
            placements.append(
                self._forward(packet, holder, PacketFlag.PLACED, "passed_to_holder")
            )
        return placements

    def _place_or_forward(self, packet: Packet, now: float) -> Placement:
        """Place a flow, unless its bucket moved to another host during the wait."""
        owner = self._state.routing.find_owner(packet.flow)
        me = self._state.config.ref
        if owner is None or owner.ref == me or PacketFlag.ACTING in packet.flags:
            return self._place_new(packet, now)
        return self._forward(packet, owner, PacketFlag.NONE, "passed_to_owner")

    def _place_new(self, packet: Packet, now: float) -> Placement:
        """Place a flow on the least loaded of the hosts that the profile compares."""
        if packet.kind is RequestKind.NONE:
            # An acknowledgement or reset opens no flow.
            return Placement(packet, Disposition.DROP, (Count("unknown_flow_dropped"),))
        state = self._state
        profile = state.profile
        if profile is None:
            return Placement(packet, Disposition.REFUSE)
        self._budget.add(profile.retry_budget)
        best: Member | None = None
        best_load = FULL
        for member in state.routing.list_candidates(packet.flow, profile.choices):
            load = self._estimate_load(member, now)
            if load is None or load >= best_load:
                continue
            best, best_load = member, load
        if best is None:
            return Placement(packet, Disposition.REFUSE, (Count("no_host_bears_more"),))
        if PacketFlag.ACTING in packet.flags:
            self._acting.record(packet.flow, now)
        if best.ref == state.config.ref:
            return Placement(packet, Disposition.ACCEPT)
        self._record_holder(packet.flow, best.ref)
        state.loads.count_placed(best.ref.name, now)
        return self._forward(packet, best, PacketFlag.PLACED, "placed_elsewhere")

    def _estimate_load(self, member: Member, now: float) -> float | None:
        state = self._state
        if member.ref != state.config.ref:
            return state.loads.estimate(member.ref.name, now)
        admission = state.admission
        if admission is None or not state.takes_flows:
            return None
        limits = admission.limits
        return estimate_load(
            len(state.flows),
            limits.flows,
            admission.in_flight,
            limits.in_flight,
        )


__all__ = ["Disposition", "Ownership", "Placement"]
