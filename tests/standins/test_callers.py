"""Tests of what callers record of answers, refusals and missing answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiocoap.numbers import codes

from standins.addresses import LOOPBACK, Address
from standins.boards import Board
from standins.coap import build_answer, decode_message
from standins.downloads import Sheet
from standins.events import (
    Crossed,
    Event,
    Finished,
    FlowBroken,
    RecordFile,
    read_events,
)
from standins.fittings import Fitting
from standins.orders import Basket
from standins.routine import Pace, Routine
from standins.serving import drain_socket, open_datagram_socket

from .backend import FAST, RecordedBackend

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from aiocoap import Message

PACE = Pace(interval_s=0.02, silence_s=1.6)


async def run_routine(
    routine_type: type[Routine], service: Address, directory: Path, duration_s: float
) -> list[Event]:
    path = directory / "caller.jsonl"
    record = RecordFile(path)
    routine = routine_type("caller-1", service, FAST, PACE, record, 1)
    await routine.start()
    task = asyncio.create_task(routine.run())
    await asyncio.sleep(duration_s)
    routine.stopping.set()
    await task
    routine.close()
    record.close()
    return list(read_events(path))


def list_outcomes(events: list[Event]) -> list[tuple[str, int, str]]:
    return [
        (event.request, event.attempt, event.outcome)
        for event in events
        if isinstance(event, Finished)
    ]


class ScriptedService:
    """A service whose answers are built by the test.

    Parameters
    ----------
    answer : callable
        Builds the answer from the request and its number; None for no answer.
    """

    def __init__(self, answer: Callable[[int, Message], Message | None]) -> None:
        self.requests: list[Message] = []
        self._answer = answer
        self._socket = open_datagram_socket((LOOPBACK, 0))

    def start(self) -> Address:
        """Start answering; return the address."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, drain_socket, self._socket, self._handle_datagram)
        address: Address = self._socket.getsockname()
        return address

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _handle_datagram(self, datagram: bytes, source: Address) -> None:
        message = decode_message(datagram)
        assert message is not None
        self.requests.append(message)
        answer = self._answer(len(self.requests), message)
        if answer is not None:
            self._socket.sendto(answer.encode(), source)


def run_basket(
    directory: Path, answer: Callable[[int, Message], Message | None]
) -> tuple[list[Event], ScriptedService]:
    async def run() -> tuple[list[Event], ScriptedService]:
        script = ScriptedService(answer)
        events = await run_routine(Basket, script.start(), directory, 0.05)
        script.close()
        return events, script

    return asyncio.run(run())


def test_callers_of_each_kind_are_answered(tmp_path: Path) -> None:
    async def run(routine_type: type[Routine]) -> list[Event]:
        async with RecordedBackend(tmp_path).running() as backend:
            return await run_routine(routine_type, backend.address, tmp_path, 0.3)

    for routine_type in (Board, Basket, Sheet, Fitting):
        events = asyncio.run(run(routine_type))
        outcomes = {outcome for _, _, outcome in list_outcomes(events)}
        assert outcomes == {"answered"}
        assert not [event for event in events if isinstance(event, Crossed)]


def test_refused_order_is_sent_as_a_new_attempt(tmp_path: Path) -> None:
    def answer(_number: int, message: Message) -> Message:
        refusal = build_answer(message, codes.SERVICE_UNAVAILABLE)
        refusal.opt.max_age = 0
        return refusal

    events, script = run_basket(tmp_path, answer)
    outcomes = list_outcomes(events)
    assert outcomes[:2] == [("caller-1-1", 1, "refused"), ("caller-1-1", 2, "refused")]
    first, second = script.requests[:2]
    assert first.mid != second.mid
    assert first.token != second.token


def test_order_without_answer_keeps_its_message_id_and_is_not_repeated(
    tmp_path: Path,
) -> None:
    events, script = run_basket(tmp_path, lambda _number, _message: None)
    assert list_outcomes(events) == [("caller-1-1", 1, "lost")]
    assert len(script.requests) == FAST.max_retransmit + 1
    assert len({message.mid for message in script.requests}) == 1


def test_order_that_may_have_run_is_not_repeated(tmp_path: Path) -> None:
    def answer(_number: int, message: Message) -> Message:
        return build_answer(message, codes.GATEWAY_TIMEOUT)

    events, _ = run_basket(tmp_path, answer)
    assert {(number, outcome) for _, number, outcome in list_outcomes(events)} == {
        (1, "unknown")
    }


def test_answer_to_another_order_counts_as_crossed(tmp_path: Path) -> None:
    def answer(_number: int, message: Message) -> Message:
        payload = b'{"service": "comptoir", "id": "other", "attempt": 1, "price": 1}'
        return build_answer(message, codes.CHANGED, payload)

    events, _ = run_basket(tmp_path, answer)
    assert any(isinstance(event, Crossed) for event in events)


def test_board_records_where_its_flow_was_when_it_broke(tmp_path: Path) -> None:
    async def run() -> list[Event]:
        async with RecordedBackend(tmp_path).running() as backend:
            loop = asyncio.get_running_loop()
            loop.call_later(0.5, backend.backend_server.restart)
            return await run_routine(Board, backend.address, tmp_path, 3.0)

    events = asyncio.run(run())
    broken: list[Any] = [event for event in events if isinstance(event, FlowBroken)]
    assert [(event.host, event.reason) for event in broken] == [("host-1", "silent")]
    assert len([e for e in events if isinstance(e, Finished)]) == 2
