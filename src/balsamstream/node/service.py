"""Base of both node roles: HTTP servers, settings, ticks and messages to nodes."""

from __future__ import annotations

import asyncio
import os
import time
from abc import abstractmethod
from typing import TYPE_CHECKING, Any, Final

from balsamstream.http.server import HttpServer, Request, Response
from balsamstream.kernel.service import Service
from balsamstream.platform import interface
from balsamstream.platform.documents import NodeEntry
from balsamstream.platform.store import StoreClient

from .datagrams import DatagramSocket
from .discovery import Discovery
from .settings import SettingsError, load_settings, split_address
from .ticker import Ticker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .context import NodeContext
    from .events import NodeEvents

SETTINGS_CHECK_S: Final = 1.0
FLUSH_INTERVAL_S: Final = 0.1
"""Time between two flushes of the log."""
SEED_INTERVAL_S: Final = 0.5
MIN_PAUSE_S: Final = 1.0
"""A longer interruption of the event loop counts as a pause."""
RESTART_DELAY_S: Final = 0.5
"""Delay before a failed task is restarted."""
INCARNATION_BYTES: Final = 4


class NodeService(Service):
    """Base of the services of both roles, front and gate.

    Parameters
    ----------
    context : NodeContext
        Parts of the process.

    Attributes
    ----------
    incarnation : int
        Random number of this run of the process.
    ticker : Ticker
        Runs the periodic work.
    is_stopping : bool
        Whether a graceful stop has started.
    stop_completed : asyncio.Event
        Set when the graceful stop has ended and the sockets may be closed.
    """

    def __init__(self, context: NodeContext) -> None:
        self.kernel = context.kernel
        self.sockets = context.sockets
        self.settings = settings = context.settings
        self.events = events = context.events
        self._settings_path = context.path
        self._logs = context.logs
        self._metrics = context.metrics
        self.incarnation = 1 + int.from_bytes(os.urandom(INCARNATION_BYTES))
        service = "" if settings.host is None else settings.host.service
        entry = NodeEntry(settings.ip, settings.role, settings.data_centre, service)
        self.discovery = Discovery(self.open_store(), entry, events)
        node_address = (settings.ip, settings.node_port)
        self.nodes_socket = DatagramSocket(
            node_address,
            self.sockets,
            self.handle_message,
            events,
            self.detect_pause,
        )
        self._servers = [
            self._build_server(
                split_address(settings.readiness), self._handle_readiness_request
            ),
            self._build_server(
                (settings.ip, settings.metrics_port), self._handle_metrics_request
            ),
        ]
        self._modified_at = _read_modification_time(context.path)
        self._boot_clock_s = read_boot_clock()
        self._seeds_due = 0.0
        self._flush_due = 0.0
        self.ticker = Ticker(self._run_periodic_work, self.has_pending_work, events)
        self.is_stopping = False
        self.stop_completed = asyncio.Event()

    @property
    def seeds(self) -> list[str]:
        """IP addresses of the seed fronts in the settings."""
        return [split_address(seed)[0] for seed in self.settings.seeds]

    def open_store(self) -> StoreClient:
        """Build a client of the store for one component of the process."""
        return StoreClient(*split_address(self.settings.store))

    def add_server(self, address: tuple[str, int], handler: Any) -> None:  # noqa: ANN401
        """Add an HTTP server on another address; `start` starts it."""
        self._servers.append(self._build_server(address, handler))

    async def start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        self.nodes_socket.start()
        for server in self._servers:
            await server.start()
        self._boot_clock_s = read_boot_clock()
        self.ticker.start()
        self.start_task("settings", self._watch_settings)
        self.start_task("discovery", self._discover)

    async def close(self) -> None:
        """Stop the tasks and close all sockets."""
        self.ticker.close()
        for name in ("discovery", "rejoin", "settings"):
            await self.kernel.end_task(name)
        self.discovery.close()
        for server in self._servers:
            await server.close()
        self.nodes_socket.close()
        self._logs.flush()

    def start_task(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task that is restarted after an error."""
        self.kernel.start_task(name, run_with_restarts(work, name, self.events))

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""
        self.nodes_socket.send(message, (ip, self.settings.node_port))

    def handle_newer_era(self, era: int) -> None:
        """Check this node's entry, as the store has been restored from a copy."""
        self.start_task("rejoin", lambda: self.discovery.rejoin(era))

    @abstractmethod
    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Handle a message from another node."""

    @abstractmethod
    def handle_listed_nodes(self, nodes: list[NodeEntry], now: float) -> None:
        """Handle the entries of the other nodes in the store."""

    @abstractmethod
    def contact_seeds(self, now: float) -> None:
        """Contact the fronts that the settings name, if that is still needed."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Run the periodic work of the role."""

    @abstractmethod
    def has_pending_work(self) -> bool:
        """Return whether something is pending that needs frequent ticks."""

    @abstractmethod
    def handle_pause(self, gap_s: float, now: float) -> None:
        """Recover from a pause of the process or its VM."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether this node is ready, for the readiness check of routers."""

    @abstractmethod
    async def stop(self) -> None:
        """Do the work of a graceful stop that precedes closing the sockets."""

    def reload_settings(self) -> None:
        """Reload the settings file; sockets and objects in use keep the old values."""
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            self.events.emit("settings_rejected", reason=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.events.logs_flows = settings.log_level == "flow"
        self.events.emit("settings_read", seeds=",".join(settings.seeds))
        self.contact_seeds(asyncio.get_running_loop().time())

    def _build_server(self, address: tuple[str, int], handler: Any) -> HttpServer:  # noqa: ANN401
        return HttpServer(
            *address, handler, self._emit_request_error, self.sockets.take_listener
        )

    def _emit_request_error(self, path: str, error: Exception) -> None:
        self.events.emit_error(f"request {path[:60]}", error)

    def _handle_readiness_request(self, request: Request) -> Response:
        if request.path != interface.READINESS_PATH:
            return Response(404)
        return Response(200 if self.is_ready() else 503)

    def _handle_metrics_request(self, request: Request) -> Response:
        if request.path != "/metrics":
            return Response(404)
        return Response(200, self._metrics.render(), "text/plain; version=0.0.4")

    async def wait_until_useful(self) -> None:
        """Wait until other nodes have a reason to know this node."""

    async def _discover(self) -> None:
        await self.wait_until_useful()
        nodes = await self.discovery.join()
        self.handle_listed_nodes(nodes, asyncio.get_running_loop().time())
        await self.discovery.correct_entry()

    def _run_periodic_work(self, now: float) -> None:
        self.detect_pause()
        self.tick(now)
        if now >= self._seeds_due:
            self._seeds_due = now + SEED_INTERVAL_S
            self.contact_seeds(now)
        if now >= self._flush_due:
            self._flush_due = now + FLUSH_INTERVAL_S
            self._logs.flush()

    def detect_pause(self) -> None:
        """Call `handle_pause` if the process was paused since the last check.

        Runs before queued datagrams are handled. It compares the boot clock, because
        the monotonic clock stops while the VM is suspended.
        """
        boot_clock_s = read_boot_clock()
        gap_s = boot_clock_s - self._boot_clock_s
        self._boot_clock_s = boot_clock_s
        if gap_s <= MIN_PAUSE_S:
            return
        self.events.emit("paused", gap_s=round(gap_s, 3))
        self.handle_pause(gap_s, asyncio.get_running_loop().time())

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            modified_at = _read_modification_time(self._settings_path)
            if modified_at == self._modified_at:
                continue
            self._modified_at = modified_at
            self.reload_settings()


def read_boot_clock() -> float:
    """Return the boot clock, which advances while the VM is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run_with_restarts(
    work: Callable[[], Awaitable[None]],
    name: str,
    events: NodeEvents,
    delay_s: float = RESTART_DELAY_S,
) -> None:
    """Run a coroutine to its end; after an error log it and start it again.

    Parameters
    ----------
    work : callable
        Returns the coroutine.
    name : str
        Name of the task, for the log.
    events : NodeEvents
        Receives the errors.
    delay_s : float
        Delay between an error and the restart, in seconds.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            events.emit_error(f"task {name}", error)
            await asyncio.sleep(delay_s)


def _read_modification_time(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


__all__ = ["NodeService", "run_with_restarts"]
