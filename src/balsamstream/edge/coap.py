"""CoAP: classification of requests, refusals and deadlines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import xxhash

from balsamstream.config.objects import Repeatability
from balsamstream.core.identity import NO_REQUEST, RequestKey
from balsamstream.core.message import RequestKind
from balsamstream.core.verdict import MayHaveRun, NotRun

from .coap_matcher import CoapMatcher
from .coap_message import (
    ACK_OR_RST_BIT,
    EMPTY_CODE,
    FIXED_BYTES,
    LAST_METHOD_CODE,
    MAX_TOKEN_BYTES,
    TOKEN_BITS,
    VERSION_BITS,
    VERSION_ONE,
    MessageType,
    OptionError,
    build_message,
    build_option,
    encode_uint,
    iterate_options,
    parse_head,
)
from .protocol import AnswerMatcher, Classification, Protocol

if TYPE_CHECKING:
    from balsamstream.core.identity import FlowKey

DEADLINE_OPTION: Final = 65_000
"""An experimental option; elective (even), so a server that lacks it ignores it."""

MAX_AGE_OPTION: Final = 14
SERVICE_UNAVAILABLE: Final = 0xA3
GATEWAY_TIMEOUT: Final = 0xA4
MAX_RETRY_AFTER_S: Final = 3_600

_REFUSAL_CODES: Final = frozenset({0xA3, 0x9D})
"""5.03 Service Unavailable and 4.29 Too Many Requests."""

GET: Final = 1
PUT: Final = 3
DELETE: Final = 4
FETCH: Final = 5
IPATCH: Final = 7
REPEATABLE_METHODS: Final = frozenset({GET, PUT, DELETE, FETCH, IPATCH})
"""Idempotent methods by RFC 7252, section 5.1, and RFC 8132.

Other methods, unknown ones included, may not be idempotent.
"""

_NO_REQUEST: Final = Classification(RequestKind.NONE, NO_REQUEST)


class CoapProtocol(Protocol):
    """CoAP over UDP (RFC 7252)."""

    def classify(
        self, flow: FlowKey, datagram: bytes, requests: Repeatability
    ) -> Classification | None:
        """Return the kind and key of the request in a datagram, or None if malformed.

        A retransmission repeats the same bytes, so the key is a hash of the flow and
        the datagram.
        """
        size = len(datagram)
        if size < FIXED_BYTES:
            return None
        first = datagram[0]
        token_bytes = first & TOKEN_BITS
        if first & VERSION_BITS != VERSION_ONE or token_bytes > MAX_TOKEN_BYTES:
            return None
        if size < FIXED_BYTES + token_bytes:
            return None
        code = datagram[1]
        if code > LAST_METHOD_CODE or first & ACK_OR_RST_BIT:
            return _NO_REQUEST if code or size == FIXED_BYTES else None
        if code == EMPTY_CODE:
            return _NO_REQUEST if size == FIXED_BYTES else None
        key = xxhash.xxh3_64_intdigest(datagram, flow) or 1
        return Classification(_classify_method(code, requests), RequestKey(key))

    def build_refusal(self, head: bytes, verdict: NotRun | MayHaveRun) -> bytes | None:
        """Build 5.03 with Max-Age if the request did not run, 5.04 if it may have."""
        parsed = parse_head(head)
        if parsed is None or not parsed.is_request:
            return None
        confirmable = parsed.type is MessageType.CON
        kind = MessageType.ACK if confirmable else MessageType.NON
        match verdict:
            case NotRun(retry_after_s):
                code = SERVICE_UNAVAILABLE
                option = _build_max_age(retry_after_s)
            case MayHaveRun():
                code = GATEWAY_TIMEOUT
                option = b""
        return build_message(kind, code, parsed.message_id, parsed.token) + option

    def add_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Insert the deadline after the last option.

        A datagram is returned unchanged if it is malformed, holds no request, or has
        an option whose number is not below ``DEADLINE_OPTION``.
        """
        head = parse_head(datagram)
        if head is None or not head.is_request:
            return datagram
        last = 0
        end = FIXED_BYTES + len(head.token)
        try:
            for option in iterate_options(datagram, end):
                last = option.number
                end = option.end
        except OptionError:
            return datagram
        if last >= DEADLINE_OPTION:
            return datagram
        value = encode_uint(max(0, deadline_ms))
        added = build_option(DEADLINE_OPTION - last, value)
        return datagram[:end] + added + datagram[end:]

    def is_refusal(self, datagram: bytes) -> bool:
        """Return whether the response code is 5.03 or 4.29."""
        return len(datagram) > 1 and datagram[1] in _REFUSAL_CODES

    def build_matcher(self) -> AnswerMatcher:
        """Build a matcher by token and Message-ID."""
        return CoapMatcher()


def _classify_method(code: int, requests: Repeatability) -> RequestKind:
    # Compared by identity, since hashing an enum member is slow.
    if requests is Repeatability.BY_METHOD:
        if code in REPEATABLE_METHODS:
            return RequestKind.REPEATABLE
        return RequestKind.NON_REPEATABLE
    if requests is Repeatability.REPEATABLE:
        return RequestKind.REPEATABLE
    return RequestKind.NON_REPEATABLE


def _build_max_age(retry_after_s: float) -> bytes:
    seconds = min(MAX_RETRY_AFTER_S, max(1, math.ceil(retry_after_s)))
    return build_option(MAX_AGE_OPTION, encode_uint(seconds))


__all__ = ["DEADLINE_OPTION", "MAX_AGE_OPTION", "CoapProtocol"]
