"""Log, metrics, HTTP client and server, and task restarts of a node."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

import pytest

from balsamstream.http.client import HttpClient
from balsamstream.http.server import HttpServer, Request, Response
from balsamstream.node.events import NodeEvents
from balsamstream.node.logs import LINE_BURST, MAX_BUFFER_BYTES, Logs
from balsamstream.node.metrics import Metrics
from balsamstream.node.service import run_with_restarts
from balsamstream.node.sockets import open_listener

if TYPE_CHECKING:
    from collections.abc import Callable


class Reader:
    """Reader of the log that can stop reading."""

    def __init__(self) -> None:
        self.text = ""
        self.is_reading = True

    def write(self, data: bytes) -> int:
        """Accept all bytes, or raise BlockingIOError while not reading."""
        if not self.is_reading:
            raise BlockingIOError(errno.EAGAIN, "full")
        self.text += data.decode()
        return len(data)


class Clock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time, in seconds."""
        return self.now


def test_line_has_its_fields() -> None:
    reader = Reader()
    logs = Logs("front-1", reader.write, Clock())
    logs.write("placed", flow="a>b", reason="two words", age_s=0.5, nothing=None)
    logs.flush()
    assert ' event=placed node=front-1 flow=a>b reason="two words"' in reader.text
    assert reader.text.startswith("time=")
    assert reader.text.endswith("age_s=0.5 nothing=\n")


def test_lines_above_the_rate_limit_are_counted() -> None:
    reader, clock = Reader(), Clock()
    logs = Logs("n", reader.write, clock)
    for _ in range(int(LINE_BURST) + 100):
        logs.write("placed")
    logs.write("other")
    clock.now += 1.0
    logs.write("placed")
    logs.flush()
    lines = reader.text.splitlines()
    assert len(lines) == LINE_BURST + 2
    assert "event=other" in lines[-2]
    assert lines[-1].endswith("dropped_before=100")


def test_blocked_reader_costs_lines_but_no_memory() -> None:
    reader, clock = Reader(), Clock()
    logs = Logs("n", reader.write, clock)
    reader.is_reading = False
    for number in range(20_000):
        clock.now += 0.01
        logs.write("placed", text="x" * 50, number=number)
        logs.flush()
    assert len(logs._buffer) <= MAX_BUFFER_BYTES
    reader.is_reading = True
    logs.flush()
    logs.flush()
    assert "event=log_lines_lost" in reader.text


def test_closed_output_is_tolerated() -> None:
    def write(_data: bytes) -> int:
        raise BrokenPipeError

    logs = Logs("n", write, Clock())
    logs.write("placed")
    logs.flush()
    assert not logs._buffer


def test_metrics_are_served_as_text() -> None:
    metrics = Metrics()
    events = NodeEvents(Logs("n", lambda d: len(d)), metrics, logs_flows=False)
    events.emit_for_flow("placed", b"\0" * 12)
    events.observe_answer(0.03)
    metrics.set_gauge("hosts", 3)
    text = metrics.render().decode()
    assert "balsamstream_flows_placed_total 1.0" in text
    assert 'balsamstream_answer_seconds_bucket{le="0.05"} 1.0' in text
    assert 'balsamstream_answer_seconds_bucket{le="+Inf"} 1.0' in text
    assert "balsamstream_hosts 3.0" in text


async def serve(handler: object) -> tuple[HttpServer, list[str]]:
    failures: list[str] = []
    server = HttpServer(
        "127.0.0.1",
        0,
        handler,  # type: ignore[arg-type]
        lambda path, error: failures.append(f"{path} {error}"),
        open_listener,
    )
    await server.start()
    return server, failures


def test_requests_are_served_on_one_connection() -> None:
    def answer(request: Request) -> Response:
        return Response(
            200, request.method.encode() + request.path.encode() + request.body
        )

    async def run() -> list[bytes]:
        server, _ = await serve(answer)
        client = HttpClient("127.0.0.1", server.port)
        bodies = [
            (await client.call("PUT", "/a?x=1", b"body", timeout_s=1.0)).body
            for _ in range(3)
        ]
        client.close()
        await server.close()
        return bodies

    assert asyncio.run(run()) == [b"PUT/abody"] * 3


