"""A CoAP backend server with limited slots, a cold start and a health page.

``python -m standins.backend_server --host comptoir-1 --service comptoir``
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003 - read by cyclopts when the program runs
from typing import TYPE_CHECKING, Annotated, Any, Final

from aiocoap.numbers import codes
from aiocoap.numbers.types import Type
from aiohttp import web
from cyclopts import App, Parameter

from .addresses import LOOPBACK, Address, format_address, parse_address
from .answers import (
    Origin,
    build_content,
    find_service,
    identify_request,
)
from .capacity import Capacity, Limits
from .coap import (
    build_answer,
    build_empty,
    decode_message,
    read_deadline_ms,
)
from .events import (
    ColdWork,
    Expired,
    Misdirected,
    Overloaded,
    PacketsReceived,
    RecordFile,
    Run,
    Started,
    read_clock,
)
from .notifier import Notifier
from .serving import (
    drain_socket,
    open_datagram_socket,
    print_ready,
    send_datagram,
    start_http,
    wait_for_stop,
)

if TYPE_CHECKING:
    import socket

    from aiocoap import Message


BOARD_PATH: Final = "stock"
REMEMBERED_REQUESTS: Final = 20_000
EXPIRED_MAX_AGE_S: Final = 1
PACKETS_INTERVAL_S: Final = 0.25
STOP_GRACE_S: Final = 2.0
STOP_POLL_S: Final = 0.02

app = App(name="backend_server", help=__doc__)


@dataclass(slots=True)
class Faults:
    """Faults of a backend server, changed through its HTTP control.

    Attributes
    ----------
    lie : bool
        Whether the health page reports success and no load at all times.
    fail_requests : float
        Share of requests that are answered with 5.00 and not run, 0 to 1.
    slow_ms : float
        Additional processing time of each request, in milliseconds.
    health_lag_s : float
        Age of the state that the health page reports, in seconds.
    """

    lie: bool = False
    fail_requests: float = 0.0
    slow_ms: float = 0.0
    health_lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that waits for a slot or occupies one."""

    message: Message
    endpoint: Address
    deadline: float | None


@dataclass(frozen=True, slots=True)
class Health:
    """State reported by the health page at a time."""

    time: float
    ok: bool
    load: float
    observers: int


