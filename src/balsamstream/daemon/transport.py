"""Authenticated messages between processes of the system, over one UDP socket."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from balsamstream.core.identity import Address
from balsamstream.core.message import Changes
from balsamstream.kernel import Service
from balsamstream.wire.bundle import LENGTH_BYTES, decode_bundle, encode_bundle
from balsamstream.wire.codec import decode_message, encode_message
from balsamstream.wire.error import MalformedMessage
from balsamstream.wire.fragment import (
    FRAGMENT_TYPE,
    MAX_FRAGMENT_BYTES,
    Reassembler,
    fragment_message,
)
from balsamstream.wire.packet import ANSWER_TYPE, PACKET_TYPE, REFUSAL_TYPE
from balsamstream.wire.seal import CoarseClock, Key, Sealer, SealError

from .datagram import DatagramSocket

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamstream.core.identity import ProcessRef
    from balsamstream.core.message import Message

    from .metrics import Metrics
    from .settings import Key as KeySettings

MAX_CACHED_SOURCES: Final = 4_096
_FRAGMENT_START: Final = bytes((FRAGMENT_TYPE,))
_BUNDLED_TYPES: Final = (PACKET_TYPE, ANSWER_TYPE, REFUSAL_TYPE)


@dataclass(slots=True)
class _PendingBundle:
    """Encoded messages to be sent to one receiver, and their size as a bundle."""

    messages: list[bytes]
    size: int


class Transport(Service):
    """Seals and sends messages; opens those received and passes them to a handler.

    Parameters
    ----------
    ref : ProcessRef
        Name and incarnation of this process.
    address : Address
        Address at which messages are received.
    keys : sequence of settings.Key
        The first one seals sent messages; all open received ones.
    metrics : Metrics
        Counts lost datagrams and messages.
    """

    def __init__(
        self,
        ref: ProcessRef,
        address: Address,
        keys: Sequence[KeySettings],
        metrics: Metrics,
    ) -> None:
        self.address = address
        self._clock = CoarseClock(time.time(), time.monotonic())
        self._sealer = Sealer(ref, address, _convert_keys(keys), self._clock)
        self._metrics = metrics
        self._socket = DatagramSocket(
            "transport", address, self._handle_datagram, metrics
        )
        self._reassembler = Reassembler()
        self._addresses_by_source: dict[tuple[str, int], Address] = {}
        self._fragmented_sequence = 0
        self._pending: dict[Address, _PendingBundle] = {}
        self._handle_message: Callable[[Address, Message], None] | None = None
        self._before_batch: Callable[[], None] | None = None

    def set_handler(
        self,
        handle_message: Callable[[Address, Message], None],
        before_batch: Callable[[], None],
    ) -> None:
        """Set the receiver of messages, before `start`.

        Parameters
        ----------
        handle_message : callable
            Called with the sender and each message.
        before_batch : callable
            Called before each batch of datagrams.
        """
        self._handle_message = handle_message
        self._before_batch = before_batch

    async def start(self) -> None:
        """Bind the socket."""
        if self._before_batch is None:
            raise RuntimeError("the transport was started before set_handler")
        self._socket.open(self._before_batch)

    async def close(self) -> None:
        """Send the pending bundles and close the socket."""
        self.flush()
        self._socket.close()

    def replace_keys(self, keys: Sequence[KeySettings]) -> None:
        """Replace the keys that seal and open messages."""
        self._sealer.replace_keys(_convert_keys(keys))

    def tick(self, wall: float, monotonic: float) -> None:
        """Set the time, in seconds, drop old fragments and flush counts."""
        self._socket.flush_counts()
        self._clock.advance(wall, monotonic)
        self._reassembler.expire_incomplete(monotonic)

    def discard_queued(self) -> int:
        """Drop the datagrams queued in the socket; return their number."""
        return self._socket.discard_queued()

    def send(self, to: Address, message: Message) -> None:
        """Send a message; one that cannot be sent is counted as lost.

        Changes that would take too many fragments are sent without their later half,
        which the receiver then requests.
        """
        try:
            data = encode_message(message)
            if data[0] in _BUNDLED_TYPES:
                self._add_to_bundle(to, data)
            elif len(data) <= MAX_FRAGMENT_BYTES:
                self._socket.send(self._sealer.seal(to, data), to)
            else:
                self._send_fragments(to, data)
        except (MalformedMessage, OSError) as error:
            shorter = halve_changes(message)
            if shorter is not None:
                self.send(to, shorter)
                return
            self._metrics.count_loss("encode", error)

    def _add_to_bundle(self, to: Address, data: bytes) -> None:
        """Add a message to its receiver's bundle, sent at the end of the loop's step.

        Under load a batch leads to several messages for each receiver, which then
        share a seal and a system call.
        """
        size = len(data) + LENGTH_BYTES
        pending = self._pending.get(to)
        if pending is not None and pending.size + size <= MAX_FRAGMENT_BYTES:
            pending.messages.append(data)
            pending.size += size
            return
        if pending is not None:
            self._send_bundle(to, pending)
        elif not self._pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self._pending[to] = _PendingBundle([data], size)

    def flush(self) -> None:
        """Send all pending bundles."""
        pending, self._pending = self._pending, {}
        for to, bundle in pending.items():
            self._send_bundle(to, bundle)

    def _send_bundle(self, to: Address, bundle: _PendingBundle) -> None:
        data = encode_bundle(bundle.messages)
        try:
            self._socket.send(self._sealer.seal(to, data), to)
        except OSError as error:
            self._metrics.count_loss("encode", error)

    def _send_fragments(self, to: Address, data: bytes) -> None:
        self._fragmented_sequence += 1
        for fragment in fragment_message(data, self._fragmented_sequence):
            self._socket.send(self._sealer.seal(to, fragment), to)

    def _handle_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        sender = self._addresses_by_source.get(source) or self._cache_source(source)
        try:
            data = self._sealer.open(sender, datagram)
        except SealError as error:
            self._metrics.count_loss(f"seal_{error.reason}", error)
            return
        try:
            for part in decode_bundle(data):
                self._handle_part(sender, part)
        except MalformedMessage as error:
            self._metrics.count_loss("decode", error)

    def _handle_part(self, sender: Address, data: bytes) -> None:
        if data.startswith(_FRAGMENT_START):
            now = self._clock.monotonic_s
            joined = self._reassembler.add(sender, data, now)
            if joined is None:
                return
            data = joined
        message = decode_message(data)
        if self._handle_message is None:
            return
        try:
            self._handle_message(sender, message)
        except Exception as error:
            # The other messages of the datagram are still handled.
            self._metrics.count_loss("transport_handler", error)

    def _cache_source(self, source: tuple[str, int]) -> Address:
        if len(self._addresses_by_source) >= MAX_CACHED_SOURCES:
            self._addresses_by_source.clear()
        address = Address(*source)
        self._addresses_by_source[source] = address
        return address


def halve_changes(message: Message) -> Changes | None:
    """Return the earlier half of changes, or None if they cannot be split.

    A full set cannot be split: objects that it lacks count as deleted.
    """
    if not isinstance(message, Changes) or message.full:
        return None
    found = message.objects
    half = len(found) // 2
    while half and found[half - 1].version == found[half].version:
        # Objects of the same version are requested together.
        half -= 1
    if half == 0:
        return None
    objects = found[:half]
    return replace(message, objects=objects, up_to=objects[-1].version, more=True)


def _convert_keys(keys: Sequence[KeySettings]) -> list[Key]:
    return [Key(key.id, key.secret) for key in keys]


__all__ = ["Transport", "halve_changes"]
