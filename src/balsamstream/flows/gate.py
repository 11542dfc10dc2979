"""Gate: passes every packet to and from one host.

A gate receives the heartbeats of its host and the evacuations that any front has read.
It enforces draining, cold starts and evacuations even against fronts with outdated
state.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .admission import Admission
from .answer_record import AnswerRecord
from .dispatch import OpeningDispatcher
from .echo_tags import EchoTags
from .fair_queue import FairQueue
from .flow_table import Flow, FlowTable
from .heartbeat import HostState
from .host_record import HeartbeatOutcome, HostRecord
from .later_packets import LaterPackets
from .load_policy import DEFAULT_POLICY, LoadPolicy
from .messages import (
    PROTOCOL,
    DeclineReason,
    Hello,
    Kind,
    Report,
    clamp_ms,
    decode_control,
)
from .older_flows import OlderFlows
from .opening_messages import decode_open, encode_decline
from .reporter import Reporter
from .search_replies import SearchReplies
from .waiting_queue import Opening, OpeningQueue, WaitingQueue

if TYPE_CHECKING:
    from .events import Events
    from .heartbeat import Heartbeat
    from .messages import RouteReport

EXPIRE_INTERVAL_S: Final = 1.0


class GateTransport(Protocol):
    """Sends the packets and messages of a gate."""

    def send_to_host(self, packet: bytes) -> None:
        """Send a packet to the host."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""

    def handle_newer_era(self, era: int) -> None:
        """Check this node's entry, as the store has been restored from a copy."""