class BackendServer:
    """Serves CoAP requests over UDP with a limited number of slots.

    Parameters
    ----------
    host : str
        Name of the host that it runs on.
    services : list of str
        Names of the services that it provides.
    limits : Limits
        Slots, load limits and processing times.
    record : RecordFile
        File that its events are written to.
    seed : int
        Seed of its random choices.
    """

    def __init__(
        self,
        host: str,
        services: list[str],
        limits: Limits,
        record: RecordFile,
        seed: int = 0,
    ) -> None:
        self.faults = Faults()
        self._host = host
        self._services = services
        self._record = record
        self._random = random.Random(seed)
        self._capacity = Capacity(limits, time.monotonic())
        self._incarnation = secrets.token_hex(4)
        origin = Origin(host, self._incarnation)
        self._notifier = Notifier(self._send, record, origin)
        self._answers: OrderedDict[tuple[Address, int], bytes | None] = OrderedDict()
        self._waiting: deque[PendingRequest] = deque()
        self._running = 0
        self._has_crashed = False
        self._packets = 0
        self._last_packet = 0.0
        self._socket: socket.socket | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._history: deque[Health] = deque(maxlen=1_000)

    async def start(self, address: Address) -> Address:
        """Open the UDP socket and start the background tasks.

        Returns
        -------
        Address
            The bound address.
        """
        loop = asyncio.get_running_loop()
        self._socket = open_datagram_socket(address)
        loop.add_reader(self._socket, drain_socket, self._socket, self._handle_datagram)
        self._tasks = [
            loop.create_task(self._notifier.run()),
            loop.create_task(self._record_packets()),
        ]
        self._record_start(announced=True)
        bound: Address = self._socket.getsockname()
        return bound

    async def finish_work(self) -> None:
        """Wait until no request is in flight, for at most `STOP_GRACE_S`."""
        deadline = time.monotonic() + STOP_GRACE_S
        while self._capacity.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(STOP_POLL_S)

    def close(self) -> None:
        """Cancel the background tasks and close the socket."""
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def restart(self) -> None:
        """Drop all state and start cold, as a restart of the process would."""
        self._reset("restart")
        self._has_crashed = False
        self._record_start(announced=False)

    def describe_health(self) -> Health:
        """Return the state to report, as altered by the current faults."""
        now = time.monotonic()
        limit = self._capacity.compute_limit(now)
        load = self._capacity.in_flight / limit
        health = Health(now, not self._has_crashed, load, len(self._notifier))
        self._history.append(health)
        if self.faults.lie:
            return Health(now, True, 0.0, 0)
        aged = [h for h in self._history if h.time <= now - self.faults.health_lag_s]
        return aged[-1] if aged else self._history[0]

    @property
    def _origin(self) -> Origin:
        return Origin(self._host, self._incarnation)

    def _record_start(self, announced: bool) -> None:
        now = read_clock()
        cold_until = now + self._capacity.limits.cold_s
        self._record.append(
            Started(
                now,
                self._host,
                self._incarnation,
                self._services,
                cold_until,
                announced,
            )
        )

    def _reset(self, reason: str) -> None:
        self._notifier.end_all(reason)
        self._answers.clear()
        self._waiting.clear()
        self._running = 0
        self._incarnation = secrets.token_hex(4)
        self._notifier.origin = self._origin
        self._capacity.start_cold(time.monotonic())

    def _handle_datagram(self, datagram: bytes, endpoint: Address) -> None:
        self._packets += 1
        self._last_packet = read_clock()
        if self._has_crashed:
            return
        message = decode_message(datagram)
        if message is None:
            return
        if message.code.is_request():
            self._handle_request(message, endpoint)
            return
        if message.mtype == Type.CON:
            self._send(build_empty(Type.RST, message.mid), endpoint)
            return
        self._notifier.handle_confirmation(message, endpoint)

    def _handle_request(self, message: Message, endpoint: Address) -> None:
        key = (endpoint, message.mid)
        if key in self._answers:
            known = self._answers[key]
            if known is not None:
                self._send(known, endpoint)
            return
        self._answers[key] = None
        if len(self._answers) > REMEMBERED_REQUESTS:
            self._answers.popitem(last=False)
        if find_service(message) not in self._services:
            path = "/".join(message.opt.uri_path)
            self._record.append(Misdirected(read_clock(), self._host, path))
            self._answer(message, endpoint, build_answer(message, codes.NOT_FOUND))
            return
        if self.faults.fail_requests > self._random.random():
            failure = build_answer(message, codes.INTERNAL_SERVER_ERROR)
            self._answer(message, endpoint, failure)
            return
        self._admit(message, endpoint)

    def _admit(self, message: Message, endpoint: Address) -> None:
        now = time.monotonic()
        is_within_limit = self._capacity.add_request(now)
        if self._capacity.update_cold_peak(now):
            self._record.append(self._describe_load(ColdWork, now))
        if not is_within_limit:
            self._crash(now)
            return
        left_ms = read_deadline_ms(message.opt)
        deadline = None if left_ms is None else now + left_ms / 1_000
        self._waiting.append(PendingRequest(message, endpoint, deadline))
        self._start_waiting()

    def _describe_load(
        self, event_type: type[ColdWork] | type[Overloaded], now: float
    ) -> ColdWork | Overloaded:
        return event_type(
            read_clock(),
            self._host,
            self._incarnation,
            self._capacity.in_flight,
            self._capacity.compute_limit(now),
        )

    def _crash(self, now: float) -> None:
        self._record.append(self._describe_load(Overloaded, now))
        self._has_crashed = True
        self._reset("overload")
        loop = asyncio.get_running_loop()
        loop.call_later(self._capacity.limits.fall_s, self.restart)

    def _start_waiting(self) -> None:
        while self._waiting and self._running < self._capacity.limits.slots:
            pending = self._waiting.popleft()
            now = time.monotonic()
            if pending.deadline is not None and now >= pending.deadline:
                self._expire(pending)
                continue
            self._running += 1
            self._record_run(pending)
            duration_s = (
                self._capacity.compute_duration_s(now) + self.faults.slow_ms / 1_000
            )
            loop = asyncio.get_running_loop()
            loop.call_later(duration_s, self._finish, pending, self._incarnation)

    def _expire(self, pending: PendingRequest) -> None:
        self._capacity.release()
        request, attempt = identify_request(pending.message)
        self._record.append(Expired(read_clock(), self._host, request, attempt))
        refusal = build_answer(pending.message, codes.SERVICE_UNAVAILABLE)
        refusal.opt.max_age = EXPIRED_MAX_AGE_S
        self._answer(pending.message, pending.endpoint, refusal)

    def _record_run(self, pending: PendingRequest) -> None:
        request, attempt = identify_request(pending.message)
        self._record.append(
            Run(
                time=read_clock(),
                host=self._host,
                incarnation=self._incarnation,
                service=str(find_service(pending.message)),
                method=pending.message.code.name,
                request=request,
                attempt=attempt,
                endpoint=format_address(pending.endpoint),
            )
        )

    def _finish(self, pending: PendingRequest, incarnation: str) -> None:
        if incarnation != self._incarnation:
            return
        self._running -= 1
        self._capacity.release()
        answer = self._build_content(pending)
        self._answer(pending.message, pending.endpoint, answer)
        self._start_waiting()

    def _build_content(self, pending: PendingRequest) -> Message:
        message = pending.message
        answer = build_content(message, self._origin)
        if message.opt.uri_path[0] == BOARD_PATH and message.code == codes.GET:
            self._notifier.change_observation(message, pending.endpoint, answer)
        return answer

    def _answer(self, request: Message, endpoint: Address, answer: Message) -> None:
        encoded = answer.encode()
        self._answers[endpoint, request.mid] = encoded
        self._send(encoded, endpoint)

    def _send(self, datagram: bytes, endpoint: Address) -> None:
        if self._socket is not None:
            send_datagram(self._socket, datagram, endpoint)

    async def _record_packets(self) -> None:
        while True:
            await asyncio.sleep(PACKETS_INTERVAL_S)
            if not self._packets:
                continue
            self._record.append(
                PacketsReceived(
                    read_clock(), self._host, self._packets, self._last_packet
                )
            )
            self._packets = 0


