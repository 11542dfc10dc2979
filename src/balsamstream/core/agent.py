"""Decisions of the agent beside one backend server."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ..config.objects import WorkClass
from .action import Cancel, CloseFlow, Count, Deliver, EditView, Send
from .admission import Admission, Health
from .at_most_once import AtMostOnce
from .claim import VoterRole
from .config_poller import ConfigPoller
from .failure_detector import FailureDetector
from .identity import NO_REQUEST
from .load import REPORTS_PER_S
from .membership import Membership
from .message import (
    Answer,
    Changes,
    ChangesRequest,
    ClaimReply,
    ClaimRequest,
    HeldFlowsReply,
    HeldFlowsRequest,
    HolderReply,
    HolderRequest,
    LoadReport,
    Packet,
    Ping,
    Pong,
    RequestKind,
    SealReply,
    SealRequest,
    TakeoverPart,
    TakeoverRequest,
)
from .ownership import Disposition, Ownership
from .recent import Outcome, RecentRequests
from .state import AgentConfig, AgentState
from .takeover import PredecessorRole, SuccessorRole
from .verdict import MayHaveRun

if TYPE_CHECKING:
    from random import Random

    from .action import Action
    from .identity import Address, FlowKey, RequestKey
    from .message import Message
    from .ownership import Placement
    from .view import Member

MAX_HOPS: Final = 4
LOAD_REPORT_INTERVAL_S: Final = 1.0
BACKEND_RETRY_S: Final = 0.5
"""Time after a refused datagram in which the backend server is tried with one flow.

