"""Process of a node: its event loop, its service and its signals."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from balsamstream.kernel.kernel import Kernel

from .context import NodeContext
from .events import NodeEvents
from .logs import Logs
from .metrics import Metrics

if TYPE_CHECKING:
    from .service import NodeService
    from .settings import Settings
    from .sockets import SocketPool


def run_node(path: str, settings: Settings, sockets: SocketPool) -> int:
    """Run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    path : str
        Path of the settings file.
    settings : Settings
        Its content.
    sockets : SocketPool
        Sockets that are open already.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if the sockets cannot be opened.
    """
    return asyncio.run(_run(path, settings, sockets))


async def _run(path: str, settings: Settings, sockets: SocketPool) -> int:
    logs = Logs(settings.name)
    metrics = Metrics()
    events = NodeEvents(logs, metrics, logs_flows=settings.log_level == "flow")
    kernel = Kernel(logs)
    context = NodeContext(kernel, path, settings, events, logs, metrics, sockets)
    service = _build_service(context)
    kernel.add(settings.role, service)
    _handle_signals(kernel, service, events)
    events.emit(
        "starting", role=settings.role, ip=settings.ip, incarnation=service.incarnation
    )
    try:
        await kernel.start()
    except OSError as error:
        logs.error("start_failed", reason=str(error))
        logs.flush()
        sockets.close()
        return 1
    # Imported modules are never freed: exclude them from garbage collection.
    gc.freeze()
    gc.enable()
    events.emit("started", role=settings.role)
    await service.stop_completed.wait()
    await kernel.close()
    events.emit("stopped")
    logs.flush()
    return 0


def _build_service(context: NodeContext) -> NodeService:
    """Build the service of the role, importing only the modules of that role."""
    if context.settings.role == "front":
        from .front import FrontService

        return FrontService(context)
    from .gate import GateService

    return GateService(context)


def _handle_signals(kernel: Kernel, service: NodeService, events: NodeEvents) -> None:
    loop = asyncio.get_running_loop()

    def stop() -> None:
        if service.is_stopping:
            return
        service.is_stopping = True
        events.emit("stopping", reason="signal")
        service.start_task("stop", lambda: _stop(service, events))

    def reload() -> None:
        events.emit("reloading", reason="signal")
        service.reload_settings()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


async def _stop(service: NodeService, events: NodeEvents) -> None:
    try:
        await service.stop()
    except (OSError, TimeoutError) as error:
        events.emit("stop_hurried", reason=str(error) or type(error).__name__)
    finally:
        service.stop_completed.set()


__all__ = ["run_node"]
