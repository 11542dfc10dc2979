"""UDP sockets that are drained in batches."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import NodeEvents

MOST_AT_ONCE: Final = 64
"""Datagrams read before other work of the loop has its turn."""
MOST_DISCARDED: Final = 100_000
LARGEST_DATAGRAM_BYTES: Final = 65_535
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024


class DatagramSocket:
    """A UDP socket whose datagrams go to one handler.

    Parameters
    ----------
    address : tuple of str and int
        Where to listen.
    handler : callable
        Takes a datagram, the sender's address and the time in seconds.
    events : NodeEvents
        Where errors are noted.
    before_batch : callable
        Called before a batch of datagrams is read.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[bytes, str, float], None],
        events: NodeEvents,
        before_batch: Callable[[], None],
    ) -> None:
        self._before_batch = before_batch
        self._address = address
        self._handler = handler
        self._events = events
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Bind the socket and read from it.

        Raises
        ------
        OSError
            If the address can't be had.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(self._address)
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read_batch)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    @property
    def port(self) -> int:
        """Port that the socket is bound to."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that can't be sent is counted as lost."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._events.count("datagrams.unsent")

    def discard_queued(self) -> None:
        """Drop what is queued."""
        if self._socket is None:
            return
        dropped = 0
        for _ in range(MOST_DISCARDED):
            try:
                self._socket.recvfrom(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An answer that an earlier datagram found nobody there.
                self._events.count("datagrams.unanswered")
                continue
            dropped += 1
        self._events.count("datagrams.discarded", dropped)

    def _read_batch(self) -> None:
        sock = self._socket
        if sock is None:
            return
        self._before_batch()
        now = asyncio.get_running_loop().time()
        for _ in range(MOST_AT_ONCE):
            try:
                data, sender = sock.recvfrom(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An answer that an earlier datagram found nobody there.
                self._events.count("datagrams.unanswered")
                continue
            try:
                self._handler(data, sender[0], now)
            except Exception as error:
                self._events.emit_error("datagram", error)


__all__ = ["DatagramSocket"]
