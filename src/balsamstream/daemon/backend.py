"""The agent's sockets towards its backend server, one for each flow."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from balsamstream.core.identity import NO_REQUEST
from balsamstream.kernel import Service

from .datagram import LARGEST_DATAGRAM_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.action import Cancel, CloseFlow, Deliver
    from balsamstream.core.identity import Address, FlowKey, RequestKey
    from balsamstream.edge.protocol import AnswerMatcher
    from balsamstream.edge.protocol import Protocol as EdgeProtocol

    from .metrics import Metrics

MOST_SOCKETS: Final = 65_536
FILES_KEPT_FREE: Final = 256
BATCH_DATAGRAMS: Final = 16
LOOPBACK_PREFIX: Final = "127."
FIRST_SOURCE_PORT: Final = 10_240
SOURCE_PORTS: Final = 50_000


class AnswerHandler(Protocol):
    """Who takes what the backend server sends."""

    def take_answer(
        self, flow: FlowKey, request: RequestKey, payload: bytes, is_refusal: bool
    ) -> None:
        """Take a datagram and the request that it completes, or ``NO_REQUEST``."""

    def notice_backend_refused(self, flow: FlowKey) -> None:
        """Note that the backend server's port refused a datagram."""


@dataclass(frozen=True, slots=True)
class _Rules:
    """Protocol of the service, with what is in flight by it."""

    protocol: EdgeProtocol
    matcher: AnswerMatcher


