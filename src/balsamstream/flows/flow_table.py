"""Flows of one host and the requests in flight on them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .confirmation import ConfirmationTimer
from .host_work import HostWork, RouteWork

if TYPE_CHECKING:
    from .answer_record import AnswerRecord
    from .events import Events

ENDED_RETENTION_S: Final = 3.0
"""Time that an ended flow is kept for late copies of its last packets."""
MAX_PENDING_S: Final = 5.0
"""Time that an unanswered request counts as in flight; an older one no longer indicates
a busy host."""
MAX_FLOWS: Final = 65_536
"""Size of the table above which adopted flows are not stored."""
MAX_ACK_BEHIND_BYTES: Final = 1 << 17
"""Bytes that an acknowledgement may be behind what the host has sent; up to 16 packets
are in transit."""
MAX_ACK_AHEAD_BYTES: Final = 16 * 1_200
"""Bytes that an acknowledgement may be ahead of what a restarted gate has seen its host
send: the host may retransmit the first of 16 packets that the caller has received but
whose acknowledgements were lost."""
MAX_ACK_AHEAD_OF_COPY_BYTES: Final = 1 << 17
"""The same for a flow known from a copy of its opening packet: it may have opened
seconds before, and the host answers each copy with its first number."""
_SEQ_MASK: Final = packets.SEQ_MASK

_ENDING: Final = packets.FIN | packets.RST
CALLER_ENDED: Final = 1
HOST_ENDED: Final = 2
BOTH_ENDED: Final = CALLER_ENDED | HOST_ENDED


@dataclass(slots=True)
class Flow:
    """State of one flow of the host.

    Attributes
    ----------
    front : str
        Address of the front that sent the caller's last packet.
    last_packet_at : float
        Time of the last packet, in seconds.
    route : RouteWork
        Requests of the flow's route.
    initial_seq : int or None
        Sequence number of the opening packet, or None if the flow is older than this
        gate's process.
    max_ack_ahead : int
        Bytes that an acknowledgement may be ahead of what the host has been seen to
        send.
    caller_next_seq : int or None
        Sequence number after the caller's last byte, or None before its first request.
    host_next_seq : int or None
        Sequence number after the host's last byte, or None before its first packet.
    is_confirmed : bool
        Whether the caller has acknowledged the host's answer to the opening packet.
    pending_since : float
        Time of the oldest unanswered request, in seconds; 0 for none. An opening packet
        counts as a request.
    ended_by : int
        Flags of the sides that have ended the flow.
    request_at : float
        Time of the last byte of the caller's latest request, in seconds; 0 for none.
    answered_at : float
        Time of the host's answer to the opening packet, in seconds; 0 for none.
    """

    front: str
    last_packet_at: float
    route: RouteWork
    initial_seq: int | None = None
    max_ack_ahead: int = 0
    caller_next_seq: int | None = None
    host_next_seq: int | None = None
    is_confirmed: bool = False
    pending_since: float = 0.0
    ended_by: int = 0
    request_at: float = 0.0
    answered_at: float = 0.0

    def is_opened_by(self, packet: bytes) -> bool:
        """Return whether an opening packet is a copy of the one that opened the flow.

        A copy may be delayed for seconds. Another sequence number means that the caller
        has reused its port; that of an older flow is a little behind its last byte.
        """
        seq = packets.get_seq(packet)
        if self.initial_seq is not None or self.caller_next_seq is None:
            return self.initial_seq == seq
        return (self.caller_next_seq - seq) & _SEQ_MASK <= MAX_ACK_BEHIND_BYTES

    def is_acknowledged_by(self, packet: bytes) -> bool:
        """Return whether a packet acknowledges data sent by this host on the flow.

        If not, the caller continues a flow that another host has answered as well, or
        another flow of the same port. True for a packet without an acknowledgement.
        """
        if not packets.get_flags(packet) & packets.ACK:
            return True
        host_next_seq = self.host_next_seq
        if host_next_seq is None:
            return False
        ahead = self.max_ack_ahead
        behind = (host_next_seq + ahead - packets.get_ack(packet)) & _SEQ_MASK
        return behind <= MAX_ACK_BEHIND_BYTES + ahead

    def advance_caller_seq(self, packet: bytes) -> bool:
        """Record how far the caller has sent; False for retransmitted data."""
        end = (packets.get_seq(packet) + packets.get_data_bytes(packet)) & _SEQ_MASK
        if self.caller_next_seq is not None:
            advance = (end - self.caller_next_seq) & _SEQ_MASK
            if advance == 0 or advance > _SEQ_MASK >> 1:
                return False
        self.caller_next_seq = end
        return True

    def advance_host_seq(self, packet: bytes) -> None:
        """Record how far the host has sent."""
        consumes_seq = packets.get_flags(packet) & (packets.SYN | packets.FIN)
        length = packets.get_data_bytes(packet) + (1 if consumes_seq else 0)
        end = (packets.get_seq(packet) + length) & _SEQ_MASK
        if (
            self.host_next_seq is None
            or (end - self.host_next_seq) & _SEQ_MASK < _SEQ_MASK >> 1
        ):
            self.host_next_seq = end


class FlowTable:
    """Table of the flows that a gate has seen, and count of the requests in flight.

    Parameters
    ----------
    events : Events
        Collects the times to confirm flows and to answer requests.
    answers : AnswerRecord or None
        Collects the outcomes of requests by route, if a decision needs them.

    Attributes
    ----------
    in_flight : int
        Requests and opening packets that the host has not begun to answer.
    is_load_changed : bool
        Whether the load has changed since it was last reported.
    may_miss_flows : bool
        Whether the host may hold flows that are not in the table, so that an opening
        packet may be a late copy.
    work : HostWork
        Requests in flight by route, and the learned service times.
    """

    def __init__(self, events: Events, answers: AnswerRecord | None = None) -> None:
        self._events = events
        self._answers = answers
        self._flows: dict[bytes, Flow] = {}
        self._unconfirmed: deque[Flow] = deque()
        self._confirmation = ConfirmationTimer()
        self.in_flight = 0
        self.is_load_changed = False
        self.may_miss_flows = False
        self.work = HostWork()

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def has_unconfirmed(self) -> bool:
        """Whether some callers have yet to confirm their flows."""
        return bool(self._unconfirmed)

    def get(self, flow: bytes) -> Flow | None:
        """Return the state of a flow, or None if it is not known."""
        return self._flows.get(flow)

    def open(self, flow: bytes, packet: bytes, front: str, now: float) -> None:
        """Add a flow whose opening packet is dispatched to the host."""
        initial_seq = packets.get_seq(packet)
        route = self.work.get_route(flow)
        route.in_flight += 1
        entry = Flow(front, now, route, initial_seq, pending_since=now)
        # Packets of the flow may have passed while its opening packet waited.
        is_open = self.may_miss_flows or flow in self._flows
        if packets.get_ack(packet) or is_open:
            entry.max_ack_ahead = MAX_ACK_AHEAD_OF_COPY_BYTES
        self._flows[flow] = entry
        self.in_flight += 1
        self.is_load_changed = True

    def adopt(self, flow: bytes, packet: bytes, now: float) -> Flow:
        """Add a flow that the host has held unknown to this gate, from its packet.

        A full table returns the state without storing it.
        """
        route = self.work.get_route(flow)
        entry = Flow("", now, route, is_confirmed=True)
        # Not every packet of the flow has passed here.
        if packets.get_flags(packet) & packets.ACK:
            entry.caller_next_seq = packets.get_ack(packet)
        entry.max_ack_ahead = MAX_ACK_AHEAD_BYTES
        if len(self._flows) < MAX_FLOWS:
            self._flows[flow] = entry
        return entry

    def list_keys(self) -> list[bytes]:
        """List the keys of all flows."""
        return list(self._flows)

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        entry = self._flows.pop(flow, None)
        if entry is not None:
            self._end_request(entry)
            if self._answers is not None:
                self._answers.drop(flow)

    def clear(self) -> None:
        """Remove all flows, as the host has restarted."""
        self._flows.clear()
        self._unconfirmed.clear()
        self.work.clear()
        self.in_flight = 0
        self.is_load_changed = True
        if self._answers is not None:
            self._answers.clear()

    def record_caller_packet(self, entry: Flow, packet: bytes, now: float) -> None:
        """Record a caller packet that goes to the host."""
        flags = packets.get_flags(packet)
        if not entry.is_confirmed:
            entry.is_confirmed = True
            self._events.observe_opening(now - entry.last_packet_at)
            if entry.answered_at:
                self._confirmation.add(now - entry.answered_at)
        entry.last_packet_at = now
        if flags & _ENDING:
            self._record_caller_end(entry, flags)
            if self._answers is not None and flags & packets.RST:
                self._answers.record_given_up(packets.get_flow(packet), now)
        if not packets.get_data_bytes(packet) or not entry.advance_caller_seq(packet):
            return
        if self._answers is not None:
            self._answers.record_request(packets.get_flow(packet), now)
        entry.request_at = now
        if not entry.pending_since:
            entry.pending_since = now
            entry.route.in_flight += 1
            entry.route.arrivals += 1
            self.in_flight += 1
            self.is_load_changed = True

    def _record_caller_end(self, entry: Flow, flags: int) -> None:
        if flags & packets.RST:
            entry.ended_by = BOTH_ENDED
            self._end_request(entry)
            return
        entry.ended_by |= CALLER_ENDED

    def record_host_packet(self, entry: Flow, packet: bytes, now: float) -> bool:
        """Record a host packet; tell whether it answers the request in flight."""
        flags = packets.get_flags(packet)
        entry.last_packet_at = now
        if entry.host_next_seq is None and flags & packets.SYN:
            entry.answered_at = now
            self._unconfirmed.append(entry)
        entry.advance_host_seq(packet)
        if flags & packets.RST:
            entry.ended_by = BOTH_ENDED
        elif flags & packets.FIN:
            entry.ended_by |= HOST_ENDED
        data_bytes = packets.get_data_bytes(packet)
        is_answer = flags & (packets.RST | packets.FIN) or (
            data_bytes and not flags & packets.SYN
        )
        if not is_answer or not entry.pending_since:
            return False
        self._events.observe_answer(now - entry.pending_since)
        if self._answers is not None:
            self._answers.record_response(packet, now)
        self._learn_service(entry, data_bytes, now)
        self._end_request(entry)
        return True

    def _learn_service(self, entry: Flow, data_bytes: int, now: float) -> None:
        times = self.work.times
        if not data_bytes or not entry.request_at:
            times.record_failure(now)
            return
        service_s = times.record_answer(entry.route.key, entry.request_at, now)
        if service_s is not None:
            self._events.observe_service(service_s)

    def expire_unconfirmed(self, now: float) -> None:
        """End the openings that their callers have not confirmed in time."""
        oldest_at = now - self._confirmation.timeout_s
        while self._unconfirmed and self._unconfirmed[0].answered_at < oldest_at:
            entry = self._unconfirmed.popleft()
            if not entry.is_confirmed:
                self._end_request(entry)

    def expire(self, idle_s: float, now: float) -> None:
        """Remove ended and idle flows, and end requests that are pending too long."""
        for flow, entry in list(self._flows.items()):
            age_s = now - entry.last_packet_at
            if age_s > idle_s or (
                entry.ended_by == BOTH_ENDED and age_s > ENDED_RETENTION_S
            ):
                self.remove(flow)
            elif entry.pending_since and now - entry.pending_since > MAX_PENDING_S:
                self._end_request(entry)

    def _end_request(self, entry: Flow) -> None:
        if not entry.pending_since:
            return
        entry.pending_since = 0.0
        entry.route.in_flight -= 1
        self.in_flight -= 1
        self.is_load_changed = True


__all__ = ["Flow", "FlowTable"]
