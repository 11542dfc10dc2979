"""A backend server in the test's own process, and requests to it."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from aiocoap import Message
from aiocoap.numbers import codes

from standins.addresses import LOOPBACK, Address
from standins.backend_server import BackendServer
from standins.capacity import Limits
from standins.events import Event, RecordFile, read_events
from standins.exchange import Answer, CallerSocket, Timing

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

WARM = Limits(cold_s=0.0, work_ms=1.0)
FAST = Timing(ack_timeout_s=0.05, max_retransmit=3, separate_s=0.5)
ALL_SERVICES = ["comptoir", "etiquettes", "fitter", "guides"]


class RecordedBackend:
    """A backend server and the file of its events.

    Parameters
    ----------
    directory : Path
        Folder of the record file.
    limits : Limits
        Limits of the backend server.
    services : list of str
        Names of the services that it provides.
    """

    def __init__(
        self, directory: Path, limits: Limits = WARM, services: list[str] = ALL_SERVICES
    ) -> None:
        self.record_path = directory / "backend.jsonl"
        self.record = RecordFile(self.record_path)
        self.backend_server = BackendServer("host-1", services, limits, self.record)
        self.address: Address = (LOOPBACK, 0)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[RecordedBackend]:
        """Run the backend server within the context."""
        self.address = await self.backend_server.start((LOOPBACK, 0))
        try:
            yield self
        finally:
            self.backend_server.close()
            self.record.close()

    def list_events(self, event_type: type[Event]) -> list[Any]:
        """List the recorded events of a type."""
        events = read_events(self.record_path)
        return [event for event in events if isinstance(event, event_type)]


@asynccontextmanager
async def open_caller(
    service: Address, timing: Timing = FAST
) -> AsyncIterator[CallerSocket]:
    """Open a caller's socket for the context."""
    caller = CallerSocket(service, timing, seed=1)
    await caller.start()
    try:
        yield caller
    finally:
        caller.close()


async def send_get(caller: CallerSocket, *path: str, **options: Any) -> Message:
    """Send a GET request and return its answer."""
    message = Message(code=codes.GET, uri_path=path, **options)
    reply = await caller.request(message)
    assert isinstance(reply, Answer)
    return reply.message
