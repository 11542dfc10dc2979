"""Running searches of a front for the holders of flows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balsamstream.platform import packets

from .messages import encode_search_request
from .search import Search, plan_relays, start_search

if TYPE_CHECKING:
    from .desired_state import Route
    from .events import Events
    from .fleet import Fleet
    from .startup_buffer import StartupBuffer


class SearchTransport(Protocol):
    """Sends the packets and messages of searches."""

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""


class Searches:
    """Runs searches and resets the flows that no host holds.

    Parameters
    ----------
    transport : SearchTransport
        Sends packets and messages.
    events : Events
        Logs and counts decisions.
    fleet : Fleet
        Supplies the gates of a route.
    startup_buffer : StartupBuffer
        Tells whether discovery is over, so that all gates are known.
    """

    def __init__(
        self,
        transport: SearchTransport,
        events: Events,
        fleet: Fleet,
        startup_buffer: StartupBuffer,
    ) -> None:
        self._transport = transport
        self._events = events
        self._fleet = fleet
        self._startup_buffer = startup_buffer
        self._searches: dict[bytes, Search] = {}

    def is_searching(self, flow: bytes, now: float) -> bool:
        """Return whether a search for a flow is running."""
        search = self._searches.get(flow)
        return search is not None and not search.is_expired(now)

    def end(self, flow: bytes) -> None:
        """End the search for a flow, as its holder is known."""
        self._searches.pop(flow, None)

    def search(self, packet: bytes, now: float, *, stray_at: str = "") -> None:
        """Send a packet to all gates that may hold its flow.

        Parameters
        ----------
        packet : bytes
            A later packet of the flow.
        now : float
            Time, in seconds.
        stray_at : str
            Gate that was hinted as the holder and has denied the flow, if any.
        """
        route = self._fleet.find_route(packet)
        if route is None:
            self._events.count("packets.no_route")
            return
        flow = packets.get_flow(packet)
        is_new = not self.is_searching(flow, now)
        if is_new:
            self._searches[flow] = start_search(flow, now)
        search = self._searches[flow]
        if stray_at:
            search.denied_by.add(stray_at)
        search.packet = packet
        relays = self._send_to_relays(search, route, now)
        if is_new:
            self._events.emit_for_flow(
                "sought",
                flow,
                flags=packets.get_flags(packet),
                stray_at=stray_at,
                relays=relays,
            )
        self._reset_if_lost(flow, search, now)

    def _send_to_relays(self, search: Search, route: Route, now: float) -> list[str]:
        """Send a packet to the gates that have not denied it; return the relays."""
        hosts = [
            host
            for host in self._fleet.iterate_hosts(route)
            if host.ip not in search.denied_by
        ]
        may_hold = sum(host.may_hold_flows(now) for host in hosts)
        search.expected_denials = len(search.denied_by) + may_hold
        relays = []
        for group in plan_relays(hosts, search.rotation, now):
            targets = [host.ip for host in group.targets]
            message = encode_search_request(targets, search.packet)
            self._transport.send_to_gate(group.relay.address, message)
            relays.append(group.relay.ip)
        search.rotation += 1
        return relays

    def handle_not_held(self, flow: bytes, sender: str, now: float) -> None:
        """Record that a gate's host does not hold a flow."""
        search = self._searches.get(flow)
        if search is None:
            return
        search.denied_by.add(sender)
        if len(search.denied_by) >= search.expected_denials:
            self._reset_if_lost(flow, search, now)

    def _reset_if_lost(self, flow: bytes, search: Search, now: float) -> None:
        """Reset a flow once all gates are known and have denied it."""
        route = self._fleet.find_route(search.packet)
        if route is None:
            return
        gates = {
            host.ip
            for host in self._fleet.iterate_hosts(route)
            if host.may_hold_flows(now)
        }
        knows_gates = (
            self._fleet.has_heard_listed_gates
            or self._startup_buffer.is_discovery_over(now)
        )
        if not knows_gates or not search.is_lost(gates):
            return
        del self._searches[flow]
        flags = packets.get_flags(search.packet)
        self._events.emit_for_flow(
            "lost",
            flow,
            gates=len(gates),
            flags=flags,
            search_s=round(now - search.started_at, 4),
        )
        if not flags & packets.RST:
            self._transport.send_to_caller(packets.build_reset(search.packet))

    def tick(self, now: float) -> None:
        """Reset lost flows and end expired searches."""
        for flow, search in list(self._searches.items()):
            if not search.is_expired(now):
                self._reset_if_lost(flow, search, now)
                continue
            del self._searches[flow]
            self._emit_not_found(flow, search, now)

    def _emit_not_found(self, flow: bytes, search: Search, now: float) -> None:
        route = self._fleet.find_route(search.packet)
        if route is None:
            return
        missing = {
            host.ip: round(now - host.last_heard_at, 3)
            for host in self._fleet.iterate_hosts(route)
            if host.ip not in search.denied_by
        }
        self._events.emit_for_flow("not_found", flow, unanswered=missing)


__all__ = ["SearchTransport", "Searches"]
