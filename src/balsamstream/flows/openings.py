"""Opening packets at a front: placed at a host, placed again, or refused.

Load pattern: busy hosts decline flows that another host could still serve, and callers
repeat each refusal at once. A declined flow is placed again while its caller waits; one
that no host can take is refused at once.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .delay import NewFlow
from .heartbeat import HostState
from .hints import Hints
from .messages import TIMED_PROTOCOL, compute_route_tag
from .opening_messages import decode_decline, encode_open, get_copy_age
from .startup_buffer import StartupBuffer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .choice import HostChooser
    from .desired_state import Route
    from .events import Events
    from .fleet import Fleet
    from .load_policy import LoadPolicy
    from .placement import Host
    from .transport import PacketTransport

MAX_PLACEMENTS: Final = 4
"""Hosts that may decline a flow before it is refused."""
DECLINE_BACKOFF_S: Final = 0.1
"""Time for which a host that has declined a flow is a last resort."""
ATTEMPT_S: Final = 1.4
"""Age at which a caller gives up an attempt."""
SILENCE_S: Final = 0.15
"""Time from placing a flow after which a gate that has not reported since is silent;
gates report each change of load at once."""
NO_DETAILS: Final[Mapping[str, object]] = MappingProxyType({})


class Openings:
    """Places and refuses the opening packets of one front.

    Parameters
    ----------
    transport : PacketTransport
        Sends packets and messages.
    events : Events
        Logs and counts decisions.
    fleet : Fleet
        Supplies routes and hosts.
    hints : Hints of Host
        Holders of flows, which later packets are sent to.
    chooser : HostChooser
        Chooses hosts.
    policy : LoadPolicy
        Decisions under load that are switched on.
    now : float
        Time, in seconds.
    """

    def __init__(
        self,
        transport: PacketTransport,
        events: Events,
        fleet: Fleet,
        hints: Hints[Host],
        chooser: HostChooser,
        policy: LoadPolicy,
        now: float,
    ) -> None:
        self._transport = transport
        self._events = events
        self._fleet = fleet
        self._hints = hints
        self._chooser = chooser
        self._policy = policy
        self._declined_by: Hints[set[str]] = Hints()
        self._startup_buffer = StartupBuffer(now)

    @property
    def has_buffered(self) -> bool:
        """Whether packets wait for the next tick."""
        return len(self._startup_buffer) > 0

    def handle(self, packet: bytes, flow: bytes, arrived_at: float, now: float) -> None:
        """Place an opening packet, send a copy on, refuse it, or buffer it.

        Parameters
        ----------
        packet, flow : bytes
            Opening packet or copy, and the key of its flow.
        arrived_at : float
            Time of its arrival at this front, in seconds.
        now : float
            Time, in seconds.
        """
        if not self._can_decide(packet) and self._startup_buffer.hold(
            packet, arrived_at, now
        ):
            return
        route = self._fleet.find_route(packet)
        if route is None:
            self._refuse(packet, flow, "no route")
            return
        service = route.choose_service(flow)
        host = self._hints.get(flow)
        elapsed_s = get_copy_age(packet) + now - arrived_at
        if packets.get_ack(packet) == 0:
            # The caller may have reused its port; discard what its earlier flow left.
            self._declined_by.remove(flow)
        elif host is not None and host.service == service and host.is_alive(now):
            declined_by = self._declined_by.get(flow)
            if not declined_by or not self._is_cut_off(host, now):
                # A copy of the packet must go to the same host.
                self._send_open(packet, host, service, route, elapsed_s)
                return
            # The flow was declined once, and its second host gives no sign.
            declined_by.add(host.ip)
        self._place(packet, flow, route, elapsed_s, now)

    def _is_cut_off(self, host: Host, now: float) -> bool:
        """Return whether a gate has not reported since a flow was placed there.

        The link to it may be cut. A pause of this process is no silence of the gate.
        """
        if not self._policy.by_deadline or not host.unreported:
            return False
        return now - max(host.unreported[0], host.last_heard_at) > SILENCE_S

    def _send_open(
        self, packet: bytes, host: Host, service: str, route: Route, elapsed_s: float
    ) -> None:
        is_timed = self._policy.by_deadline and host.protocol >= TIMED_PROTOCOL
        message = encode_open(packet, service, route, elapsed_s, is_timed=is_timed)
        self._transport.send_to_gate(host.address, message)

    def _can_decide(self, packet: bytes) -> bool:
        """Return whether the front knows enough to place or refuse a packet."""
        if self._fleet.desired is None:
            return False
        route = self._fleet.find_route(packet)
        if route is None:
            return True
        hosts = self._fleet.iterate_hosts(route)
        return any(host.state is HostState.READY for host in hosts)

    def _place(
        self,
        packet: bytes,
        flow: bytes,
        route: Route,
        elapsed_s: float,
        now: float,
        declined_as: str = "",
    ) -> None:
        """Place a flow, or refuse it if no host can take it.

        Parameters
        ----------
        packet, flow : bytes
            Opening packet and key of its flow.
        route : Route
            Route of the flow.
        elapsed_s : float
            Time since the caller's first packet of this attempt, in seconds.
        now : float
            Time, in seconds.
        declined_as : str
            Reason of the gate that has just declined the flow, empty if none has.
        """
        service = route.choose_service(flow)
        declined_by = self._declined_by.get(flow) or ()
        if len(declined_by) >= MAX_PLACEMENTS:
            self._refuse(packet, flow, "busy" if declined_as == "busy" else "no host")
            return
        left_s = route.deadline_s - elapsed_s
        has_waited = declined_as == "busy"
        if has_waited:
            left_s = min(left_s, ATTEMPT_S - elapsed_s)
        route_tag = compute_route_tag(packets.get_route(packet))
        choice = self._chooser.choose(
            self._fleet.get_hosts(service),
            NewFlow(flow, service, route_tag, has_waited),
            self._fleet.evacuations.data_centres,
            declined_by,
            left_s,
            now,
        )
        host = choice.host
        details = self._describe_choice(choice.expected_s, left_s, declined_as)
        if host is None:
            if choice.reason == "overload":
                self._fleet.widen_contacts(service, now)
            is_busy = has_waited and choice.reason == "no host"
            self._refuse(packet, flow, "busy" if is_busy else choice.reason, details)
            return
        if host.estimate_queue(now) >= 1.0:
            self._fleet.widen_contacts(service, now)
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
            declines=len(declined_by),
            version=self._fleet.version,
            **details,
        )
        self._send_open(packet, host, service, route, elapsed_s)

    def _describe_choice(
        self, expected_s: float, left_s: float, declined_as: str
    ) -> dict[str, object]:
        """Return the log fields of a choice by expected time or deadline."""
        if not self._policy.estimates_delays:
            return {}
        return {
            "expected_s": round(expected_s, 3),
            "left_s": round(left_s, 3),
            "declined_as": declined_as,
        }

    def _refuse(
        self,
        packet: bytes,
        flow: bytes,
        reason: str,
        details: Mapping[str, object] = NO_DETAILS,
    ) -> None:
        """Reset an opening flow, so that its caller knows at once.

        A copy of an opening packet is refused only if this front has seen the first
        one, as the flow may have been opened through another front. Nothing is refused
        before the first desired state.
        """
        is_first = packets.get_ack(packet) == 0
        has_seen_first = is_first or self._declined_by.get(flow) is not None
        is_refused = has_seen_first and self._fleet.desired is not None
        self._events.emit_for_flow(
            "refused" if is_refused else "ignored",
            flow,
            reason=reason,
            copy=packets.get_ack(packet),
            version=self._fleet.version,
            out=sorted(self._fleet.evacuations.data_centres),
            **details,
        )
        if not is_refused:
            return
        if self._declined_by.get(flow) is None:
            self._declined_by.put(flow, set())
        self._events.count("resets.refused")
        self._transport.send_to_caller(packets.build_reset(packet))

    def handle_declined(self, message: bytes, sender: str, now: float) -> None:
        """Place a flow that a gate has declined at another host, or refuse it."""
        decline = decode_decline(message)
        if decline is None:
            self._events.count("messages.unreadable")
            return
        packet, reason = decline.packet, decline.reason
        flow = packets.get_flow(packet)
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
            reason=reason,
            declines=len(declined_by),
        )
        route = self._fleet.find_route(packet)
        if route is None:
            self._refuse(packet, flow, "no route")
            return
        if reason == "busy" and not self._policy.by_deadline:
            # The packet has waited at the least busy host. Another wait would outlast
            # the caller's attempt and take a slot for an abandoned request.
            self._refuse(packet, flow, "busy")
            return
        elapsed_s = decline.compute_elapsed(route)
        self._place(packet, flow, route, elapsed_s, now, reason)

    # Timers.

    def restart_discovery(self, now: float) -> None:
        """Buffer packets again, as after a pause in which no message arrived."""
        self._startup_buffer.restart_discovery(now)

    def handle_buffered(self, now: float) -> None:
        """Handle buffered packets again."""
        for arrived_at, packet in self._startup_buffer.drain():
            self.handle(packet, packets.get_flow(packet), arrived_at, now)

    def tick(self, now: float) -> None:
        """Drop unused records of declines when due."""
        self._declined_by.tick(now)


__all__ = ["ATTEMPT_S", "MAX_PLACEMENTS", "Openings"]
