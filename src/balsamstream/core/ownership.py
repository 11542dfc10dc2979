"""Decides where new flows go and remembers where it put them."""

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
    HolderReply,
    HolderRequest,
    PacketFlag,
    ReportReply,
    ReportRequest,
    RequestKind,
)

if TYPE_CHECKING:
    from .action import Action
    from .identity import Address, FlowKey, ProcessRef
    from .message import Packet
    from .state import AgentState
    from .view import Member

MOST_PINS: Final = 200_000
MOST_ASKED_FLOWS: Final = 2_000
MAX_WAITING_PACKETS: Final = 8
HOLDER_WAIT_S: Final = 0.2
CROSSING_S: Final = 1.0
"""Longer than packets of one flow that were sent together stay apart."""

REPORT_REPEAT_S: Final = 0.2
REPORT_GIVE_UP_S: Final = 3.0


class Disposition(Enum):
    """What the agent does with a packet whose flow it does not hold."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    DROP = "drop"
    FORWARDED = "forwarded"


@dataclass(frozen=True, slots=True)
class Placement:
    """A decision on one packet and the actions that carry it out."""

    packet: Packet
    disposition: Disposition
    actions: tuple[Action, ...] = ()


@dataclass(slots=True)
class _Asked:
    """Packets of one flow that wait until the members told who holds it."""

    awaited: set[ProcessRef]
    until: float
    packets: list[Packet] = field(default_factory=list)


@dataclass(slots=True)
class _Reporting:
    """Pages of held flows that one member still owes."""

    member: Member
    began: float
    asked: float
    after: int = BEFORE_FIRST_FLOW


class Ownership:
    """Placement of the flows whose buckets this host owns.

    A routing change moves buckets between hosts. Until each reachable member reported
    the flows it holds in the buckets gained, an unknown flow is asked for at the
    members before it counts as new.
    """

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._pins: OrderedDict[FlowKey, ProcessRef] = OrderedDict()
        self._asked: dict[FlowKey, _Asked] = {}
        self._reporting: dict[ProcessRef, _Reporting] = {}
        self._acted = ActingPlacements(state)
        self._passed_on: OrderedDict[FlowKey, float] = OrderedDict()
        self._budget = RetryBudget()

    @property
    def is_synced(self) -> bool:
        """Whether all members reported their flows since the routing last changed."""
        return not self._reporting

    def find_holder(self, flow: FlowKey) -> str | None:
        """Return the host that a flow was placed on, as far as known here."""
        pinned = self._pins.get(flow)
        return None if pinned is None else pinned.name

    def start_sync(self, now: float) -> list[Action]:
        """Ask each reachable member for the flows of the buckets owned here.

        What was placed in buckets owned no more is forgotten: their new owner may
        place it anew, and by the time they come back it may be long wrong.
        """
        me = self._state.config.ref
        for flow in list(self._pins):
            if flow in self._acted or flow in self._passed_on:
                continue
            if not self._owns(me, flow):
                del self._pins[flow]
        self._reporting = {
            member.ref: _Reporting(member, now, now)
            for member in self._state.routing.reachable
            if member.ref != me
        }
        return [self._ask_report(owed) for owed in self._reporting.values()]

    def place(self, packet: Packet, sender: Address, now: float) -> list[Placement]:
        """Decide on a packet whose flow is not held here."""
        state = self._state
        ranked = state.routing.rank(packet.flow)
        if PacketFlag.PLACED in packet.flags:
            return [self._take_placed(packet, sender, now)]
        if not ranked:
            return [Placement(packet, Disposition.REFUSE)]
        me = state.config.ref
        owner = ranked[0]
        acting = PacketFlag.ACTING in packet.flags and owner.ref != me
        if not acting and owner.ref != me:
            return [self._pass(packet, owner, PacketFlag.NONE, "passed_to_owner")]
        pinned = self._find_pinned(packet.flow, now)
        if pinned is not None:
            return [self._pass(packet, pinned, PacketFlag.PLACED, "passed_to_holder")]
        if acting or not self.is_synced or packet.flow in self._asked:
            absent = owner.ref if acting else me
            return self._ask_holders(packet, absent, now)
        return [self._place_new(packet, now)]

    def handle_holder_reply(self, reply: HolderReply, now: float) -> list[Placement]:
        """Count a member's word on who holds a flow."""
        asked = self._asked.get(reply.flow)
        if asked is None:
            return []
        holder = None if reply.holder is None else self._find_member(reply.holder)
        if holder is not None:
            self._record_holder(reply.flow, holder.ref)
            return self._release(reply.flow, now)
        if reply.member in self._reporting:
            # It may still route by the older view and be given the flow after this.
            return []
        asked.awaited.discard(reply.member)
        if asked.awaited:
            return []
        return self._release(reply.flow, now)

    def handle_holder_request(self, ask: HolderRequest) -> HolderReply:
        """Say whether a flow is held here, or on which host it was placed."""
        state = self._state
        name = state.config.ref.name
        holder = name if ask.flow in state.flows else self.find_holder(ask.flow)
        return HolderReply(state.config.service, ask.flow, state.config.ref, holder)

    def handle_report_request(self, ask: ReportRequest) -> ReportReply | None:
        """Give the next flows held here whose buckets the asker owns.

        There is no answer while the asker's routing is newer than ours: flows taken
        under the older one afterwards would be missing from the report.
        """
        state = self._state
        if not state.routing.version.covers(ask.version):
            return None
        held = sorted(
            flow
            for flow in state.flows
            if flow > ask.after and self._owns(ask.owner, flow)
        )
        part = tuple(held[:FLOWS_PER_PART])
        return ReportReply(
            state.config.service,
            ask.version,
            state.config.ref,
            ask.after,
            len(held) > len(part),
            part,
        )

    def handle_report_reply(self, reply: ReportReply, now: float) -> list[Action]:
        """Pin the flows that a member reports."""
        for flow in reply.flows:
            if flow not in self._state.flows:
                self._record_holder(flow, reply.holder)
        owed = self._reporting.get(reply.holder)
        if owed is None or reply.version != self._state.routing.version:
            return []
        if reply.after != owed.after:
            return []
        if not reply.more or not reply.flows:
            del self._reporting[reply.holder]
            self._await_no_more(reply.holder, now)
            return []
        owed.after = reply.flows[-1]
        owed.asked = now
        return [self._ask_report(owed)]

    def _await_no_more(self, member: ProcessRef, now: float) -> None:
        """Let flows be decided on whose last word was a member's whole report."""
        for asked in self._asked.values():
            asked.awaited.discard(member)
            if not asked.awaited:
                asked.until = now

    def tick(self, now: float) -> tuple[list[Placement], list[Action]]:
        """Repeat questions, and decide without members that do not answer."""
        actions: list[Action] = []
        for owed in list(self._reporting.values()):
            if now - owed.began >= REPORT_GIVE_UP_S:
                del self._reporting[owed.member.ref]
                actions.append(Count("report_given_up"))
                continue
            if now - owed.asked < REPORT_REPEAT_S:
                continue
            owed.asked = now
            actions.append(self._ask_report(owed))
        placements: list[Placement] = []
        for flow, asked in list(self._asked.items()):
            if now >= asked.until:
                placements += self._release(flow, now)
        self._forget_passed_on(now)
        actions += self._acted.notify_owners(self._pins, now)
        return placements, actions

    def forget_holder(self, flow: FlowKey) -> None:
        """Forget the holder of a flow that is held here, or not where it was pinned."""
        self._pins.pop(flow, None)

    def _owns(self, owner: ProcessRef, flow: FlowKey) -> bool:
        member = self._state.routing.find_owner(flow)
        return member is not None and member.ref == owner

    def _ask_report(self, owed: _Reporting) -> Send:
        state = self._state
        ask = ReportRequest(
            state.config.service, state.routing.version, state.config.ref, owed.after
        )
        return Send(owed.member.address, ask)

    def _take_placed(self, packet: Packet, sender: Address, now: float) -> Placement:
        pinned = self._find_pinned(packet.flow, now)
        came_back = pinned is not None and pinned.address == sender
        if came_back and packet.flow not in self._passed_on:
            # The flow was there once and is not any more.
            del self._pins[packet.flow]
        elif pinned is not None:
            # Refused here before and passed on; the owner may not know it yet.
            return self._pass(packet, pinned, PacketFlag.PLACED, "passed_to_holder")
        owner = self._state.routing.find_owner(packet.flow)
        if owner is not None and self._was_placed_late(packet, sender, owner):
            unplaced = replace(packet, flags=packet.flags & ~PacketFlag.PLACED)
            return self._pass(unplaced, owner, PacketFlag.NONE, "placed_late")
        admission = self._state.admission
        if admission is None:
            return Placement(packet, Disposition.REFUSE)
        fits = admission.can_open_flow(len(self._state.flows))
        if fits and self._state.takes_flows:
            return Placement(packet, Disposition.ACCEPT)
        return self._pass_refused(packet, now)

    def _was_placed_late(self, packet: Packet, sender: Address, owner: Member) -> bool:
        """Tell whether a host that owns the bucket no longer placed the flow here.

        The report to the bucket's owner of today may have gone out without this flow.
        """
        if owner.address == sender or owner.ref == self._state.config.ref:
            return False
        if PacketFlag.ACTING in packet.flags:
            return False
        return not packet.version.covers(self._state.routing.version)

    def _pass_refused(self, packet: Packet, now: float) -> Placement:
        """Try one more host, within the profile's budget of retries."""
        best: Member | None = None
        best_load = FULL
        for member in self._state.routing.rank(packet.flow):
            if member.ref == self._state.config.ref:
                continue
            load = self._estimate(member, now)
            if load is None or load >= best_load:
                continue
            best, best_load = member, load
        if best is None or not self._budget.try_acquire():
            return Placement(packet, Disposition.REFUSE, (Count("placed_refused"),))
        self._record_holder(packet.flow, best.ref)
        self._note_passed_on(packet.flow, now)
        self._state.loads.count_placed(best.ref.name, now)
        passed = self._pass(packet, best, PacketFlag.PLACED, "placed_again")
        return replace(passed, actions=(*passed.actions, *self._tell_pin(packet.flow)))

    def _note_passed_on(self, flow: FlowKey, now: float) -> None:
        """Remember that packets of a flow may cross the one just passed on."""
        self._passed_on[flow] = now
        if len(self._passed_on) > MOST_ASKED_FLOWS:
            self._passed_on.popitem(last=False)

    def _forget_passed_on(self, now: float) -> None:
        while self._passed_on:
            flow, passed = next(iter(self._passed_on.items()))
            if passed > now - CROSSING_S:
                return
            del self._passed_on[flow]

    def _tell_pin(self, flow: FlowKey) -> list[Send]:
        """Tell a flow's owner, whose pin names this host, where it went instead."""
        owner = self._state.routing.find_owner(flow)
        if owner is None or owner.ref == self._state.config.ref:
            return []
        return [build_unsolicited_report(self._state, owner, self._pins[flow], (flow,))]

    def _pass(
        self, packet: Packet, member: Member, flags: PacketFlag, counter: str
    ) -> Placement:
        passed = replace(
            packet,
            version=self._state.routing.version,
            hops=packet.hops + 1,
            flags=packet.flags | flags,
        )
        actions = (Send(member.address, passed), Count(counter))
        return Placement(packet, Disposition.FORWARDED, actions)

    def _find_member(self, name: str) -> Member | None:
        if name == self._state.config.ref.name:
            return None
        return self._state.routing.find_reachable_by_name(name)

    def _find_pinned(self, flow: FlowKey, now: float) -> Member | None:
        pinned = self._pins.get(flow)
        if pinned is None:
            return None
        member = self._find_member(pinned.name)
        hosts = len(self._state.routing.reachable)
        gone = member is None or member.ref != pinned
        if gone or self._state.loads.is_silent(pinned.name, hosts, now):
            del self._pins[flow]
            return None
        self._pins.move_to_end(flow)
        return member

    def _record_holder(self, flow: FlowKey, host: ProcessRef) -> None:
        if host == self._state.config.ref:
            # What is held here is in the flow table; a pin may name where it went.
            return
        self._pins[flow] = host
        self._pins.move_to_end(flow)
        if len(self._pins) > MOST_PINS:
            self._pins.popitem(last=False)

    def _ask_holders(
        self, packet: Packet, absent: ProcessRef, now: float
    ) -> list[Placement]:
        asked = self._asked.get(packet.flow)
        if asked is not None:
            if len(asked.packets) < MAX_WAITING_PACKETS:
                asked.packets.append(packet)
            return []
        if len(self._asked) >= MOST_ASKED_FLOWS:
            return [Placement(packet, Disposition.REFUSE, (Count("asked_table_full"),))]
        me = self._state.config.ref
        others = [
            member
            for member in self._state.routing.reachable
            if member.ref not in (me, absent)
        ]
        if not others:
            return [self._place_new(packet, now)]
        awaited = {member.ref for member in others}
        self._asked[packet.flow] = _Asked(awaited, now + HOLDER_WAIT_S, [packet])
        ask = HolderRequest(self._state.config.service, packet.flow)
        sends = tuple(Send(member.address, ask) for member in others)
        return [Placement(packet, Disposition.FORWARDED, sends)]

    def _release(self, flow: FlowKey, now: float) -> list[Placement]:
        """Decide on the packets that waited for a flow's holder."""
        asked = self._asked.pop(flow)
        placements: list[Placement] = []
        for packet in asked.packets:
            if flow in self._state.flows:
                placements.append(Placement(packet, Disposition.ACCEPT))
                continue
            pinned = self._find_pinned(flow, now)
            if pinned is None:
                placements.append(self._place_or_pass(packet, now))
                continue
            placements.append(
                self._pass(packet, pinned, PacketFlag.PLACED, "passed_to_holder")
            )
        return placements

    def _place_or_pass(self, packet: Packet, now: float) -> Placement:
        """Place a flow, unless its bucket passed to another host during the wait."""
        owner = self._state.routing.find_owner(packet.flow)
        me = self._state.config.ref
        if owner is None or owner.ref == me or PacketFlag.ACTING in packet.flags:
            return self._place_new(packet, now)
        return self._pass(packet, owner, PacketFlag.NONE, "passed_to_owner")

    def _place_new(self, packet: Packet, now: float) -> Placement:
        """Put a flow on the least loaded of the hosts that the profile compares."""
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
            load = self._estimate(member, now)
            if load is None or load >= best_load:
                continue
            best, best_load = member, load
        if best is None:
            return Placement(packet, Disposition.REFUSE, (Count("no_host_bears_more"),))
        if PacketFlag.ACTING in packet.flags:
            self._acted.record(packet.flow, now)
        if best.ref == state.config.ref:
            return Placement(packet, Disposition.ACCEPT)
        self._record_holder(packet.flow, best.ref)
        state.loads.count_placed(best.ref.name, now)
        return self._pass(packet, best, PacketFlag.PLACED, "placed_elsewhere")

    def _estimate(self, member: Member, now: float) -> float | None:
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
