"""HTTP listeners, datagram sockets and orderly termination of the stand-ins."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import TYPE_CHECKING, Final

from aiohttp import web

from .addresses import Address, format_address

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

SOCKET_BUFFER_BYTES: Final = 4 << 20
MAX_DATAGRAM_BYTES: Final = 65_535
BATCH_DATAGRAMS: Final = 256
HTTP_SHUTDOWN_S: Final = 0.2


async def start_http(
    application: web.Application,
    address: Address,
    tls: ssl.SSLContext | None = None,
) -> tuple[web.AppRunner, str]:
    """Start an HTTP listener.

    Returns
    -------
    tuple of AppRunner and str
        The runner, which the caller must clean up, and the address it listens on.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=HTTP_SHUTDOWN_S,
        handler_cancellation=True,
    )
    await runner.setup()
    await web.TCPSite(runner, *address, ssl_context=tls).start()
    host, port = runner.addresses[0][:2]
    return runner, format_address((host, port))


def open_datagram_socket(address: Address) -> socket.socket:
    """Bind a non-blocking UDP socket with large buffers."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    opened.bind(address)
    return opened


def drain_socket(
    readable: socket.socket, handle: Callable[[bytes, Address], None]
) -> None:
    """Call `handle` for up to `BATCH_DATAGRAMS` queued datagrams."""
    for _ in range(BATCH_DATAGRAMS):
        try:
            datagram, source = readable.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # An ICMP error caused by an earlier datagram; receiving can go on.
            continue
        handle(datagram, source)


def send_datagram(sender: socket.socket, datagram: bytes, target: Address) -> None:
    """Send a datagram, or drop it if the socket reports an error."""
    try:
        sender.sendto(datagram, target)
    except OSError:
        return


def print_ready(*addresses: str) -> None:
    """Print the line that tells the parent process that this one is ready."""
    print("ready", *addresses, flush=True)


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


__all__ = [
    "drain_socket",
    "open_datagram_socket",
    "print_ready",
    "send_datagram",
    "start_http",
    "wait_for_stop",
]
