"""Datagrams of unknown content, which are balanced without inspection."""

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
    """Matcher that never matches, since answers cannot be recognised."""

    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Do nothing."""

    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return ``NO_REQUEST``."""
        return NO_REQUEST

    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Do nothing."""

    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Return no datagrams."""
        return []


class OpaqueProtocol(Protocol):
    """Protocol of unknown content: datagrams are neither classified nor changed."""

    def classify(
        self, flow: FlowKey, datagram: bytes, requests: Repeatability
    ) -> Classification | None:
        """Return a classification without a request."""
        return _UNKNOWN

    def build_refusal(self, head: bytes, verdict: NotRun | MayHaveRun) -> bytes | None:
        """Return None: the form of a refusal is unknown."""
        return None

    def add_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Return the datagram unchanged."""
        return datagram

    def is_refusal(self, datagram: bytes) -> bool:
        """Return False: a refusal cannot be recognised."""
        return False

    def build_matcher(self) -> AnswerMatcher:
        """Build a matcher that never matches."""
        return OpaqueMatcher()


__all__ = ["OpaqueMatcher", "OpaqueProtocol"]
