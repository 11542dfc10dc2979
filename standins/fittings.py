"""Callers in a fitting session."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from aiocoap import Message
from aiocoap.numbers import codes

from .content import choose_size
from .exchange import Answer
from .routine import (
    MOST_ATTEMPTS,
    FlowWatch,
    Routine,
    parse_json,
    read_place,
    settle_repeatable,
)

REQUESTS_PER_SESSION: Final = 40
CHART_EVERY: Final = 5


@dataclass(frozen=True, slots=True)
class Question:
    """What a bike shop asks for."""

    request: str
    path: str
    height_cm: int
    inseam_cm: int

    def build(self, attempt: int) -> Message:
        """Build the request of an attempt."""
        query = (
            f"height={self.height_cm}",
            f"inseam={self.inseam_cm}",
            f"id={self.request}",
            f"attempt={attempt}",
        )
        return Message(code=codes.GET, uri_path=(self.path,), uri_query=query)


class Fitting(Routine):
    """A bike shop's fitting session: size requests, and now and then the chart."""

    kind = "fit"

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments)
        self._flow = FlowWatch(self)
        self._left = REQUESTS_PER_SESSION

    async def make_request(self) -> None:
        """Ask for one size or chart."""
        if self._left == 0:
            await self._begin_session()
        self._left -= 1
        path = "chart" if self._left % CHART_EVERY == 0 else "fit"
        question = Question(
            request=self.name_request(),
            path=path,
            height_cm=self.random.randint(80, 180),
            inseam_cm=self.random.randint(30, 85),
        )
        for number in range(1, MOST_ATTEMPTS + 1):
            is_last = number == MOST_ATTEMPTS or self.stopping.is_set()
            if await self._ask(question, number, is_last) or is_last:
                return

    async def _ask(self, question: Question, number: int, is_last: bool) -> bool:
        attempt = self.begin(question.request, number)
        reply = await self.socket.request(question.build(number))
        if not await settle_repeatable(self, attempt, reply, is_last):
            return False
        assert isinstance(reply, Answer)
        self._check(question, parse_json(reply.message))
        return True

    async def _begin_session(self) -> None:
        self._flow.close()
        self._left = REQUESTS_PER_SESSION
        await self.renew_socket()

    def _check(self, question: Question, body: dict[str, Any]) -> None:
        request = question.request
        self.check_answer(request, request, body.get("id"))
        self.check_service(request, question.path, body.get("service"))
        if question.path == "fit":
            size = choose_size(question.height_cm, question.inseam_cm)
            self.check_answer(request, size, body.get("size"))
        self._flow.see(read_place(body))


__all__ = ["Fitting"]
