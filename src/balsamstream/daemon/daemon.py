"""Composition of the daemon: builds the services of its role and runs them."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import Final

import structlog
from returns.result import Failure, Success

from balsamstream.core.identity import ProcessRef
from balsamstream.kernel import Kernel
from balsamstream.objectapi.client import PlatformClient
from balsamstream.objectapi.transport import HttpTransport

from .burn import BurnCounter
from .logs import configure_logs
from .metrics import Metrics
from .platform_link import PlatformLink
from .role import BURN, METRICS, PLATFORM, ROLE, TRANSPORT, Role
from .settings import AgentSettings, BalancerSettings, Settings
from .settings_file import load_settings
from .status import StatusPage
from .transport import Transport

INCARNATION_BITS: Final = 53
"""Integers of up to 53 bits are exact in every JSON implementation."""

STATUS: Final = "status"


class Daemon:
    """The daemon process: services, signal handlers and exit status.

    Parameters
    ----------
    path : str
        Settings file, reloaded on SIGHUP.
    settings : Settings
        Settings of the daemon.
    """

    def __init__(self, path: str, settings: Settings) -> None:
        self._path = path
        self._settings = settings
        self._kernel = Kernel()
        self._log = structlog.get_logger("balsamstream.daemon")
        self._stop_signals = 0

    async def run(self) -> int:
        """Run until a signal or a failure; return the exit status."""
        role = self._add_services()
        self._add_signal_handlers(role)
        try:
            await self._kernel.start()
        except OSError as error:
            self._log.error("start_failed", error=str(error))
            return 1
        self._log.info(
            "ready",
            address=str(role.transport.address),
            role=self._settings.role.value,
            name=role.ref.name,
            incarnation=role.ref.incarnation,
        )
        self._kernel.start_task("stopped", self._stop_kernel_after(role))
        await self._kernel.wait()
        await self._kernel.close()
        failure = self._kernel.failure
        self._log.info("stopped", failure=None if failure is None else repr(failure))
        return 0 if failure is None else 1

    def _add_services(self) -> Role:
        settings = self._settings
        kernel = self._kernel
        ref = ProcessRef(settings.name, 1 + secrets.randbits(INCARNATION_BITS - 1))
        address = settings.address
        metrics = Metrics(kernel, settings.metrics, settings.name)
        kernel.add(METRICS, metrics)
        kernel.add(BURN, BurnCounter(settings.name, settings.data_centre))
        transport = Transport(ref, address, settings.keys, metrics)
        role = self._build_role(transport, ref)
        http = HttpTransport(settings.platform.url, settings.platform.ca_file)
        client = PlatformClient(http, author=f"{settings.role.value}/{settings.name}")
        link = PlatformLink(kernel, client, metrics, role.queue_changes)
        kernel.add(PLATFORM, link)
        kernel.add(ROLE, role)
        kernel.add(STATUS, StatusPage(kernel, settings))
        return role

    def _build_role(self, transport: Transport, ref: ProcessRef) -> Role:
        """Build the role, importing only the modules that it needs."""
        self._kernel.add(TRANSPORT, transport)
        match self._settings:
            case Settings(balancer=BalancerSettings() as balancer):
                from .balancer import Balancer

                return Balancer(self._kernel, self._settings, balancer, ref)
            case Settings(agent=AgentSettings() as agent):
                from .agent import BACKEND, Agent
                from .backend import BackendSockets

                metrics = self._kernel.get(METRICS, Metrics)
                backend = BackendSockets(agent.backend_server, metrics)
                self._kernel.add(BACKEND, backend)
                return Agent(self._kernel, self._settings, agent, ref)
        raise ValueError("the settings have no section balancer or agent")

    def _add_signal_handlers(self, role: Role) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, role)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings, role)

    def _stop(self, role: Role) -> None:
        self._stop_signals += 1
        if self._stop_signals == 1:
            role.start_graceful_stop()
            return
        role.force_stop()

    async def _stop_kernel_after(self, role: Role) -> None:
        await role.has_stopped.wait()
        self._kernel.stop()

    def _reload_settings(self, role: Role) -> None:
        match load_settings(self._path):
            case Success(settings):
                role.transport.replace_keys(settings.keys)
                configure_logs(settings.log_level)
                self._log.info("settings_read")
            case Failure(problems):
                for problem in problems:
                    self._log.error("wrong_settings", problem=str(problem))


__all__ = ["Daemon"]
