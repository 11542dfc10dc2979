"""Parsing of ``IP:PORT`` addresses and allocation of free loopback ports."""

from __future__ import annotations

import random
import socket
from contextlib import closing
from typing import Final, TypeAlias

LOOPBACK: Final = "127.0.0.1"
MIN_PORT: Final = 10_000
MAX_PORT: Final = 32_000

Address: TypeAlias = tuple[str, int]

# All ports lie below the kernel's ephemeral range: with thousands of caller sockets,
# one of them could otherwise be given a port between its choice and its use.
_ports = random.SystemRandom()
_handed_out: set[int] = set()


def parse_address(text: str) -> Address:
    """Parse an address.

    Parameters
    ----------
    text : str
        ``IP:PORT``.

    Returns
    -------
    Address
        The IP address as text, and the port.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"not an address of the form IP:PORT: {text!r}")
    return ip, int(port)


def format_address(address: Address) -> str:
    """Format an address as ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"


def find_free_address() -> str:
    """Find a loopback address whose port is free for UDP and TCP.

    Returns
    -------
    str
        ``127.0.0.1:PORT``; no port is returned twice by one process.
    """
    while True:
        port = _ports.randint(MIN_PORT, MAX_PORT)
        if port in _handed_out or not _is_free(port):
            continue
        _handed_out.add(port)
        return f"{LOOPBACK}:{port}"


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with closing(socket.socket(socket.AF_INET, kind)) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


__all__ = ["Address", "find_free_address", "format_address", "parse_address"]
