"""Matching of a backend server's CoAP responses to the requests in flight."""

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

MAX_FLOWS: Final = 100_000
MAX_PENDING_PER_FLOW: Final = 64
MAX_OBSERVED_PER_FLOW: Final = 16


@dataclass(slots=True)
class _FlowState:
    """Requests in flight of one flow and the observations of its caller.

    ``pending`` maps token and Message-ID to the request; ``observed`` maps a token to
    the Message-ID of its last notification.
    """

    pending: dict[tuple[bytes, int], RequestKey] = field(default_factory=dict)
    observed: dict[bytes, int] = field(default_factory=dict)


class CoapMatcher(AnswerMatcher):
    """Matches responses by token; only the first response completes a request.

    A piggybacked response (in an acknowledgement) must also have the request's
    Message-ID; a separate response is matched by its token alone, and a reset by its
    Message-ID alone. Above its bounds the matcher drops the flow without a request for
    the longest time, the oldest request or the oldest observation.
    """

    def __init__(self) -> None:
        self._flows: OrderedDict[FlowKey, _FlowState] = OrderedDict()

    def __len__(self) -> int:
        return sum(len(flow.pending) for flow in self._flows.values())

    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Record a request that is sent to the backend server."""
        head = parse_head(datagram)
        if head is None or not head.is_request or request == NO_REQUEST:
            return
        state = self._flows.get(flow)
        if state is None:
            state = self._add_flow(flow)
        self._flows.move_to_end(flow)
        key = (head.token, head.message_id)
        state.pending.pop(key, None)
        if len(state.pending) >= MAX_PENDING_PER_FLOW:
            del state.pending[next(iter(state.pending))]
        state.pending[key] = request

    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return the request that a datagram completes, or ``NO_REQUEST``."""
        state = self._flows.get(flow)
        head = parse_head(datagram)
        if state is None or head is None:
            return NO_REQUEST
        if head.type is MessageType.RST:
            return _complete_by_message_id(state, head.message_id)
        if not head.is_response:
            return NO_REQUEST
        if head.type is MessageType.ACK:
            key = (head.token, head.message_id)
            return state.pending.pop(key, NO_REQUEST)
        _record_notification(state, head, datagram)
        return _complete_by_token(state, head.token)

    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Drop a request whose answer is no longer needed."""
        state = self._flows.get(flow)
        if state is None:
            return
        for key, pending in list(state.pending.items()):
            if pending == request:
                del state.pending[key]

    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Drop a flow; return a reset for the last notification of each observation."""
        state = self._flows.pop(flow, None)
        if state is None:
            return []
        return [
            build_message(MessageType.RST, 0, message_id)
            for message_id in state.observed.values()
        ]

    def _add_flow(self, flow: FlowKey) -> _FlowState:
        if len(self._flows) >= MAX_FLOWS:
            self._flows.popitem(last=False)
        state = _FlowState()
        self._flows[flow] = state
        return state


def _complete_by_message_id(state: _FlowState, message_id: int) -> RequestKey:
    for key in state.pending:
        if key[1] == message_id:
            return state.pending.pop(key)
    return NO_REQUEST


def _complete_by_token(state: _FlowState, token: bytes) -> RequestKey:
    for key in state.pending:
        if key[0] == token:
            return state.pending.pop(key)
    return NO_REQUEST


def _record_notification(state: _FlowState, head: Head, datagram: bytes) -> None:
    if not _has_observe(datagram, FIXED_BYTES + len(head.token)):
        state.observed.pop(head.token, None)
        return
    state.observed.pop(head.token, None)
    if len(state.observed) >= MAX_OBSERVED_PER_FLOW:
        del state.observed[next(iter(state.observed))]
    state.observed[head.token] = head.message_id


def _has_observe(datagram: bytes, offset: int) -> bool:
    try:
        for option in iterate_options(datagram, offset):
            if option.number >= OBSERVE_OPTION:
                return option.number == OBSERVE_OPTION
    except OptionError:
        return False
    return False


__all__ = ["CoapMatcher"]
