"""Packets of open flows at a gate, and searches for their holders.

Load pattern: fronts or gates restart under load, and each packet of an open flow comes
from a front that does not know its holder, to gates that may not know their flows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from balsamstream.platform import packets

from .messages import (
    decode_relayed_search,
    decode_search_request,
    encode_relayed_search,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import Events
    from .flow_table import FlowTable
    from .older_flows import OlderFlows
    from .search_replies import SearchReplies


class SendToHost(Protocol):
    """Sends a front's packet to the host."""

    def __call__(self, packet: bytes, front: str, *, is_search: bool = False) -> None:
        """Send a packet."""


class LaterPackets:
    """Handles the packets of open flows at one gate.

    Parameters
    ----------
    events : Events
        Logs and counts decisions.
    flows : FlowTable
        Flows of the host.
    older_flows : OlderFlows
        What the gate knows of flows from before its start.
    replies : SearchReplies
        Answers fronts.
    send_to_host : callable
        Sends a front's packet to the host.
    send_to_node : callable
        Sends a message to a node.
    """

    def __init__(
        self,
        events: Events,
        flows: FlowTable,
        older_flows: OlderFlows,
        replies: SearchReplies,
        send_to_host: SendToHost,
        send_to_node: Callable[[str, bytes], None],
    ) -> None:
        self._events = events
        self._flows = flows
        self._older_flows = older_flows
        self._replies = replies
        self._send_to_host = send_to_host
        self._send_to_node = send_to_node

    def handle(
        self, packet: bytes, sender: str, now: float, *, is_search: bool
    ) -> None:
        """Send a packet on to the host, or answer that its flow is not held.

        Parameters
        ----------
        packet : bytes
            Caller packet.
        sender : str
            Front that has sent the packet or searches for its flow.
        now : float
            Time, in seconds.
        is_search : bool
            Whether the front awaits an answer on who holds the flow.
        """
        if not packets.is_packet(packet):
            self._events.count("messages.unreadable")
            return
        flow = packets.get_flow(packet)
        entry = self._flows.get(flow)
        if entry is None:
            self._handle_unknown_flow(packet, flow, sender, now, is_search=is_search)
            return
        if not entry.is_acknowledged_by(packet):
            # Until the host answers, its opening packet may be a late copy.
            if entry.host_next_seq is None and self._older_flows.may_include(flow):
                self._ask_host(packet, flow, sender, now, is_search=is_search)
                return
            self.report_not_held(
                packet,
                flow,
                sender,
                "acknowledgement of another flow",
                is_search=is_search,
            )
            return
        self._flows.record_caller_packet(entry, packet, now)
        entry.front = sender
        if is_search:
            self._replies.send_held(flow, sender)
        self._send_to_host(packet, sender, is_search=is_search)

    def handle_relayed_search(self, message: bytes, now: float) -> None:
        """Handle a search that another gate has relayed for a front."""
        search = decode_relayed_search(message)
        if search is None:
            self._events.count("messages.unreadable")
            return
        self.handle(search.packet, search.front, now, is_search=True)

    def handle_search(self, message: bytes, front: str, now: float) -> None:
        """Handle a front's search and relay it to the target gates."""
        request = decode_search_request(message)
        if request is None or not packets.is_packet(request.packet):
            self._events.count("messages.unreadable")
            return
        relayed = encode_relayed_search(front, request.packet)
        for ip in request.targets:
            self._send_to_node(ip, relayed)
        self.handle(request.packet, front, now, is_search=True)

    def _handle_unknown_flow(
        self, packet: bytes, flow: bytes, sender: str, now: float, *, is_search: bool
    ) -> None:
        if not self._older_flows.may_include(flow):
            self.report_not_held(packet, flow, sender, "not held", is_search=is_search)
            return
        self._ask_host(packet, flow, sender, now, is_search=is_search)

    def _ask_host(
        self, packet: bytes, flow: bytes, sender: str, now: float, *, is_search: bool
    ) -> None:
        """Send a packet to the host, which alone knows whether it holds the flow."""
        if is_search:
            self._older_flows.start_probe(flow, sender, now)
        self._events.count("flows.asked_host")
        self._send_to_host(packet, sender, is_search=is_search)

    def report_not_held(
        self, packet: bytes, flow: bytes, front: str, reason: str, *, is_search: bool
    ) -> None:
        """Notify a front that the host does not hold the flow of a packet."""
        if is_search:
            self._replies.send_not_held(flow, front, reason)
        else:
            self._replies.send_stray(packet, flow, front, reason)


__all__ = ["LaterPackets"]
