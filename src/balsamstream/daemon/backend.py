"""Sockets from the agent to its backend server, one for each flow."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.core.identity import NO_REQUEST
from balsamstream.kernel import Service

from .datagram import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.action import Cancel, CloseFlow, Deliver
    from balsamstream.core.identity import Address, FlowKey, RequestKey
    from balsamstream.edge.protocol import AnswerMatcher
    from balsamstream.edge.protocol import Protocol as EdgeProtocol

    from .metrics import Metrics

MAX_DISCARDED: Final = 100_000
"""Datagrams read from one socket after a pause before it is given up."""
MAX_SOCKETS: Final = 65_536
RESERVED_FILES: Final = 256
BATCH_DATAGRAMS: Final = 16
LOOPBACK_PREFIX: Final = "127."
FIRST_SOURCE_PORT: Final = 10_240
SOURCE_PORTS: Final = 50_000


class AnswerHandler(Protocol):
    """Receives what the backend server sends."""

    def handle_answer(
        self, flow: FlowKey, request: RequestKey, payload: bytes, is_refusal: bool
    ) -> None:
        """Handle a datagram and the request that it completes, or ``NO_REQUEST``."""

    def handle_backend_refused(self, flow: FlowKey) -> None:
        """Handle a datagram that the backend server's port refused."""


@dataclass(frozen=True, slots=True)
class _ProtocolState:
    """Protocol of the service and the matcher with its requests in flight."""

    protocol: EdgeProtocol
    matcher: AnswerMatcher


class BackendSockets(Service):
    """Sends datagrams to the backend server and reads its answers.

    Parameters
    ----------
    address : Address
        Address of the backend server.
    metrics : Metrics
        Counts lost datagrams.
    """

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._sockets: dict[FlowKey, socket.socket] = {}
        self._protocol_state: _ProtocolState | None = None
        self._max_sockets = MAX_SOCKETS
        self._buffer = bytearray(MAX_DATAGRAM_BYTES)
        self._view = memoryview(self._buffer)
        self._handler: AnswerHandler | None = None
        self._before_batch: Callable[[], None] | None = None

    @property
    def max_sockets(self) -> int:
        """Maximum number of open sockets, valid after `start`."""
        return self._max_sockets

    def __len__(self) -> int:
        return len(self._sockets)

    def set_handler(
        self, handler: AnswerHandler, before_batch: Callable[[], None]
    ) -> None:
        """Set the receiver of answers, before `start`.

        Parameters
        ----------
        handler : AnswerHandler
            Receives answers and notices of refused datagrams.
        before_batch : callable
            Called before each batch of datagrams.
        """
        self._handler = handler
        self._before_batch = before_batch

    async def start(self) -> None:
        """Determine how many sockets may be open."""
        self._max_sockets = min(MAX_SOCKETS, _raise_file_limit() - RESERVED_FILES)

    async def close(self) -> None:
        """Close all sockets."""
        for flow in list(self._sockets):
            self._close_socket(flow)

    def set_protocol(self, protocol: EdgeProtocol) -> None:
        """Set the service's protocol; a change forgets the requests in flight."""
        if (
            self._protocol_state is None
            or self._protocol_state.protocol is not protocol
        ):
            self._protocol_state = _ProtocolState(protocol, protocol.build_matcher())

    def deliver(self, action: Deliver) -> None:
        """Send a datagram on the flow's socket, which is opened if necessary."""
        flow_socket = self._sockets.get(action.flow) or self._open_socket(action.flow)
        if flow_socket is None:
            self._metrics.count("lost.backend_sockets_full")
            return
        payload = action.payload
        state = self._protocol_state
        if state is not None and action.request != NO_REQUEST:
            state.matcher.record_request(action.flow, action.request, payload)
            payload = state.protocol.add_deadline(payload, action.deadline_ms)
        self._send(action.flow, flow_socket, payload)

    def open_flow(self, flow: FlowKey) -> None:
        """Open a flow's socket, so that datagrams of the backend server arrive."""
        if flow not in self._sockets and self._open_socket(flow) is None:
            self._metrics.count("lost.backend_sockets_full")

    def cancel(self, action: Cancel) -> None:
        """Stop matching answers to a request that no caller waits for.

        The backend server is not notified: it ends the request at its deadline.
        """
        if self._protocol_state is not None:
            self._protocol_state.matcher.forget_request(action.flow, action.request)

    def close_flow(self, action: CloseFlow) -> None:
        """Close a flow's socket.

        Unless the flow was handed over to another process, first send the datagrams
        that end what the backend server still sends to it, such as notifications.
        """
        flow_socket = self._sockets.get(action.flow)
        if flow_socket is not None and self._protocol_state is not None:
            for datagram in self._protocol_state.matcher.close_flow(action.flow):
                if action.is_handed_over:
                    continue
                with contextlib.suppress(OSError):
                    flow_socket.send(datagram)
        self._close_socket(action.flow)

    def discard_queued(self) -> int:
        """Drop the datagrams queued in all sockets; return their number."""
        return sum(
            _discard_queued(flow_socket) for flow_socket in list(self._sockets.values())
        )

    def _send(self, flow: FlowKey, flow_socket: socket.socket, payload: bytes) -> None:
        try:
            flow_socket.send(payload)
        except ConnectionRefusedError:
            # The ICMP error belongs to an earlier datagram; this one was not sent.
            self._report_refused(flow)
        except OSError as error:
            self._metrics.count_loss("backend_send", error)

    def _report_refused(self, flow: FlowKey) -> None:
        self._metrics.count("backend_refused")
        if self._handler is not None:
            # Deferred: the actions of an earlier decision are still being carried out.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handler.handle_backend_refused, flow)

    def _open_socket(self, flow: FlowKey) -> socket.socket | None:
        if len(self._sockets) >= self._max_sockets:
            return None
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            _bind_source_address(opened, flow, self._address)
            opened.connect(self._address)
            asyncio.get_running_loop().add_reader(
                opened, self._read_batch, flow, opened
            )
        except OSError as error:
            self._metrics.count_loss("backend_connect", error)
            opened.close()
            return None
        self._sockets[flow] = opened
        return opened

    def _close_socket(self, flow: FlowKey) -> None:
        flow_socket = self._sockets.pop(flow, None)
        if flow_socket is None:
            return
        asyncio.get_running_loop().remove_reader(flow_socket)
        flow_socket.close()

    def _read_batch(self, flow: FlowKey, flow_socket: socket.socket) -> None:
        if self._before_batch is not None:
            self._before_batch()
        for _ in range(BATCH_DATAGRAMS):
            if self._sockets.get(flow) is not flow_socket:
                return
            try:
                size = flow_socket.recv_into(self._buffer)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self._report_refused(flow)
                return
            except OSError as error:
                self._metrics.count_loss("backend_receive", error)
                return
            try:
                self._handle_datagram(flow, bytes(self._view[:size]))
            except Exception as error:
                self._metrics.count_loss("backend_handler", error)

    def _handle_datagram(self, flow: FlowKey, payload: bytes) -> None:
        state = self._protocol_state
        request = NO_REQUEST
        is_refusal = False
        if state is not None:
            request = state.matcher.match(flow, payload)
            is_refusal = state.protocol.is_refusal(payload)
        if self._handler is not None:
            self._handler.handle_answer(flow, request, payload, is_refusal)


