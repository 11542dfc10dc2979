"""Front: sends each caller packet to the gate that holds the packet's flow.

A front keeps only soft state. It finds the holders of flows again by searching, and the
desired state is in the store and at other nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .choice import HostChooser
from .fleet import Fleet, FleetTransport
from .held_flows import HeldFlows, describe_ended
from .hints import Hints
from .load_policy import DEFAULT_POLICY, LoadPolicy
from .messages import Kind
from .openings import Openings
from .searches import Searches
from .transport import PacketTransport

if TYPE_CHECKING:
    from .events import Events
    from .held_flows import HeldFlow, SavedFlow
    from .placement import Host


class FrontTransport(FleetTransport, PacketTransport, Protocol):
    """Sends the packets and messages of a front."""


class Front:
    """Places new flows on hosts and forwards later packets to their holders.

    Parameters
    ----------
    transport : FrontTransport
        Sends packets and messages.
    events : Events
        Logs and counts decisions.
    ip, data_centre : str
        Address and data centre of this front.
    node_port : int
        Port on which nodes receive messages.
    now : float
        Time, in seconds.
    policy : LoadPolicy
        Decisions under load that are switched on.

    Attributes
    ----------
    fleet : Fleet
        Other nodes and the desired state.
    held_flows : HeldFlows
        Open flows whose packets pass here.
    """

    def __init__(
        self,
        transport: FrontTransport,
        events: Events,
        *,
        ip: str,
        data_centre: str,
        node_port: int,
        now: float,
        policy: LoadPolicy = DEFAULT_POLICY,
    ) -> None:
        self._transport = transport
        self._events = events
        self.fleet = Fleet(
            transport,
            events,
            ip=ip,
            data_centre=data_centre,
            node_port=node_port,
            now=now,
            policy=policy,
        )
        self._hints: Hints[Host] = Hints()
        self.held_flows = HeldFlows()
        self._openings = Openings(
            transport,
            events,
            self.fleet,
            self._hints,
            HostChooser(policy, ip, data_centre),
            policy,
            now,
        )
        self._searches = Searches(transport, events, self.fleet)

    @property
    def has_buffered_packets(self) -> bool:
        """Whether opening packets wait for the next tick."""
        return self._openings.has_buffered

    # Packets from callers.

    def handle_caller_packet(self, packet: bytes, now: float) -> None:
        """Handle a caller packet that the routers have sent here."""
        if not packets.is_packet(packet):
            self._events.count("packets.unreadable")
            return
        flow = packets.get_flow(packet)
        if packets.get_flags(packet) & packets.SYN:
            self._searches.end(flow)
            self._openings.handle(packet, flow, now, now)
            return
        host = self._hints.get(flow)
        if host is not None and host.may_hold_flows(now):
            self._forward(packet, flow, host, now)
            return
        self._searches.search(packet, now)

    def _forward(self, packet: bytes, flow: bytes, host: Host, now: float) -> None:
        if not host.is_alive(now):
            self.fleet.keep_contact(host, now)
        if packets.get_flags(packet) & _ENDING:
            self.held_flows.remove(flow)
        else:
            ack = packets.get_ack(packet)
            self.held_flows.record(flow, host.ip, host.incarnation, ack, now)
        self._transport.send_to_gate(host.address, _FORWARD + packet)

    # Messages from nodes.

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message of another node."""
        if not message:
            return
        self.fleet.record_answer(sender)
        match message[0]:
            case Kind.LOAD | Kind.TIMED_LOAD:
                self.fleet.handle_load(message, sender, now)
            case Kind.DECLINED | Kind.TIMED_DECLINED:
                self._openings.handle_declined(message, sender, now)
            case Kind.STRAY:
                self._handle_stray(message[1:], sender, now)
            case Kind.HELD:
                self._handle_held(message[1:], sender, now)
            case Kind.NOT_HELD:
                self._searches.handle_not_held(message[1:], sender, now)
            case Kind.CONTROL:
                self._handle_control(message, sender, now)
            case _:
                self._events.count("messages.unknown")

    def _handle_control(self, message: bytes, sender: str, now: float) -> None:
        silence_s = self._get_silence_s(sender, now)
        host = self.fleet.handle_control(message, sender, now)
        if host is None or not host.incarnation:
            return
        ended = self.held_flows.pop_ended(host.ip, host.incarnation, now)
        if ended:
            self._reset_ended(host, ended, silence_s, now)

    def _get_silence_s(self, ip: str, now: float) -> float | None:
        """Return the time since a gate was heard, None if it never was."""
        host = self.fleet.find_host(ip)
        if host is None or host.sequence < 0:
            return None
        return round(now - host.last_heard_at, 3)

    def restore_flows(self, flows: list[SavedFlow], now: float) -> None:
        """Add the flows that an earlier run has saved, and reset those that ended."""
        self.held_flows.restore(flows)
        for ip, ended in self.held_flows.pop_restored().items():
            host = self.fleet.find_host(ip)
            if host is not None:
                self._reset_ended(host, ended, self._get_silence_s(ip, now), now)

    def _reset_ended(
        self,
        host: Host,
        ended: dict[bytes, HeldFlow],
        silence_s: float | None,
        now: float,
    ) -> None:
        """Reset the flows that ended when a host restarted.

        Parameters
        ----------
        host : Host
            Host with its present incarnation.
        ended : dict of bytes to HeldFlow
            Records of the flows.
        silence_s : float or None
            Time since the gate was heard before, in seconds, for the log.
        now : float
            Time, in seconds.
        """
        for flow, held in ended.items():
            self._searches.end(flow)
            self._hints.remove(flow)
            self._transport.send_to_caller(packets.build_flow_reset(flow, held.ack))
            self._events.count("resets.restored" if held.is_saved else "resets.ended")
        self._events.emit(
            "flows_reset",
            host=host.ip,
            flows=len(ended),
            incarnation=host.incarnation,
            heard_before_s=silence_s,
            **describe_ended(ended.values(), now),
        )

    def _handle_stray(self, packet: bytes, sender: str, now: float) -> None:
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        flow = packets.get_flow(packet)
        host = self._hints.get(flow)
        if host is not None and host.ip != sender:
            self._forward(packet, flow, host, now)
            return
        self.held_flows.remove(flow)
        if self._searches.is_searching(flow, now):
            self._hints.remove(flow)
            self._searches.handle_not_held(flow, sender, now)
            return
        if host is None:
            # The caller retransmits its packet if it still needs an answer.
            self._events.count("strays.late")
            return
        self._hints.remove(flow)
        self._searches.search(packet, now, stray_at=sender)

    def _handle_held(self, flow: bytes, sender: str, now: float) -> None:
        host = self.fleet.find_host(sender)
        if host is None or len(flow) != packets.FLOW_KEY_BYTES:
            self._events.count("messages.unexpected")
            return
        self._searches.end(flow)
        self._hints.put(flow, host)
        self.held_flows.remove_elsewhere(flow, sender)
        if not host.is_alive(now):
            self.fleet.keep_contact(host, now)
        self._events.emit_for_flow("found", flow, host=sender)

    # Timers.

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Restart discovery after a pause, as the state of nodes may have changed."""
        self.fleet.handle_pause(gap_s, now)
        self._openings.restart_discovery(now)

    def tick(self, now: float) -> None:
        """Handle buffered packets again, and do the periodic work if due."""
        self._openings.handle_buffered(now)
        self._searches.tick(now)
        if not self.fleet.tick(now):
            return
        self._hints.tick(now)
        self.held_flows.tick(now)
        self._openings.tick(now)


_FORWARD: Final = bytes((Kind.FORWARD,))
_ENDING: Final = packets.FIN | packets.RST

__all__ = ["Front", "FrontTransport"]