class Control:
    """HTTP application with the health page and the control of faults."""

    def __init__(self, backend_server: BackendServer) -> None:
        self._backend_server = backend_server

    def build(self) -> web.Application:
        """Build the application with all routes."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/health", self._get_health),
                web.post("/faults", self._change_faults),
            ]
        )
        return application

    async def _get_health(self, _request: web.Request) -> web.Response:
        health = self._backend_server.describe_health()
        body = {"ok": health.ok, "load": health.load, "observers": health.observers}
        return web.json_response(body, status=200 if health.ok else 503)

    async def _change_faults(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        if body.pop("restart", False):
            self._backend_server.restart()
        faults = self._backend_server.faults
        for name, value in body.items():
            setattr(faults, name, type(getattr(faults, name))(value))
        return web.json_response({})


@app.default
def main(
    *,
    host: str,
    service: Annotated[list[str], Parameter(negative="")],
    listen: str = f"{LOOPBACK}:0",
    control: str = f"{LOOPBACK}:0",
    record: Path | None = None,
    limits: Annotated[Limits, Parameter(name="*")] = Limits(),  # noqa: B008
    seed: int = 0,
) -> None:
    """Run a backend server until SIGTERM.

    Parameters
    ----------
    host : str
        Name of the host.
    service : list of str
        Service that it provides: comptoir, etiquettes, fitter or guides; may be
        repeated.
    listen : str
        UDP address; port 0 selects a free port.
    control : str
        Address of the health page and of the control of faults.
    record : Path
        File that its events are written to, as JSON lines.
    limits : Limits
        Slots, load limits and processing times.
    seed : int
        Seed of its random choices.
    """
    record_file = RecordFile(record)
    backend_server = BackendServer(host, service, limits, record_file, seed)
    asyncio.run(_run(backend_server, parse_address(listen), parse_address(control)))
    record_file.close()


async def _run(
    backend_server: BackendServer, listen: Address, control: Address
) -> None:
    address = await backend_server.start(listen)
    application = Control(backend_server).build()
    runner, control_address = await start_http(application, control)
    print_ready(format_address(address), control_address)
    await wait_for_stop()
    await backend_server.finish_work()
    await runner.cleanup()
    backend_server.close()


if __name__ == "__main__":
    app()

__all__ = [
    "BackendServer",
    "Control",
    "Faults",
    "Health",
    "PendingRequest",
]
