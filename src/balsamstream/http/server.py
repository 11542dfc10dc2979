"""HTTP pages of a process: short answers made at once from what it knows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

LARGEST_REQUEST_BYTES: Final = 64 * 1024
MOST_CONNECTIONS: Final = 256
IDLE_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Request:
    """A request.

    Attributes
    ----------
    method : str
        Method.
    path : str
        Path without query.
    body : bytes
        Body.
    """

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """What is answered.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Body.
    content_type : str
        Its type.
    """

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"


Handler: TypeAlias = "Callable[[Request], Response]"


class _Connection(asyncio.Protocol):
    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._parts: list[bytes] = []
        self._size = 0
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.admit(self):
            transport.abort()
            return
        self._watch_idle()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._server.forget(self)
        if self._idle is not None:
            self._idle.cancel()

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > LARGEST_REQUEST_BYTES:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._server.count_rejected()
            self.abort()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode("latin-1")
        path = self._target.decode("latin-1").partition("?")[0]
        page = self._server.answer(Request(method, path, b"".join(self._parts)))
        keep = self._parser.should_keep_alive()
        self._target = b""
        self._parts = []
        self._size = 0
        if self._transport is None:
            return
        self._transport.write(_write_page(page, keep))
        if not keep:
            self._transport.close()
            return
        self._watch_idle()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _watch_idle(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(IDLE_S, self.abort)


class HttpServer:
    """Answers requests on one address.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    handler : callable
        Makes the page of a request.
    report_failure : callable
        Told of an error that the handler raised.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        report_failure: Callable[[str, Exception], None],
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._report_failure = report_failure
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.rejected = 0

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address can't be had.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), self._host, self._port
        )

    @property
    def port(self) -> int:
        """Port that is listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()

    def admit(self, connection: _Connection) -> bool:
        """Count a connection in; False where there are too many."""
        if len(self._connections) >= MOST_CONNECTIONS:
            self.rejected += 1
            return False
        self._connections.add(connection)
        return True

    def forget(self, connection: _Connection) -> None:
        """Count a connection out."""
        self._connections.discard(connection)

    def count_rejected(self) -> None:
        """Count bytes that were no request."""
        self.rejected += 1

    def answer(self, request: Request) -> Response:
        """Make the page of a request; an error of the handler is one, too."""
        try:
            return self._handler(request)
        except Exception as error:
            self._report_failure(request.path, error)
            return Response(500)


def _write_page(page: Response, keep: bool) -> bytes:
    head = (
        f"HTTP/1.1 {page.status} {_REASONS.get(page.status, 'Answer')}\r\n"
        f"Content-Type: {page.content_type}\r\n"
        f"Content-Length: {len(page.body)}\r\n"
    )
    if not keep:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + page.body


_REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

__all__ = ["HttpServer", "Response", "Request"]
