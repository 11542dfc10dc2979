"""Flows that a host may hold although its gate does not know them.

They are from before the gate started, or from around a start of the host, of which the
gate hears late.

Load pattern: nodes restart under load, or all machines lose power, and callers go on
with flows that the gate has never seen. A front resets such a flow only when every gate
has denied it, so a gate asks its host until it is certain. Only this proves that there
are no such flows, for every later host: nothing listened at the host's address once
while this process ran, or this process is older than flows live. What the store, a
heartbeat or a silence says may be from another time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .host_probes import FLOW_LIFETIME_S, HostProbes, ProbeResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .events import Events
    from .search_replies import SearchReplies


class OlderFlows:
    """What a gate knows of the flows that its host may hold unknown to the gate.

    Parameters
    ----------
    replies : SearchReplies
        Sends the results of probes.
    events : Events
        Logs and counts the results of probes.
    now : float
        Start of the gate, in seconds.
    """

    def __init__(self, replies: SearchReplies, events: Events, now: float) -> None:
        self._replies = replies
        self._events = events
        self._probes = HostProbes(now)
        self._unsettled: dict[bytes, float] = {}

    @property
    def is_in_doubt(self) -> bool:
        """Whether the host may hold flows that the gate does not know."""
        return bool(self._unsettled) or not self._probes.has_seen_all_flows

    def may_include(self, flow: bytes) -> bool:
        """Return whether the host may hold a flow that the gate does not know."""
        return not self._probes.has_seen_all_flows or flow in self._unsettled

    def add_unsettled(self, flows: Iterable[bytes], now: float) -> None:
        """Add flows that may have opened at the present incarnation of the host.

        Those added before stay in doubt: what was taken for the present incarnation may
        have been a former one whose heartbeat was late.
        """
        self._unsettled.update(dict.fromkeys(flows, now))

    def count_unsettled(self) -> int:
        """Return how many flows may have opened at the present incarnation."""
        return len(self._unsettled)

    def record_all_seen(self, reason: str) -> None:
        """Record that the host holds no flow that the gate has not seen open."""
        if self.is_in_doubt:
            self._events.emit("all_flows_seen", reason=reason)
        self._probes.has_seen_all_flows = True
        self._unsettled = {}
        self._deny_probes(reason)

    def start_probe(self, flow: bytes, front: str, now: float) -> None:
        """Record that the host is asked for a flow on behalf of a front."""
        self._probes.start(flow, front, now)

    def settle(self, flow: bytes) -> None:
        """Record that the host does not hold a flow, as it has bounced a packet."""
        self._probes.end(flow)
        self._unsettled.pop(flow, None)

    def resolve(self, flow: bytes, packet: bytes) -> bool:
        """Read from a packet of the host whether it holds a flow unknown to the gate.

        If a front searches for the flow, it is notified of the result.

        Returns
        -------
        bool
            Whether the packet belongs to a flow that the host holds.
        """
        front = self._probes.get_front(flow)
        if not front:
            self._unsettled.pop(flow, None)
            return True
        match self._probes.handle_response(flow, packet):
            case ProbeResult.HELD:
                self._unsettled.pop(flow, None)
                self._events.emit_for_flow("adopted", flow, front=front)
                self._replies.send_held(flow, front)
                return True
            case ProbeResult.NOT_HELD:
                self._unsettled.pop(flow, None)
                self._replies.send_not_held(flow, front, "reset")
            case ProbeResult.AMBIGUOUS:
                self._events.count("packets.ambiguous")
        return False

    def expire(self, now: float) -> None:
        """Discard probes without a response, and stop probing after the lifetime."""
        self._probes.expire(now)
        for flow, added_at in list(self._unsettled.items()):
            if now - added_at > FLOW_LIFETIME_S:
                del self._unsettled[flow]

    def _deny_probes(self, reason: str) -> None:
        for flow, front in self._probes.drain():
            self._replies.send_not_held(flow, front, reason)


__all__ = ["OlderFlows"]
