"""Registry of services, their start and close order, and their tasks."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from .service import Service

if TYPE_CHECKING:
    from collections.abc import Coroutine

S = TypeVar("S", bound=Service)


class Log(Protocol):
    """Logger for failures of services and tasks."""

    def error(self, event: str, **fields: object) -> None:
        """Log an error event."""


class ServiceMissing(LookupError):  # noqa: N818
    """No service is registered under that name with that type."""


class Kernel:
    """Starts services in the order they were added and closes them in reverse.

    Parameters
    ----------
    log : Log or None
        Logger for failures of services and tasks; None for structlog.

    Attributes
    ----------
    failure : BaseException or None
        First error raised by a task or by closing a service, or None if there was
        none.
    """

    def __init__(self, log: Log | None = None) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[tuple[str, Service]] = []
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._stop_requested = asyncio.Event()
        self._log = log or _get_structlog()
        self.failure: BaseException | None = None

    def add(self, name: str, service: Service) -> None:
        """Register a service under a name.

        Raises
        ------
        ValueError
            If the name is already registered.
        """
        if name in self._services:
            raise ValueError(f"service {name} was added already")
        self._services[name] = service

    def get(self, name: str, kind: type[S]) -> S:
        """Return the service registered under a name.

        Raises
        ------
        ServiceMissing
            If no service has that name, or it is of another type.
        """
        found = self._services.get(name)
        if not isinstance(found, kind):
            raise ServiceMissing(f"no service {name} of type {kind.__name__}")
        return found

    async def start(self) -> None:
        """Start all services; if one fails, close it and those started before it."""
        for name, service in self._services.items():
            self._started.append((name, service))
            try:
                await service.start()
            except BaseException:
                await self.close()
                raise

    async def close(self) -> None:
        """Close all started services in reverse order and cancel all tasks."""
        while self._started:
            name, service = self._started.pop()
            try:
                await service.close()
            except Exception as error:
                self._log.error("service_close_failed", service=name, error=repr(error))
                self.failure = self.failure or error
        for name in list(self._tasks):
            await self.end_task(name)

    def start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task; if it fails, `wait` returns.

        Raises
        ------
        ValueError
            If a task of that name is running.
        """
        if name in self._tasks:
            work.close()
            raise ValueError(f"task {name} runs already")
        task = asyncio.create_task(work, name=name)
        self._tasks[name] = task
        task.add_done_callback(self._handle_task_end)

    async def end_task(self, name: str) -> None:
        """Cancel a task and wait for its end; do nothing if it does not exist."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task

    def stop(self) -> None:
        """Make `wait` return."""
        self._stop_requested.set()

    async def wait(self) -> None:
        """Wait until `stop` is called or a task fails."""
        await self._stop_requested.wait()

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if self._tasks.get(task.get_name()) is task:
            del self._tasks[task.get_name()]
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        self._log.error("task_failed", task=task.get_name(), error=repr(error))
        self.failure = self.failure or error
        self._stop_requested.set()


def _get_structlog() -> Log:
    # Imported late: nodes pass a lighter logger and never need structlog.
    import structlog

    log: Log = structlog.get_logger("balsamstream.kernel")
    return log


__all__ = ["Kernel", "Log", "ServiceMissing"]
