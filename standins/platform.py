"""The platform's object API, with all objects in memory.

``python -m standins.platform --listen 127.0.0.1:8001``
"""

from __future__ import annotations

import asyncio
import json
import ssl
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path  # noqa: TC003 - read by cyclopts when the program runs
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from cyclopts import App

from .addresses import LOOPBACK, Address, parse_address
from .serving import print_ready, start_http, wait_for_stop
from .store import Document, Event, Store, StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT_PATH: Final = "/apis/balsamstream/v1"
WRITE_METHODS: Final = frozenset({"POST", "PUT", "DELETE"})
WRITES_PER_S: Final = 400.0
READS_PER_S: Final = 2_000.0
HISTORY_EVENTS: Final = 10_000
MAX_BODY_BYTES: Final = 4_000_000
RETRY_AFTER_S: Final = 1

app = App(name="platform", help=__doc__)


@dataclass(slots=True)
class Faults:
    """Faults of the platform, changed through its HTTP control.

    Attributes
    ----------
    down : bool
        Whether every call is aborted without a response, including open watches.
    slow_s : float
        Additional duration of each call, in seconds.
    lose_answers : int
        Number of further writes that take effect without a response.
    lag_watch_s : float
        Delay of watch events, in seconds.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lag_watch_s: float = 0.0


@dataclass(slots=True)
class Calls:
    """Counters of calls since the start; a watch counts as a read as well."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting_watches: int = 0
    limited: int = 0