def test_failing_handler_is_answered_with_an_error() -> None:
    def answer(_request: Request) -> Response:
        raise RuntimeError("no page")

    async def run() -> tuple[int, list[str]]:
        server, failures = await serve(answer)
        client = HttpClient("127.0.0.1", server.port)
        response = await client.call("GET", "/a", timeout_s=1.0)
        client.close()
        await server.close()
        return response.status, failures

    assert asyncio.run(run()) == (500, ["/a no page"])


@pytest.mark.parametrize(
    "garbage",
    [b"\0" * 100, b"GET\r\n\r\n", b"PUT /a HTTP/9.9\r\n\r\n", b"x" * 200_000],
)
def test_malformed_request_does_not_affect_other_connections(garbage: bytes) -> None:
    async def run() -> int:
        server, _ = await serve(lambda _request: Response(200))
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(garbage)
        client = HttpClient("127.0.0.1", server.port)
        response = await client.call("GET", "/", timeout_s=1.0)
        client.close()
        writer.close()
        await server.close()
        return response.status

    assert asyncio.run(run()) == 200


def test_call_to_an_unresponsive_server_times_out() -> None:
    async def hold(
        _reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(10)

    async def run() -> None:
        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient("127.0.0.1", port)
        with pytest.raises(TimeoutError):
            await client.call("GET", "/", timeout_s=0.2)
        server.close()

    asyncio.run(run())


def test_connection_lost_while_connecting_raises_an_os_error() -> None:
    # Found by the soak, seeds 3 and 4: the error ended the task that watched the store.
    async def run() -> list[Exception]:
        loop = asyncio.get_running_loop()
        errors: list[Exception] = []
        client = HttpClient("127.0.0.1", 9)

        async def connect(
            factory: Callable[[], asyncio.Protocol], *_address: object
        ) -> tuple[None, asyncio.Protocol]:
            protocol = factory()
            protocol.connection_lost(None)
            return None, protocol

        loop.create_connection = connect  # type: ignore[assignment,method-assign]
        try:
            await client.call("GET", "/", timeout_s=0.2)
        except Exception as error:
            errors.append(error)
        return errors

    (error,) = asyncio.run(run())
    assert isinstance(error, OSError)


def test_failed_task_is_restarted() -> None:
    async def run() -> tuple[int, int]:
        metrics = Metrics()
        events = NodeEvents(Logs("n", lambda d: len(d)), metrics, logs_flows=False)
        runs = 0

        async def work() -> None:
            nonlocal runs
            runs += 1
            raise RuntimeError("fault")

        task = asyncio.create_task(
            run_with_restarts(work, "work", events, delay_s=0.01)
        )
        await asyncio.sleep(0.1)
        task.cancel()
        return runs, metrics.get_count("errors")

    runs, errors = asyncio.run(run())
    assert runs >= 3
    assert errors >= 3


def test_buffer_is_bounded_in_bytes_whatever_the_characters() -> None:
    reader, clock = Reader(), Clock()
    logs = Logs("n", reader.write, clock)
    reader.is_reading = False
    for _ in range(20_000):
        clock.now += 0.01
        logs.write("placed", text="\u00e9" * 100)
    assert len(logs._buffer) <= MAX_BUFFER_BYTES


def test_count_of_dropped_lines_survives_a_full_buffer() -> None:
    reader, clock = Reader(), Clock()
    logs = Logs("n", reader.write, clock)
    for _ in range(int(LINE_BURST) + 100):
        logs.write("placed")
    logs.flush()
    reader.is_reading = False
    logs._buffer += b"x" * (MAX_BUFFER_BYTES - 10) + b"\n"
    clock.now += 1.0
    logs.write("placed")
    reader.is_reading = True
    logs.flush()
    clock.now += 1.0
    logs.write("placed")
    logs.flush()
    assert reader.text.rstrip().endswith("dropped_before=100")
