"""HTTP pages for operators and probes: ``GET /status`` and ``/burn``, as JSON."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from balsamstream import VERSION
from balsamstream.kernel import Service

from .burn import BurnCounter
from .metrics import Metrics
from .role import BURN, METRICS, ROLE, Role

if TYPE_CHECKING:
    from aiohttp import web

    from balsamstream.kernel import Kernel

    from .settings import Settings

SHUTDOWN_TIMEOUT_S: Final = 0.2


class StatusPage(Service):
    """HTTP server of the pages ``/status`` and ``/burn``.

    Parameters
    ----------
    kernel : Kernel
        Finds the role and the counters.
    settings : Settings
        Settings of the daemon.
    """

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._started_at = time.monotonic()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start serving, if the settings have an address for it."""
        address = self._settings.status_address
        if address is None:
            return
        # Imported here to save its memory in a daemon without pages.
        from aiohttp import web

        application = web.Application(client_max_size=0)
        application.add_routes(
            [
                web.get("/status", self._handle_status),
                web.get("/burn", self._handle_burn),
            ]
        )
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address.ip, address.port).start()

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is None:
            return
        await self._runner.cleanup()
        self._runner = None

    def describe(self) -> dict[str, Any]:
        """Return the content of the page ``/status``."""
        role = self._kernel.get(ROLE, Role)  # type: ignore[type-abstract]
        metrics = self._kernel.get(METRICS, Metrics)
        return {
            "version": VERSION,
            "role": self._settings.role.value,
            "name": role.ref.name,
            "incarnation": role.ref.incarnation,
            "address": str(role.transport.address),
            "data_centre": self._settings.data_centre,
            "uptime_s": round(time.monotonic() - self._started_at, 3),
            **role.describe(),
            "counters": metrics.counters,
        }

    async def _handle_status(self, _request: web.Request) -> web.Response:
        from aiohttp import web

        return web.json_response(self.describe())

    async def _handle_burn(self, _request: web.Request) -> web.Response:
        from aiohttp import web

        return web.json_response(self._kernel.get(BURN, BurnCounter).describe())


__all__ = ["StatusPage"]
