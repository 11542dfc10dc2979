"""Sockets that a node opens before it imports the modules of its role.

Load pattern: all nodes restart while callers and hosts go on sending. The imports take
a tenth of a second and more on a small VM. What arrives meanwhile waits in the sockets
instead of being lost; a host whose heartbeat is refused sends the next one a quarter of
a second later at the earliest, and until then gets no flows.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from .settings import split_address

if TYPE_CHECKING:
    from .settings import Settings

RECEIVE_BUFFER_BYTES: Final = 1024 * 1024
BACKLOG: Final = 100


class SocketPool:
    """Open sockets by address, for the components that read from them."""

    def __init__(self) -> None:
        self._datagram_sockets: dict[tuple[str, int], socket.socket] = {}
        self._listeners: dict[tuple[str, int], socket.socket] = {}

    def open_for(self, settings: Settings) -> None:
        """Open the sockets that callers, hosts and nodes send to.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        self._open_datagram_socket((settings.ip, settings.node_port))
        host = settings.host
        if host is None:
            self._open_datagram_socket(split_address(settings.callers))
            return
        self._open_datagram_socket(split_address(host.packets))
        address = split_address(host.heartbeats)
        self._listeners[address] = open_listener(address)

    def _open_datagram_socket(self, address: tuple[str, int]) -> None:
        self._datagram_sockets[address] = open_datagram_socket(address)

    def take_datagram_socket(self, address: tuple[str, int]) -> socket.socket:
        """Return the UDP socket of an address, opened now if it was not before.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        found = self._datagram_sockets.pop(address, None)
        return found or open_datagram_socket(address)

    def take_listener(self, address: tuple[str, int]) -> socket.socket:
        """Return the listening TCP socket of an address, opened now if not before.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        return self._listeners.pop(address, None) or open_listener(address)

    def close(self) -> None:
        """Close the sockets that nobody has taken."""
        for sock in (*self._datagram_sockets.values(), *self._listeners.values()):
            sock.close()


def open_datagram_socket(address: tuple[str, int]) -> socket.socket:
    """Open a UDP socket with a receive buffer for bursts.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    return _bind(socket.SOCK_DGRAM, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES, address)


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Open a TCP socket that listens on an address.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    sock = _bind(socket.SOCK_STREAM, socket.SO_REUSEADDR, 1, address)
    sock.listen(BACKLOG)
    return sock


def _bind(
    kind: socket.SocketKind, option: int, value: int, address: tuple[str, int]
) -> socket.socket:
    """Open a socket with one option set and bind it."""
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, option, value)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


__all__ = ["SocketPool", "open_datagram_socket", "open_listener"]
