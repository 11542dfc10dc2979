"""Interfaces of the application protocols that balancers and agents handle."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamstream.config.objects import Repeatability
    from balsamstream.core.identity import FlowKey, RequestKey
    from balsamstream.core.message import RequestKind
    from balsamstream.core.verdict import MayHaveRun, NotRun


@dataclass(slots=True)
class Classification:
    """Kind and key of the request in a caller's datagram.

    Parameters
    ----------
    kind : RequestKind
        Whether the datagram holds a request and whether that may be repeated.
    request : RequestKey
        Key shared by all copies of one request; ``NO_REQUEST`` if there is none.
    """

    kind: RequestKind
    request: RequestKey


class AnswerMatcher(ABC):
    """Matches datagrams of the backend server to the requests in flight."""

    @abstractmethod
    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Record a request that is sent to the backend server."""

    @abstractmethod
    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return the request that a datagram completes, or ``NO_REQUEST``."""

    @abstractmethod
    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Drop a request whose answer is no longer needed."""

    @abstractmethod
    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Drop a flow; return the datagrams that stop the backend server's messages."""


class Protocol(ABC):
    """An application protocol; no method raises on malformed datagrams."""

    @abstractmethod
    def classify(
        self, flow: FlowKey, datagram: bytes, requests: Repeatability
    ) -> Classification | None:
        """Classify a caller's datagram; return None if it is malformed."""

    @abstractmethod
    def build_refusal(self, head: bytes, verdict: NotRun | MayHaveRun) -> bytes | None:
        """Build the refusal of a request from the first bytes of its datagram.

        Returns
        -------
        bytes or None
            The refusal, or None if the datagram holds no request or the protocol
            has no refusals.
        """

    @abstractmethod
    def add_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Add the time left for a request, in milliseconds, to its datagram."""

    @abstractmethod
    def is_refusal(self, datagram: bytes) -> bool:
        """Return whether a backend server's datagram refuses a request due to load."""

    @abstractmethod
    def build_matcher(self) -> AnswerMatcher:
        """Build the matcher of one agent."""


__all__ = ["AnswerMatcher", "Classification", "Protocol"]
