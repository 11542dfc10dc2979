"""Calls that may not be made over another connection than the last one."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from balsamstream.http.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEPT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def run_server(
    answer: bytes,
) -> AsyncIterator[tuple[HttpClient, list[asyncio.StreamWriter]]]:
    """Serve an answer to each request; yield a client and the open connections."""
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer)
                if answer is CLOSED:
                    writer.close()
                    return

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = HttpClient("127.0.0.1", server.sockets[0].getsockname()[1])
    try:
        yield client, writers
    finally:
        client.close()
        server.close()


async def call_again(client: HttpClient) -> bytes:
    response = await client.call("GET", "/", timeout_s=TIMEOUT_S, may_connect=False)
    return response.body


def test_call_goes_over_the_connection_of_the_last_one() -> None:
    async def run() -> int:
        async with run_server(KEPT) as (client, writers):
            await client.call("GET", "/", timeout_s=TIMEOUT_S)
            assert await call_again(client) == b"ok"
            return len(writers)

    assert asyncio.run(run()) == 1


def test_call_fails_if_the_connection_was_lost() -> None:
    async def run() -> None:
        async with run_server(KEPT) as (client, writers):
            await client.call("GET", "/", timeout_s=TIMEOUT_S)
            writers[0].transport.abort()
            await asyncio.sleep(0.05)
            with pytest.raises(ConnectionResetError):
                await call_again(client)

    asyncio.run(run())


def test_call_fails_without_an_earlier_one() -> None:
    async def run() -> None:
        async with run_server(KEPT) as (client, _):
            with pytest.raises(ConnectionResetError):
                await call_again(client)

    asyncio.run(run())


def test_server_that_ends_each_connection_is_called_again() -> None:
    async def run() -> bytes:
        async with run_server(CLOSED) as (client, _):
            await client.call("GET", "/", timeout_s=TIMEOUT_S)
            await asyncio.sleep(0.05)
            return await call_again(client)

    assert asyncio.run(run()) == b"ok"


def test_calls_at_the_same_time_get_their_own_responses() -> None:
    """Guards against a response that is taken for that of another task's call."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(0.02)
                path = head.split()[1]
                size = b"%d" % len(path)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: " + size + b"\r\n\r\n" + path
                )

    async def run() -> list[bytes]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = HttpClient("127.0.0.1", server.sockets[0].getsockname()[1])
        await client.call("GET", "/first", timeout_s=TIMEOUT_S)
        paths = [f"/call-{number}" for number in range(4)]
        calls = [client.call("GET", path, timeout_s=TIMEOUT_S) for path in paths]
        responses = await asyncio.gather(*calls)
        client.close()
        server.close()
        return [response.body for response in responses]

    assert asyncio.run(run()) == [b"/call-%d" % number for number in range(4)]
