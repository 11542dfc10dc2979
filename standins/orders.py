"""Callers that send basket orders."""

from __future__ import annotations

import json
from typing import Any

from aiocoap import Message
from aiocoap.numbers import codes

from .content import compute_price
from .events import Outcome
from .exchange import Answer, NoAnswer, Reply
from .routine import (
    Attempt,
    Routine,
    classify_failure,
    is_refusal,
    parse_json,
    read_max_age_s,
)


class Basket(Routine):
    """A shop tablet that sends basket orders, which are not idempotent."""

    kind = "basket"

    async def make_request(self) -> None:
        """Send an order; a refused attempt is repeated as a new attempt."""
        order = self.name_request()
        number = 0
        while True:
            number += 1
            attempt = self.start_attempt(order, number)
            reply = await self.socket.request(self._build(order, number))
            max_age_s = self._finish_attempt(attempt, reply)
            if max_age_s is None or self.stopping.is_set():
                return
            await self.pause(max_age_s)

    def _finish_attempt(self, attempt: Attempt, reply: Reply) -> int | None:
        match reply:
            case NoAnswer(transmissions):
                self.end_attempt(attempt, Outcome.LOST, "silence", transmissions)
            case Answer(message, transmissions) if is_refusal(message):
                self.end_attempt(
                    attempt, Outcome.REFUSED, str(message.code), transmissions
                )
                return read_max_age_s(message)
            case Answer(message, transmissions) if message.code.is_successful():
                self._check(attempt, parse_json(message))
                self.end_attempt(
                    attempt, Outcome.ANSWERED, str(message.code), transmissions
                )
            case Answer(message, transmissions):
                outcome = classify_failure(message)
                self.end_attempt(attempt, outcome, str(message.code), transmissions)
        return None

    def _check(self, attempt: Attempt, body: dict[str, Any]) -> None:
        attempt.host = str(body.get("host"))
        expected = (attempt.request, attempt.number, compute_price(attempt.request))
        got = (body.get("id"), body.get("attempt"), body.get("price"))
        self.check_answer(attempt.request, expected, got)
        self.check_service(attempt.request, "basket", body.get("service"))

    def _build(self, order: str, number: int) -> Message:
        body = {"id": order, "attempt": number, "weight_g": 50 + number}
        return Message(
            code=codes.POST, uri_path=("basket",), payload=json.dumps(body).encode()
        )


__all__ = ["Basket"]
