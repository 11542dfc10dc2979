"""Parser and builder for CoAP headers and options (RFC 7252, section 3)."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

FIXED_BYTES: Final = 4
MAX_TOKEN_BYTES: Final = 8
PAYLOAD_MARKER: Final = 0xFF
EMPTY_CODE: Final = 0
LAST_METHOD_CODE: Final = 31
FIRST_RESPONSE_CODE: Final = 64
OBSERVE_OPTION: Final = 6

VERSION_BITS: Final = 0xC0
VERSION_ONE: Final = 0x40
TOKEN_BITS: Final = 0x0F
ACK_OR_RST_BIT: Final = 0x20
"""Set in the first byte of acknowledgements and resets."""

_FIXED_HEADER: Final = struct.Struct("!BBH")
_EXTENDED_ONE_BYTE: Final = 13
_EXTENDED_TWO_BYTES: Final = 14


class MessageType(IntEnum):
    """CoAP message type: confirmable, non-confirmable, acknowledgement or reset."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


_TYPES: Final = tuple(MessageType)


@dataclass(slots=True)
class Head:
    """Fixed header and token of a message.

    Parameters
    ----------
    type : MessageType
        Type of the message.
    code : int
        Method, response code or ``EMPTY_CODE``.
    message_id : int
        Message-ID.
    token : bytes
        Token, 0 to 8 bytes.
    """

    type: MessageType
    code: int
    message_id: int
    token: bytes

    @property
    def is_request(self) -> bool:
        """Whether the message is a request."""
        return EMPTY_CODE < self.code <= LAST_METHOD_CODE and self.type <= 1

    @property
    def is_response(self) -> bool:
        """Whether the message is a response."""
        return self.code >= FIRST_RESPONSE_CODE


@dataclass(frozen=True, slots=True)
class Option:
    """One option of a message.

    Parameters
    ----------
    number : int
        Option number.
    value : bytes
        Option value.
    end : int
        Offset of the byte after the option.
    """

    number: int
    value: bytes
    end: int


class OptionError(ValueError):
    """The options of a message are malformed."""


def parse_head(datagram: bytes) -> Head | None:
    """Read the fixed header and token, or return None if they are malformed."""
    if len(datagram) < FIXED_BYTES:
        return None
    first, code, message_id = _FIXED_HEADER.unpack_from(datagram)
    token_bytes = first & TOKEN_BITS
    end = FIXED_BYTES + token_bytes
    if first & VERSION_BITS != VERSION_ONE or token_bytes > MAX_TOKEN_BYTES:
        return None
    if len(datagram) < end or (code == EMPTY_CODE and len(datagram) > FIXED_BYTES):
        return None
    token = datagram[FIXED_BYTES:end]
    return Head(_TYPES[(first >> 4) & 3], code, message_id, token)


def build_message(
    kind: MessageType, code: int, message_id: int, token: bytes = b""
) -> bytes:
    """Build a message without options and payload."""
    first = VERSION_ONE | kind << 4 | len(token)
    return _FIXED_HEADER.pack(first, code, message_id) + token


def build_option(delta: int, value: bytes) -> bytes:
    """Encode an option whose number is ``delta`` above the preceding option's."""
    delta_nibble, delta_extended = _encode_extended(delta)
    length_nibble, length_extended = _encode_extended(len(value))
    first = bytes((delta_nibble << 4 | length_nibble,))
    return first + delta_extended + length_extended + value


def iterate_options(datagram: bytes, offset: int) -> Iterator[Option]:
    """Yield the options from an offset up to the payload.

    Raises
    ------
    OptionError
        If an option is truncated or uses a reserved nibble.
    """
    number = 0
    while offset < len(datagram) and datagram[offset] != PAYLOAD_MARKER:
        first = datagram[offset]
        delta, offset = _decode_extended(datagram, first >> 4, offset + 1)
        length, offset = _decode_extended(datagram, first & 0x0F, offset)
        number += delta
        end = offset + length
        if end > len(datagram):
            raise OptionError("truncated option")
        yield Option(number, datagram[offset:end], end)
        offset = end


def encode_uint(number: int) -> bytes:
    """Encode a number as an option value of the uint format, without leading zeros."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def _encode_extended(number: int) -> tuple[int, bytes]:
    """Encode an option's delta or length as a nibble and its extension bytes."""
    if number < _EXTENDED_ONE_BYTE:
        return number, b""
    if number < 269:
        return _EXTENDED_ONE_BYTE, bytes((number - 13,))
    return _EXTENDED_TWO_BYTES, (number - 269).to_bytes(2, "big")


def _decode_extended(datagram: bytes, nibble: int, offset: int) -> tuple[int, int]:
    """Decode an option's delta or length; return it and the offset after it."""
    if nibble < _EXTENDED_ONE_BYTE:
        return nibble, offset
    size = nibble - 12
    if nibble > _EXTENDED_TWO_BYTES or offset + size > len(datagram):
        raise OptionError("truncated option or reserved nibble")
    extended = int.from_bytes(datagram[offset : offset + size], "big")
    return extended + (13 if size == 1 else 269), offset + size


__all__ = [
    "ACK_OR_RST_BIT",
    "EMPTY_CODE",
    "FIXED_BYTES",
    "LAST_METHOD_CODE",
    "MAX_TOKEN_BYTES",
    "OBSERVE_OPTION",
    "TOKEN_BITS",
    "VERSION_BITS",
    "VERSION_ONE",
    "Head",
    "MessageType",
    "Option",
    "OptionError",
    "build_message",
    "build_option",
    "encode_uint",
    "iterate_options",
    "parse_head",
]
