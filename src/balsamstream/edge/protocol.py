"""What the edge and the agent need to know of a service's protocol."""

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
    """What a caller's datagram holds.

    Parameters
    ----------
    kind : RequestKind
        Whether a request is inside and may be repeated.
    request : RequestKey
        The same for all copies of one request; ``NO_REQUEST`` without one.
    """

    kind: RequestKind
    request: RequestKey


class AnswerMatcher(ABC):
    """Tells which request a datagram of the backend server answers."""

    @abstractmethod
    def record_request(
        self, flow: FlowKey, request: RequestKey, datagram: bytes
    ) -> None:
        """Note a request that goes to the backend server."""

    @abstractmethod
    def match(self, flow: FlowKey, datagram: bytes) -> RequestKey:
        """Return the request that a datagram completes, or ``NO_REQUEST``."""

    @abstractmethod
    def forget_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Drop a request that nobody waits for any more."""

    @abstractmethod
    def close_flow(self, flow: FlowKey) -> list[bytes]:
        """Drop a flow; return datagrams that end what the backend server sends."""


class Protocol(ABC):
    """Rules of one protocol; no method raises, whatever the bytes."""

    @abstractmethod
    def classify(
        self, flow: FlowKey, datagram: bytes, requests: Repeatability
    ) -> Classification | None:
        """Tell what a caller's datagram holds; nothing where it is malformed."""

    @abstractmethod
    def build_refusal(self, head: bytes, verdict: NotRun | MayHaveRun) -> bytes | None:
        """Build the refusal of a request from the first bytes of its datagram.

        Returns
        -------
        bytes or None
            Nothing where the datagram is no request or the protocol has no refusals.
        """

    @abstractmethod
    def add_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Tell the backend server how many milliseconds are left for a request."""

    @abstractmethod
    def is_refusal(self, datagram: bytes) -> bool:
        """Tell whether a backend server's datagram refuses a request for its load."""

    @abstractmethod
    def build_matcher(self) -> AnswerMatcher:
        """Create the matcher of one agent."""


__all__ = ["AnswerMatcher", "Classification", "Protocol"]
