"""The searches of a front for the hosts of flows that it does not know."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balsamstream.platform import packets

from .messages import encode_spread
from .search import Seek, begin_seek, plan_search

if TYPE_CHECKING:
    from .desired_state import Route
    from .events import Events
    from .fleet import Fleet
    from .startup_buffer import Early


class SearchTransport(Protocol):
    """Where searches send."""

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""


class Searches:
    """All searches that go on.

    Parameters
    ----------
    outlet : SearchTransport
        Where packets and messages go.
    events : Events
        Where decisions are logged and counted.
    fleet : Fleet
        The gates to ask.
    early : Early
        Tells whether the front has run for long enough to know all gates.
    """

    def __init__(
        self, outlet: SearchTransport, events: Events, fleet: Fleet, early: Early
    ) -> None:
        self._outlet = outlet
        self._events = events
        self._fleet = fleet
        self._early = early
        self._seeks: dict[bytes, Seek] = {}

    def is_sought(self, flow: bytes, now: float) -> bool:
        """Tell whether a search for a flow goes on."""
        seek = self._seeks.get(flow)
        return seek is not None and not seek.is_over(now)

    def end(self, flow: bytes) -> None:
        """End the search for a flow, as its host is known."""
        self._seeks.pop(flow, None)

    def seek(self, packet: bytes, now: float, *, stray_at: str = "") -> None:
        """Send a packet to all hosts that may hold its flow.

        Parameters
        ----------
        packet : bytes
            A later packet of the flow.
        now : float
            Time, in seconds.
        stray_at : str
            The gate that was believed to hold the flow and has denied it, if any.
        """
        route = self._fleet.find_route(packet)
        if route is None:
            self._events.count("packets.no_route")
            return
        flow = packets.get_flow(packet)
        is_new = not self.is_sought(flow, now)
        if is_new:
            self._seeks[flow] = begin_seek(flow, now)
        seek = self._seeks[flow]
        if stray_at:
            seek.refused.add(stray_at)
        seek.packet = packet
        relays = self._send(seek, route, now)
        if is_new:
            self._events.emit_for_flow(
                "sought",
                flow,
                flags=packets.get_flags(packet),
                stray_at=stray_at,
                relays=relays,
            )
        self._judge(flow, seek, now)

    def _send(self, seek: Seek, route: Route, now: float) -> list[str]:
        """Send a packet to the gates that have not denied it; return who passes it."""
        hosts = [
            host
            for host in self._fleet.iterate_hosts(route)
            if host.ip not in seek.refused
        ]
        may_hold = sum(host.may_hold_flows(now) for host in hosts)
        seek.awaited = len(seek.refused) + may_hold
        relays = []
        for part in plan_search(hosts, seek.turn, now):
            others = [host.ip for host in part.others]
            message = encode_spread(others, seek.packet)
            self._outlet.send_to_gate(part.relay.address, message)
            relays.append(part.relay.ip)
        seek.turn += 1
        return relays

    def take_not_held(self, flow: bytes, sender: str, now: float) -> None:
        """Take a gate's word that its host does not hold a flow."""
        seek = self._seeks.get(flow)
        if seek is None:
            return
        seek.refused.add(sender)
        if len(seek.refused) >= seek.awaited:
            self._judge(flow, seek, now)

    def _judge(self, flow: bytes, seek: Seek, now: float) -> None:
        """Reset a flow that no host holds any more."""
        route = self._fleet.find_route(seek.packet)
        if route is None:
            return
        gates = {
            host.ip
            for host in self._fleet.iterate_hosts(route)
            if host.may_hold_flows(now)
        }
        knows_gates = self._fleet.has_heard_listed_gates or self._early.is_settled(now)
        if not knows_gates or not seek.is_lost(gates):
            return
        del self._seeks[flow]
        flags = packets.get_flags(seek.packet)
        self._events.emit_for_flow(
            "lost",
            flow,
            gates=len(gates),
            flags=flags,
            sought_s=round(now - seek.started_at, 4),
        )
        if not flags & packets.RST:
            self._outlet.send_to_caller(packets.build_reset(seek.packet))

    def tick(self, now: float) -> None:
        """End searches that are over."""
        for flow, seek in list(self._seeks.items()):
            if not seek.is_over(now):
                self._judge(flow, seek, now)
                continue
            del self._seeks[flow]
            self._note_not_found(flow, seek, now)

    def _note_not_found(self, flow: bytes, seek: Seek, now: float) -> None:
        route = self._fleet.find_route(seek.packet)
        if route is None:
            return
        missing = {
            host.ip: round(now - host.heard_at, 3)
            for host in self._fleet.iterate_hosts(route)
            if host.ip not in seek.refused
        }
        self._events.emit_for_flow("not_found", flow, unanswered=missing)


__all__ = ["SearchTransport", "Searches"]
