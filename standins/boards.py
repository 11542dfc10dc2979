"""Callers that observe a live stock board."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from aiocoap import Message
from aiocoap.numbers import codes

from .events import BreakReason
from .exchange import Answer
from .routine import (
    MAX_ATTEMPTS,
    FlowTracker,
    Routine,
    finish_repeatable,
    parse_json,
    read_origin,
)

REGISTER: Final = 0
DEREGISTER: Final = 1


class Board(Routine):
    """A shop tablet that observes a live stock board (RFC 7641)."""

    kind = "board"

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._flow = FlowTracker(self)
        self._notified = asyncio.Event()
        self._ended = False

    async def make_request(self) -> None:
        """Register as an observer, and follow the board until it breaks or the stop."""
        request = self.name_request()
        token = self.socket.draw_token()
        for number in range(1, MAX_ATTEMPTS + 1):
            self._ended = False
            self.socket.observe(token, self._handle_notification)
            if await self._register(request, number, token):
                await self._keep_open(token)
                return
            self.socket.cancel_observation(token)
            token = self.socket.draw_token()
            if self.stopping.is_set():
                return

    async def _register(self, request: str, number: int, token: bytes) -> bool:
        attempt = self.start_attempt(request, number)
        message = self._build(token, REGISTER, request)
        reply = await self.socket.request(message)
        is_last = number == MAX_ATTEMPTS or self.stopping.is_set()
        if not await finish_repeatable(self, attempt, reply, is_last):
            return False
        assert isinstance(reply, Answer)
        self._handle_notification(reply.message)
        return not self._ended

    async def _keep_open(self, token: bytes) -> None:
        while not self.stopping.is_set() and not self._ended:
            if not await self._wait_for_notification():
                self._flow.record_break(BreakReason.SILENT)
                break
        if self._ended:
            self._flow.record_break(BreakReason.ENDED)
        self.socket.cancel_observation(token)
        if self.stopping.is_set() and self._flow.is_established:
            self._flow.record_close()
            await self.socket.request(self._build(token, DEREGISTER, ""))

    async def _wait_for_notification(self) -> bool:
        self._notified.clear()
        stopped = asyncio.ensure_future(self.stopping.wait())
        notified = asyncio.ensure_future(self._notified.wait())
        done, pending = await asyncio.wait(
            {stopped, notified},
            timeout=self.pace.silence_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in pending:
            task.cancel()
        return bool(done)

    def _handle_notification(self, message: Message) -> None:
        if not message.code.is_successful():
            self._ended = True
            self._notified.set()
            return
        body = parse_json(message)
        self.check_answer(self.caller, self.caller, body.get("board"))
        self.check_service(self.caller, "stock", body.get("service"))
        self._flow.record_answer(read_origin(body))
        self._notified.set()

    def _build(self, token: bytes, observe: int, request: str) -> Message:
        return Message(
            code=codes.GET,
            _token=token,
            observe=observe,
            uri_path=("stock",),
            uri_query=(f"board={self.caller}", f"id={request}"),
        )


__all__ = ["Board"]
