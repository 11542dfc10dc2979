"""Encoding and decoding of CoAP messages in datagrams, with aiocoap's codec."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiocoap import Message
from aiocoap.error import UnparsableMessage
from aiocoap.numbers import EMPTY, Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type

if TYPE_CHECKING:
    from aiocoap.options import Options

DEADLINE_OPTIONS: Final = (OptionNumber(65000), OptionNumber(65001))
MAX_MESSAGE_ID: Final = 0xFFFF
MAX_OBSERVE: Final = 0xFFFFFF


def decode_message(datagram: bytes) -> Message | None:
    """Decode a message, or return None if the datagram is not a CoAP message."""
    try:
        return Message.decode(datagram)
    except (UnparsableMessage, ValueError, IndexError):
        return None


def build_empty(message_type: Type, message_id: int) -> bytes:
    """Build an empty acknowledgement or reset."""
    message = Message(code=EMPTY, _mtype=message_type, _mid=message_id)
    return bytes(message.encode())


def build_answer(request: Message, code: Code, payload: bytes = b"") -> Message:
    """Build an answer, piggybacked on the acknowledgement if the request needs one."""
    confirmable = request.mtype == Type.CON
    return Message(
        code=code,
        payload=payload,
        _mtype=Type.ACK if confirmable else Type.NON,
        _mid=request.mid,
        _token=request.token,
    )


def read_query(options: Options) -> dict[str, str]:
    """Parse the ``name=value`` parts of the query."""
    pairs = (part.partition("=") for part in options.uri_query)
    return {name: value for name, _, value in pairs}


def read_deadline_ms(options: Options) -> int | None:
    """Read the time left for a request, or None if it has no deadline."""
    for number in DEADLINE_OPTIONS:
        for option in options.get_option(number):
            return int.from_bytes(option.value, "big")
    return None


class MessageIds:
    """Generates increasing message identifiers, with wrap-around at the largest."""

    def __init__(self, first: int) -> None:
        self._next = first

    def draw(self) -> int:
        """Return the next identifier."""
        drawn = self._next
        self._next = (drawn + 1) & MAX_MESSAGE_ID
        return drawn


__all__ = [
    "MAX_OBSERVE",
    "MessageIds",
    "build_answer",
    "build_empty",
    "decode_message",
    "read_deadline_ms",
    "read_query",
]
