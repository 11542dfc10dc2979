"""Construction of the backend servers' CoAP answers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

from aiocoap.numbers import codes

from .coap import build_answer, read_query
from .content import (
    BLOCK_SIZE_EXPONENT,
    SERVICE_OF_PATH,
    build_document,
    choose_size,
    compute_price,
)

if TYPE_CHECKING:
    from aiocoap import Message

JSON_FORMAT: Final = 50

Field: TypeAlias = str | int | None


@dataclass(frozen=True, slots=True)
class Origin:
    """Host and incarnation of a backend server, named in each of its answers."""

    host: str
    incarnation: str


def find_service(message: Message) -> str | None:
    """Find the service that a request's path belongs to, or None if there is none."""
    path = message.opt.uri_path
    return SERVICE_OF_PATH.get(path[0]) if path else None


def build_content(message: Message, origin: Origin) -> Message:
    """Build the answer to a request that has run, or a 4.00 if it is invalid."""
    try:
        return _build_content(message, origin)
    except (KeyError, TypeError, ValueError):
        return build_answer(message, codes.BAD_REQUEST)


def describe(service: str | None, origin: Origin, **fields: Field) -> bytes:
    """Build a JSON payload that names service, host and incarnation."""
    common = {
        "service": service,
        "host": origin.host,
        "incarnation": origin.incarnation,
    }
    return json.dumps({**common, **fields}).encode()


def identify_request(message: Message) -> tuple[str, int]:
    """Read the identifier that the caller gave a request, and the attempt's number.

    The identifier is empty if the payload is not a valid order; a block request has the
    number of its block appended.
    """
    if message.payload:
        try:
            order = json.loads(message.payload)
            return str(order["id"]), int(order.get("attempt", 1))
        except (ValueError, KeyError, TypeError, AttributeError):
            return "", 1
    options = message.opt
    query = read_query(options)
    request = query.get("id", "")
    if options.block2 is not None and options.block2.block_number:
        request = f"{request}#{options.block2.block_number}"
    return request, int(query.get("attempt", "1"))


def build_block(request: Message, document: bytes) -> Message:
    """Build the answer that carries the requested block of a document (RFC 7959)."""
    wanted = request.opt.block2
    exponent = BLOCK_SIZE_EXPONENT
    number = 0
    if wanted is not None:
        exponent = min(exponent, wanted.size_exponent)
        number = wanted.start // (1 << (exponent + 4))
    size = 1 << (exponent + 4)
    block = document[number * size : (number + 1) * size]
    if not block:
        return build_answer(request, codes.BAD_OPTION)
    answer = build_answer(request, codes.CONTENT, block)
    answer.opt.block2 = (number, (number + 1) * size < len(document), exponent)
    answer.opt.size2 = len(document)
    return answer


def _build_content(message: Message, origin: Origin) -> Message:
    query = read_query(message.opt)
    match (message.code, *message.opt.uri_path):
        case (codes.GET, "stock"):
            return _build_json(message, origin, board=query.get("board", ""))
        case (codes.POST, "basket"):
            return _answer_order(message, origin)
        case (codes.GET, "sheet" | "guide" as path, identifier):
            return build_block(message, build_document(path, identifier))
        case (codes.GET, "fit"):
            size = choose_size(int(query["height"]), int(query["inseam"]))
            return _build_json(message, origin, id=query.get("id"), size=size)
        case (codes.GET, "chart"):
            return _build_json(message, origin, id=query.get("id"), chart="40-180 cm")
        case _:
            return build_answer(message, codes.METHOD_NOT_ALLOWED)


def _answer_order(message: Message, origin: Origin) -> Message:
    order = json.loads(message.payload)
    identifier = str(order["id"])
    answer = _build_json(
        message,
        origin,
        id=identifier,
        attempt=order.get("attempt", 1),
        price=compute_price(identifier),
    )
    answer.code = codes.CHANGED
    return answer


def _build_json(request: Message, origin: Origin, **fields: Field) -> Message:
    payload = describe(find_service(request), origin, **fields)
    answer = build_answer(request, codes.CONTENT, payload)
    answer.opt.content_format = JSON_FORMAT
    return answer


__all__ = [
    "JSON_FORMAT",
    "Origin",
    "build_block",
    "build_content",
    "describe",
    "find_service",
    "identify_request",
]