class Gate:
    """Admits flows to one host, passes its packets and reports its load.

    Parameters
    ----------
    transport : GateTransport
        Sends packets and messages.
    events : Events
        Logs and counts decisions.
    ip, service, data_centre : str
        Address of the gate, service and data centre of the host.
    incarnation : int
        Number drawn at each start of the process.
    heartbeat_s : float
        Time between heartbeats of the host, in seconds.
    now : float
        Time, in seconds.
    policy : LoadPolicy
        Decisions under load that are switched on.

    Attributes
    ----------
    reporter : Reporter
        Sends reports to fronts.
    """

    def __init__(
        self,
        transport: GateTransport,
        events: Events,
        *,
        ip: str,
        service: str,
        data_centre: str,
        incarnation: int,
        heartbeat_s: float,
        now: float,
        policy: LoadPolicy = DEFAULT_POLICY,
    ) -> None:
        self._policy = policy
        self._transport = transport
        self._events = events
        self._service = service
        self._data_centre = data_centre
        self._host = HostRecord(service, heartbeat_s, now)
        self._answers = AnswerRecord() if policy.records_answers else None
        self._flows = FlowTable(events, self._answers)
        self._echo_tags = EchoTags()
        self._admission = Admission(events, self._host, service, data_centre)
        self._dispatcher = OpeningDispatcher(
            events,
            self._flows,
            self._host,
            self._build_queue(),
            self._send_to_host,
            self._decline,
        )
        self._replies = SearchReplies(transport.send_to_node, events)
        self._older_flows = OlderFlows(self._replies, events, now)
        self._later_packets = LaterPackets(
            events,
            self._flows,
            self._older_flows,
            self._replies,
            self._send_to_host,
            transport.send_to_node,
        )
        self._is_leaving = False
        self._heartbeat_at = now
        self._expected_wait_s = 0.0
        self.reporter = Reporter(
            transport.send_to_node,
            events,
            self._build_report,
            self._count_in_flight,
            ip=ip,
            data_centre=data_centre,
            incarnation=incarnation,
            now=now,
        )
        self._expire_due = now + EXPIRE_INTERVAL_S

    def _build_queue(self) -> OpeningQueue:
        if self._policy.by_deadline:
            return FairQueue(self._flows.work, self._get_data_centre)
        return WaitingQueue()

    def _get_data_centre(self, front: str) -> str:
        return self.reporter.get_data_centre(front)

    @property
    def state(self) -> HostState:
        """State of the host; a ready host is unknown while this process is leaving."""
        if self._is_leaving and self._host.state is HostState.READY:
            return HostState.UNKNOWN
        return self._host.state

    @property
    def is_without_host(self) -> bool:
        """Whether the host has left, with all flows that this gate may not know."""
        return self._host.state is HostState.GONE and not self._older_flows.is_in_doubt

    @property
    def has_pending_work(self) -> bool:
        """Whether opening packets or a changed load wait for the next tick."""
        return (
            self._dispatcher.has_pending_work
            or self._flows.has_unconfirmed
            or self._flows.is_load_changed
        )

    # Heartbeats of the host.

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Handle a heartbeat of the host."""
        before = self.state
        incarnation = self._host.incarnation
        match self._host.apply(heartbeat, now):
            case HeartbeatOutcome.OTHER_SERVICE:
                self._events.emit(
                    "heartbeat_ignored",
                    host=heartbeat.host,
                    service=heartbeat.service,
                    expected=self._service,
                    reason="another service",
                )
                return
            case HeartbeatOutcome.LATE:
                self._events.count("heartbeats.late")
                return
            case HeartbeatOutcome.NEW_INCARNATION:
                self._start_incarnation(heartbeat, incarnation, now)
        self._heartbeat_at = now
        self._flows.work.set_slots(self._host.slots)
        self._admission.cold_limit.set_cold_until(now + heartbeat.cold_left_s)
        if self._answers is not None:
            self._answers.slots = self._host.slots
        if self.state is not before:
            self._handle_state_change("heartbeat", now)
        elif incarnation not in (0, self._host.incarnation):
            # Fronts reset the flows of the former incarnation.
            self.reporter.notify_fronts(now)

    def handle_leave(self, host: str, now: float) -> None:
        """Handle the message of a host that it leaves for good."""
        before = self.state
        if not self._host.record_leave(host):
            self._events.emit("leave_ignored", host=host, reason="another host")
            return
        if self.state is not before:
            self._handle_state_change("host left", now)

    def _start_incarnation(self, heartbeat: Heartbeat, before: int, now: float) -> None:
        """Discard the flows of the former incarnation.

        The host may have taken any of them before this first heartbeat arrived, as
        heartbeats may be late, so it is asked for each.
        """
        flows = len(self._flows)
        if before:
            self._handle_host_end(now)
        self._events.emit(
            "host_started",
            host=heartbeat.host,
            incarnation=heartbeat.incarnation,
            heartbeat=heartbeat.sequence,
            cold_left_s=heartbeat.cold_left_s,
            before=before,
            heartbeat_age_s=round(now - self._heartbeat_at, 3),
            discarded=flows if before else 0,
            unsettled=self._older_flows.count_unsettled(),
        )

    def _handle_host_end(self, now: float) -> None:
        """Discard the flows of a host that has ended, and decline those not open."""
        self._dispatcher.handle_host_end(now)
        self._older_flows.add_unsettled(self._flows.list_keys(), now)
        self._flows.clear()

    def needs_host_check(self, now: float) -> bool:
        """Return whether to find out if any host listens at the host's address."""
        return self._older_flows.is_in_doubt and self._host.may_be_absent(now)

    def record_refused_check(self, checked_at: float, now: float) -> None:
        """Record that nothing listened at the host's address, so no flow was held.

        Parameters
        ----------
        checked_at : float
            Time at which the check began, in seconds. Nothing is concluded if the host
            was heard since.
        now : float
            Time, in seconds.
        """
        if self._host.was_heard_since(checked_at):
            return
        self._events.emit("host_absent", reason="connection refused")
        self._older_flows.record_all_seen("no host")
        self.reporter.notify_fronts(now)

    def _handle_state_change(self, cause: str, now: float) -> None:
        self._events.emit(
            "host_state",
            host=self._host.name,
            state=self.state.name.lower(),
            cause=cause,
            heartbeat_age_s=round(self._host.get_heartbeat_age_s(now), 3),
        )
        if self.state is not HostState.READY:
            self._dispatcher.decline_waiting(DeclineReason.NOT_READY, now)
        self.reporter.notify_fronts(now)

    # Messages from nodes.

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message of another node."""
        if not message:
            return
        if message[0] == _FORWARD:
            self._later_packets.handle(message[1:], sender, now, is_search=False)
        else:
            self._handle_by_kind(message, sender, now)
        self._send_load_if_changed(now)

    def _handle_by_kind(self, message: bytes, sender: str, now: float) -> None:
        match message[0]:
            case Kind.OPEN | Kind.TIMED_OPEN:
                self._handle_open(message, sender, now)
            case Kind.RELAYED_SEARCH:
                self._later_packets.handle_relayed_search(message, now)
            case Kind.SEARCH:
                self._later_packets.handle_search(message, sender, now)
            case Kind.CONTROL:
                self._handle_control(message, sender, now)
            case _:
                self._events.count("messages.unknown")

    def _handle_control(self, message: bytes, sender: str, now: float) -> None:
        match decode_control(message):
            case Hello() as hello:
                self._handle_hello(hello, sender, now)
            case _:
                self._events.count("messages.unreadable")

    def _handle_hello(self, hello: Hello, sender: str, now: float) -> None:
        if 0 < self._admission.evacuations.latest.era < hello.evacuations_era:
            self._transport.handle_newer_era(hello.evacuations_era)
        if not hello.is_leaving:
            self._admission.apply_hello(hello, sender, now)
        if self._admission.is_evacuated:
            self._dispatcher.decline_waiting(DeclineReason.EVACUATED, now)
        self.reporter.handle_hello(hello, sender, now)

    # Opening packets.

    def _handle_open(self, message: bytes, sender: str, now: float) -> None:
        received = decode_open(message, sender, now)
        if received is None:
            self._events.count("messages.unreadable")
            return
        opening = received.opening
        if self._answers is not None and opening.objective_at != math.inf:
            left_s = opening.objective_at - now
            self._answers.learn_objective(opening.flow, left_s, now)
        self._handle_opening(opening, received.service_tag, now)

    def _handle_opening(self, opening: Opening, service_tag: int, now: float) -> None:
        flow, packet, sender = opening.flow, opening.packet, opening.front
        entry = self._flows.get(flow)
        if entry is not None and entry.is_opened_by(packet):
            self._handle_copy(packet, entry, sender, now)
            return
        if self._dispatcher.is_waiting(flow) and packets.get_ack(packet):
            self._events.count("flows.copies_waiting")
            return
        reason = self._admission.check_flow(service_tag, len(self._flows), now)
        if self._is_leaving:
            reason = DeclineReason.NOT_READY
        if reason is not None:
            self._decline(opening, reason, now)
            return
        self._flows.remove(flow)
        self._flows.may_miss_flows = self._older_flows.is_in_doubt
        self._dispatcher.submit(opening, now)

    def _handle_copy(self, packet: bytes, entry: Flow, sender: str, now: float) -> None:
        if entry.ended_by:
            self._events.count("flows.copies_late")
            return
        entry.last_packet_at = now
        if not entry.is_confirmed:
            entry.front = sender
        self._send_to_host(packet, sender)

    def _send_to_host(
        self, packet: bytes, front: str, *, is_search: bool = False
    ) -> None:
        tag = self._echo_tags.get(front, is_search=is_search)
        self._transport.send_to_host(packets.set_echo(packet, tag))

    def _decline(self, opening: Opening, reason: DeclineReason, now: float) -> None:
        name = reason.name.lower()
        self._events.count("declines." + name)
        self._events.emit_for_flow(
            "declined",
            opening.flow,
            front=opening.front,
            reason=name,
            in_flight=self._flows.in_flight,
            waiting=len(self._dispatcher),
            waited_s=round(now - opening.arrived_at, 3),
            expected_wait_s=round(self._expected_wait_s, 3),
            service_s=self._dispatcher.get_service_s(opening.flow, now),
            heartbeat_age_s=round(self._host.get_heartbeat_age_s(now), 3),
            evacuations=self._admission.evacuations.latest.revision,
        )
        message = encode_decline(opening, reason, now)
        self._transport.send_to_node(opening.front, message)

    # Packets from the host.

    def handle_host_packet(self, packet: bytes, now: float) -> None:
        """Handle a packet that the host has sent or bounced."""
        if not packets.is_packet(packet):
            self._events.count("packets.unreadable")
            return
        if packets.get_flags(packet) & packets.BOUNCED:
            self._handle_bounced(packet, now)
        else:
            self._handle_response(packet, now)
        self._send_load_if_changed(now)

    def _handle_response(self, packet: bytes, now: float) -> None:
        flow = packets.get_host_packet_flow(packet)
        entry = self._flows.get(flow)
        if entry is None:
            if packets.get_flags(packet) & packets.SYN:
                # The opening packet was declined meanwhile, and its front has placed
                # the flow elsewhere or refused it.
                self._events.count("flows.answered_late")
                return
            if not self._older_flows.resolve(flow, packet):
                return
            entry = self._flows.adopt(flow, packet, now)
        is_answer = self._flows.record_host_packet(entry, packet, now)
        self._transport.send_to_caller(packet)
        if is_answer and self._dispatcher:
            self._dispatcher.dispatch_waiting(now)

    def _handle_bounced(self, packet: bytes, now: float) -> None:
        origin = self._echo_tags.parse(packets.get_echo(packet))
        if origin is None:
            self._events.count("packets.unmarked")
            return
        flow = packets.get_flow(packet)
        entry = self._flows.get(flow)
        restored = packets.restore_bounced(packet)
        if packets.get_flags(packet) & packets.SYN:
            if entry is not None and entry.host_next_seq is None:
                self._flows.remove(flow)
            opening = self._dispatcher.find_dispatched(flow)
            if opening is None:
                opening = Opening(flow, restored, origin.front, 0, now)
            opening = replace(opening, packet=restored, front=origin.front)
            self._decline(opening, DeclineReason.FULL, now)
            return
        self._older_flows.settle(flow)
        self._flows.remove(flow)
        if entry is not None and entry.ended_by:
            # The last packets of an ended flow need no holder.
            return
        reason = "bounced by the host"
        self._later_packets.report_not_held(
            restored, flow, origin.front, reason, is_search=origin.is_search
        )

    # Timers.

    def tick(self, now: float) -> None:
        """Dispatch, expire and report what is due."""
        self._dispatcher.tick(now)
        self._send_load_if_changed(now)
        if self.reporter.is_due(now):
            self._expire_heartbeat(now)
            self.reporter.tick(now)
        self._admission.evacuations.tick(now)
        if now >= self._expire_due:
            self._expire(now)

    def leave(self, now: float, *, refused_at: float | None = None) -> None:
        """Accept no new flows, as this process is about to stop.

        Parameters
        ----------
        now : float
            Time, in seconds.
        refused_at : float or None
            Time at which a check began that has found nothing at the host's address, in
            seconds. All flows of the host have ended unless it was heard since.
        """
        self._is_leaving = True
        if refused_at is not None and not self._host.was_heard_since(refused_at):
            self._handle_host_end(now)
            self._older_flows.record_all_seen("host ended")
        self._handle_state_change("gate is stopping", now)

    def _send_load_if_changed(self, now: float) -> None:
        """Send a changed load to the fronts, unless one was sent just before."""
        if not self._flows.is_load_changed or not self.reporter.may_send_load(now):
            return
        self._flows.is_load_changed = False
        wait_s = self._dispatcher.compute_wait_s(now) or 0.0
        self._expected_wait_s = wait_s
        state = self._get_reported_state()
        self.reporter.send_load(len(self._flows), state, wait_s, now)

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Exclude a pause of this process from the silence of host and fronts."""
        self._host.handle_pause(gap_s)
        if self._answers is not None:
            self._answers.handle_pause(gap_s)
        self.reporter.handle_pause(gap_s, now)

    def _expire_heartbeat(self, now: float) -> None:
        if self._host.expire_heartbeat(now):
            self._handle_state_change("no heartbeat", now)

    def _count_in_flight(self) -> int:
        return self._flows.in_flight + len(self._dispatcher)

    def _build_report(
        self, incarnation: int, sequence: int, seeks_hello: bool, now: float
    ) -> Report:
        wait_s = self._dispatcher.compute_wait_s(now)
        if wait_s is not None:
            self._events.observe_expected_wait(wait_s)
        return Report(
            gate_incarnation=incarnation,
            sequence=sequence,
            host=self._host.name,
            service=self._service,
            data_centre=self._data_centre,
            state=self._get_reported_state(),
            slots=self._host.slots,
            cold_left_s=round(self._host.get_cold_left_s(now), 3),
            in_flight=self._count_in_flight(),
            flows=len(self._flows),
            evacuations_era=self._admission.evacuations.latest.era,
            evacuations_revision=self._admission.evacuations.latest.revision,
            seeks_hello=seeks_hello,
            may_hold_flows=self._may_hold_flows(),
            protocol=PROTOCOL,
            routes=self._build_routes(now),
            wait_ms=clamp_ms(wait_s or 0.0),
            host_incarnation=self._host.incarnation,
        )

    def _build_routes(self, now: float) -> list[RouteReport]:
        if self._answers is None:
            return []
        return self._answers.build_reports(now, len(self.reporter.fronts))

    def _may_hold_flows(self) -> bool:
        return len(self._flows) > 0 or self._older_flows.is_in_doubt

    def _get_reported_state(self) -> HostState:
        """Return the state of the host, as gone if this gate stops and holds no flow.

        Fronts await no answer of a gate whose host is gone, so it is not while it may
        hold flows that this gate does not know. The next gate at this address reports
        again.
        """
        if self._is_leaving and not self._may_hold_flows():
            return HostState.GONE
        if self.state is HostState.GONE and not self.is_without_host:
            return HostState.UNKNOWN
        return self.state

    def _expire(self, now: float) -> None:
        self._expire_due = now + EXPIRE_INTERVAL_S
        self._older_flows.expire(now)
        self._flows.expire(self._admission.idle_s, now)


_FORWARD: Final = int(Kind.FORWARD)
"""Most messages are of this kind, and access to an enumeration member is slower."""

__all__ = ["Gate", "GateTransport"]
