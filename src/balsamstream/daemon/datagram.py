"""UDP socket that is read in batches by a reader callback of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.identity import Address

    from .metrics import Metrics

BATCH_DATAGRAMS: Final = 64
MAX_DATAGRAM_BYTES: Final = 65_535
SOCKET_BUFFER_BYTES: Final = 4_194_304


class DatagramSocket:
    """Bound UDP socket that passes received datagrams to a callback.

    At most `BATCH_DATAGRAMS` datagrams are read at each wake-up. An exception of the
    callback is counted and logged, and affects only the datagram that caused it.

    Parameters
    ----------
    name : str
        Prefix of counters and of the place in logs.
    address : Address
        Local address.
    handle : callable
        Called with each datagram and its source.
    metrics : Metrics
        Counts datagrams received, sent and lost.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        handle: Callable[[bytes, tuple[str, int]], None],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._address = address
        self._handle = handle
        self._metrics = metrics
        self._socket: socket.socket | None = None
        self._received = 0
        self._sent = 0
        self._buffer = bytearray(MAX_DATAGRAM_BYTES)
        self._view = memoryview(self._buffer)

    def open(self, before_batch: Callable[[], None]) -> None:
        """Bind the socket and start reading.

        Parameters
        ----------
        before_batch : callable
            Called before each batch of datagrams.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._socket = open_socket()
        try:
            self._socket.bind(self._address)
        except OSError:
            self.close()
            raise
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read_batch, before_batch)

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._socket is None:
            return
        with contextlib.suppress(RuntimeError):
            asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def send(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram; if the socket rejects it, count it as lost."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, to)
            self._sent += 1
        except OSError as error:
            self._metrics.count_loss(f"{self._name}_send", error)

    def flush_counts(self) -> None:
        """Add the datagrams received and sent since the last call to the counters."""
        received, self._received = self._received, 0
        sent, self._sent = self._sent, 0
        if received:
            self._metrics.count(f"{self._name}_received", received)
        if sent:
            self._metrics.count(f"{self._name}_sent", sent)

    def discard_queued(self) -> int:
        """Drop the datagrams queued in the socket; return their number."""
        dropped = 0
        while self._socket is not None:
            try:
                self._socket.recv_into(self._buffer)
            except BlockingIOError:
                break
            except OSError:
                continue
            dropped += 1
        return dropped

    def _read_batch(self, before_batch: Callable[[], None]) -> None:
        before_batch()
        for _ in range(BATCH_DATAGRAMS):
            if self._socket is None:
                return
            try:
                size, source = self._socket.recvfrom_into(self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier datagram: the next receive may succeed.
                continue
            self._received += 1
            try:
                self._handle(bytes(self._view[:size]), source)
            except Exception as error:
                self._metrics.count_loss(f"{self._name}_handler", error)


def open_socket() -> socket.socket:
    """Open a non-blocking UDP socket with large buffers."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return opened


__all__ = ["BATCH_DATAGRAMS", "MAX_DATAGRAM_BYTES", "DatagramSocket", "open_socket"]
