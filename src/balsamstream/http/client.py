"""HTTP client with one persistent connection that is reopened on demand."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from typing import Final

import httptools

CONNECT_TIMEOUT_S: Final = 0.4
"""Connecting takes one round trip; a lost SYN is retransmitted only after 1 s."""
KEEPALIVE_IDLE_S: Final = 1
"""Keep-alive probes tell a dead connection from one with a pending response."""
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_000
MAX_BODY_BYTES: Final = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """HTTP response received from a server.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Body.
    headers : dict of str to str
        Headers, their names in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class _Connection(asyncio.Protocol):
    """Sends one request at a time and resolves a future with its response."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ClientResponse] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._size = 0
        self.is_for_one_call = False

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _enable_keepalive(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._fail(error or ConnectionResetError("the server closed the connection"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionError(f"invalid HTTP response: {error}"))
            self.close()

    def send(self, request: bytes) -> asyncio.Future[ClientResponse]:
        if self.transport is None:
            raise ConnectionResetError("the server closed the connection")
        self._parser = httptools.HttpResponseParser(self)
        self._parts = []
        self._headers = {}
        self._size = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._waiter

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self._fail(ConnectionError("the response body is too large"))
            self.close()
            return
        self._parts.append(data)

    def on_message_complete(self) -> None:
        response = ClientResponse(
            self._parser.get_status_code(), b"".join(self._parts), self._headers
        )
        waiter, self._waiter = self._waiter, None
        if not self._parser.should_keep_alive():
            self.is_for_one_call = True
            self.close()
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _fail(self, error: Exception) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)


class HttpClient:
    """HTTP client of one server that makes one call at a time.

    Calls of several tasks are made one after the other.

    Parameters
    ----------
    host : str
        Address of the server.
    port : int
        Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._connection: _Connection | None = None
        self._lock = asyncio.Lock()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        may_connect: bool = True,
    ) -> ClientResponse:
        """Send a request and return the response.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        body : bytes
            Body of the request.
        timeout_s : float
            Time to wait for the response once the request is sent, in seconds.
        may_connect : bool
            Whether to open a connection if that of the last call has been lost; one
            that the server ends after each response does not count as lost.

        Raises
        ------
        OSError
            If the connection fails, or no valid response arrives within the timeout.
            Whether the server processed the request is then unknown.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        # A response belongs to the request before it on its connection.
        async with self._lock:
            try:
                connection = await self._connect(may_connect)
                pending = connection.send(head.encode() + body)
                # Unlike wait_for, this never loses a cancellation to a response.
                async with asyncio.timeout(timeout_s):
                    return await pending
            except BaseException:
                # A late response must not be taken for the response of the next call.
                self.close()
                raise

    def close(self) -> None:
        """Abort the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self, may_connect: bool) -> _Connection:
        if self._connection is not None and self._connection.is_open:
            return self._connection
        was_lost = self._connection is None or not self._connection.is_for_one_call
        if was_lost and not may_connect:
            raise ConnectionResetError("the connection of the last call has ended")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                _Connection, self._host, self._port
            )
        self._connection = connection
        return connection


def _enable_keepalive(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


__all__ = ["ClientResponse", "HttpClient"]
