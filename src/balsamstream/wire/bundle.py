"""Bundles: several short messages for one receiver in one datagram."""

from __future__ import annotations

import struct
from typing import Final

from .error import MalformedMessage

BUNDLE_TYPE: Final = 5
_START: Final = bytes((BUNDLE_TYPE,))
_LENGTH: Final = struct.Struct("!H")
LENGTH_BYTES: Final = _LENGTH.size


def encode_bundle(messages: list[bytes]) -> bytes:
    """Join messages, each after its length; a single message is returned unchanged."""
    if len(messages) == 1:
        return messages[0]
    parts = [_START]
    for message in messages:
        parts.append(_LENGTH.pack(len(message)))
        parts.append(message)
    return b"".join(parts)


def decode_bundle(data: bytes) -> list[bytes]:
    """Split a bundle into its messages; other data is returned as one message.

    Raises
    ------
    MalformedMessage
        If a message of a bundle is empty, truncated or itself a bundle.
    """
    if not data.startswith(_START):
        return [data]
    messages = []
    offset = 1
    while offset < len(data):
        start = offset + LENGTH_BYTES
        if start > len(data):
            raise MalformedMessage("bundle")
        (length,) = _LENGTH.unpack_from(data, offset)
        offset = start + length
        if not length or offset > len(data) or data[start] == BUNDLE_TYPE:
            raise MalformedMessage("bundle")
        messages.append(data[start:offset])
    return messages


__all__ = ["BUNDLE_TYPE", "LENGTH_BYTES", "decode_bundle", "encode_bundle"]
