"""Authentication of the datagrams between the daemons.

A sealed datagram is a header (key number, sender, sender's time in seconds, counter),
the message and a tag. The tag is a keyed BLAKE2s over both addresses, the header and
the message, so a datagram is valid for one receiver and one direction only.
``docs/design/wire.md`` describes what this protects against and what it does not.

To seal a datagram is to authenticate it; this is not the seal of an epoch in
:mod:`~balsamstream.core.claim`.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2s
from hmac import compare_digest
from socket import inet_aton
from typing import TYPE_CHECKING, Final

import xxhash

from .window import ReplayWindow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamstream.core.identity import Address, ProcessRef

TAG_BYTES: Final = 16
MAX_AGE_S: Final = 30
MAX_SENDERS: Final = 4_096
MAX_PEERS_CACHED: Final = 4_096

# key number, sender, sender's time in seconds, counter
_HEADER: Final = struct.Struct("!BQIQ")
SEAL_BYTES: Final = _HEADER.size + TAG_BYTES
"""Overhead of sealing a message, in bytes."""


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret.

    Parameters
    ----------
    number : int
        Identifies the secret to the receiver, 0 to 255.
    secret : bytes
        At most 32 bytes.
    """

    number: int
    secret: bytes


class SealError(Exception):
    """A datagram failed authentication, has a wrong time or is a replay.

    Parameters
    ----------
    reason : str
        Short name for counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CoarseClock:
    """Wall and monotonic clock, read once and used for many datagrams.

    ``now_s`` is wall time that never decreases: it follows the wall clock forwards, and
    after the wall clock was set back it advances with the monotonic clock.

    Parameters
    ----------
    wall : float
        First reading of the wall clock, in seconds since 1970.
    monotonic : float
        First reading of the monotonic clock, in seconds.
    """

    __slots__ = ("_offset", "monotonic_s", "now_s")

    def __init__(self, wall: float, monotonic: float) -> None:
        self._offset = wall - monotonic
        self.now_s = int(wall)
        self.monotonic_s = monotonic

    def advance(self, wall: float, monotonic: float) -> None:
        """Set new readings of both clocks, in seconds."""
        self._offset = max(self._offset, wall - monotonic)
        self.now_s = max(self.now_s, int(self._offset + monotonic))
        self.monotonic_s = monotonic


class _ReceiverState:
    """Keyed hash and counter for one receiver."""

    __slots__ = ("counter", "hasher")

    def __init__(self, hasher: blake2s, counter: int) -> None:
        self.hasher = hasher
        self.counter = counter


class _SenderState:
    """Replay window of one sender and when it was last heard.

    ``sent_s`` is the latest time in its headers; ``last_heard_at`` is this process's
    monotonic time at its last datagram; both in seconds.
    """

    __slots__ = ("last_heard_at", "sent_s", "window")

    def __init__(self) -> None:
        self.window = ReplayWindow()
        self.sent_s = 0
        self.last_heard_at = 0.0


class Sealer:
    """Seals the messages that a process sends and opens those that it receives.

    Parameters
    ----------
    ref : ProcessRef
        Name and incarnation of this process.
    address : Address
        Address that this process sends from and receives at.
    keys : sequence of Key
        Messages are sealed with the first key and opened with any of them.
    clock : CoarseClock
        Must be advanced by its owner at least once a second.
    """

    def __init__(
        self,
        ref: ProcessRef,
        address: Address,
        keys: Sequence[Key],
        clock: CoarseClock,
    ) -> None:
        name = f"{ref.name}|{ref.incarnation}".encode()
        self._sender_id = xxhash.xxh3_64_intdigest(name)
        self._address = _pack_address(address)
        self._clock = clock
        self._receivers: dict[Address, _ReceiverState] = {}
        self._senders: OrderedDict[int, _SenderState] = OrderedDict()
        self._counter = 0
        self.replace_keys(keys)

    def replace_keys(self, keys: Sequence[Key]) -> None:
        """Replace the keys; counters and replay windows are kept.

        Raises
        ------
        ValueError
            If there is no key, or if two keys have the same number.
        """
        by_number = {key.number: key for key in keys}
        if not keys or len(by_number) != len(keys):
            raise ValueError(
                "at least one key is required, and key numbers must differ"
            )
        self._keys = by_number
        self._sealing_key = keys[0]
        self._discard_receivers()
        self._hashers: dict[tuple[int, Address], blake2s] = {}

    def seal(self, to: Address, message: bytes) -> bytes:
        """Return the sealed datagram of a message to one receiver."""
        receiver = self._receivers.get(to)
        if receiver is None:
            receiver = self._add_receiver(to)
        receiver.counter += 1
        header = _HEADER.pack(
            self._sealing_key.number,
            self._sender_id,
            self._clock.now_s,
            receiver.counter,
        )
        signed = header + message
        hasher = receiver.hasher.copy()
        hasher.update(signed)
        return signed + hasher.digest()

    def open(self, source: Address, datagram: bytes) -> bytes:
        """Return the message of a datagram received from an address.

        Raises
        ------
        SealError
            If the datagram is too short, has an unknown key or a wrong tag, is a
            replay, or has a time more than ``MAX_AGE_S`` away from this process's.
        """
        if len(datagram) < SEAL_BYTES:
            raise SealError("short")
        number, sender_id, sent_s, counter = _HEADER.unpack_from(datagram)
        cached = self._hashers.get((number, source))
        hasher = cached or self._build_receive_hasher(number, source)
        digest = hasher.copy()
        digest.update(datagram[:-TAG_BYTES])
        if not compare_digest(digest.digest(), datagram[-TAG_BYTES:]):
            raise SealError("forged")
        if cached is None:
            self._cache_hasher(number, source, hasher)
        self._check_replay(sender_id, sent_s, counter)
        return datagram[_HEADER.size : -TAG_BYTES]

    def _check_replay(self, sender_id: int, sent_s: int, counter: int) -> None:
        """Check the time and the counter of an authenticated datagram.

        The first time of a sender is compared with this process's clock. Later ones
        are compared only if they are more than ``MAX_AGE_S`` behind the sender's own
        clock, so that clock jumps do not interrupt known senders.
        """
        now = self._clock.monotonic_s
        sender = self._senders.get(sender_id)
        if sender is None:
            sender = self._add_sender(sender_id, sent_s)
        elif sent_s < sender.sent_s + (now - sender.last_heard_at) - MAX_AGE_S:
            self._check_age(sent_s)
        if not sender.window.accept(counter):
            raise SealError("replay")
        if now > sender.last_heard_at or sent_s > sender.sent_s:
            self._senders.move_to_end(sender_id)
            sender.last_heard_at = now
            sender.sent_s = max(sent_s, sender.sent_s)

    def _check_age(self, sent_s: int) -> None:
        if abs(sent_s - self._clock.now_s) > MAX_AGE_S:
            raise SealError("old")

    def _add_sender(self, sender_id: int, sent_s: int) -> _SenderState:
        self._check_age(sent_s)
        if len(self._senders) >= MAX_SENDERS:
            self._senders.popitem(last=False)
        sender = _SenderState()
        self._senders[sender_id] = sender
        return sender

    def _add_receiver(self, to: Address) -> _ReceiverState:
        if len(self._receivers) >= MAX_PEERS_CACHED:
            self._discard_receivers()
        addresses = self._address + _pack_address(to)
        hasher = _build_hasher(self._sealing_key, addresses)
        receiver = _ReceiverState(hasher, self._counter)
        self._receivers[to] = receiver
        return receiver

    def _discard_receivers(self) -> None:
        """Drop the state of all receivers.

        Later counters start above the highest used, so none is used twice.
        """
        for receiver in self._receivers.values():
            self._counter = max(self._counter, receiver.counter)
        self._receivers.clear()

    def _build_receive_hasher(self, number: int, source: Address) -> blake2s:
        key = self._keys.get(number)
        if key is None:
            raise SealError("unknown-key")
        return _build_hasher(key, _pack_address(source) + self._address)

    def _cache_hasher(self, number: int, source: Address, hasher: blake2s) -> None:
        if len(self._hashers) >= MAX_PEERS_CACHED:
            self._hashers.clear()
        self._hashers[number, source] = hasher


def _build_hasher(key: Key, addresses: bytes) -> blake2s:
    return blake2s(addresses, digest_size=TAG_BYTES, key=key.secret)


def _pack_address(address: Address) -> bytes:
    return inet_aton(address.ip) + address.port.to_bytes(2, "big")


__all__ = [
    "MAX_AGE_S",
    "MAX_SENDERS",
    "SEAL_BYTES",
    "CoarseClock",
    "Key",
    "SealError",
    "Sealer",
]
