"""One HTTP connection to one server, opened again when it is needed."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Final

import httptools

CONNECT_TIMEOUT_S: Final = 0.4
"""A connection takes a round trip; a lost packet of it is sent again after 1 s."""
KEEPALIVE_IDLE_S: Final = 1
"""A silent connection is probed, since only that tells it from a waiting one."""
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
UNACKNOWLEDGED_MS: Final = 2_000
LARGEST_BODY_BYTES: Final = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """An answer.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Body.
    """

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """Parses one answer at a time into a future."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ClientResponse] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0
        self._keep = True

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _probe_when_idle(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._fail(error or ConnectionResetError("the server closed the connection"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"no HTTP answer: {error}"))
            self.close()

    def send(self, request: bytes) -> asyncio.Future[ClientResponse]:
        if self.transport is None:
            raise ConnectionResetError("the server closed the connection")
        self._parser = httptools.HttpResponseParser(self)
        self._parts = []
        self._size = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._waiter

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > LARGEST_BODY_BYTES:
            self._fail(ConnectionError("the answer is too large"))
            self.close()
            return
        self._parts.append(data)

    def on_message_complete(self) -> None:
        response = ClientResponse(self._parser.get_status_code(), b"".join(self._parts))
        waiter, self._waiter = self._waiter, None
        if not self._parser.should_keep_alive():
            self.close()
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _fail(self, error: Exception) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)


class HttpClient:
    """Calls to one server, one at a time.

    Parameters
    ----------
    host : str
        Address of the server.
    port : int
        Its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._connection: _Connection | None = None

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout_s: float
    ) -> ClientResponse:
        """Make one call.

        Raises
        ------
        OSError
            If there is no connection, no answer, or none within the time. Whether the
            server has carried the call out is then unknown.
        """
        try:
            connection = await self._connect()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            answer = connection.send(head.encode() + body)
            return await asyncio.wait_for(answer, timeout_s)
        except BaseException:
            # An answer that comes later must not be taken for the next call's.
            self.close()
            raise

    def close(self) -> None:
        """Drop the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self) -> _Connection:
        if self._connection is not None and self._connection.is_open:
            return self._connection
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(_Connection, self._host, self._port)
        _, connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        self._connection = connection
        return connection


def _probe_when_idle(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


__all__ = ["HttpClient", "ClientResponse"]
