"""Datagrams of unknown content: balanced, but never refused or matched."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from balsamstream.core.identity import NO_REQUEST, RequestKey
from balsamstream.core.message import RequestKind

from .protocol import AnswerMatcher, Classification, Protocol

if TYPE_CHECKING:
    from balsamstream.config.objects import Repeatability
    from balsamstream.core.identity import FlowKey
    from balsamstream.core.verdict import MayHaveRun, NotRun

_UNKNOWN: Final = Classification(RequestKind.NONE, NO_REQUEST)


class OpaqueMatcher(AnswerMatcher):
    """Matches nothing."""

    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Note nothing."""

    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return that no request is known."""
        return NO_REQUEST

    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Drop nothing."""

    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Return no farewell."""
        return []


class OpaqueProtocol(Protocol):
    """Balances datagrams as they are."""

    def classify(
        self, flow: FlowKey, datagram: bytes, requests: Repeatability
    ) -> Classification | None:
        """Return that no request is known."""
        return _UNKNOWN

    def build_refusal(self, head: bytes, verdict: NotRun | MayHaveRun) -> bytes | None:
        """Return nothing: a refusal would not be understood."""
        return None

    def add_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Return the datagram as it is."""
        return datagram

    def is_refusal(self, datagram: bytes) -> bool:
        """Return that nothing can be told."""
        return False

    def build_matcher(self) -> AnswerMatcher:
        """Create a matcher that matches nothing."""
        return OpaqueMatcher()


__all__ = ["OpaqueMatcher", "OpaqueProtocol"]