class RateLimit:
    """Token bucket with the capacity of one second's calls."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s
        self._filled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Take a token from the bucket, or return False if none is left."""
        now = time.monotonic()
        refilled = self._left + (now - self._filled_at) * self._per_s
        self._left = min(self._per_s, refilled)
        self._filled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Platform:
    """HTTP application of the object API, backed by a `Store`.

    Parameters
    ----------
    writes_per_s : float
        Rate of writes above which they are answered with 429.
    reads_per_s : float
        The same for reads and new watches.
    history : int
        Number of events kept for watches.
    """

    def __init__(
        self,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
        history: int = HISTORY_EVENTS,
    ) -> None:
        self.faults = Faults()
        self.calls = Calls()
        self._store = Store(history)
        self._writes = RateLimit(writes_per_s)
        self._reads = RateLimit(reads_per_s)
        self._changed = asyncio.Event()

    def build(self) -> web.Application:
        """Build the application with all routes."""
        application = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        application.add_routes(
            [
                web.get(ROOT_PATH, self._list_or_watch),
                web.get(ROOT_PATH + "/{plural}", self._list_or_watch),
                web.post(ROOT_PATH + "/{plural}", self._create),
                web.get(ROOT_PATH + "/{plural}/{name}", self._read),
                web.put(ROOT_PATH + "/{plural}/{name}", self._replace),
                web.delete(ROOT_PATH + "/{plural}/{name}", self._delete),
                web.post("/faults", self._change_faults),
                web.get("/calls", self._get_calls),
            ]
        )
        return application

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if not request.path.startswith(ROOT_PATH):
            return await handler(request)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            return _cut_off(request)
        writes = request.method in WRITE_METHODS
        if not self._try_acquire(writes):
            return _refuse_rate()
        try:
            response = await handler(request)
        except StoreError as error:
            return _build_status(error.code, error.reason, error.message)
        if writes and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _cut_off(request)
        return response

    def _try_acquire(self, writes: bool) -> bool:
        limit = self._writes if writes else self._reads
        if not limit.try_acquire():
            self.calls.limited += 1
            return False
        if writes:
            self.calls.writes += 1
        else:
            self.calls.reads += 1
        return True

    async def _read(self, request: web.Request) -> web.Response:
        plural, name = request.match_info["plural"], request.match_info["name"]
        return web.json_response(self._store.read(plural, name))

    async def _create(self, request: web.Request) -> web.Response:
        document = await _read_body(request)
        created = self._store.create(request.match_info["plural"], document)
        self._notify_watches()
        return web.json_response(created, status=201)

    async def _replace(self, request: web.Request) -> web.Response:
        document = await _read_body(request)
        plural, name = request.match_info["plural"], request.match_info["name"]
        replaced = self._store.replace(plural, name, document)
        self._notify_watches()
        return web.json_response(replaced)

    async def _delete(self, request: web.Request) -> web.Response:
        plural, name = request.match_info["plural"], request.match_info["name"]
        version = request.query.get("resourceVersion")
        deleted = self._store.delete(plural, name, version)
        self._notify_watches()
        return web.json_response(deleted)

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        plural = request.match_info.get("plural")
        if request.query.get("watch") == "true":
            return await self._watch(request, plural)
        items = self._store.list_items(plural)
        metadata = {"resourceVersion": str(self._store.version)}
        return web.json_response({"kind": "List", "metadata": metadata, "items": items})

    async def _watch(
        self, request: web.Request, plural: str | None
    ) -> web.StreamResponse:
        seen = _parse_version(request.query.get("resourceVersion", ""))
        self._store.read_events(plural, seen)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        self.calls.watches += 1
        self.calls.waiting_watches += 1
        try:
            await self._send_events(request, response, plural, seen)
        except StoreError as error:
            status = _describe_status(error.code, error.reason, error.message)
            await _write_line(response, {"type": "ERROR", "object": status})
        except ConnectionError:
            pass
        finally:
            self.calls.waiting_watches -= 1
        return response

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        plural: str | None,
        seen: int,
    ) -> None:
        while True:
            changed = self._changed
            if self.faults.down:
                _cut_off(request)
                return
            for event in self._store.read_events(plural, seen):
                due_at = event.created_at + self.faults.lag_watch_s
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                await _write_event(response, event)
                seen = event.version
            await changed.wait()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _change_faults(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        if body.pop("compact", False):
            self._store.compact()
        for name, value in body.items():
            kind = type(getattr(self.faults, name))
            setattr(self.faults, name, kind(value))
        self._notify_watches()
        return web.json_response(asdict(self.faults))

    async def _get_calls(self, _request: web.Request) -> web.Response:
        return web.json_response(asdict(self.calls))


async def _read_body(request: web.Request) -> Document:
    try:
        body: Document = await request.json()
    except json.JSONDecodeError as error:
        raise StoreError(400, "BadRequest", str(error)) from error
    return body


def _parse_version(text: str) -> int:
    if not text.isdigit():
        raise StoreError(400, "BadRequest", "a watch needs a resourceVersion")
    return int(text)


def _cut_off(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _refuse_rate() -> web.Response:
    response = _build_status(429, "TooManyRequests", "over the rate limit")
    response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response


def _describe_status(code: int, reason: str, message: str) -> Document:
    return {"kind": "Status", "code": code, "reason": reason, "message": message}


def _build_status(code: int, reason: str, message: str) -> web.Response:
    return web.json_response(_describe_status(code, reason, message), status=code)


async def _write_event(response: web.StreamResponse, event: Event) -> None:
    await _write_line(response, {"type": event.type, "object": event.document})


async def _write_line(response: web.StreamResponse, line: Document) -> None:
    await response.write(json.dumps(line).encode() + b"\n")


@app.default
def main(
    *,
    listen: str = f"{LOOPBACK}:0",
    writes_per_s: float = WRITES_PER_S,
    reads_per_s: float = READS_PER_S,
    history: int = HISTORY_EVENTS,
    certificate: Path | None = None,
    private_key: Path | None = None,
) -> None:
    """Run the platform until SIGTERM.

    Parameters
    ----------
    listen : str
        Address to listen on; port 0 selects a free port.
    writes_per_s : float
        Rate of writes above which they are answered with 429.
    reads_per_s : float
        The same for reads and new watches.
    history : int
        Number of events kept for watches.
    certificate : Path
        PEM file for HTTPS; plain HTTP without it.
    private_key : Path
        PEM file with the certificate's private key.
    """
    tls = None
    if certificate is not None:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        tls.load_cert_chain(certificate, private_key)
    with suppress(KeyboardInterrupt):
        asyncio.run(
            _run(parse_address(listen), writes_per_s, reads_per_s, history, tls)
        )


async def _run(
    listen: Address,
    writes_per_s: float,
    reads_per_s: float,
    history: int,
    tls: ssl.SSLContext | None,
) -> None:
    platform = Platform(writes_per_s, reads_per_s, history)
    runner, address = await start_http(platform.build(), listen, tls)
    print_ready(address)
    await wait_for_stop()
    await runner.cleanup()


if __name__ == "__main__":
    app()

__all__ = ["Calls", "Faults", "Platform", "RateLimit"]
