"""Callers that download documents in blocks (RFC 7959)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiocoap import Message
from aiocoap.numbers import codes

from .content import BLOCK_SIZE_EXPONENT, build_document
from .events import Outcome
from .exchange import Answer
from .routine import MAX_ATTEMPTS, Routine, finish_repeatable, is_success

if TYPE_CHECKING:
    from .routine import Attempt

MAX_BLOCKS: Final = 1_000


class Download(Routine):
    """A caller that downloads documents in blocks, each document over a new flow."""

    path = ""

    async def make_request(self) -> None:
        """Download one document."""
        request = self.name_request()
        identifier = f"{self.path}-{self.random.randrange(1_000)}"
        for number in range(1, MAX_ATTEMPTS + 1):
            attempt = self.start_attempt(request, number)
            is_last = number == MAX_ATTEMPTS or self.stopping.is_set()
            if await self._fetch(attempt, identifier, is_last) or is_last:
                break
        await self.renew_socket()

    async def _fetch(self, attempt: Attempt, identifier: str, is_last: bool) -> bool:
        document = b""
        transmissions = 0
        for number in range(MAX_BLOCKS):
            message = Message(
                code=codes.GET,
                uri_path=(self.path, identifier),
                uri_query=(f"id={attempt.request}", f"attempt={attempt.number}"),
                block2=(number, False, BLOCK_SIZE_EXPONENT),
            )
            reply = await self.socket.request(message)
            transmissions += reply.transmissions
            if not is_success(reply):
                return await finish_repeatable(self, attempt, reply, is_last)
            assert isinstance(reply, Answer)
            block = reply.message.opt.block2
            document += reply.message.payload
            if block is None or not block.more:
                break
        expected = build_document(self.path, identifier)
        self.check_answer(attempt.request, expected, document)
        self.end_attempt(attempt, Outcome.ANSWERED, "2.05 Content", transmissions)
        return True


class Sheet(Download):
    """A shop tablet that downloads label sheets."""

    kind = "sheet"
    path = "sheet"


class Guide(Download):
    """A bike shop that downloads fitting guides."""

    kind = "guide"
    path = "guide"


__all__ = ["Download", "Guide", "Sheet"]
