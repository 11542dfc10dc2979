"""PROXY protocol version 2 for UDP over IPv4 (haproxy.org, proxy-protocol.txt)."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Final

from balsamstream.core.identity import Address

_SIGNATURE: Final = b"\r\n\r\n\x00\r\nQUIT\n"
_PROXY_INET_DATAGRAM: Final = b"\x21\x12"
_START: Final = _SIGNATURE + _PROXY_INET_DATAGRAM
_ADDRESSES: Final = struct.Struct("!4s4sHH")
_LENGTH: Final = struct.Struct("!H")
_ADDRESSES_OFFSET: Final = len(_START) + _LENGTH.size
HEADER_BYTES: Final = _ADDRESSES_OFFSET + _ADDRESSES.size


class ProxyHeaderError(ValueError):
    """The datagram begins with no header of the expected form."""


@dataclass(slots=True)
class Endpoints:
    """Who sent a datagram to whom.

    Parameters
    ----------
    source : Address
        The sender: a caller, or a service for an answer.
    destination : Address
        The receiver.
    """

    source: Address
    destination: Address


_PLAIN_START: Final = _START + _LENGTH.pack(_ADDRESSES.size)
"""What a header without further fields begins with."""


def encode_header(source: Address, destination: Address) -> bytes:
    """Write the header for one datagram.

    Raises
    ------
    OSError
        If an IP number is none of IPv4.
    """
    return _PLAIN_START + _ADDRESSES.pack(
        inet_aton(source.ip), inet_aton(destination.ip), source.port, destination.port
    )


def split_datagram(datagram: bytes) -> tuple[Endpoints, bytes]:
    """Split a datagram into the endpoints of its header and the payload.

    Raises
    ------
    ProxyHeaderError
        If the header is missing, cut short, of another family or a local one.
    """
    if not datagram.startswith(_START) or len(datagram) < HEADER_BYTES:
        raise ProxyHeaderError("no header of UDP over IPv4")
    (length,) = _LENGTH.unpack_from(datagram, len(_START))
    end = _ADDRESSES_OFFSET + length
    if length < _ADDRESSES.size or len(datagram) < end:
        raise ProxyHeaderError("cut short")
    fields = _ADDRESSES.unpack_from(datagram, _ADDRESSES_OFFSET)
    source_ip, ip, source_port, port = fields
    endpoints = Endpoints(
        Address(inet_ntoa(source_ip), source_port), Address(inet_ntoa(ip), port)
    )
    return endpoints, datagram[end:]


__all__ = [
    "HEADER_BYTES",
    "Endpoints",
    "ProxyHeaderError",
    "encode_header",
    "split_datagram",
]
