"""Callers that hold fitting sessions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from aiocoap import Message
from aiocoap.numbers import codes

from .content import choose_size
from .exchange import Answer
from .routine import (
    MAX_ATTEMPTS,
    FlowTracker,
    Routine,
    finish_repeatable,
    parse_json,
    read_origin,
)

REQUESTS_PER_SESSION: Final = 40
CHART_EVERY: Final = 5


@dataclass(frozen=True, slots=True)
class FittingRequest:
    """Contents of a request for a size or the chart."""

    request: str
    path: str
    height_cm: int
    inseam_cm: int

    def build(self, attempt: int) -> Message:
        """Build the CoAP message of an attempt."""
        query = (
            f"height={self.height_cm}",
            f"inseam={self.inseam_cm}",
            f"id={self.request}",
            f"attempt={attempt}",
        )
        return Message(code=codes.GET, uri_path=(self.path,), uri_query=query)


class Fitting(Routine):
    """A bike shop in fitting sessions of size requests and a chart at intervals."""

    kind = "fit"

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._flow = FlowTracker(self)
        self._requests_left = REQUESTS_PER_SESSION

    async def make_request(self) -> None:
        """Request a size or the chart."""
        if self._requests_left == 0:
            await self._start_session()
        self._requests_left -= 1
        path = "chart" if self._requests_left % CHART_EVERY == 0 else "fit"
        fitting_request = FittingRequest(
            request=self.name_request(),
            path=path,
            height_cm=self.random.randint(80, 180),
            inseam_cm=self.random.randint(30, 85),
        )
        for number in range(1, MAX_ATTEMPTS + 1):
            is_last = number == MAX_ATTEMPTS or self.stopping.is_set()
            if await self._send_request(fitting_request, number, is_last) or is_last:
                return

    async def _send_request(
        self, fitting_request: FittingRequest, number: int, is_last: bool
    ) -> bool:
        attempt = self.start_attempt(fitting_request.request, number)
        reply = await self.socket.request(fitting_request.build(number))
        if not await finish_repeatable(self, attempt, reply, is_last):
            return False
        assert isinstance(reply, Answer)
        self._check(fitting_request, parse_json(reply.message))
        return True

    async def _start_session(self) -> None:
        self._flow.record_close()
        self._requests_left = REQUESTS_PER_SESSION
        await self.renew_socket()

    def _check(self, fitting_request: FittingRequest, body: dict[str, Any]) -> None:
        request = fitting_request.request
        self.check_answer(request, request, body.get("id"))
        self.check_service(request, fitting_request.path, body.get("service"))
        if fitting_request.path == "fit":
            size = choose_size(fitting_request.height_cm, fitting_request.inseam_cm)
            self.check_answer(request, size, body.get("size"))
        self._flow.record_answer(read_origin(body))


__all__ = ["Fitting"]
