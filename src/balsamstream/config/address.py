"""Parses the addresses of processes: an IPv4 address and a port."""

from __future__ import annotations

import ipaddress
from typing import Final

from returns.result import Failure, Result, Success

from ..core.identity import Address

MAX_PORT: Final = 65_535


def validate_address(text: str) -> Result[Address, str]:
    """Check and parse an address of the form ``IP:PORT``.

    Parameters
    ----------
    text : str
        The address as written by an operator.

    Returns
    -------
    Result[Address, str]
        The address, or an error text.
    """
    ip_text, separator, port_text = text.rpartition(":")
    if not separator:
        return Failure(f"{text!r} has no port, use the form IP:PORT")
    try:
        ip = ipaddress.IPv4Address(ip_text)
    except ValueError:
        return Failure(f"{ip_text!r} is not an IPv4 address")
    if not (port_text.isascii() and port_text.isdigit()):
        return Failure(f"{port_text!r} is not a port number")
    port = int(port_text)
    if not 1 <= port <= MAX_PORT:
        return Failure(f"port {port} is not between 1 and {MAX_PORT}")
    return Success(Address(str(ip), port))


__all__ = ["MAX_PORT", "Address", "validate_address"]
