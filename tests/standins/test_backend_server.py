"""Tests of the backend server's answers, limits and recorded events."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from aiocoap import Message
from aiocoap.numbers import codes
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type

from standins.capacity import Limits
from standins.content import build_document
from standins.events import (
    ColdWork,
    Expired,
    Misdirected,
    ObservationEnded,
    Overloaded,
    Run,
    Started,
)
from standins.exchange import Answer

from .backend import WARM, RecordedBackend, open_caller, send_get

if TYPE_CHECKING:
    from pathlib import Path

FIT = ("height=120", "inseam=55", "id=r")


def build_order(message_id: int) -> bytes:
    payload = json.dumps({"id": "order-1", "attempt": 1}).encode()
    message = Message(
        code=codes.POST,
        _mtype=Type.CON,
        _mid=message_id,
        _token=b"t",
        uri_path=("basket",),
        payload=payload,
    )
    return message.encode()


def test_retransmission_runs_once_and_gets_the_same_answer(
    tmp_path: Path,
) -> None:
    async def run() -> list[bytes]:
        async with RecordedBackend(tmp_path).running() as backend:
            loop = asyncio.get_running_loop()
            answers: asyncio.Queue[bytes] = asyncio.Queue()

            class Receiver(asyncio.DatagramProtocol):
                def datagram_received(self, data: bytes, addr: object) -> None:
                    answers.put_nowait(data)

            transport, _ = await loop.create_datagram_endpoint(
                Receiver, remote_addr=backend.address
            )
            transport.sendto(build_order(7))
            first = await asyncio.wait_for(answers.get(), 2)
            transport.sendto(build_order(7))
            second = await asyncio.wait_for(answers.get(), 2)
            transport.close()
            assert len(backend.list_events(Run)) == 1
            return [first, second]

    first, second = asyncio.run(run())
    assert first == second
    body = json.loads(Message.decode(first).payload)
    assert (body["id"], body["attempt"], body["host"]) == ("order-1", 1, "host-1")


def test_document_is_complete_when_downloaded_in_blocks(tmp_path: Path) -> None:
    async def run() -> bytes:
        document = b""
        async with (
            RecordedBackend(tmp_path).running() as backend,
            open_caller(backend.address) as caller,
        ):
            more, number = True, 0
            while more:
                block2 = (number, False, 5)
                answer = await send_get(caller, "sheet", "jar-3", block2=block2)
                document += answer.payload
                more, number = answer.opt.block2.more, number + 1
        return document

    assert asyncio.run(run()) == build_document("sheet", "jar-3")


def test_request_for_another_service_is_recorded(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            RecordedBackend(tmp_path, services=["comptoir"]).running() as backend,
            open_caller(backend.address) as caller,
        ):
            assert (await send_get(caller, "guide", "x")).code == codes.NOT_FOUND
            assert [e.path for e in backend.list_events(Misdirected)] == ["guide/x"]
            assert not backend.list_events(Run)

    asyncio.run(run())


def test_request_past_its_deadline_is_not_run(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            RecordedBackend(tmp_path).running() as backend,
            open_caller(backend.address) as caller,
        ):
            message = Message(code=codes.GET, uri_path=("fit",), uri_query=FIT)
            deadline = OptionNumber(65000).create_option(value=b"\x00")
            message.opt.add_option(deadline)
            reply = await caller.request(message)
            assert isinstance(reply, Answer)
            assert reply.message.code == codes.SERVICE_UNAVAILABLE
            assert len(backend.list_events(Expired)) == 1
            assert not backend.list_events(Run)

    asyncio.run(run())


def test_cold_host_crashes_under_overload_and_recovers(tmp_path: Path) -> None:
    limits = Limits(slots=1, in_flight_per_slot=40, work_ms=20, cold_s=0.5, fall_s=0.1)

    async def run() -> None:
        async with (
            RecordedBackend(tmp_path, limits).running() as backend,
            open_caller(backend.address) as caller,
        ):
            asked = [send_get(caller, "fit", uri_query=FIT) for _ in range(4)]
            await asyncio.gather(*asked, return_exceptions=True)
            assert backend.list_events(ColdWork)[-1].in_flight == 3
            assert backend.list_events(Overloaded)
            starts = backend.list_events(Started)
            assert [start.announced for start in starts[:2]] == [True, False]
            await asyncio.sleep(limits.fall_s)
            assert (await send_get(caller, "chart")).code.is_successful()

    asyncio.run(run())


def test_restart_drops_observers_and_changes_the_incarnation(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            RecordedBackend(tmp_path).running() as backend,
            open_caller(backend.address) as caller,
        ):
            await send_get(caller, "stock", observe=0, uri_query=("board=b",))
            backend.backend_server.restart()
            (ended,) = backend.list_events(ObservationEnded)
            assert (ended.board, ended.reason) == ("b", "restart")
            first, second = backend.list_events(Started)
            assert first.incarnation != second.incarnation

    asyncio.run(run())


def test_reset_of_a_notification_ends_the_observation(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            RecordedBackend(tmp_path, WARM).running() as backend,
            open_caller(backend.address) as caller,
        ):
            # The caller does not observe the token, so it rejects notifications.
            await send_get(caller, "stock", observe=0, uri_query=("board=b",))
            for _ in range(40):
                await asyncio.sleep(0.05)
                if backend.list_events(ObservationEnded):
                    break
            assert backend.list_events(ObservationEnded)[0].reason == "reset"

    asyncio.run(run())


def test_health_page_reports_success_under_the_lie_fault(tmp_path: Path) -> None:
    async def run() -> None:
        async with RecordedBackend(tmp_path).running() as backend:
            backend.backend_server.faults.fail_requests = 1.0
            backend.backend_server.faults.lie = True
            async with open_caller(backend.address) as caller:
                assert not (await send_get(caller, "chart")).code.is_successful()
            assert backend.backend_server.describe_health().ok

    asyncio.run(run())
