"""PROXY protocol v2 header for UDP over IPv4."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .addresses import Address

SIGNATURE: Final = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_PROXY_COMMAND: Final = 0x21
INET_AND_DATAGRAM: Final = 0x12
ADDRESSES_BYTES: Final = 12

_HEADER: Final = struct.Struct("!12sBBH4s4sHH")


class HeaderError(Exception):
    """The datagram does not start with a valid header for UDP over IPv4."""


def encode_header(source: Address, destination: Address) -> bytes:
    """Encode the header of a datagram."""
    return _HEADER.pack(
        SIGNATURE,
        VERSION_AND_PROXY_COMMAND,
        INET_AND_DATAGRAM,
        ADDRESSES_BYTES,
        socket.inet_aton(source[0]),
        socket.inet_aton(destination[0]),
        source[1],
        destination[1],
    )


def decode_header(datagram: bytes) -> tuple[Address, Address, bytes]:
    """Split a datagram into source, destination and payload.

    Raises
    ------
    HeaderError
        If the header is missing, truncated or of another address family.
    """
    if len(datagram) < _HEADER.size:
        raise HeaderError("datagram shorter than a header")
    signature, command, family, length, source, destination, source_port, port = (
        _HEADER.unpack_from(datagram)
    )
    if signature != SIGNATURE or command != VERSION_AND_PROXY_COMMAND:
        raise HeaderError("wrong signature, version or command")
    payload_offset = 16 + length
    if family != INET_AND_DATAGRAM or length < ADDRESSES_BYTES:
        raise HeaderError("address family is not UDP over IPv4")
    if len(datagram) < payload_offset:
        raise HeaderError("truncated header")
    return (
        (socket.inet_ntoa(source), source_port),
        (socket.inet_ntoa(destination), port),
        datagram[payload_offset:],
    )


__all__ = ["HeaderError", "decode_header", "encode_header"]
