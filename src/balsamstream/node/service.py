"""What both roles have in common: pages, settings, ticks and the way to other nodes."""

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
from .settings import Settings, SettingsError, load_settings, split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from balsamstream.kernel.kernel import Kernel

    from .events import NodeEvents
    from .logs import Logs
    from .metrics import Metrics

TICK_S: Final = 0.02
SETTINGS_CHECK_S: Final = 1.0
FLUSH_EVERY: Final = 3
"""Ticks between two writes of the log."""
SEED_INTERVAL_S: Final = 0.5
PAUSE_S: Final = 1.0
"""A loop that stood still for so long is logged as a pause."""
AGAIN_S: Final = 0.5
"""Pause before a task that failed begins again."""
RUN_BYTES: Final = 4


class NodeService(Service):
    """One role of this process.

    Parameters
    ----------
    kernel : Kernel
        Runs tasks.
    path : str
        File of the settings.
    settings : Settings
        Settings as they were read at the start.
    events, logs, metrics : NodeEvents, Logs, Metrics
        Where decisions are noted.
    """

    def __init__(
        self,
        kernel: Kernel,
        path: str,
        settings: Settings,
        events: NodeEvents,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self.kernel = kernel
        self.settings = settings
        self.events = events
        self._path = path
        self._logs = logs
        self._metrics = metrics
        self.incarnation = 1 + int.from_bytes(os.urandom(RUN_BYTES))
        self.discovery = Discovery(
            self.open_store(), NodeEntry(settings.ip, settings.role), events
        )
        node_address = (settings.ip, settings.node_port)
        self.nodes_socket = DatagramSocket(
            node_address, self.handle_message, events, self.detect_pause
        )
        self._servers = [
            self._serve(split_address(settings.readiness), self._answer_readiness),
            self._serve((settings.ip, settings.metrics_port), self._answer_metrics),
        ]
        self._modified_at = _get_modified(path)
        self._running_at = read_running_time()
        self.is_stopping = False
        self.stop_completed = asyncio.Event()

    @property
    def seeds(self) -> list[str]:
        """Addresses of fronts that the settings name."""
        return [split_address(seed)[0] for seed in self.settings.seeds]

    def open_store(self) -> StoreClient:
        """Make a connection to the store for one part of the process."""
        return StoreClient(*split_address(self.settings.store))

    def add_server(self, address: tuple[str, int], handler: Any) -> None:  # noqa: ANN401
        """Serve pages on a further address from the start on."""
        self._servers.append(self._serve(address, handler))

    async def start(self) -> None:
        """Open sockets and begin to tick."""
        self.nodes_socket.start()
        for server in self._servers:
            await server.start()
        self.start_task("tick", self._tick_repeatedly)
        self.start_task("settings", self._check_settings)
        self.start_task("discovery", self._discover)

    async def close(self) -> None:
        """Close sockets and stop ticking."""
        for name in ("discovery", "settings", "tick"):
            await self.kernel.end_task(name)
        self.discovery.close()
        for server in self._servers:
            await server.close()
        self.nodes_socket.close()
        self._logs.flush()

    def start_task(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task; after an error it is logged and begins again."""
        self.kernel.start_task(name, run_with_restarts(work, name, self.events))

    def send_to_node(self, ip: str, message: bytes) -> None:
        """Send a message to a node."""
        self.nodes_socket.send(message, (ip, self.settings.node_port))

    @abstractmethod
    def handle_message(self, message: bytes, sender: str, now: float) -> None:
        """Take a message of another node."""

    @abstractmethod
    def handle_listed_nodes(self, nodes: list[NodeEntry], now: float) -> None:
        """Take nodes that the store named."""

    @abstractmethod
    def contact_seeds(self, now: float) -> None:
        """Speak to the nodes that the settings name, unless others are known."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Do what is due."""

    @abstractmethod
    def handle_pause(self, gap_s: float, now: float) -> None:
        """Go on after a pause of the process or its machine."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Tell whether routers may send here."""

    @abstractmethod
    async def stop(self) -> None:
        """Do what a graceful stop needs before the sockets are closed."""

    def reload_settings(self) -> None:
        """Read the settings; those that can't change in a running process stay."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self.events.emit("settings_rejected", reason=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.events.logs_flows = settings.log_level == "flow"
        self.events.emit("settings_read", seeds=",".join(settings.seeds))
        self.contact_seeds(asyncio.get_running_loop().time())

    def _serve(self, address: tuple[str, int], handler: Any) -> HttpServer:  # noqa: ANN401
        return HttpServer(*address, handler, self._note_page_error)

    def _note_page_error(self, path: str, error: Exception) -> None:
        self.events.emit_error(f"page {path[:60]}", error)

    def _answer_readiness(self, request: Request) -> Response:
        if request.path != interface.READINESS_PATH:
            return Response(404)
        return Response(200 if self.is_ready() else 503)

    def _answer_metrics(self, request: Request) -> Response:
        if request.path != "/metrics":
            return Response(404)
        return Response(200, self._metrics.render(), "text/plain; version=0.0.4")

    async def _discover(self) -> None:
        nodes = await self.discovery.join()
        self.handle_listed_nodes(nodes, asyncio.get_running_loop().time())

    async def _tick_repeatedly(self) -> None:
        loop = asyncio.get_running_loop()
        ticks = 0
        seeds_due = loop.time()
        self._running_at = read_running_time()
        while True:
            now = loop.time()
            try:
                self.detect_pause()
                self.tick(now)
                if now >= seeds_due:
                    seeds_due = now + SEED_INTERVAL_S
                    self.contact_seeds(now)
            except Exception as error:
                self.events.emit_error("tick", error)
            ticks += 1
            if ticks % FLUSH_EVERY == 0:
                self._logs.flush()
            await asyncio.sleep(TICK_S)

    def detect_pause(self) -> None:
        """Notice that the process stood still before anything queued is handled.

        A suspended machine stops its monotonic clock, but not its boot clock.
        """
        running = read_running_time()
        gap_s = running - self._running_at
        self._running_at = running
        if gap_s <= PAUSE_S:
            return
        self.events.emit("paused", gap_s=round(gap_s, 3))
        self.handle_pause(gap_s, asyncio.get_running_loop().time())

    async def _check_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            modified_at = _get_modified(self._path)
            if modified_at == self._modified_at:
                continue
            self._modified_at = modified_at
            self.reload_settings()


def read_running_time() -> float:
    """Return seconds of the clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run_with_restarts(
    work: Callable[[], Awaitable[None]],
    name: str,
    events: NodeEvents,
    pause_s: float = AGAIN_S,
) -> None:
    """Run work to its end; after an error log it and begin again.

    Parameters
    ----------
    work : callable
        Begins the work.
    name : str
        Name of the task, for the log.
    events : NodeEvents
        Where errors are noted.
    pause_s : float
        Time between an error and the next try, in seconds.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            events.emit_error(f"task {name}", error)
            await asyncio.sleep(pause_s)


def _get_modified(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


__all__ = ["NodeService", "run_with_restarts"]
