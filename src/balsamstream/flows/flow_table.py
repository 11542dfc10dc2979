"""The flows of one host, and how much work they are."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

if TYPE_CHECKING:
    from .events import Events

ENDED_RETENTION_S: Final = 3.0
"""An ended flow is kept for late copies of its last packets."""
CONFIRM_TIMEOUT_S: Final = 0.1
"""A caller that has not gone on with its flow for so long keeps no slot; it answers
within a round trip unless it has given up."""
MAX_PENDING_S: Final = 5.0
"""A request that is not answered for so long is no sign of a busy host any more."""
MAX_FLOWS: Final = 65_536
MAX_ACK_BEHIND_BYTES: Final = 1 << 17
"""Bytes that a caller's word may be behind its host's; 16 packets are under way."""
MAX_ACK_AHEAD_BYTES: Final = 16 * 1_200
"""Bytes that a caller's word may be ahead of what a restarted gate has seen its host
send: the host may send the first of 16 packets again, of which only the caller's
acknowledgements were lost."""
_SEQ_MASK: Final = 0xFFFF_FFFF

_ENDING: Final = packets.FIN | packets.RST
CALLER_ENDED: Final = 1
HOST_ENDED: Final = 2
BOTH_ENDED: Final = CALLER_ENDED | HOST_ENDED


@dataclass(slots=True)
class Flow:
    """A flow of the host.

    Attributes
    ----------
    front : str
        Address of the front that last sent a packet of it.
    last_packet_at : float
        Time of its last packet, in seconds.
    initial_seq : int or None
        The caller's first number, None where the flow began before this gate.
    caller_next_seq : int or None
        Number behind the last byte that the caller has sent, None before the first.
    host_next_seq : int or None
        Number behind the last byte that the host has sent, None until it has answered.
    is_confirmed : bool
        Whether the caller has acknowledged the host's answer to the opening packet.
    pending_since : float
        When a request was sent that is not answered yet; 0 for none. An opening flow
        counts as one.
    ended_by : int
        Flags of the sides that have ended it.
    """

    front: str
    last_packet_at: float
    initial_seq: int | None = None
    caller_next_seq: int | None = None
    host_next_seq: int | None = None
    is_confirmed: bool = False
    pending_since: float = 0.0
    ended_by: int = 0

    def is_opened_by(self, packet: bytes) -> bool:
        """Tell whether an opening packet is a copy of the one that began the flow.

        A copy may be held up for seconds; one with another number means that the
        caller's port came again.
        """
        return self.initial_seq == packets.get_seq(packet)

    def is_acknowledged_by(self, packet: bytes) -> bool:
        """Tell whether a packet acknowledges what this host has sent on the flow.

        The caller may have opened the flow at another host that answered, too, or may
        have used the same port before.
        """
        if not packets.get_flags(packet) & packets.ACK:
            return True
        host_next_seq = self.host_next_seq
        if host_next_seq is None:
            return False
        # Every packet of a flow that began before this gate was not seen here.
        ahead = MAX_ACK_AHEAD_BYTES if self.initial_seq is None else 0
        behind = (host_next_seq + ahead - packets.get_ack(packet)) & _SEQ_MASK
        return behind <= MAX_ACK_BEHIND_BYTES + ahead

    def advance_caller_seq(self, packet: bytes) -> bool:
        """Note how far the caller has sent; False for data that came before."""
        end = (packets.get_seq(packet) + packets.get_data_bytes(packet)) & _SEQ_MASK
        if self.caller_next_seq is not None:
            advance = (end - self.caller_next_seq) & _SEQ_MASK
            if advance == 0 or advance > _SEQ_MASK >> 1:
                return False
        self.caller_next_seq = end
        return True

    def advance_host_seq(self, packet: bytes) -> None:
        """Note how far the host has sent."""
        marked = packets.get_flags(packet) & (packets.SYN | packets.FIN)
        length = packets.get_data_bytes(packet) + (1 if marked else 0)
        end = (packets.get_seq(packet) + length) & _SEQ_MASK
        if (
            self.host_next_seq is None
            or (end - self.host_next_seq) & _SEQ_MASK < _SEQ_MASK >> 1
        ):
            self.host_next_seq = end


class FlowTable:
    """All flows of a host that the gate has seen.

    Parameters
    ----------
    events : Events
        Where times are noted.

    Attributes
    ----------
    work : int
        Requests and openings that the host has not begun to answer.
    is_changed : bool
        Whether that changed since it was last reported.
    """

    def __init__(self, events: Events) -> None:
        self._events = events
        self._flows: dict[bytes, Flow] = {}
        self._unconfirmed: deque[tuple[float, Flow]] = deque()
        self.in_flight = 0
        self.is_changed = False

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: bytes) -> Flow | None:
        """Return a flow, None where it is not known."""
        return self._flows.get(flow)

    def open(self, flow: bytes, packet: bytes, front: str, now: float) -> None:
        """Add a flow whose opening packet goes to the host."""
        initial_seq = packets.get_seq(packet)
        self._flows[flow] = Flow(front, now, initial_seq, pending_since=now)
        self.in_flight += 1
        self.is_changed = True

    def adopt(self, flow: bytes, packet: bytes, now: float) -> Flow:
        """Add a flow that the host held before this gate began."""
        is_opening = packets.get_flags(packet) & packets.SYN
        known = Flow("", now, is_confirmed=not is_opening)
        if len(self._flows) < MAX_FLOWS:
            self._flows[flow] = known
        return known

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        known = self._flows.pop(flow, None)
        if known is not None:
            self._end_request(known)

    def clear(self) -> None:
        """Remove all flows, as their host has begun anew."""
        self._flows.clear()
        self._unconfirmed.clear()
        self.in_flight = 0
        self.is_changed = True

    def expect_confirmation(self, known: Flow, opened_at: float) -> None:
        """Look later whether the caller has gone on with a flow."""
        self._unconfirmed.append((opened_at, known))

    def record_caller_packet(self, known: Flow, packet: bytes, now: float) -> None:
        """Note a packet that goes to the host."""
        flags = packets.get_flags(packet)
        if not known.is_confirmed:
            known.is_confirmed = True
            self._events.observe_opening(now - known.last_packet_at)
        known.last_packet_at = now
        if flags & _ENDING:
            self._record_caller_end(known, flags)
        if not packets.get_data_bytes(packet) or not known.advance_caller_seq(packet):
            return
        if not known.pending_since:
            known.pending_since = now
            self.in_flight += 1
            self.is_changed = True

    def _record_caller_end(self, known: Flow, flags: int) -> None:
        if flags & packets.RST:
            known.ended_by = BOTH_ENDED
            self._end_request(known)
            return
        known.ended_by |= CALLER_ENDED

    def record_host_packet(self, known: Flow, packet: bytes, now: float) -> bool:
        """Note a packet of the host; tell whether it ends a piece of work."""
        flags = packets.get_flags(packet)
        known.last_packet_at = now
        known.advance_host_seq(packet)
        if flags & packets.RST:
            known.ended_by = BOTH_ENDED
        elif flags & packets.FIN:
            known.ended_by |= HOST_ENDED
        is_answer = flags & (packets.RST | packets.FIN) or (
            packets.get_data_bytes(packet) and not flags & packets.SYN
        )
        if not is_answer or not known.pending_since:
            return False
        self._events.observe_answer(now - known.pending_since)
        self._end_request(known)
        return True

    def expire_unconfirmed(self, now: float) -> None:
        """Count out flows that their callers have left."""
        unconfirmed = self._unconfirmed
        while unconfirmed and now - unconfirmed[0][0] > CONFIRM_TIMEOUT_S:
            _, known = unconfirmed.popleft()
            if not known.is_confirmed:
                self._end_request(known)

    def expire(self, idle_s: float, now: float) -> None:
        """Remove flows that have ended or were silent for too long."""
        for flow, known in list(self._flows.items()):
            age_s = now - known.last_packet_at
            if age_s > idle_s or (
                known.ended_by == BOTH_ENDED and age_s > ENDED_RETENTION_S
            ):
                self.remove(flow)
            elif known.pending_since and now - known.pending_since > MAX_PENDING_S:
                self._end_request(known)

    def _end_request(self, known: Flow) -> None:
        if not known.pending_since:
            return
        known.pending_since = 0.0
        self.in_flight -= 1
        self.is_changed = True


__all__ = ["Flow", "FlowTable"]
