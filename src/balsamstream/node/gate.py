"""Gate process: its sockets and the heartbeats of its host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from balsamstream.flows.gate import Gate
from balsamstream.flows.heartbeat import HostState
from balsamstream.http.server import Request, Response
from balsamstream.platform import interface, packets
from balsamstream.platform.documents import MalformedDocument, read_heartbeat

from .datagrams import DatagramSocket
from .service import NodeService
from .settings import split_address

if TYPE_CHECKING:
    from balsamstream.platform.documents import NodeEntry

    from .context import NodeContext

STOP_DELAY_S: Final = 0.3
"""Time for the host's last packets and for the requests in progress at a stop."""
DELETE_TIMEOUT_S: Final = 1.0
HOST_CHECK_TIMEOUT_S: Final = 0.5
"""Time for a connection to the host, which runs on the same VM."""


class GateService(NodeService):
    """Connects a `Gate` to sockets and to its host."""

    def __init__(self, context: NodeContext) -> None:
        super().__init__(context)
        settings = self.settings
        host = settings.host
        assert host is not None
        self._gate = Gate(
            self,
            self.events,
            ip=settings.ip,
            service=host.service,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            heartbeat_s=host.heartbeat_ms / 1_000,
            policy=settings.load.build_policy(),
            now=asyncio.get_running_loop().time(),
        )
        self._host_found = asyncio.Event()
        self._host_address = split_address(host.address)
        self._check_interval_s = host.heartbeat_ms / 1_000
        self._callers_port = split_address(settings.callers)[1]
        self._host_socket = DatagramSocket(
            split_address(host.packets),
            self.sockets,
            self._handle_host_packet,
            self.events,
            self.detect_pause,
        )
        self.add_server(split_address(host.heartbeats), self._handle_host_request)

    async def start(self) -> None:
        """Open the sockets."""
        await super().start()
        self._host_socket.start()
        self.start_task("host_check", self._check_host)

    async def close(self) -> None:
        """Stop the tasks and close all sockets."""
        await self.kernel.end_task("host_check")
        self._host_socket.close()
        await super().close()

    async def stop(self) -> None:
        """Forward the host's last packets; if it has left, delete this node's entry."""
        loop = asyncio.get_running_loop()
        checked_at = loop.time()
        refused_at = None if await self._may_have_host() else checked_at
        self._gate.leave(loop.time(), refused_at=refused_at)
        await asyncio.sleep(STOP_DELAY_S)
        if await self._has_host_ended():
            async with asyncio.timeout(DELETE_TIMEOUT_S):
                await self.discovery.leave()

    async def _has_host_ended(self) -> bool:
        """Return whether the host has left for good, with all of its flows."""
        if self._gate.is_without_host:
            return True
        return self._gate.state is HostState.GONE and not await self._may_have_host()

    async def _check_host(self) -> None:
        """Find out whether any host runs beside this gate, whenever that matters.

        The first check is made at the start, mostly before the host starts.
        """
        loop = asyncio.get_running_loop()
        is_due = True
        while True:
            checked_at = loop.time()
            if is_due and not await self._may_have_host():
                self._gate.record_refused_check(checked_at, loop.time())
            await asyncio.sleep(self._check_interval_s)
            is_due = self._gate.needs_host_check(loop.time())

    async def _may_have_host(self) -> bool:
        """Connect to the host; return False if nothing listens at its address.

        Only a refused connection proves something: a host that is paused or full does
        not answer either.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HOST_CHECK_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, *self._host_address
                )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self.events.emit("host_check_failed", reason=reason)
            return True
        transport.close()
        return True

    def is_ready(self) -> bool:
        """Return whether this gate is serving."""
        return not self.is_stopping

    def tick(self, now: float) -> None:
        """Run the periodic work of the gate."""
        self._gate.tick(now)

    def has_pending_work(self) -> bool:
        """Return whether opening packets or a changed load are pending."""
        return self._gate.has_pending_work

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Adjust the timers of the gate after a pause."""
        self._gate.handle_pause(gap_s, now)

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message from another node."""
        self._gate.handle_message(message, sender, now)
        self.ticker.hasten()

    def handle_listed_nodes(self, nodes: list[NodeEntry], now: float) -> None:
        """Report to the fronts that the store lists."""
        fronts = [(node.ip, node.data_centre) for node in nodes if node.role == "front"]
        self._gate.reporter.add_fronts(fronts, now)

    async def wait_until_useful(self) -> None:
        """Wait for the host, so that no front awaits a gate that has none."""
        await self._host_found.wait()

    def contact_seeds(self, now: float) -> None:
        """Report to the fronts that the settings name while no front is heard."""
        if self._host_found.is_set() and not self._gate.reporter.fronts:
            self._gate.reporter.send_report(self.seeds, now)

    # Sending for `Gate`.

    def send_to_host(self, packet: bytes) -> None:
        """Send a packet to the host."""
        self._host_socket.send(packet, self._host_address)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""
        destination = (packets.get_destination(packet), self._callers_port)
        self.nodes_socket.send(packet, destination)

    # Input from the host.

    def _handle_host_packet(self, packet: bytes, _sender: str, now: float) -> None:
        self._gate.handle_host_packet(packet, now)
        self.ticker.hasten()

    def _handle_host_request(self, request: Request) -> Response:
        host = interface.read_host_path(request.path)
        if host is None:
            return Response(404)
        now = asyncio.get_running_loop().time()
        match request.method:
            case "PUT":
                return self._handle_heartbeat(host, request.body, now)
            case "DELETE":
                self._gate.handle_leave(host, now)
                return Response(200)
        return Response(404)

    def _handle_heartbeat(self, host: str, body: bytes, now: float) -> Response:
        try:
            heartbeat = read_heartbeat(host, body)
        except MalformedDocument as error:
            self.events.emit("heartbeat_rejected", host=host[:80], reason=str(error))
            return Response(400)
        self._gate.handle_heartbeat(heartbeat, now)
        if self._gate.state is not HostState.UNKNOWN:
            self._host_found.set()
        return Response(200)


__all__ = ["GateService"]
