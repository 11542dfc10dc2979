"""Encoder and decoder for every message between the daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamstream.core.message import Answer, Packet, Refusal

from .control import decode_control, encode_control
from .error import MalformedMessage
from .packet import (
    ANSWER_TYPE,
    PACKET_TYPE,
    REFUSAL_TYPE,
    decode_answer,
    decode_packet,
    decode_refusal,
    encode_answer,
    encode_packet,
    encode_refusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamstream.core.message import Message

_DECODERS: Final[dict[int, Callable[[bytes], Message]]] = {
    PACKET_TYPE: decode_packet,
    ANSWER_TYPE: decode_answer,
    REFUSAL_TYPE: decode_refusal,
}


def encode_message(message: Message) -> bytes:
    """Encode a message.

    Raises
    ------
    MalformedMessage
        If a field or the whole message exceeds its size limit.
    """
    match message:
        case Packet():
            return encode_packet(message)
        case Answer():
            return encode_answer(message)
        case Refusal():
            return encode_refusal(message)
        case _:
            return encode_control(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    MalformedMessage
        If the bytes are not a valid message.
    """
    if not data:
        raise MalformedMessage("empty")
    decode = _DECODERS.get(data[0], decode_control)
    return decode(data)


__all__ = ["decode_message", "encode_message"]
