"""Front process: its sockets and its watches of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from balsamstream.flows.desired_state import Evacuations
from balsamstream.flows.front import Front
from balsamstream.flows.messages import NodeName
from balsamstream.http.client import HttpClient
from balsamstream.http.server import Request, Response
from balsamstream.platform import packets
from balsamstream.platform.documents import MalformedDocument, read_desired_state
from balsamstream.platform.store import DESIRED_STATE_NAME
from balsamstream.platform.stored_objects import (
    ObjectKind,
    StoredObject,
    StorePosition,
)

from .datagrams import DatagramSocket
from .flow_saver import FlowSaver
from .service import NodeService
from .settings import split_address
from .store_watcher import StoreWatcher

if TYPE_CHECKING:
    from balsamstream.flows.held_flows import SavedFlow
    from balsamstream.platform.documents import NodeEntry

    from .context import NodeContext

DESIRED_PATH: Final = "/desired"
FETCH_TIMEOUT_S: Final = 2.0
FETCH_DELAY_S: Final = 0.3
"""Time that the store has to deliver a version before a front is asked for it. A front
that has no version yet asks at once, as callers wait for it."""
LEAVE_DELAY_S: Final = 1.7
"""Routers check readiness twice a second and remove a node after two failures."""


class FrontService(NodeService):
    """Connects a `Front` to sockets, the store and other fronts."""

    def __init__(self, context: NodeContext) -> None:
        super().__init__(context)
        settings = self.settings
        self._front = Front(
            self,
            self.events,
            ip=settings.ip,
            data_centre=settings.data_centre,
            node_port=settings.node_port,
            policy=settings.load.build_policy(),
            now=asyncio.get_running_loop().time(),
        )
        callers = split_address(settings.callers)
        self._callers_port = callers[1]
        self._callers_socket = DatagramSocket(
            callers,
            self.sockets,
            self._handle_packet,
            self.events,
            self.detect_pause,
        )
        self._desired_body = b""
        self._fetching_version = 0
        self.add_server((settings.ip, settings.node_port), self._handle_node_request)
        self._flow_saver = FlowSaver(
            self.open_store(),
            self.discovery.entry_name,
            self._restore_flows,
            self._front.held_flows.list_saved,
            self._front.fleet.count_fronts,
            self.events,
        )
        self._store_watchers = {
            "desired_state": StoreWatcher(
                self.open_store(),
                ObjectKind.DESIRED_STATE,
                self._handle_stored_desired_state,
                self.events,
            ),
            "evacuations": StoreWatcher(
                self.open_store(),
                ObjectKind.EVACUATIONS,
                self._handle_stored_evacuations,
                self.events,
            ),
        }

    async def start(self) -> None:
        """Open the sockets and start to watch the store."""
        await super().start()
        self._callers_socket.start()
        for name, watcher in self._store_watchers.items():
            self.start_task(name, watcher.run)
        self.start_task("flow_saver", self._flow_saver.run)

    async def close(self) -> None:
        """Stop the tasks and close all sockets and connections."""
        for name, watcher in self._store_watchers.items():
            await self.kernel.end_task(name)
            watcher.close()
        await self.kernel.end_task("flow_saver")
        self._flow_saver.close()
        await self.kernel.end_task("fetch")
        self._callers_socket.close()
        await super().close()

    async def stop(self) -> None:
        """Serve until the routers send to other fronts, then announce the leave."""
        await asyncio.sleep(min(LEAVE_DELAY_S, self.settings.grace_s / 2))
        self._front.fleet.leave(asyncio.get_running_loop().time())

    def is_ready(self) -> bool:
        """Return whether routers may send packets to this front."""
        return self._front.fleet.desired is not None and not self.is_stopping

    def tick(self, now: float) -> None:
        """Run the periodic work of the front."""
        self._front.tick(now)

    def has_pending_work(self) -> bool:
        """Return whether opening packets are buffered."""
        return self._front.has_buffered_packets

    def handle_pause(self, gap_s: float, now: float) -> None:
        """Drop the packets that queued up during a pause and adjust the timers."""
        self._callers_socket.discard_queued()
        self._front.handle_pause(gap_s, now)

    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message from another node."""
        self._front.handle_message(message, sender, now)

    def handle_listed_nodes(self, nodes: list[NodeEntry], now: float) -> None:
        """Contact the nodes that the store lists."""
        names = [
            NodeName(node.ip, node.data_centre, node.service, 0)
            for node in nodes
            if node.data_centre
        ]
        self._front.fleet.add_listed_nodes(names, now)
        # Entries of an earlier release have only addresses.
        earlier = [node.ip for node in nodes if not node.data_centre]
        self._front.fleet.add_addresses(earlier, now)

    def contact_seeds(self, now: float) -> None:
        """Contact the fronts that the settings name while no other is heard."""
        if not self._front.fleet.hears_fronts:
            self._front.fleet.add_addresses(self.seeds, now)

    # Sending for `Front`.

    def send_to_gate(self, address: tuple[str, int], message: bytes) -> None:
        """Send a message to a gate."""
        self.nodes_socket.send(message, address)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller."""
        destination = (packets.get_destination(packet), self._callers_port)
        self._callers_socket.send(packet, destination)

    def fetch_desired_state(self, ip: str, version: int) -> None:
        """Fetch a newer desired state from another front, one fetch at a time."""
        if self._fetching_version:
            return
        self._fetching_version = version
        self.start_task("fetch", lambda: self._fetch(ip, version))

    async def _fetch(self, ip: str, version: int) -> None:
        client = HttpClient(ip, self.settings.node_port)
        try:
            desired = self._front.fleet.desired
            if desired is not None:
                await asyncio.sleep(FETCH_DELAY_S)
            if self._front.fleet.version >= version:
                return
            response = await client.call("GET", DESIRED_PATH, timeout_s=FETCH_TIMEOUT_S)
            self._apply_desired_state(response.body, f"front {ip}")
        except (OSError, TimeoutError, MalformedDocument) as error:
            self.events.emit(
                "fetch_failed", front=ip, version=version, error=str(error)
            )
        finally:
            self._fetching_version = 0
            client.close()

    def handle_newer_era(self, era: int) -> None:
        """List all objects again, and check this node's entry."""
        for watcher in self._store_watchers.values():
            watcher.handle_newer_era(era)
        self._flow_saver.handle_newer_era()
        super().handle_newer_era(era)

    # Input from callers, the store and other fronts.

    def _handle_packet(self, packet: bytes, _sender: str, now: float) -> None:
        self._front.handle_caller_packet(packet, now)
        self.ticker.hasten()

    def _handle_stored_desired_state(
        self, position: StorePosition, objects: dict[str, StoredObject]
    ) -> None:
        stored = objects.get(DESIRED_STATE_NAME)
        if stored is None or stored.content == self._desired_body:
            return
        try:
            self._apply_desired_state(
                stored.content, f"store at {position.era}.{position.revision}"
            )
        except MalformedDocument as error:
            self.events.emit(
                "desired_state_rejected", revision=stored.revision, reason=str(error)
            )

    def _apply_desired_state(self, body: bytes, source: str) -> None:
        desired = read_desired_state(body)
        now = asyncio.get_running_loop().time()
        if self._front.fleet.apply_desired_state(desired, source, now):
            self._desired_body = body

    def _handle_stored_evacuations(
        self, position: StorePosition, objects: dict[str, StoredObject]
    ) -> None:
        evacuations = Evacuations(position.era, position.revision, frozenset(objects))
        now = asyncio.get_running_loop().time()
        self._front.fleet.apply_evacuations(evacuations, "store", now)

    def _restore_flows(self, flows: list[SavedFlow]) -> None:
        self._front.restore_flows(flows, asyncio.get_running_loop().time())

    def _handle_node_request(self, request: Request) -> Response:
        if request.path != DESIRED_PATH or not self._desired_body:
            return Response(404)
        return Response(200, self._desired_body)


__all__ = ["FrontService"]
