"""CoAP client: confirmable requests and observations over one UDP socket."""

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
        Minimum time before the first retransmission, in seconds.
    ack_random_factor : float
        Ratio of the maximum to the minimum initial timeout.
    max_retransmit : int
        Maximum number of retransmissions of a message.
    separate_s : float
        Time to wait for a separate answer after an empty acknowledgement, in seconds.
    """

    ack_timeout_s: float = 2.0
    ack_random_factor: float = 1.5
    max_retransmit: int = 4
    separate_s: float = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request, and the transmissions that it took."""

    message: Message
    transmissions: int


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Outcome of a request that got no answer to any of its transmissions."""

    transmissions: int


Reply: TypeAlias = Answer | NoAnswer


@dataclass(slots=True)
class _Pending:
    """A request that waits for its answer."""

    message_id: int
    answered: asyncio.Future[Message]
    acknowledged: asyncio.Event


class CallerSocket(asyncio.DatagramProtocol):
    """A caller's UDP socket, connected to a service.

    Parameters
    ----------
    service : Address
        Virtual address of the service.
    timing : Timing
        Transmission parameters.
    seed : int
        Seed of tokens, message identifiers and timeouts.
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
        """Call `notify` for each notification with a token."""
        self._observations[token] = notify

    def cancel_observation(self, token: bytes) -> None:
        """Reject later notifications with a token by a reset."""
        self._observations.pop(token, None)

    def draw_token(self) -> bytes:
        """Draw the token for a request."""
        return self._random.randbytes(TOKEN_BYTES)

    async def request(self, message: Message) -> Reply:
        """Send a confirmable request and wait for its answer.

        Parameters
        ----------
        message : Message
            The request; its type and message identifier are set, and its token if it
            has none.

        Returns
        -------
        Reply
            The answer, or `NoAnswer` after the last retransmission.
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
        """Handle a datagram: match it to its request or observation."""
        message = decode_message(data)
        if message is None:
            return
        if message.code.is_response():
            self._handle_response(message)
            return
        if message.mtype == Type.ACK:
            self._handle_acknowledgement(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error; the retransmission covers the loss."""

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
