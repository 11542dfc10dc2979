"""The flows of one host, and how much work they are."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

if TYPE_CHECKING:
    from .events import Events

ENDED_S: Final = 3.0
"""An ended flow is kept for late copies of its last packets."""
CONFIRM_S: Final = 0.1
"""A caller that has not gone on with its flow for so long keeps no slot; it answers
within a round trip unless it has given up."""
LONGEST_WORK_S: Final = 5.0
"""A request that is not answered for so long is no sign of a busy host any more."""
MOST_FLOWS: Final = 65_536
MOST_UNACKNOWLEDGED: Final = 1 << 17
"""Bytes that a caller's word may be behind its host's; 16 packets are under way."""
MOST_AHEAD: Final = 16 * 1_200
"""Bytes that a caller's word may be ahead of what a restarted gate has seen its host
send: the host may send the first of 16 packets again, of which only the caller's
acknowledgements were lost."""
_WORD: Final = 0xFFFF_FFFF

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
    seen_at : float
        Time of its last packet, in seconds.
    began_with : int or None
        The caller's first number, None where the flow began before this gate.
    asked_up_to : int or None
        Number behind the last byte that the caller has sent, None before the first.
    sent_up_to : int or None
        Number behind the last byte that the host has sent, None until it has answered.
    is_confirmed : bool
        Whether the caller has acknowledged the host's answer to the opening packet.
    asked_at : float
        When a request was sent that is not answered yet; 0 for none. An opening flow
        counts as one.
    ends : int
        Flags of the sides that have ended it.
    """

    front: str
    seen_at: float
    began_with: int | None = None
    asked_up_to: int | None = None
    sent_up_to: int | None = None
    is_confirmed: bool = False
    asked_at: float = 0.0
    ends: int = 0

    def is_begun_by(self, packet: bytes) -> bool:
        """Tell whether an opening packet is a copy of the one that began the flow.

        A copy may be held up for seconds; one with another number means that the
        caller's port came again.
        """
        return self.began_with == packets.get_seq(packet)

    def is_continued_by(self, packet: bytes) -> bool:
        """Tell whether a packet acknowledges what this host has sent on the flow.

        The caller may have opened the flow at another host that answered, too, or may
        have used the same port before.
        """
        if not packets.get_flags(packet) & packets.ACK:
            return True
        sent_up_to = self.sent_up_to
        if sent_up_to is None:
            return False
        # Every packet of a flow that began before this gate was not seen here.
        ahead = MOST_AHEAD if self.began_with is None else 0
        behind = (sent_up_to + ahead - packets.get_ack(packet)) & _WORD
        return behind <= MOST_UNACKNOWLEDGED + ahead

    def note_asked(self, packet: bytes) -> bool:
        """Note how far the caller has sent; False for data that came before."""
        end = (packets.get_seq(packet) + packets.get_data_bytes(packet)) & _WORD
        if self.asked_up_to is not None:
            gained = (end - self.asked_up_to) & _WORD
            if gained == 0 or gained > _WORD >> 1:
                return False
        self.asked_up_to = end
        return True

    def note_sent(self, packet: bytes) -> None:
        """Note how far the host has sent."""
        marked = packets.get_flags(packet) & (packets.SYN | packets.FIN)
        length = packets.get_data_bytes(packet) + (1 if marked else 0)
        end = (packets.get_seq(packet) + length) & _WORD
        if self.sent_up_to is None or (end - self.sent_up_to) & _WORD < _WORD >> 1:
            self.sent_up_to = end


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
        self.work = 0
        self.is_changed = False

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: bytes) -> Flow | None:
        """Return a flow, None where it is not known."""
        return self._flows.get(flow)

    def open(self, flow: bytes, packet: bytes, front: str, now: float) -> None:
        """Add a flow whose opening packet goes to the host."""
        began_with = packets.get_seq(packet)
        self._flows[flow] = Flow(front, now, began_with, asked_at=now)
        self.work += 1
        self.is_changed = True

    def adopt(self, flow: bytes, packet: bytes, now: float) -> Flow:
        """Add a flow that the host held before this gate began."""
        is_opening = packets.get_flags(packet) & packets.SYN
        known = Flow("", now, is_confirmed=not is_opening)
        if len(self._flows) < MOST_FLOWS:
            self._flows[flow] = known
        return known

    def forget(self, flow: bytes) -> None:
        """Remove a flow."""
        known = self._flows.pop(flow, None)
        if known is not None:
            self._end_work(known)

    def clear(self) -> None:
        """Remove all flows, as their host has begun anew."""
        self._flows.clear()
        self._unconfirmed.clear()
        self.work = 0
        self.is_changed = True

    def expect_confirmation(self, known: Flow, opened_at: float) -> None:
        """Look later whether the caller has gone on with a flow."""
        self._unconfirmed.append((opened_at, known))

    def note_caller_packet(self, known: Flow, packet: bytes, now: float) -> None:
        """Note a packet that goes to the host."""
        flags = packets.get_flags(packet)
        if not known.is_confirmed:
            known.is_confirmed = True
            self._events.observe_opening(now - known.seen_at)
        known.seen_at = now
        if flags & _ENDING:
            self._note_caller_end(known, flags)
        if not packets.get_data_bytes(packet) or not known.note_asked(packet):
            return
        if not known.asked_at:
            known.asked_at = now
            self.work += 1
            self.is_changed = True

    def _note_caller_end(self, known: Flow, flags: int) -> None:
        if flags & packets.RST:
            known.ends = BOTH_ENDED
            self._end_work(known)
            return
        known.ends |= CALLER_ENDED

    def note_host_packet(self, known: Flow, packet: bytes, now: float) -> bool:
        """Note a packet of the host; tell whether it ends a piece of work."""
        flags = packets.get_flags(packet)
        known.seen_at = now
        known.note_sent(packet)
        if flags & packets.RST:
            known.ends = BOTH_ENDED
        elif flags & packets.FIN:
            known.ends |= HOST_ENDED
        is_answer = flags & (packets.RST | packets.FIN) or (
            packets.get_data_bytes(packet) and not flags & packets.SYN
        )
        if not is_answer or not known.asked_at:
            return False
        self._events.observe_answer(now - known.asked_at)
        self._end_work(known)
        return True

    def give_up_unconfirmed(self, now: float) -> None:
        """Count out flows that their callers have left."""
        unconfirmed = self._unconfirmed
        while unconfirmed and now - unconfirmed[0][0] > CONFIRM_S:
            _, known = unconfirmed.popleft()
            if not known.is_confirmed:
                self._end_work(known)

    def expire(self, idle_s: float, now: float) -> None:
        """Remove flows that have ended or were silent for too long."""
        for flow, known in list(self._flows.items()):
            age_s = now - known.seen_at
            if age_s > idle_s or (known.ends == BOTH_ENDED and age_s > ENDED_S):
                self.forget(flow)
            elif known.asked_at and now - known.asked_at > LONGEST_WORK_S:
                self._end_work(known)

    def _end_work(self, known: Flow) -> None:
        if not known.asked_at:
            return
        known.asked_at = 0.0
        self.work -= 1
        self.is_changed = True


__all__ = ["Flow", "FlowTable"]
