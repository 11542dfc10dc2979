"""PROXY protocol version 2 for UDP over IPv4 (haproxy.org, proxy-protocol.txt)."""

from __future__ import annotations

import struct
from socket import inet_aton, inet_ntoa
from typing import Final, NamedTuple

from balsamstream.core.identity import Address

_SIGNATURE: Final = b"\r\n\r\n\x00\r\nQUIT\n"
_PROXY_INET_DATAGRAM: Final = b"\x21\x12"
_START: Final = _SIGNATURE + _PROXY_INET_DATAGRAM
_ADDRESSES: Final = struct.Struct("!4s4sHH")
_PACKED_ADDRESSES: Final = struct.Struct("!4s4sH2s")
_LENGTH: Final = struct.Struct("!H")
_ADDRESSES_OFFSET: Final = len(_START) + _LENGTH.size
HEADER_BYTES: Final = _ADDRESSES_OFFSET + _ADDRESSES.size


class ProxyHeaderError(ValueError):
    """The datagram does not start with a valid PROXY header of UDP over IPv4."""


class RelayedDatagram(NamedTuple):
    """A caller's datagram as a fabric relays it, split into header and payload.

    Parameters
    ----------
    caller : Address
        Address of the sender.
    service : bytes
        Destination address, packed: 4 bytes of IP address and 2 bytes of port.
    payload : bytes
        The caller's datagram.
    """

    caller: Address
    service: bytes
    payload: bytes


_PLAIN_START: Final = _START + _LENGTH.pack(_ADDRESSES.size)
"""Start of a header without type-length-value fields."""


def encode_header(source: Address, destination: Address) -> bytes:
    """Encode the header for one datagram.

    Raises
    ------
    OSError
        If an address is not an IPv4 address.
    """
    return _PLAIN_START + _ADDRESSES.pack(
        inet_aton(source.ip), inet_aton(destination.ip), source.port, destination.port
    )


def split_datagram(datagram: bytes) -> RelayedDatagram:
    """Split a relayed datagram into the addresses of its header and the payload.

    Raises
    ------
    ProxyHeaderError
        If the header is missing, truncated, of another address family or transport,
        or of the LOCAL command.
    """
    end = HEADER_BYTES
    if len(datagram) < end or not datagram.startswith(_PLAIN_START):
        end = _find_end(datagram)
    caller_ip, service_ip, caller_port, service_port = _PACKED_ADDRESSES.unpack_from(
        datagram, _ADDRESSES_OFFSET
    )
    caller = Address(inet_ntoa(caller_ip), caller_port)
    return RelayedDatagram(caller, service_ip + service_port, datagram[end:])


def unpack_address(packed: bytes) -> Address:
    """Decode an address of 4 bytes of IP address and 2 bytes of port."""
    return Address(inet_ntoa(packed[:4]), int.from_bytes(packed[4:], "big"))


def _find_end(datagram: bytes) -> int:
    """Return the end of a header that may have type-length-value fields."""
    if not datagram.startswith(_START) or len(datagram) < HEADER_BYTES:
        raise ProxyHeaderError("no PROXY header of UDP over IPv4")
    length = int.from_bytes(datagram[len(_START) : _ADDRESSES_OFFSET], "big")
    end = _ADDRESSES_OFFSET + length
    if length < _ADDRESSES.size or len(datagram) < end:
        raise ProxyHeaderError("truncated PROXY header")
    return end


__all__ = [
    "HEADER_BYTES",
    "ProxyHeaderError",
    "RelayedDatagram",
    "encode_header",
    "split_datagram",
    "unpack_address",
]
