"""Which CoAP request a datagram of the backend server answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from balsamstream.core.identity import NO_REQUEST, RequestKey

from .coap_message import (
    FIXED_BYTES,
    OBSERVE_OPTION,
    Head,
    MessageType,
    OptionError,
    build_message,
    iterate_options,
    parse_head,
)
from .protocol import AnswerMatcher

if TYPE_CHECKING:
    from balsamstream.core.identity import FlowKey

MOST_FLOWS: Final = 100_000
MOST_PENDING_PER_FLOW: Final = 64
MOST_OBSERVED_PER_FLOW: Final = 16


@dataclass(slots=True)
class _Flow:
    """Requests in flight by token and Message-ID, and last notifications by token."""

    pending: dict[tuple[bytes, int], RequestKey] = field(default_factory=dict)
    observed: dict[bytes, int] = field(default_factory=dict)


class CoapMatcher(AnswerMatcher):
    """Matches by token; the first answer completes a request, later ones do not.

    An answer in an acknowledgement has the request's Message-ID too; a separate one
    has the token only. Beyond its bounds the matcher forgets the oldest request.
    """

    def __init__(self) -> None:
        self._flows: OrderedDict[FlowKey, _Flow] = OrderedDict()

    def __len__(self) -> int:
        return sum(len(flow.pending) for flow in self._flows.values())

    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Note a request that goes to the backend server."""
        head = parse_head(datagram)
        if head is None or not head.is_request or request == NO_REQUEST:
            return
        found = self._flows.get(flow)
        if found is None:
            found = self._open_flow(flow)
        key = (head.token, head.message_id)
        found.pending.pop(key, None)
        if len(found.pending) >= MOST_PENDING_PER_FLOW:
            del found.pending[next(iter(found.pending))]
        found.pending[key] = request

    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return the request that a datagram completes, or ``NO_REQUEST``."""
        found = self._flows.get(flow)
        head = parse_head(datagram)
        if found is None or head is None:
            return NO_REQUEST
        if head.type is MessageType.RST:
            return _complete_by_message_id(found, head.message_id)
        if not head.is_response:
            return NO_REQUEST
        if head.type is MessageType.ACK:
            key = (head.token, head.message_id)
            return found.pending.pop(key, NO_REQUEST)
        _note_notification(found, head, datagram)
        return _complete_by_token(found, head.token)

    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Drop a request that nobody waits for any more."""
        found = self._flows.get(flow)
        if found is None:
            return
        for key, pending in list(found.pending.items()):
            if pending == request:
                del found.pending[key]

    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Drop a flow; reject the last notification of each of its observations."""
        found = self._flows.pop(flow, None)
        if found is None:
            return []
        return [
            build_message(MessageType.RST, 0, message_id)
            for message_id in found.observed.values()
        ]

    def _open_flow(self, flow: FlowKey) -> _Flow:
        if len(self._flows) >= MOST_FLOWS:
            self._flows.popitem(last=False)
        opened = _Flow()
        self._flows[flow] = opened
        return opened


def _complete_by_message_id(found: _Flow, message_id: int) -> RequestKey:
    for key in found.pending:
        if key[1] == message_id:
            return found.pending.pop(key)
    return NO_REQUEST


def _complete_by_token(found: _Flow, token: bytes) -> RequestKey:
    for key in found.pending:
        if key[0] == token:
            return found.pending.pop(key)
    return NO_REQUEST


def _note_notification(found: _Flow, head: Head, datagram: bytes) -> None:
    if not _has_observe(datagram, FIXED_BYTES + len(head.token)):
        found.observed.pop(head.token, None)
        return
    found.observed.pop(head.token, None)
    if len(found.observed) >= MOST_OBSERVED_PER_FLOW:
        del found.observed[next(iter(found.observed))]
    found.observed[head.token] = head.message_id


def _has_observe(datagram: bytes, offset: int) -> bool:
    try:
        for option in iterate_options(datagram, offset):
            if option.number >= OBSERVE_OPTION:
                return option.number == OBSERVE_OPTION
    except OptionError:
        return False
    return False


__all__ = ["CoapMatcher"]
