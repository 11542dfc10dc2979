"""What the service of a node is built from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamstream.kernel.kernel import Kernel

    from .events import NodeEvents
    from .logs import Logs
    from .metrics import Metrics
    from .settings import Settings
    from .sockets import SocketPool


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Parts of a node's process that its service uses.

    Attributes
    ----------
    kernel : Kernel
        Runs the tasks.
    path : str
        Path of the settings file.
    settings : Settings
        Settings read at the start.
    events, logs, metrics : NodeEvents, Logs, Metrics
        Events, log and metrics of the process.
    sockets : SocketPool
        Sockets that are open already.
    """

    kernel: Kernel
    path: str
    settings: Settings
    events: NodeEvents
    logs: Logs
    metrics: Metrics
    sockets: SocketPool


__all__ = ["NodeContext"]
