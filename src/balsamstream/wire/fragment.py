"""Fragmentation of large messages: compressed, split and reassembled."""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .control import MAX_CONTROL_BYTES
from .error import MalformedMessage

if TYPE_CHECKING:
    from collections.abc import Hashable

FRAGMENT_TYPE: Final = 4
MAX_FRAGMENT_BYTES: Final = 1_200
"""Maximum size of a fragment with its header; a larger message is fragmented."""

MAX_FRAGMENTS: Final = 96
"""The default receive buffer of Linux holds twice as many."""

MAX_PARTIAL_PER_SENDER: Final = 4
MAX_SENDERS: Final = 64
MAX_PARTIAL_BYTES: Final = 4_194_304
REASSEMBLY_TIMEOUT_S: Final = 3.0

_HEADER: Final = struct.Struct("!BIHH")
CHUNK_BYTES: Final = MAX_FRAGMENT_BYTES - _HEADER.size


def fragment_message(data: bytes, sequence: int) -> list[bytes]:
    """Split a message into fragments, or leave it whole if it fits into one datagram.

    Parameters
    ----------
    data : bytes
        The message.
    sequence : int
        Number that distinguishes the sender's messages; the low 32 bits are sent.

    Raises
    ------
    MalformedMessage
        If the message needs more than ``MAX_FRAGMENTS`` or exceeds
        ``MAX_CONTROL_BYTES``.
    """
    if len(data) <= MAX_FRAGMENT_BYTES:
        return [data]
    packed = zlib.compress(data, 1)
    count = -(-len(packed) // CHUNK_BYTES)
    if count > MAX_FRAGMENTS or len(data) > MAX_CONTROL_BYTES:
        raise MalformedMessage("too-many-fragments")
    fragments = []
    for index in range(count):
        chunk = packed[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        header = _HEADER.pack(FRAGMENT_TYPE, sequence & 0xFFFFFFFF, index, count)
        fragments.append(header + chunk)
    return fragments


@dataclass(slots=True)
class _Partial:
    """Fragments of one incomplete message."""

    started_at: float
    count: int
    chunks: dict[int, bytes] = field(default_factory=dict)


class Reassembler:
    """Reassembles messages; bounded in senders, messages, bytes and age.

    While more than ``MAX_PARTIAL_BYTES`` are held for all senders, fragments are
    refused.
    """

    def __init__(self) -> None:
        self.partial_bytes = 0
        self._senders: OrderedDict[Hashable, OrderedDict[int, _Partial]] = OrderedDict()

    def __len__(self) -> int:
        return sum(len(partials) for partials in self._senders.values())

    def add(self, sender: Hashable, fragment: bytes, now: float) -> bytes | None:
        """Store a fragment; return the message once it is complete, else None.

        Raises
        ------
        MalformedMessage
            If the bytes are not a valid fragment, the fragments do not decompress to a
            message, or too many bytes are held.
        """
        sequence, index, count = _read_header(fragment)
        if self.partial_bytes > MAX_PARTIAL_BYTES:
            raise MalformedMessage("fragments-full")
        partials = self._get_partials(sender)
        partial = partials.get(sequence)
        if partial is not None and (
            partial.count != count or _is_expired(partial, now)
        ):
            self._discard(partials, sequence)
            partial = None
        if partial is None:
            partial = _Partial(now, count)
            partials[sequence] = partial
        if len(partials) > MAX_PARTIAL_PER_SENDER:
            self._discard(partials, next(iter(partials)))
        if index not in partial.chunks:
            partial.chunks[index] = fragment[_HEADER.size :]
            self.partial_bytes += len(partial.chunks[index])
        if len(partial.chunks) < count:
            return None
        self._discard(partials, sequence)
        return _join(partial)

    def expire_incomplete(self, now: float) -> None:
        """Drop messages that are incomplete after ``REASSEMBLY_TIMEOUT_S``."""
        for sender, partials in list(self._senders.items()):
            for sequence, partial in list(partials.items()):
                if _is_expired(partial, now):
                    self._discard(partials, sequence)
            if not partials:
                del self._senders[sender]

    def _get_partials(self, sender: Hashable) -> OrderedDict[int, _Partial]:
        partials = self._senders.get(sender)
        if partials is not None:
            self._senders.move_to_end(sender)
            return partials
        if len(self._senders) >= MAX_SENDERS:
            oldest = next(iter(self._senders))
            self._discard_sender(oldest)
        partials = OrderedDict()
        self._senders[sender] = partials
        return partials

    def _discard_sender(self, sender: Hashable) -> None:
        partials = self._senders.pop(sender)
        for sequence in list(partials):
            self._discard(partials, sequence)

    def _discard(self, partials: OrderedDict[int, _Partial], sequence: int) -> None:
        partial = partials.pop(sequence)
        self.partial_bytes -= sum(map(len, partial.chunks.values()))


def _is_expired(partial: _Partial, now: float) -> bool:
    return now - partial.started_at > REASSEMBLY_TIMEOUT_S


def _read_header(fragment: bytes) -> tuple[int, int, int]:
    try:
        _, sequence, index, count = _HEADER.unpack_from(fragment)
    except struct.error as error:
        raise MalformedMessage("fragment") from error
    if not 0 < count <= MAX_FRAGMENTS or index >= count:
        raise MalformedMessage("fragment")
    if len(fragment) > MAX_FRAGMENT_BYTES:
        raise MalformedMessage("fragment")
    return sequence, index, count


def _join(partial: _Partial) -> bytes:
    packed = b"".join(partial.chunks[index] for index in range(partial.count))
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_CONTROL_BYTES)
    except zlib.error as error:
        raise MalformedMessage("fragment") from error
    if not unpacker.eof:
        raise MalformedMessage("fragment")
    return data


__all__ = [
    "FRAGMENT_TYPE",
    "MAX_FRAGMENT_BYTES",
    "REASSEMBLY_TIMEOUT_S",
    "Reassembler",
    "fragment_message",
]
