"""A caller's side of CoAP: confirmable exchanges and observations on one socket."""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

from aiocoap.numbers.types import Type

from .coap import MessageIds, build_empty, decode_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiocoap import Message

    from .addresses import Address

TOKEN_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class Timing:
    """Transmission parameters of RFC 7252, section 4.8.

    Attributes
    ----------
    ack_timeout_s : float
        Least time before the first retransmission.
    ack_random_factor : float
        Factor between the least and the longest first time-out.
    max_retransmit : int
        Retransmissions of one message.
    separate_s : float
        Time to wait for an answer that was acknowledged ahead of it.
    """

    ack_timeout_s: float = 2.0
    ack_random_factor: float = 1.5
    max_retransmit: int = 4
    separate_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer that matches its request."""

    message: Message
    transmissions: int


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer to any transmission of a request."""

    transmissions: int


Reply: TypeAlias = Answer | NoAnswer


@dataclass(slots=True)
class _Pending:
    """A request that waits for its answer."""

    message_id: int
    answered: asyncio.Future[Message]
    acknowledged: asyncio.Event


class CallerSocket(asyncio.DatagramProtocol):
    """One caller's UDP socket, connected to a service.

    Parameters
    ----------
    service : Address
        Virtual address of the service.
    timing : Timing
        Transmission parameters.
    seed : int
        Seed of tokens, identifiers and time-outs.
    """

    def __init__(self, service: Address, timing: Timing, seed: int) -> None:
        self._service = service
        self._timing = timing
        self._random = random.Random(seed)
        self._ids = MessageIds(self._random.randrange(1 << 16))
        self._pending: dict[bytes, _Pending] = {}
        self._observations: dict[bytes, Callable[[Message], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=self._service, family=socket.AF_INET
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def observe(self, token: bytes, notify: Callable[[Message], None]) -> None:
        """Have the notifications with a token handed over."""
        self._observations[token] = notify

    def cancel_observation(self, token: bytes) -> None:
        """Reject later notifications with a token."""
        self._observations.pop(token, None)

    def draw_token(self) -> bytes:
        """Draw the token for a request."""
        return self._random.randbytes(TOKEN_BYTES)

    async def request(self, message: Message) -> Reply:
        """Send a confirmable request and wait for its answer.

        Parameters
        ----------
        message : Message
            The request; its type, identifier and, if it has none, its token are set.

        Returns
        -------
        Reply
            The answer, or silence after the last retransmission.
        """
        message.mtype = Type.CON
        message.mid = self._ids.draw()
        message.token = message.token or self.draw_token()
        loop = asyncio.get_running_loop()
        pending = _Pending(message.mid, loop.create_future(), asyncio.Event())
        self._pending[message.token] = pending
        try:
            return await self._transmit(message.encode(), pending)
        finally:
            del self._pending[message.token]

    async def _transmit(self, datagram: bytes, pending: _Pending) -> Reply:
        spread = self._random.uniform(1.0, self._timing.ack_random_factor)
        timeout_s = self._timing.ack_timeout_s * spread
        transmissions = 0
        for _ in range(self._timing.max_retransmit + 1):
            transmissions += 1
            self._send(datagram)
            message = await _wait_for_answer(pending, timeout_s)
            if message is not None:
                return Answer(message, transmissions)
            if pending.acknowledged.is_set():
                break
            timeout_s *= 2
        if pending.acknowledged.is_set():
            message = await _wait_for_answer(pending, self._timing.separate_s)
            if message is not None:
                return Answer(message, transmissions)
        return NoAnswer(transmissions)

    def datagram_received(self, data: bytes, _addr: Address) -> None:
        """Match a datagram to its request or observation."""
        message = decode_message(data)
        if message is None:
            return
        if message.code.is_response():
            self._handle_response(message)
            return
        if message.mtype == Type.ACK:
            self._handle_acknowledgement(message)

    def error_received(self, exc: Exception) -> None:
        """Go on after an ICMP error; the retransmission sees to it."""

    def _handle_acknowledgement(self, message: Message) -> None:
        for pending in self._pending.values():
            if pending.message_id == message.mid:
                pending.acknowledged.set()

    def _handle_response(self, message: Message) -> None:
        pending = self._pending.get(message.token)
        notify = self._observations.get(message.token)
        if pending is None and notify is None:
            self._reject(message)
            return
        if message.mtype == Type.CON:
            self._send(build_empty(Type.ACK, message.mid))
        if pending is not None:
            self._complete(pending, message)
            return
        if notify is not None and message.mtype != Type.ACK:
            notify(message)

    def _complete(self, pending: _Pending, message: Message) -> None:
        if message.mtype == Type.ACK and message.mid != pending.message_id:
            return
        if not pending.answered.done():
            pending.answered.set_result(message)

    def _reject(self, message: Message) -> None:
        if message.mtype != Type.ACK:
            self._send(build_empty(Type.RST, message.mid))

    def _send(self, datagram: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram)


async def _wait_for_answer(pending: _Pending, timeout_s: float) -> Message | None:
    acknowledged = asyncio.ensure_future(pending.acknowledged.wait())
    waiting = {pending.answered}
    if not pending.acknowledged.is_set():
        waiting.add(acknowledged)
    try:
        await asyncio.wait(
            waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        acknowledged.cancel()
    return pending.answered.result() if pending.answered.done() else None


__all__ = ["Answer", "CallerSocket", "Reply", "NoAnswer", "Timing"]
