"""Hedged calls to a server that is silent, slow or resets connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from balsamstream.http.client import ClientResponse, HttpClient
from balsamstream.http.hedge import HedgedClient

HEDGE_S = 0.1
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """HTTP server that can be silent, slow or reset its connections."""

    def __init__(self) -> None:
        self.calls = 0
        self.is_silent = False
        self.delay_s = 0.0
        self.is_resetting = False

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            self.calls += 1
            if self.is_resetting:
                writer.transport.abort()
                return
            if self.is_silent:
                await asyncio.sleep(10)
            await asyncio.sleep(self.delay_s)
            writer.write(ANSWER)


def test_response_arrives_soon_after_a_silent_server_recovers() -> None:
    async def run() -> tuple[float, int, int]:
        server = Server()
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        server.is_silent = True
        call = asyncio.create_task(client.call("GET", "/", timeout_s=5.0))
        await asyncio.sleep(0.25)
        server.is_silent = False
        calls_before = server.calls
        recovered_at = time.monotonic()
        assert (await call).body == b"ok"
        took_s = time.monotonic() - recovered_at
        server.close()
        return took_s, calls_before, server.calls

    took_s, calls_before, calls = asyncio.run(run())
    assert took_s < 2 * HEDGE_S
    # Two or three attempts fit into the silence, by how late the timers fire.
    assert calls_before in (2, 3)
    assert calls == calls_before + 1


def test_slow_server_is_not_given_up() -> None:
    async def run() -> int:
        server = Server()
        server.delay_s = 0.35
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        assert (await client.call("GET", "/", timeout_s=5.0)).body == b"ok"
        server.close()
        return server.calls

    assert asyncio.run(run()) == 4


def test_fast_server_gets_each_call_once() -> None:
    async def run() -> int:
        server = Server()
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        for _ in range(5):
            await client.call("GET", "/", timeout_s=5.0)
        server.close()
        return server.calls

    assert asyncio.run(run()) == 5


def test_connection_error_is_raised_at_once() -> None:
    async def run() -> float:
        server = Server()
        server.is_resetting = True
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        started_at = time.monotonic()
        with pytest.raises(OSError):
            await client.call("GET", "/", timeout_s=5.0)
        server.close()
        return time.monotonic() - started_at

    assert asyncio.run(run()) < HEDGE_S


def test_call_to_a_silent_server_times_out() -> None:
    async def run() -> int:
        server = Server()
        server.is_silent = True
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        with pytest.raises(TimeoutError):
            await client.call("GET", "/", timeout_s=0.35)
        server.close()
        return server.calls

    assert asyncio.run(run()) <= 4


def test_urgent_call_recovers_sooner_and_spares_a_server_that_stays_silent() -> None:
    """Guards against a start that waits for a store which is back already."""

    async def run() -> tuple[float, int]:
        server = Server()
        server.is_silent = True
        client = HedgedClient("127.0.0.1", await server.start(), hedge_s=5.0)
        call = client.call("GET", "/", timeout_s=5.0, is_urgent=True)
        task = asyncio.create_task(call)
        await asyncio.sleep(2.0)
        server.is_silent = False
        calls_before = server.calls
        recovered_at = time.monotonic()
        assert (await task).body == b"ok"
        server.close()
        return time.monotonic() - recovered_at, calls_before

    took_s, calls = asyncio.run(run())
    # The next attempt is due after half of the call's age.
    assert took_s < 1.2
    assert calls <= 9


def test_attempts_that_fail_at_once_are_not_repeated_in_a_loop() -> None:
    """Guards against one call a round trip while an earlier attempt hangs."""

    async def run() -> int:
        server = Server()
        server.is_silent = True
        client = HedgedClient("127.0.0.1", await server.start(), HEDGE_S)
        task = asyncio.create_task(client.call("GET", "/", timeout_s=0.75))
        await asyncio.sleep(HEDGE_S / 2)
        server.is_resetting = True
        with pytest.raises(OSError):
            await task
        server.close()
        return server.calls

    assert asyncio.run(run()) <= 8


class AnsweredConnection:
    """Connection whose response has arrived but was not taken yet."""

    def __init__(self) -> None:
        self.is_open = True
        self.pending: asyncio.Future[ClientResponse] | None = None

    def send(self, _: bytes) -> asyncio.Future[ClientResponse]:
        """Return the future of the response."""
        self.pending = asyncio.get_running_loop().create_future()
        return self.pending

    def close(self) -> None:
        """End the connection."""
        self.is_open = False


@pytest.mark.parametrize("outcome", ["response", "error"])
def test_call_is_cancelled_though_its_outcome_arrives_at_the_same_moment(
    outcome: str,
) -> None:
    # The cancellation was lost, and a watcher of the store went on for ever, so that
    # its process did not end in time after a signal.
    async def run() -> bool:
        client = HttpClient("127.0.0.1", 1)
        connection = AnsweredConnection()
        client._connection = connection  # type: ignore[assignment]
        call = asyncio.create_task(client.call("GET", "/", timeout_s=5.0))
        await asyncio.sleep(0)
        assert connection.pending is not None
        if outcome == "response":
            connection.pending.set_result(ClientResponse(200, b""))
        else:
            connection.pending.set_exception(ConnectionResetError())
        call.cancel()
        await asyncio.wait([call])
        assert not connection.is_open
        return call.cancelled()

    assert asyncio.run(run())