class BackendSockets(Service):
    """Gives datagrams to the backend server and takes its answers.

    Parameters
    ----------
    address : Address
        Address of the backend server.
    metrics : Metrics
        Counts what is lost.
    """

    def __init__(self, address: Address, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._sockets: dict[FlowKey, socket.socket] = {}
        self._rules: _Rules | None = None
        self._most_sockets = MOST_SOCKETS
        self._buffer = bytearray(LARGEST_DATAGRAM_BYTES)
        self._view = memoryview(self._buffer)
        self._taker: AnswerHandler | None = None
        self._before_batch: Callable[[], None] | None = None

    @property
    def most_sockets(self) -> int:
        """Sockets that may be open at once, known after the start."""
        return self._most_sockets

    def __len__(self) -> int:
        return len(self._sockets)

    def set_handler(
        self, taker: AnswerHandler, before_batch: Callable[[], None]
    ) -> None:
        """Name who takes the answers, before the start.

        Parameters
        ----------
        taker : AnswerHandler
            Takes answers.
        before_batch : callable
            Called before each batch of datagrams.
        """
        self._taker = taker
        self._before_batch = before_batch

    async def start(self) -> None:
        """Find how many sockets may be opened."""
        self._most_sockets = min(MOST_SOCKETS, _raise_file_limit() - FILES_KEPT_FREE)

    async def close(self) -> None:
        """Close all sockets."""
        for flow in list(self._sockets):
            self._close_socket(flow)

    def use_protocol(self, protocol: EdgeProtocol) -> None:
        """Follow the service's protocol; another one forgets what is in flight."""
        if self._rules is None or self._rules.protocol is not protocol:
            self._rules = _Rules(protocol, protocol.build_matcher())

    def deliver(self, action: Deliver) -> None:
        """Send a datagram on the flow's own socket."""
        found = self._sockets.get(action.flow) or self._open_socket(action.flow)
        if found is None:
            self._metrics.count("lost.backend_sockets_full")
            return
        payload = action.payload
        rules = self._rules
        if rules is not None and action.request != NO_REQUEST:
            rules.matcher.record_request(action.flow, action.request, payload)
            payload = rules.protocol.add_deadline(payload, action.deadline_ms)
        self._send(action.flow, found, payload)

    def open_flow(self, flow: FlowKey) -> None:
        """Open a flow's socket, so that what the backend server sends arrives."""
        if flow not in self._sockets and self._open_socket(flow) is None:
            self._metrics.count("lost.backend_sockets_full")

    def cancel(self, action: Cancel) -> None:
        """Forget a request that nobody waits for; its deadline ends it there."""
        if self._rules is not None:
            self._rules.matcher.forget_request(action.flow, action.request)

    def close_flow(self, action: CloseFlow) -> None:
        """End what the backend server sends to a flow and close its socket."""
        found = self._sockets.get(action.flow)
        if found is not None and self._rules is not None:
            for farewell in self._rules.matcher.close_flow(action.flow):
                if action.is_handed_over:
                    continue
                with contextlib.suppress(OSError):
                    found.send(farewell)
        self._close_socket(action.flow)

    def discard(self) -> int:
        """Drop what is queued in all sockets; return how many datagrams."""
        return sum(_drop_queued(found) for found in list(self._sockets.values()))

    def _send(self, flow: FlowKey, found: socket.socket, payload: bytes) -> None:
        try:
            found.send(payload)
        except ConnectionRefusedError:
            # The error is of an earlier datagram; this one was not sent.
            self._note_refused(flow)
        except OSError as error:
            self._metrics.note_loss("backend_send", error)

    def _note_refused(self, flow: FlowKey) -> None:
        self._metrics.count("backend_refused")
        if self._taker is not None:
            # Not from within an action: the decisions are still being carried out.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._taker.notice_backend_refused, flow)

    def _open_socket(self, flow: FlowKey) -> socket.socket | None:
        if len(self._sockets) >= self._most_sockets:
            return None
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            _bind_by_flow(opened, flow, self._address)
            opened.connect(self._address)
            asyncio.get_running_loop().add_reader(opened, self._drain, flow, opened)
        except OSError as error:
            self._metrics.note_loss("backend_connect", error)
            opened.close()
            return None
        self._sockets[flow] = opened
        return opened

    def _close_socket(self, flow: FlowKey) -> None:
        found = self._sockets.pop(flow, None)
        if found is None:
            return
        asyncio.get_running_loop().remove_reader(found)
        found.close()

    def _drain(self, flow: FlowKey, found: socket.socket) -> None:
        if self._before_batch is not None:
            self._before_batch()
        for _ in range(BATCH_DATAGRAMS):
            if self._sockets.get(flow) is not found:
                return
            try:
                size = found.recv_into(self._buffer)
            except BlockingIOError:
                return
            except ConnectionRefusedError:
                self._note_refused(flow)
                return
            except OSError as error:
                self._metrics.note_loss("backend_receive", error)
                return
            try:
                self._take(flow, bytes(self._view[:size]))
            except Exception as error:
                self._metrics.note_loss("backend_handler", error)

    def _take(self, flow: FlowKey, payload: bytes) -> None:
        rules = self._rules
        request = NO_REQUEST
        is_refusal = False
        if rules is not None:
            request = rules.matcher.match(flow, payload)
            is_refusal = rules.protocol.is_refusal(payload)
        if self._taker is not None:
            self._taker.take_answer(flow, request, payload, is_refusal)


def _bind_by_flow(opened: socket.socket, flow: FlowKey, server: Address) -> None:
    """Send from an address that follows from the flow.

    Another agent process on this host then goes on with the flow unnoticed by the
    backend server. Where the address is taken, or the backend server is not on the
    loopback network, the system chooses one.
    """
    if not server.ip.startswith(LOOPBACK_PREFIX):
        return
    with contextlib.suppress(OSError):
        opened.bind(compute_source(flow))


def compute_source(flow: FlowKey) -> tuple[str, int]:
    """Return the loopback address and port that a flow's datagrams come from."""
    ip = f"127.{64 + flow % 64}.{flow >> 6 & 0xFF}.{1 + (flow >> 14) % 254}"
    return ip, FIRST_SOURCE_PORT + (flow >> 22) % SOURCE_PORTS


def _drop_queued(found: socket.socket) -> int:
    dropped = 0
    while True:
        try:
            found.recv(1)
        except OSError:
            return dropped
        dropped += 1


def _raise_file_limit() -> int:
    """Raise the limit of open files to what the process may have; return it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == hard:
        return soft
    wanted = MOST_SOCKETS + FILES_KEPT_FREE
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    wanted = max(wanted, soft)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        return soft
    return wanted


__all__ = ["AnswerHandler", "BackendSockets", "compute_source"]