Another flow is opened in this time only if none is held.
"""

MAX_DELIVERED: Final = 50_000

_SERVICE_MESSAGES: Final = (
    ClaimRequest,
    ClaimReply,
    HolderRequest,
    HolderReply,
    LoadReport,
    HeldFlowsRequest,
    HeldFlowsReply,
    SealRequest,
    SealReply,
    TakeoverRequest,
    TakeoverPart,
)


class AgentDecisions:
    """Admits, places and delivers packets; authoritative for the host's flows.

    Every method takes the time of a monotonic clock in seconds and returns the actions
    that carry out its decision, in order.

    Parameters
    ----------
    config : AgentConfig
        Configuration from the settings.
    random : Random
        Source of all randomness.
    """

    def __init__(self, config: AgentConfig, random: Random) -> None:
        self.state = AgentState.create(config, random)
        self.ownership = Ownership(self.state)
        self.at_most_once = AtMostOnce(self.state)
        self.membership = Membership(self.state)
        self.failure_detector = FailureDetector(self.state)
        self.successor_role = SuccessorRole(self.state)
        self.predecessor_role = PredecessorRole(self.state)
        self.voter = VoterRole(config.service, config.ref)
        self.config_poller = ConfigPoller(self.state.catalogue, config.peers, random)
        self._delivered: dict[tuple[FlowKey, RequestKey], Packet] = {}
        self._recent = RecentRequests()
        self._next_load_report_at = 0.0
        self._report_offset = 0
        self._backend_down_until = 0.0
        self._is_replaced = False

    @property
    def drained(self) -> bool:
        """Whether the host has finished its work and left the view."""
        return self.membership.drained or self._is_replaced

    def handle_message(
        self, sender: Address, message: Message, now: float
    ) -> list[Action]:
        """Handle a message of another process."""
        if not self._is_for_this_service(message):
            return [Count("wrong_service")]
        match message:
            case Packet():
                return self._handle_packet(sender, message, now)
            case ClaimRequest():
                return [Send(sender, self.voter.handle_claim_request(message, now))]
            case ClaimReply():
                return self.at_most_once.handle_claim_reply(message, now)
            case SealRequest():
                sealed = self.voter.handle_seal_request(message)
                return [] if sealed is None else [Send(sender, sealed)]
            case SealReply():
                return list(self.voter.handle_seal_reply(message, now))
            case HolderRequest():
                return [Send(sender, self.ownership.handle_holder_request(message))]
            case HolderReply():
                return self._carry_out(
                    self.ownership.handle_holder_reply(message, now), now
                )
            case HeldFlowsRequest():
                return self._handle_held_flows_request(sender, message, now)
            case HeldFlowsReply():
                return self.ownership.handle_held_flows_reply(message, now)
            case LoadReport():
                self.state.loads.record_report(message, now)
                return []
            case TakeoverRequest():
                return self.predecessor_role.handle_request(
                    sender, message, self._list_busy_flows(), now
                )
            case TakeoverPart():
                return self.successor_role.handle_part(message, now)
            case Ping():
                self.config_poller.record_source(sender, now)
                return [Send(sender, Pong(message.number, self.state.config.ref))]
            case ChangesRequest():
                return [Send(sender, self.state.catalogue.build_changes(message))]
            case Changes():
                return self._handle_changes(sender, message, now)
            case _:
                return [Count("unexpected_message")]

    def _is_for_this_service(self, message: Message) -> bool:
        """Return False for a message that another service sent to this address.

        The address may have belonged to one of its hosts before.
        """
        if not isinstance(message, _SERVICE_MESSAGES):
            return True
        return message.service == self.state.config.service

    def handle_answer(
        self,
        flow: FlowKey,
        request: RequestKey,
        payload: bytes,
        now: float,
        is_refusal: bool = False,
    ) -> list[Action]:
        """Send a datagram of the backend server to its flow's caller.

        Parameters
        ----------
        request : RequestKey
            The request that the datagram answers, or ``NO_REQUEST``.
        is_refusal : bool
            Whether the backend server refused the request because of its load.
        """
        held = self.state.flows.record_host_packet(flow, now)
        if held is None:
            return [Count("answer_without_flow")]
        via = held.via
        if request != NO_REQUEST:
            packet = self._delivered.pop((flow, request), None)
            if packet is None:
                packet = self.at_most_once.find_packet(request)
            if packet is not None:
                via = packet.via
            self._end_request(flow, request, payload, now)
            if is_refusal and self.state.admission is not None:
                self.state.admission.count_refusal()
        else:
            via = self._choose_return_balancer(via)
        state = self.state
        answer = Answer(
            state.service_number, flow, held.caller, state.routing.version, payload
        )
        return [Send(via, answer)]

    def handle_backend_refused(self, flow: FlowKey, now: float) -> list[Action]:
        """Handle a datagram that the backend server's port refused.

        The backend server has ended or has been restarted, so its flows are lost.
        """
        self._backend_down_until = now + BACKEND_RETRY_S
        return self._handle_backend_restart(now)

    def handle_pause(self, gap_s: float, now: float) -> list[Action]:
        """Handle a pause of this process, in which it missed the others' decisions."""
        self.state.loads.reset_timeouts(now)
        return self.ownership.start_sync(now)

    def drain(self, now: float) -> list[Action]:
        """Start a graceful stop."""
        self.membership.drain(now)
        return self.membership.tick(now)

    def end_drain(self, now: float) -> list[Action]:
        """End a graceful stop at once: held flows are given up."""
        self.membership.end_drain(now)
        return self.membership.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Run timers: polls, retries, expiry of requests and flows, load reports."""
        state = self.state
        actions: list[Action] = list(self.config_poller.tick(now))
        actions += self.successor_role.tick(now)
        actions += self.membership.tick(now)
        self._is_replaced = (
            self.predecessor_role.is_done(now) and not self.voter.is_needed
        )
        actions += self.failure_detector.tick(now)
        actions += self.at_most_once.tick(now)
        placements, requests = self.ownership.tick(now)
        actions += self._carry_out(placements, now) + requests
        actions += self.voter.tick(now)
        trim = self.voter.plan_trim(now)
        if trim is not None:
            actions.append(EditView(state.config.service, trim))
        actions += self._expire_requests_and_flows(now)
        if state.admission is not None:
            state.admission.tick(now)
            state.loads.set_latency(state.admission.latency_s)
        if now >= self._next_load_report_at:
            self._next_load_report_at = now + LOAD_REPORT_INTERVAL_S
            actions += self._send_load_reports()
        return actions

    # --- packets -------------------------------------------------------------------

    def _handle_packet(
        self, sender: Address, packet: Packet, now: float
    ) -> list[Action]:
        state = self.state
        if packet.service != state.service_number:
            return [Count("wrong_service")]
        if packet.kind is RequestKind.NON_REPEATABLE and packet.request == NO_REQUEST:
            # Its copies cannot be told from other requests, so it cannot be claimed.
            return [Count("request_without_key")]
        actions: list[Action] = []
        if packet.hops == 0:
            self.config_poller.record_source(sender, now)
        if not state.routing.version.covers(packet.version):
            actions += self.config_poller.request_now(sender, now)
        if packet.flow in state.flows and not state.is_evacuated:
            return actions + self._handle_flow_packet(packet, now)
        if self._recent.has(packet.request, Outcome.REFUSED, now):
            return actions + self._refuse(packet, "refused before", now)
        if self.predecessor_role.successor is not None and packet.hops < MAX_HOPS:
            return actions + self.predecessor_role.forward(packet)
        predecessor = self.successor_role.predecessor
        may_forward = sender != predecessor and packet.hops < MAX_HOPS
        if predecessor is not None and may_forward:
            forwarded = replace(packet, hops=packet.hops + 1)
            return [*actions, Send(predecessor, forwarded)]
        if packet.hops >= MAX_HOPS:
            return actions + self._refuse(packet, "too many hops", now)
        return actions + self._carry_out(self.ownership.place(packet, sender, now), now)

    def _carry_out(self, placements: list[Placement], now: float) -> list[Action]:
        actions: list[Action] = []
        for placement in placements:
            actions += placement.actions
            packet = placement.packet
            match placement.disposition:
                case Disposition.ACCEPT:
                    actions += self._open_flow(packet, now)
                case Disposition.REFUSE:
                    actions += self._refuse(packet, "no host bears more", now)
                case Disposition.DROP | Disposition.FORWARDED:
                    continue
        return actions

    def _open_flow(self, packet: Packet, now: float) -> list[Action]:
        if now < self._backend_down_until and len(self.state.flows) > 0:
            return self._refuse(packet, "backend server down", now)
        self.ownership.forget_holder(packet.flow)
        return [*self._handle_flow_packet(packet, now), Count("flow_opened")]

    def _handle_flow_packet(self, packet: Packet, now: float) -> list[Action]:
        state = self.state
        state.flows.record_caller_packet(packet.flow, packet.caller, packet.via, now)
        if packet.request == NO_REQUEST or state.admission is None:
            return [self._build_delivery(packet)]
        if packet.kind is RequestKind.NON_REPEATABLE:
            return self.at_most_once.handle_request(packet, now)
        key = (packet.flow, packet.request)
        if key in self._delivered:
            # A copy of a request in flight: the backend server recognises it itself.
            self._delivered[key] = packet
            return [self._build_delivery(packet)]
        full = len(self._delivered) >= MAX_DELIVERED
        was_refused = self._recent.has(packet.request, Outcome.REFUSED, now)
        allowed = state.admission.can_start_request(WorkClass.REPEATABLE)
        if full or was_refused or not allowed:
            return self._refuse(packet, "host full", now)
        self._delivered[key] = packet
        self._recent.record(packet.request, Outcome.DELIVERED, now)
        state.admission.start_request(packet.flow, packet.request, now)
        return [self._build_delivery(packet)]

    def _list_busy_flows(self) -> set[FlowKey]:
        admission = self.state.admission
        if admission is None:
            return set()
        return {flow for flow, _ in admission.list_in_flight()}

    def _build_delivery(self, packet: Packet) -> Deliver:
        return Deliver(
            packet.flow,
            packet.caller,
            packet.request,
            packet.deadline_ms,
            packet.payload,
        )

    def _refuse(self, packet: Packet, reason: str, now: float) -> list[Action]:
        match packet.kind:
            case RequestKind.NONE:
                return [Count("dropped")]
            case RequestKind.NON_REPEATABLE:
                return self.at_most_once.refuse(packet, now)
            case RequestKind.REPEATABLE:
                return self._refuse_repeatable(packet, reason, now)

    def _refuse_repeatable(
        self, packet: Packet, reason: str, now: float
    ) -> list[Action]:
        if self._recent.has(packet.request, Outcome.DELIVERED, now):
            verdict = MayHaveRun("an earlier copy was delivered")
            return [self.state.build_refusal(packet, verdict), Count("may_have_run")]
        self._recent.record(packet.request, Outcome.REFUSED, now)
        refusal = self.state.draw_not_run(reason)
        return [self.state.build_refusal(packet, refusal), Count("refused_not_run")]

    def _end_request(
        self, flow: FlowKey, request: RequestKey, payload: bytes, now: float
    ) -> None:
        self.at_most_once.record_answer(request, payload)
        if self.state.admission is not None:
            self.state.admission.end_request(flow, request, now)

    def _choose_return_balancer(self, last: Address) -> Address:
        """Return the balancer for a datagram that answers no request.

        The balancer heard last is more likely to run than the one that the flow's last
        datagram entered through, possibly hours ago.
        """
        sources = self.config_poller.list_sources()
        return sources[0] if sources else last

    # --- time ----------------------------------------------------------------------

    def _expire_requests_and_flows(self, now: float) -> list[Action]:
        state = self.state
        profile = state.profile
        if state.admission is None or profile is None:
            return []
        actions: list[Action] = []
        for flow, request in state.admission.expire_requests(now):
            actions += self._expire_request(flow, request)
        if state.admission.health is Health.RESTARTED:
            actions += self._handle_backend_restart(now)
        for flow in state.flows.list_idle(now, profile.flow_idle_s):
            state.flows.close(flow)
            actions += [CloseFlow(flow), Count("flow_idle")]
        if state.is_evacuated:
            actions += self._close_all_flows("flow_given_up")
        return actions

    def _expire_request(self, flow: FlowKey, request: RequestKey) -> list[Action]:
        packet = self._delivered.pop((flow, request), None)
        actions: list[Action] = [Cancel(flow, request), Count("deadline_passed")]
        if packet is None:
            return actions + self.at_most_once.expire_request(request)
        verdict = MayHaveRun("no answer in time")
        return [
            *actions,
            self.state.build_refusal(packet, verdict),
            Count("may_have_run"),
        ]

    def _handle_backend_restart(self, now: float) -> list[Action]:
        """Reset admission to a cold start; end all requests in flight and all flows."""
        admission = self.state.admission
        if admission is None:
            return []
        actions: list[Action] = [Count("backend_restarted")]
        for flow, request in admission.list_in_flight():
            actions += self._expire_request(flow, request)
        admission.restart()
        return actions + self._close_all_flows("broken_flows")

    def _close_all_flows(self, counter: str) -> list[Action]:
        flows = list(self.state.flows)
        for flow in flows:
            self.state.flows.close(flow)
        actions: list[Action] = [CloseFlow(flow) for flow in flows]
        if flows:
            actions.append(Count(counter, len(flows)))
        return actions

    def _send_load_reports(self) -> list[Action]:
        state = self.state
        if state.admission is None:
            return []
        limits = state.admission.limits
        report = LoadReport(
            state.config.service,
            state.config.ref.name,
            len(state.flows),
            limits.flows,
            round(state.admission.mean_in_flight),
            limits.in_flight,
        )
        return [Send(member.address, report) for member in self._choose_load_peers()]

    def _choose_load_peers(self) -> list[Member]:
        """Return the next hosts in rotation, starting after this one in the view."""
        members = self.state.routing.reachable
        me = self.state.config.ref
        after = [member for member in members if member.ref > me]
        peers = after + [member for member in members if member.ref < me]
        if len(peers) <= REPORTS_PER_S:
            return peers
        first = self._report_offset % len(peers)
        self._report_offset = first + REPORTS_PER_S
        return (peers + peers)[first : first + REPORTS_PER_S]

    # --- configuration -------------------------------------------------------------

    def _handle_held_flows_request(
        self, sender: Address, message: HeldFlowsRequest, now: float
    ) -> list[Action]:
        reply = self.ownership.handle_held_flows_request(message)
        if reply is None:
            return list(self.config_poller.request_now(sender, now))
        return [Send(sender, reply)]

    def _handle_changes(
        self, sender: Address, changes: Changes, now: float
    ) -> list[Action]:
        state = self.state
        applied = state.catalogue.apply_changes(changes)
        actions: list[Action] = []
        if changes.more and applied:
            actions += self.config_poller.request_next_part(sender)
        if not applied:
            return actions
        self._apply_profile(now)
        was_evacuated = state.is_evacuated
        was_reachable = state.is_reachable
        if not state.update_routing():
            return actions
        if state.is_reachable and not was_reachable:
            # The others sent no reports to this host while it was not reachable, so
            # none of them counts as silent.
            state.loads.reset_timeouts(now)
        if was_evacuated and not state.is_evacuated and state.admission is not None:
            # All hosts of a returning data centre start at once, and none is warm.
            state.admission.restart()
        view = state.routing.view
        others = {member.ref.name for member in state.routing.reachable}
        state.loads.track_hosts(others - {state.config.ref.name}, now)
        self.successor_role.find_predecessor(now)
        self.voter.apply_view(view, now)
        actions += self.at_most_once.restart_claims(now)
        actions += self.ownership.start_sync(now)
        return actions

    def _apply_profile(self, now: float) -> None:
        state = self.state
        profile = state.profile
        if profile is None:
            return
        if state.admission is None:
            state.admission = Admission(profile, state.config.slots, now)
            return
        state.admission.profile = profile


__all__ = ["AgentConfig", "AgentDecisions"]
