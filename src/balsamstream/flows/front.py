"""Front: sends each caller packet to the gate that holds the packet's flow.

A front keeps only soft state. It finds the holders of flows again by searching, and the
desired state is in the store and at other nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.platform import packets

from .fleet import Fleet, FleetTransport
from .heartbeat import HostState
from .hints import Hints
from .load_policy import LoadPolicy
from .messages import (
    OPEN_HEADER,
    TIMED_DECLINED_HEADER,
    DeclineReason,
    Kind,
    compute_service_tag,
)
from .placement import Host, choose_host
from .searches import Searches
from .startup_buffer import StartupBuffer

if TYPE_CHECKING:
    from .desired_state import Route
    from .events import Events

MAX_PLACEMENTS: Final = 4
"""Hosts that may decline a flow before it is refused."""
DECLINE_BACKOFF_S: Final = 0.1
"""Time for which a host that has declined a flow is a last resort."""
LOWEST_PRIORITY: Final = 255
DEFAULT_POLICY: Final = LoadPolicy()


class FrontTransport(FleetTransport, Protocol):
    """Sends the packets and messages of a front."""

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""


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
        self._policy = policy
        self._transport = transport
        self._events = events
        self._data_centre = data_centre
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
        self._declined_by: Hints[set[str]] = Hints()
        self._startup_buffer = StartupBuffer(now)
        self._searches = Searches(transport, events, self.fleet)

    @property
    def has_buffered_packets(self) -> bool:
        """Whether opening packets wait for the next tick."""
        return len(self._startup_buffer) > 0

    # Packets from callers.

    def handle_caller_packet(self, packet: bytes, now: float) -> None:
        """Handle a caller packet that the routers have sent here."""
        if not packets.is_packet(packet):
            self._events.count("packets.unreadable")
            return
        flow = packets.get_flow(packet)
        host = self._hints.get(flow)
        if packets.get_flags(packet) & packets.SYN:
            self._handle_opening(packet, flow, host, now, now)
            return
        if host is not None and host.may_hold_flows(now):
            self._forward(packet, host, now)
            return
        self._searches.search(packet, now)

    def _forward(self, packet: bytes, host: Host, now: float) -> None:
        if not host.is_alive(now):
            self.fleet.keep_contact(host, now)
        self._transport.send_to_gate(host.address, _FORWARD + packet)

    def _handle_opening(
        self,
        packet: bytes,
        flow: bytes,
        host: Host | None,
        arrived_at: float,
        now: float,
    ) -> None:
        if not self._can_decide(packet) and self._startup_buffer.hold(
            packet, arrived_at, now
        ):
            return
        route = self.fleet.find_route(packet)
        if route is None:
            self._refuse(packet, flow, "no route")
            return
        service = route.choose_service(flow)
        if packets.get_ack(packet) == 0:
            # The caller may have reused its port; discard what its earlier flow left.
            self._declined_by.remove(flow)
        elif host is not None and host.service == service and host.is_alive(now):
            # A copy of the packet must go to the same host.
            self._transport.send_to_gate(
                host.address, _build_open_header(service, route) + packet
            )
            return
        self._place(packet, flow, route, now)

    def _can_decide(self, packet: bytes) -> bool:
        """Return whether the front knows enough to place or refuse a packet."""
        if self.fleet.desired is None:
            return False
        route = self.fleet.find_route(packet)
        if route is None:
            return True
        hosts = self.fleet.iterate_hosts(route)
        return any(host.state is HostState.READY for host in hosts)

    def _place(self, packet: bytes, flow: bytes, route: Route, now: float) -> None:
        service = route.choose_service(flow)
        declined_by = self._declined_by.get(flow)
        host = None
        if declined_by is None or len(declined_by) < MAX_PLACEMENTS:
            host = choose_host(
                self.fleet.get_hosts(service),
                self._data_centre,
                self.fleet.evacuations.data_centres,
                declined_by or (),
                now,
                flow,
            )
        if host is None:
            self._refuse(packet, flow, "no host")
            return
        if host.estimate_queue(now) >= 1.0:
            self.fleet.widen_contacts(service, now)
        host.record_placement(now)
        self._hints.put(flow, host)
        self._events.emit_for_flow(
            "placed",
            flow,
            service=service,
            host=host.ip,
            in_flight=host.in_flight,
            unreported=len(host.unreported),
            report_age_s=round(now - host.last_heard_at, 3),
            declines=0 if declined_by is None else len(declined_by),
            version=self.fleet.version,
        )
        self._transport.send_to_gate(
            host.address, _build_open_header(service, route) + packet
        )

    def _refuse(self, packet: bytes, flow: bytes, reason: str) -> None:
        """Reset an opening flow, so that its caller knows at once.

        A copy of an opening packet is refused only if this front has seen the first
        one, as the flow may have been opened through another front. Nothing is refused
        before the first desired state.
        """
        is_first = packets.get_ack(packet) == 0
        has_seen_first = is_first or self._declined_by.get(flow) is not None
        is_refused = has_seen_first and self.fleet.desired is not None
        self._events.emit_for_flow(
            "refused" if is_refused else "ignored",
            flow,
            reason=reason,
            copy=packets.get_ack(packet),
            version=self.fleet.version,
            out=sorted(self.fleet.evacuations.data_centres),
        )
        if not is_refused:
            return
        if self._declined_by.get(flow) is None:
            self._declined_by.put(flow, set())
        self._transport.send_to_caller(packets.build_reset(packet))

    # Messages from nodes.

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message of another node."""
        if not message:
            return
        self.fleet.record_answer(sender)
        match message[0]:
            case Kind.LOAD | Kind.TIMED_LOAD:
                self.fleet.handle_load(message, sender, now)
            case Kind.DECLINED:
                self._handle_declined(message, message[2:], sender, now)
            case Kind.TIMED_DECLINED:
                packet = message[TIMED_DECLINED_HEADER.size :]
                self._handle_declined(message, packet, sender, now)
            case Kind.STRAY:
                self._handle_stray(message[1:], sender, now)
            case Kind.HELD:
                self._handle_held(message[1:], sender, now)
            case Kind.NOT_HELD:
                self._searches.handle_not_held(message[1:], sender, now)
            case Kind.CONTROL:
                self.fleet.handle_control(message, sender, now)
            case _:
                self._events.count("messages.unknown")

    def _handle_declined(
        self, message: bytes, packet: bytes, sender: str, now: float
    ) -> None:
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        flow = packets.get_flow(packet)
        reason = message[1]
        host = self._hints.get(flow)
        if host is None or host.ip != sender:
            self._events.count("declines.outdated")
            return
        host.avoid_until = now + DECLINE_BACKOFF_S
        self._hints.remove(flow)
        declined_by = self._declined_by.get(flow)
        if declined_by is None:
            declined_by = set()
            self._declined_by.put(flow, declined_by)
        declined_by.add(sender)
        self._events.emit_for_flow(
            "declined",
            flow,
            host=sender,
            reason=_describe_reason(reason),
            declines=len(declined_by),
        )
        route = self.fleet.find_route(packet)
        if route is None:
            self._refuse(packet, flow, "no route")
            return
        if reason == DeclineReason.BUSY:
            # The packet has waited at the least busy host. Another wait would outlast
            # the caller's attempt and take a slot for an abandoned request.
            self._refuse(packet, flow, "busy")
            return
        self._place(packet, flow, route, now)

    def _handle_stray(self, packet: bytes, sender: str, now: float) -> None:
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        flow = packets.get_flow(packet)
        host = self._hints.get(flow)
        if host is not None and host.ip != sender:
            self._forward(packet, host, now)
            return
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
        if not host.is_alive(now):
            self.fleet.keep_contact(host, now)
        self._events.emit_for_flow("found", flow, host=sender)

    # Timers.

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Restart discovery after a pause, as the state of nodes may have changed."""
        self.fleet.handle_pause(gap_s, now)
        self._startup_buffer.restart_discovery(now)

    def tick(self, now: float) -> None:
        """Handle buffered packets again, and do the periodic work if due."""
        for arrived_at, packet in self._startup_buffer.drain():
            flow = packets.get_flow(packet)
            self._handle_opening(packet, flow, self._hints.get(flow), arrived_at, now)
        self._searches.tick(now)
        if not self.fleet.tick(now):
            return
        self._hints.tick(now)
        self._declined_by.tick(now)


_FORWARD: Final = bytes((Kind.FORWARD,))


def _build_open_header(service: str, route: Route) -> bytes:
    priority = min(max(route.priority, 0), LOWEST_PRIORITY)
    return OPEN_HEADER.pack(Kind.OPEN, compute_service_tag(service), priority)


def _describe_reason(reason: int) -> str:
    try:
        return DeclineReason(reason).name.lower()
    except ValueError:
        return str(reason)


__all__ = ["Front", "FrontTransport"]
