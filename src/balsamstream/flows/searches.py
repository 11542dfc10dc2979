"""Running searches of a front for the holders of flows.

Load pattern: a route moves from one service to another while flows are open, and the
routers move some of these flows to fronts that have not seen them. Such a flow stays at
a host of the former service. A search asks the gates of the route's present services
first, where nearly all flows are, and every other gate once those have denied the flow
or the caller has retransmitted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .absence import describe_absences
from .messages import encode_search_request
from .placement import PROOF_TIMEOUT_S
from .rate_limit import RateLimit
from .search import Search, plan_relays, start_search

if TYPE_CHECKING:
    from .desired_state import Route
    from .events import Events
    from .fleet import Fleet
    from .placement import Host
    from .transport import PacketTransport

WIDE_GATES_PER_S: Final = 2_000
"""Gates of other services that a front asks; their denials take 0.7 Mbit/s of its
link."""
WIDE_GATES_BURST: Final = 4_000
TICK_INTERVAL_S: Final = 0.1
ANSWER_TIMEOUT_S: Final = 0.2
"""Time that the gates have to answer a search before they are asked directly."""
RESEND_INTERVAL_S: Final = 0.2
"""Time after which a search is sent again to gates that are heard but have not
answered: they may have started after it, or a datagram was lost."""
RESENDS_PER_S: Final = 400
"""Messages of repeated searches that a front sends."""
RESENDS_BURST: Final = 400
MAX_LOGGED_GATES: Final = 8


class Searches:
    """Runs searches and resets the flows that no host holds.

    Parameters
    ----------
    transport : PacketTransport
        Sends packets and messages.
    events : Events
        Logs and counts decisions.
    fleet : Fleet
        Supplies the gates.
    """

    def __init__(
        self, transport: PacketTransport, events: Events, fleet: Fleet
    ) -> None:
        self._transport = transport
        self._events = events
        self._fleet = fleet
        self._searches: dict[bytes, Search] = {}
        self._tick_due = 0.0
        self._wide_limit = RateLimit(WIDE_GATES_PER_S, WIDE_GATES_BURST)
        self._resend_limit = RateLimit(RESENDS_PER_S, RESENDS_BURST)

    def is_searching(self, flow: bytes, now: float) -> bool:
        """Return whether a search for a flow is running."""
        search = self._searches.get(flow)
        return search is not None and not search.is_expired(now)

    def end(self, flow: bytes) -> None:
        """End the search for a flow, as its holder is known or it opens anew."""
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
        search = self._find_running(flow, packet, now)
        is_new = search is None
        if search is None:
            search = self._searches[flow] = start_search(flow, packet, now)
        if stray_at:
            search.denied_by.add(stray_at)
        search.packet = packet
        if not is_new:
            self._widen(search, route, now)
        relays = self._send_to_relays(search, self._list_targets(search, route), now)
        if is_new:
            self._events.emit_for_flow(
                "sought",
                flow,
                flags=packets.get_flags(packet),
                stray_at=stray_at,
                relays=relays,
            )
        self._advance(flow, search, now)

    def _find_running(self, flow: bytes, packet: bytes, now: float) -> Search | None:
        """Return the search for the flow of a packet, None if none is running."""
        search = self._searches.get(flow)
        if search is None or search.is_expired(now) or not search.concerns(packet):
            return None
        return search

    def _widen(self, search: Search, route: Route, now: float) -> bool:
        """Let a search ask all gates if the rate limit allows it; tell whether."""
        if search.is_wide:
            return True
        all_gates = sum(1 for _ in self._fleet.iterate_all_hosts())
        others = all_gates - sum(1 for _ in self._fleet.iterate_hosts(route))
        # A search of more gates than the bucket holds takes all that it holds.
        tokens = min(others, WIDE_GATES_BURST)
        search.is_wide = self._wide_limit.try_acquire(now, tokens)
        if not search.is_wide:
            self._events.count("searches.limited")
        return search.is_wide

    def _list_targets(self, search: Search, route: Route) -> list[Host]:
        """List the hosts in the scope of a search that have not denied the flow."""
        if search.is_wide:
            hosts = self._fleet.iterate_all_hosts()
        else:
            hosts = self._fleet.iterate_hosts(route)
        return [host for host in hosts if host.ip not in search.denied_by]

    def _send_to_relays(
        self, search: Search, hosts: list[Host], now: float
    ) -> list[str]:
        """Send a packet to the gates of all hosts in scope; return the relays."""
        may_hold = sum(host.may_hold_flows(now) for host in hosts)
        search.expected_denials = len(search.denied_by) + may_hold
        return self._send(search, hosts, now)

    def _send(self, search: Search, hosts: list[Host], now: float) -> list[str]:
        search.sent_at = now
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
            self._advance(flow, search, now)

    def _advance(self, flow: bytes, search: Search, now: float) -> None:
        """Widen a search that every gate in its scope has denied, or reset its flow."""
        route = self._fleet.find_route(search.packet)
        if route is None:
            return
        if self._has_candidates(search, route, now):
            return
        if not search.is_wide and self._widen(search, route, now):
            targets = self._list_targets(search, route)
            if targets:
                self._send_to_relays(search, targets, now)
        if not search.is_wide or self._has_candidates(search, route, now):
            return
        if not search.denied_by or not self._fleet.knows_all_gates(now):
            return
        if self._prove_absences(search, route, now):
            self._reset(flow, search, route, now)

    def _prove_absences(self, search: Search, route: Route, now: float) -> bool:
        """Return whether no gate that has not denied a flow can still answer.

        No flow is expected at these gates by what was heard of them, but that may have
        changed: each has some time to answer, unless it has just failed to do so.
        """
        unproven = [
            host
            for host in self._list_targets(search, route)
            if not host.is_proven_absent(now)
        ]
        for host in unproven:
            self._fleet.ask_gate(host, now)
        unasked = [host for host in unproven if host.ip not in search.asked]
        if unasked:
            search.asked.update(host.ip for host in unasked)
            search.asked_at = now
            self._send(search, unasked, now)
        search.expected_denials = len(search.denied_by) + len(unproven)
        return not unproven or now - search.asked_at >= PROOF_TIMEOUT_S

    def _has_candidates(self, search: Search, route: Route, now: float) -> bool:
        """Return whether a gate in the scope of a search may hold the flow."""
        targets = self._list_targets(search, route)
        return any(host.may_hold_flows(now) for host in targets)

    def _reset(self, flow: bytes, search: Search, route: Route, now: float) -> None:
        """Reset a flow that no host holds."""
        del self._searches[flow]
        flags = packets.get_flags(search.packet)
        self._events.emit_for_flow(
            "lost",
            flow,
            gates=len(search.denied_by),
            flags=flags,
            search_s=round(now - search.started_at, 4),
            **describe_absences(self._list_targets(search, route), now),
        )
        if not flags & packets.RST:
            self._events.count("resets.denied")
            self._transport.send_to_caller(packets.build_reset(search.packet))

    def tick(self, now: float) -> None:
        """Ask silent gates, reset lost flows and end expired searches."""
        if now < self._tick_due:
            return
        self._tick_due = now + TICK_INTERVAL_S
        for flow, search in list(self._searches.items()):
            if not search.is_expired(now):
                self._resend(search, now)
                self._ask_silent_gates(search, now)
                self._advance(flow, search, now)
                continue
            del self._searches[flow]
            self._emit_not_found(flow, search, now)

    def _resend(self, search: Search, now: float) -> None:
        """Send a search again to the gates that are heard but have not answered."""
        route = self._fleet.find_route(search.packet)
        if route is None or now - search.sent_at < RESEND_INTERVAL_S:
            return
        hosts = [
            host
            for host in self._list_targets(search, route)
            if host.is_alive(now) and host.may_hold_flows(now)
        ]
        groups = len({host.data_centre for host in hosts})
        if not groups:
            return
        if self._resend_limit.try_acquire(now, groups):
            self._events.count("searches.repeated")
            self._send(search, hosts, now)

    def _ask_silent_gates(self, search: Search, now: float) -> None:
        """Find out which gates that owe an answer are gone.

        A relayed packet may be lost on its way, so silence after it proves nothing.
        """
        route = self._fleet.find_route(search.packet)
        if route is None or now - search.started_at < ANSWER_TIMEOUT_S:
            return
        for host in self._list_targets(search, route):
            if host.may_hold_flows(now):
                self._fleet.ask_gate(host, now)

    def _emit_not_found(self, flow: bytes, search: Search, now: float) -> None:
        route = self._fleet.find_route(search.packet)
        if route is None:
            return
        missing = [host.ip for host in self._list_targets(search, route)]
        self._events.emit_for_flow(
            "not_found",
            flow,
            unanswered=len(missing),
            first=missing[:MAX_LOGGED_GATES],
            wide=search.is_wide,
        )


__all__ = ["WIDE_GATES_BURST", "Searches"]
