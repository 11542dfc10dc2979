"""The gate: every packet for a host passes here, and every packet that it sends.

It alone knows at once that its host drains, is cold, or stands in a data centre that is
taken out, so it enforces these whatever a front believes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .admission import Admission
from .dispatch import Offers
from .echo_tags import Marks
from .flow_table import Flow, FlowTable
from .heartbeat import HostState
from .host_probes import Answer, UnseenFlows
from .host_record import HostRecord, Taken
from .messages import (
    OPEN_HEAD,
    Decline,
    Hello,
    Kind,
    Report,
    decode_control,
    decode_seek,
    decode_spread,
    encode_seek,
)
from .reporter import Reporter
from .waiting_queue import Opening

if TYPE_CHECKING:
    from .events import Events
    from .heartbeat import Heartbeat

EXPIRE_INTERVAL_S: Final = 1.0


class GateTransport(Protocol):
    """Where a gate sends."""

    def send_to_host(self, packet: bytes) -> None:
        """Send a packet to the host."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""


class Gate:
    """Decides on every packet to and from one host.

    Parameters
    ----------
    outlet : GateTransport
        Where packets and messages go.
    events : Events
        Where decisions are logged and counted.
    service, data_centre : str
        Service and place of the host.
    incarnation : int
        Number drawn at each start of the process.
    heartbeat_s : float
        Time between heartbeats of the host, in seconds.
    now : float
        Time, in seconds.
    """

    def __init__(
        self,
        outlet: GateTransport,
        events: Events,
        *,
        service: str,
        data_centre: str,
        incarnation: int,
        heartbeat_s: float,
        now: float,
    ) -> None:
        self._outlet = outlet
        self._events = events
        self._service = service
        self._data_centre = data_centre
        self._host = HostRecord(service, heartbeat_s, now)
        self._flows = FlowTable(events)
        self._marks = Marks()
        self._admission = Admission(events, self._host, service, data_centre)
        self._offers = Offers(
            events, self._flows, self._host, self._send_host, self._decline
        )
        self._unseen = UnseenFlows(now)
        self._is_leaving = False
        self.reporter = Reporter(
            outlet.send_to_node,
            events,
            self._build_report,
            self._count_work,
            incarnation=incarnation,
            now=now,
        )
        self._expire_due = now + EXPIRE_INTERVAL_S

    @property
    def state(self) -> HostState:
        """What the host is ready for, as far as this process can carry it."""
        if self._is_leaving and self._host.state is HostState.READY:
            return HostState.UNKNOWN
        return self._host.state

    # From the host's heartbeats.

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take what the host says of itself."""
        before = self.state
        incarnation = self._host.incarnation
        match self._host.take(heartbeat, now):
            case Taken.OTHER_SERVICE:
                self._events.emit(
                    "heartbeat_ignored",
                    host=heartbeat.host,
                    service=heartbeat.service,
                    expected=self._service,
                    reason="another service",
                )
                return
            case Taken.LATE:
                self._events.count("heartbeats.late")
                return
            case Taken.NEW_INCARNATION:
                self._begin_incarnation(heartbeat, incarnation)
        self._admission.cold.set_end(now + heartbeat.cold_left_s)
        if self.state is not before:
            self._note_state("heartbeat", now)

    def handle_leave(self, host: str, now: float) -> None:
        """Take the host's word that it leaves for good."""
        before = self.state
        if not self._host.leave(host):
            self._events.emit("leave_ignored", host=host, reason="another host")
            return
        if self.state is not before:
            self._note_state("the host has left", now)

    def _begin_incarnation(self, heartbeat: Heartbeat, before: int) -> None:
        if before:
            # What an earlier run of the host held is gone.
            self._flows.clear()
            self._offers.clear()
            self._unseen.clear()
        # A host that has just begun holds nothing that this gate has not seen.
        self._unseen.knows_all = bool(before) or heartbeat.sequence <= 1
        self._events.emit(
            "host_started",
            host=heartbeat.host,
            incarnation=heartbeat.incarnation,
            heartbeat=heartbeat.sequence,
            cold_left_s=heartbeat.cold_left_s,
            before=before,
        )

    def _note_state(self, cause: str, now: float) -> None:
        self._events.emit(
            "host_state",
            host=self._host.name,
            state=self.state.name.lower(),
            cause=cause,
            heartbeat_age_s=round(self._host.get_age_s(now), 3),
        )
        if self.state is not HostState.READY:
            self._offers.turn_away(Decline.NOT_READY, now)
        self.reporter.report(now)

    # From the nodes.

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Take a message of another node."""
        if not message:
            return
        if message[0] == _CARRY:
            self._take_later(message[1:], sender, now, is_sought=False)
        else:
            self._take_kind(message, sender, now)
        self._tell_load(now)

    def _take_kind(self, message: bytes, sender: str, now: float) -> None:
        match message[0]:
            case Kind.OPEN:
                self._take_open(message, sender, now)
            case Kind.SEEK:
                self._take_seek(message, now)
            case Kind.SPREAD:
                self._take_spread(message, sender, now)
            case Kind.CONTROL:
                self._take_control(message, sender, now)
            case _:
                self._events.count("messages.unknown")

    def _take_control(self, message: bytes, sender: str, now: float) -> None:
        match decode_control(message):
            case Hello() as hello:
                self._take_hello(hello, sender, now)
            case _:
                self._events.count("messages.unreadable")

    def _take_hello(self, hello: Hello, sender: str, now: float) -> None:
        if not hello.is_leaving:
            self._admission.learn(hello, sender)
        if self._admission.is_out:
            self._offers.turn_away(Decline.EVACUATED, now)
        self.reporter.take_hello(hello, sender, now)

    # Opening packets.

    def _take_open(self, message: bytes, sender: str, now: float) -> None:
        packet = message[OPEN_HEAD.size :]
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        _, tag, priority = OPEN_HEAD.unpack_from(message)
        flow = packets.get_flow(packet)
        known = self._flows.get(flow)
        if known is not None and known.is_begun_by(packet):
            self._take_copy(packet, known, sender, now)
            return
        if self._offers.is_waiting(flow) and packets.get_ack(packet):
            self._events.count("flows.copies_waiting")
            return
        reason = self._admission.judge(tag, len(self._flows), now)
        if self._is_leaving:
            reason = Decline.NOT_READY
        if reason is not None:
            self._decline(packet, sender, reason, now)
            return
        self._flows.forget(flow)
        self._offers.add(Opening(flow, packet, sender, priority, now), now)

    def _take_copy(self, packet: bytes, known: Flow, sender: str, now: float) -> None:
        if known.ends:
            self._events.count("flows.copies_late")
            return
        known.seen_at = now
        if not known.is_confirmed:
            known.front = sender
        self._send_host(packet, sender)

    def _send_host(self, packet: bytes, front: str, *, is_sought: bool = False) -> None:
        mark = self._marks.get(front, is_sought=is_sought)
        self._outlet.send_to_host(packets.set_echo(packet, mark))

    def _decline(self, packet: bytes, front: str, reason: Decline, now: float) -> None:
        self._events.emit_for_flow(
            "declined",
            packets.get_flow(packet),
            front=front,
            reason=reason.name.lower(),
            work=self._flows.work,
            waiting=len(self._offers),
            heartbeat_age_s=round(self._host.get_age_s(now), 3),
            evacuations=self._admission.evacuations.revision,
        )
        head = bytes((Kind.DECLINED, reason))
        self._outlet.send_to_node(front, head + packet)

    # Later packets.

    def _take_later(
        self, packet: bytes, sender: str, now: float, *, is_sought: bool
    ) -> None:
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        flow = packets.get_flow(packet)
        known = self._flows.get(flow)
        if known is None:
            self._pass_unknown(packet, flow, sender, now, is_sought=is_sought)
            return
        if not known.is_continued_by(packet):
            self._deny(packet, flow, sender, "another flow's", is_sought=is_sought)
            return
        self._flows.note_caller_packet(known, packet, now)
        known.front = sender
        if is_sought:
            self._outlet.send_to_node(sender, _HELD + flow)
        self._send_host(packet, sender, is_sought=is_sought)

    def _take_seek(self, message: bytes, now: float) -> None:
        """Take a packet that another gate has passed on for a front."""
        sought = decode_seek(message)
        if sought is None:
            self._events.count("messages.unreadable")
            return
        self._take_later(sought.packet, sought.front, now, is_sought=True)

    def _take_spread(self, message: bytes, front: str, now: float) -> None:
        """Take a packet that a front seeks, and pass it on to other gates."""
        spread = decode_spread(message)
        if spread is None or not packets.is_packet(spread.packet):
            self._events.count("messages.unreadable")
            return
        seek = encode_seek(front, spread.packet)
        for ip in spread.others:
            self._outlet.send_to_node(ip, seek)
        self._take_later(spread.packet, front, now, is_sought=True)

    def _pass_unknown(
        self, packet: bytes, flow: bytes, sender: str, now: float, *, is_sought: bool
    ) -> None:
        if self._unseen.knows_all or self.state is HostState.GONE:
            self._deny(packet, flow, sender, "not held", is_sought=is_sought)
            return
        # Only the host knows what it held before this gate began.
        if is_sought:
            self._unseen.ask(flow, sender, now)
        self._events.count("flows.asked_host")
        self._send_host(packet, sender, is_sought=is_sought)

    def _deny(
        self, packet: bytes, flow: bytes, front: str, reason: str, *, is_sought: bool
    ) -> None:
        """Tell a front that the host does not hold the flow of a packet."""
        if is_sought:
            self._events.emit_for_flow("not_held", flow, front=front, reason=reason)
            self._outlet.send_to_node(front, _NOT_HELD + flow)
            return
        self._events.emit_for_flow("stray", flow, front=front, reason=reason)
        self._outlet.send_to_node(front, _STRAY + packet)

    # From the host.

    def handle_host_packet(self, packet: bytes, now: float) -> None:
        """Take a packet that the host has sent."""
        if not packets.is_packet(packet):
            self._events.count("packets.unreadable")
            return
        if packets.get_flags(packet) & packets.BOUNCED:
            self._take_bounced(packet, now)
        else:
            self._take_answer(packet, now)
        self._tell_load(now)

    def _take_answer(self, packet: bytes, now: float) -> None:
        flow = packets.get_host_packet_flow(packet)
        known = self._flows.get(flow)
        if known is None:
            known = self._adopt(flow, packet, now)
        if known is None:
            return
        is_answer = self._flows.note_host_packet(known, packet, now)
        self._outlet.send_to_caller(packet)
        if is_answer and self._offers:
            self._offers.go_on(now)

    def _adopt(self, flow: bytes, packet: bytes, now: float) -> Flow | None:
        """Take a flow into the table that the host held before this gate began."""
        front = self._unseen.get_asker(flow)
        if not front:
            return self._flows.adopt(flow, packet, now)
        match self._unseen.take_answer(flow, packet):
            case Answer.HELD:
                self._events.emit_for_flow("adopted", flow, front=front)
                self._outlet.send_to_node(front, _HELD + flow)
                return self._flows.adopt(flow, packet, now)
            case Answer.NOT_HELD:
                self._events.emit_for_flow(
                    "not_held", flow, front=front, reason="reset"
                )
                self._outlet.send_to_node(front, _NOT_HELD + flow)
            case Answer.AMBIGUOUS:
                self._events.count("packets.ambiguous")
        return None

    def _take_bounced(self, packet: bytes, now: float) -> None:
        origin = self._marks.read(packets.get_echo(packet))
        if origin is None:
            self._events.count("packets.unmarked")
            return
        flow = packets.get_flow(packet)
        known = self._flows.get(flow)
        restored = packets.restore_bounced(packet)
        if packets.get_flags(packet) & packets.SYN:
            if known is not None and known.sent_up_to is None:
                self._flows.forget(flow)
            self._decline(restored, origin.front, Decline.FULL, now)
            return
        self._unseen.end(flow)
        self._flows.forget(flow)
        if known is not None and known.ends:
            # The last packets of an ended flow need no host.
            return
        reason = "host bounced it"
        self._deny(restored, flow, origin.front, reason, is_sought=origin.is_sought)

    # By time.

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._offers.tick(now)
        self._flows.give_up_unconfirmed(now)
        self._tell_load(now)
        if self.reporter.is_due(now):
            self._check_host(now)
            self.reporter.report(now)
        if now >= self._expire_due:
            self._expire(now)

    def leave(self, now: float) -> None:
        """Take no new flows, as this process is about to end."""
        self._is_leaving = True
        self._note_state("this process stops", now)

    def _tell_load(self, now: float) -> None:
        """Tell the fronts of a change at once, unless one was told just now."""
        if not self._flows.is_changed or not self.reporter.may_send_load(now):
            return
        self._flows.is_changed = False
        self.reporter.send_load(len(self._flows), self.state, now)

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Go on after a pause: the silence of others in it says nothing."""
        self._host.handle_pause(gap_s)
        self.reporter.handle_pause(gap_s, now)

    def _check_host(self, now: float) -> None:
        if self._host.check_silence(now):
            self._note_state("no heartbeat", now)

    def _count_work(self) -> int:
        return self._flows.work + len(self._offers)

    def _build_report(self, incarnation: int, sequence: int, now: float) -> Report:
        return Report(
            gate_incarnation=incarnation,
            sequence=sequence,
            host=self._host.name,
            service=self._service,
            data_centre=self._data_centre,
            state=self.state,
            slots=self._host.slots,
            cold_left_s=round(self._host.get_cold_left_s(now), 3),
            work=self._count_work(),
            flows=len(self._flows),
            evacuations=self._admission.evacuations.revision,
        )

    def _expire(self, now: float) -> None:
        self._expire_due = now + EXPIRE_INTERVAL_S
        self._unseen.expire(now)
        self._flows.expire(self._admission.idle_s, now)


_CARRY: Final = int(Kind.FORWARD)
"""Most messages are of this kind; a member of an enumeration is found more slowly."""
_HELD: Final = bytes((Kind.HELD,))
_NOT_HELD: Final = bytes((Kind.NOT_HELD,))
_STRAY: Final = bytes((Kind.STRAY,))

__all__ = ["Gate", "GateTransport"]
