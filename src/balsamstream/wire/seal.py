"""Authentication of the datagrams between processes of the system.

A sealed datagram is a header (key, sender, sender's second, counter), the message and
a tag. The tag is a keyed BLAKE2s over both processes' addresses, the header and the
message, so that a datagram is good for one receiver and one direction only.
``docs/design/wire.md`` says what this covers and what it does not.
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
MOST_AGE_S: Final = 30
MOST_SENDERS: Final = 4_096
MOST_PEERS_CACHED: Final = 4_096

# key, sender, sender's second, counter
_HEADER: Final = struct.Struct("!BQIQ")
SEAL_BYTES: Final = _HEADER.size + TAG_BYTES
"""What sealing adds to a message, in bytes."""


@dataclass(frozen=True, slots=True)
class Key:
    """A shared secret.

    Parameters
    ----------
    number : int
        0 to 255; tells the receiver which secret was used.
    secret : bytes
        At most 32 bytes.
    """

    number: int
    secret: bytes


class SealError(Exception):
    """A datagram that is refused.

    Parameters
    ----------
    reason : str
        Short name for counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CoarseClock:
    """Coarse readings of both clocks for many datagrams.

    ``now_s`` is wall time that never goes back: the wall clock is followed forward
    only, and while it is behind, the monotonic clock moves the second on.

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
        """Take new readings of both clocks, in seconds."""
        self._offset = max(self._offset, wall - monotonic)
        self.now_s = max(self.now_s, int(self._offset + monotonic))
        self.monotonic_s = monotonic


class _Outbox:
    """What sealing for one receiver needs."""

    __slots__ = ("counter", "hasher")

    def __init__(self, hasher: blake2s, counter: int) -> None:
        self.hasher = hasher
        self.counter = counter


class _Sender:
    """What was seen of one sender."""

    __slots__ = ("second", "seen_at", "window")

    def __init__(self) -> None:
        self.window = ReplayWindow()
        self.second = 0
        self.seen_at = 0.0


class Sealer:
    """Seals messages of one process and opens those sent to it.

    Parameters
    ----------
    ref : ProcessRef
        This run of this process.
    address : Address
        Where this process sends from and receives.
    keys : sequence of Key
        Messages are sealed with the first and opened with any.
    clock : CoarseClock
        Advanced by its owner, at least once a second.
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
        self._outboxes: dict[Address, _Outbox] = {}
        self._senders: OrderedDict[int, _Sender] = OrderedDict()
        self._counter = 0
        self.replace_keys(keys)

    def replace_keys(self, keys: Sequence[Key]) -> None:
        """Use other keys from now on; counters and windows stay.

        Raises
        ------
        ValueError
            If there is no key, or two have the same number.
        """
        by_number = {key.number: key for key in keys}
        if not keys or len(by_number) != len(keys):
            raise ValueError("keys need different numbers, and one at least")
        self._keys = by_number
        self._first = keys[0]
        self._forget_outboxes()
        self._hashers: dict[tuple[int, Address], blake2s] = {}

    def seal(self, to: Address, message: bytes) -> bytes:
        """Return the datagram for one receiver."""
        outbox = self._outboxes.get(to)
        if outbox is None:
            outbox = self._open_outbox(to)
        outbox.counter += 1
        header = _HEADER.pack(
            self._first.number, self._sender_id, self._clock.now_s, outbox.counter
        )
        signed = header + message
        hasher = outbox.hasher.copy()
        hasher.update(signed)
        return signed + hasher.digest()

    def open(self, source: Address, datagram: bytes) -> bytes:
        """Return the message of a datagram that arrived from an address.

        Raises
        ------
        SealError
            If it is short, of an unknown key, forged, old or a replay.
        """
        if len(datagram) < SEAL_BYTES:
            raise SealError("short")
        number, sender_id, second, counter = _HEADER.unpack_from(datagram)
        cached = self._hashers.get((number, source))
        hasher = cached or self._make_opening_hasher(number, source)
        digest = hasher.copy()
        digest.update(datagram[:-TAG_BYTES])
        if not compare_digest(digest.digest(), datagram[-TAG_BYTES:]):
            raise SealError("forged")
        if cached is None:
            self._keep_hasher(number, source, hasher)
        self._check_replay(sender_id, second, counter)
        return datagram[_HEADER.size : -TAG_BYTES]

    def _check_replay(self, sender_id: int, second: int, counter: int) -> None:
        now = self._clock.monotonic_s
        sender = self._senders.get(sender_id)
        if sender is None:
            sender = self._admit_sender(sender_id, second)
        elif second < sender.second + (now - sender.seen_at) - MOST_AGE_S:
            self._check_age(second)
        if not sender.window.accept(counter):
            raise SealError("replay")
        if now > sender.seen_at or second > sender.second:
            self._senders.move_to_end(sender_id)
            sender.seen_at = now
            sender.second = max(second, sender.second)

    def _check_age(self, second: int) -> None:
        if abs(second - self._clock.now_s) > MOST_AGE_S:
            raise SealError("old")

    def _admit_sender(self, sender_id: int, second: int) -> _Sender:
        self._check_age(second)
        if len(self._senders) >= MOST_SENDERS:
            self._senders.popitem(last=False)
        sender = _Sender()
        self._senders[sender_id] = sender
        return sender

    def _open_outbox(self, to: Address) -> _Outbox:
        if len(self._outboxes) >= MOST_PEERS_CACHED:
            self._forget_outboxes()
        addresses = self._address + _pack_address(to)
        hasher = _make_hasher(self._first, addresses)
        outbox = _Outbox(hasher, self._counter)
        self._outboxes[to] = outbox
        return outbox

    def _forget_outboxes(self) -> None:
        """Drop them; counters go on above the highest, so none is used twice."""
        for outbox in self._outboxes.values():
            self._counter = max(self._counter, outbox.counter)
        self._outboxes.clear()

    def _make_opening_hasher(self, number: int, source: Address) -> blake2s:
        key = self._keys.get(number)
        if key is None:
            raise SealError("unknown-key")
        return _make_hasher(key, _pack_address(source) + self._address)

    def _keep_hasher(self, number: int, source: Address, hasher: blake2s) -> None:
        if len(self._hashers) >= MOST_PEERS_CACHED:
            self._hashers.clear()
        self._hashers[number, source] = hasher


def _make_hasher(key: Key, addresses: bytes) -> blake2s:
    return blake2s(addresses, digest_size=TAG_BYTES, key=key.secret)


def _pack_address(address: Address) -> bytes:
    return inet_aton(address.ip) + address.port.to_bytes(2, "big")


__all__ = [
    "MOST_AGE_S",
    "MOST_SENDERS",
    "SEAL_BYTES",
    "CoarseClock",
    "Key",
    "SealError",
    "Sealer",
]
