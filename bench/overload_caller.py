"""Callers that open flows, send requests and retry, as the users' callers do."""

from __future__ import annotations

import itertools
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from standins.flow_host import ACK, FIN, RST, SYN, Packet

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import EventQueue
    from .overload_load import Kind, Request

COPIES_S: Final = (0.2, 0.6)
ATTEMPT_S: Final = 1.4
MAX_ATTEMPTS: Final = 3
REQUEST_BYTES: Final = 40
CALLERS_ADDRESS: Final = int.from_bytes(socket.inet_aton("100.64.0.0"))
ANSWER: Final = b"answer".ljust(300, b".")
FAILED: Final = b"failed"
SHED: Final = b"shed, not run"


@dataclass(slots=True, eq=False)
class Flow:
    """A caller's flow; it is idle without a request."""

    port: int
    kind: Kind
    request: Request | None
    seq: int = 7
    acked: int | None = None


@dataclass(slots=True, eq=False)
class Caller:
    """A caller with a number, which its address ends with.

    Attributes
    ----------
    send_packet : callable
        Sends a packet to the front that the routers choose.
    """

    queue: EventQueue
    number: int
    data_centre: str
    send_packet: Callable[[Caller, Packet], None]
    _flows: dict[int, Flow] = field(default_factory=dict)
    _idle: dict[Kind, list[Flow]] = field(default_factory=dict)
    _ports: itertools.count[int] = field(default_factory=lambda: itertools.count(1_024))

    def start(self, request: Request) -> None:
        """Start a request, on an idle flow if there is one."""
        request.sent_at = self.queue.now
        deadline_s = request.kind.route.deadline_s
        self.queue.call_after(deadline_s, request.finish, None)
        idle = self._idle.setdefault(request.kind, [])
        if not idle:
            self._attempt(request)
            return
        request.attempts += 1
        flow = idle.pop()
        flow.request = request
        self._send_request(flow)

    def _attempt(self, request: Request) -> None:
        """Open a new flow for a request, if the caller may still try."""
        if request.attempts == MAX_ATTEMPTS:
            request.finish(None)
        if request.is_done:
            return
        request.attempts += 1
        flow = Flow(next(self._ports), request.kind, request)
        self._flows[flow.port] = flow
        self._send_opening(flow, 0)
        for copy, delay_s in enumerate(COPIES_S, start=1):
            self.queue.call_after(delay_s, self._send_opening, flow, copy)
        self.queue.call_after(ATTEMPT_S, self._give_up, flow, request)

    def _send_opening(self, flow: Flow, copy: int) -> None:
        if flow.port in self._flows and flow.acked is None:
            self._send(flow, SYN, copy)

    def _give_up(self, flow: Flow, request: Request) -> None:
        if flow.acked is None and self._flows.pop(flow.port, None) is not None:
            self._attempt(request)

    def _send_request(self, flow: Flow) -> None:
        request = flow.request
        assert request is not None
        text = f"{request.number} {request.attempts} ".encode()
        data = text.ljust(REQUEST_BYTES, b".")
        for delay_s in (0.0, *COPIES_S):
            self.queue.call_after(delay_s, self._send_data, flow, request, data)

    def _send_data(self, flow: Flow, request: Request, data: bytes) -> None:
        if flow.request is request and flow.port in self._flows:
            self._send(flow, ACK, flow.acked or 0, data)

    def _send(self, flow: Flow, flags: int, ack: int, data: bytes = b"") -> None:
        ip, port = flow.kind.address
        source = (CALLERS_ADDRESS + self.number, flow.port)
        target = (int.from_bytes(socket.inet_aton(ip)), port)
        self.send_packet(self, Packet(source, target, flags, flow.seq, ack, data))

    def receive(self, packet: Packet) -> None:
        """Handle a packet to this caller."""
        flow = self._flows.get(packet.target[1])
        if flow is None:
            return
        if packet.flags & RST:
            self._handle_reset(flow)
        elif packet.flags & SYN and flow.acked is None:
            flow.acked = packet.seq + 1
            flow.seq += 1
            self._send_request(flow)
        elif packet.data and flow.request is not None:
            self._handle_answer(flow, flow.request, packet.data)

    def _handle_reset(self, flow: Flow) -> None:
        del self._flows[flow.port]
        if flow.request is None:
            self._idle[flow.kind].remove(flow)
        elif flow.acked is None:
            self._attempt(flow.request)
        else:
            # The request may have run, so it is not sent again.
            flow.request.finish(None)

    def _handle_answer(self, flow: Flow, request: Request, data: bytes) -> None:
        flow.request = None
        flow.seq += REQUEST_BYTES
        if data == ANSWER and request.keeps_flow:
            self._idle[flow.kind].append(flow)
        else:
            self._send(flow, FIN | ACK, flow.acked or 0)
            del self._flows[flow.port]
        if data == SHED:
            self._attempt(request)
            return
        took_s = self.queue.now - request.sent_at
        request.finish(took_s if data == ANSWER else None)


__all__ = ["ANSWER", "FAILED", "SHED", "Caller", "Flow"]
