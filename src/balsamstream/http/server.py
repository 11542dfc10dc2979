"""HTTP server for small requests that a synchronous handler answers at once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

import httptools

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

MAX_REQUEST_BYTES: Final = 64 * 1024
MAX_CONNECTIONS: Final = 256
IDLE_TIMEOUT_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request received by a server.

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
    """HTTP response sent by a server.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Body.
    content_type : str
        Value of the Content-Type header.
    """

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"


Handler: TypeAlias = "Callable[[Request], Response]"


class _Connection(asyncio.Protocol):
    """One client's connection: parses requests and writes the server's responses."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._parts: list[bytes] = []
        self._size = 0
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.try_add(self):
            transport.abort()
            return
        self._restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._server.remove(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_REQUEST_BYTES:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._server.count_rejected()
            self.abort()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode("latin-1")
        path = self._url.decode("latin-1").partition("?")[0]
        response = self._server.answer(Request(method, path, b"".join(self._parts)))
        keep_alive = self._parser.should_keep_alive()
        self._url = b""
        self._parts = []
        self._size = 0
        if self._transport is None:
            return
        self._transport.write(_encode_response(response, keep_alive))
        if not keep_alive:
            self._transport.close()
            return
        self._restart_idle_timer()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(
            IDLE_TIMEOUT_S, self.abort
        )


class HttpServer:
    """HTTP server on one address with one request handler.

    Parameters
    ----------
    host, port : str, int
        Address and port to listen on.
    handler : callable
        Returns the response to a request.
    report_failure : callable
        Called with the request's path and the error if the handler raises.
    open_listener : callable
        Returns a socket that listens on the address.

    Attributes
    ----------
    rejected : int
        Connections above the limit and requests that could not be parsed.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        report_failure: Callable[[str, Exception], None],
        open_listener: Callable[[tuple[str, int]], socket.socket],
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._report_failure = report_failure
        self._open_listener = open_listener
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.rejected = 0

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        listener = self._open_listener((self._host, self._port))
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=listener
        )

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()

    def try_add(self, connection: _Connection) -> bool:
        """Add a connection; return False if the limit is reached."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self.rejected += 1
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def count_rejected(self) -> None:
        """Count a request that could not be parsed."""
        self.rejected += 1

    def answer(self, request: Request) -> Response:
        """Return the handler's response, or status 500 if it raises an error."""
        try:
            return self._handler(request)
        except Exception as error:
            self._report_failure(request.path, error)
            return Response(500)


def _encode_response(response: Response, keep_alive: bool) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} {_REASONS.get(response.status, 'Answer')}\r\n"
        f"Content-Type: {response.content_type}\r\n"
        f"Content-Length: {len(response.body)}\r\n"
    )
    if not keep_alive:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + response.body


_REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

__all__ = ["HttpServer", "Request", "Response"]