def _bind_source_address(opened: socket.socket, flow: FlowKey, server: Address) -> None:
    """Bind a socket to a loopback address derived from the flow.

    The backend server then sees the same source address when another agent process
    on this host takes the flow over. If the address is in use, or the backend server
    is not on the loopback network, the operating system chooses the address.
    """
    if not server.ip.startswith(LOOPBACK_PREFIX):
        return
    with contextlib.suppress(OSError):
        opened.bind(compute_source_address(flow))


def compute_source_address(flow: FlowKey) -> tuple[str, int]:
    """Return the loopback address and port from which a flow's datagrams are sent."""
    ip = f"127.{64 + flow % 64}.{flow >> 6 & 0xFF}.{1 + (flow >> 14) % 254}"
    return ip, FIRST_SOURCE_PORT + (flow >> 22) % SOURCE_PORTS


def _discard_queued(flow_socket: socket.socket) -> int:
    dropped = 0
    for _ in range(MAX_DISCARDED):
        try:
            flow_socket.recv(1)
        except BlockingIOError:
            break
        except OSError:
            # The ICMP error of an earlier datagram; others may be queued behind it.
            continue
        dropped += 1
    return dropped


def _raise_file_limit() -> int:
    """Raise the limit of open files as far as needed and allowed; return it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == hard:
        return soft
    wanted = MAX_SOCKETS + RESERVED_FILES
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    wanted = max(wanted, soft)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        return soft
    return wanted


__all__ = ["AnswerHandler", "BackendSockets", "compute_source_address"]
