"""UDP socket that reads datagrams in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from .events import NodeEvents
    from .sockets import SocketPool

MAX_BATCH: Final = 64
"""Datagrams read before control returns to the event loop."""
MAX_DISCARDED: Final = 100_000
MAX_DATAGRAM_BYTES: Final = 65_535


class DatagramSocket:
    """UDP socket that passes received datagrams to one handler.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port.
    sockets : SocketPool
        Supplies the bound socket.
    handler : callable
        Called with each datagram, the sender's IP address and the time in seconds.
    events : NodeEvents
        Receives errors and counts.
    before_batch : callable
        Called before each batch of datagrams is read.
    """

    def __init__(
        self,
        address: tuple[str, int],
        sockets: SocketPool,
        handler: Callable[[bytes, str, float], None],
        events: NodeEvents,
        before_batch: Callable[[], None],
    ) -> None:
        self._before_batch = before_batch
        self._address = address
        self._sockets = sockets
        self._handler = handler
        self._events = events
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Take the socket and start reading from it.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        sock = self._sockets.take_datagram_socket(self._address)
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
        """Send a datagram; on an error, count it and drop the datagram."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._events.count("datagrams.unsent")

    def discard_queued(self) -> None:
        """Read and drop the datagrams that are queued in the socket."""
        if self._socket is None:
            return
        dropped = 0
        for _ in range(MAX_DISCARDED):
            try:
                self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An earlier datagram was sent to a port that nobody listens on.
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
        for _ in range(MAX_BATCH):
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An earlier datagram was sent to a port that nobody listens on.
                self._events.count("datagrams.unanswered")
                continue
            try:
                self._handler(data, sender[0], now)
            except Exception as error:
                self._events.emit_error("datagram", error)


__all__ = ["DatagramSocket"]
