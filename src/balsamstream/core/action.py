"""Actions that the decision code returns for its process to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identity import Address, FlowKey, RequestKey
    from .message import Message
    from .verdict import MayHaveRun, NotRun
    from .view import ViewEdit


@dataclass(slots=True)
class Send:
    """Send a message to a process of the system."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a datagram to the backend server through the flow's own socket."""

    flow: FlowKey
    caller: Address
    request: RequestKey
    deadline_ms: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Cancel:
    """Forget a request whose answer is no longer awaited."""

    flow: FlowKey
    request: RequestKey


@dataclass(frozen=True, slots=True)
class OpenFlow:
    """Open the flow's socket ahead of its next datagram."""

    flow: FlowKey


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close the flow's socket.

    Parameters
    ----------
    is_handed_over : bool
        Another process continues the flow, so the backend server is not notified.
    """

    flow: FlowKey
    is_handed_over: bool = False


@dataclass(slots=True)
class ReturnToCaller:
    """Send a backend server's datagram to its caller through the edge."""

    service: int
    caller: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Send a refusal that the edge builds from the first bytes of a datagram."""

    service: int
    caller: Address
    verdict: NotRun | MayHaveRun
    head: bytes


@dataclass(frozen=True, slots=True)
class EditView:
    """Change a view on the platform by conditional update."""

    service: str
    edit: ViewEdit


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter."""

    name: str
    amount: int = 1


Action = (
    Send
    | Deliver
    | Cancel
    | OpenFlow
    | CloseFlow
    | ReturnToCaller
    | RefuseCaller
    | EditView
    | Count
)

__all__ = [
    "Action",
    "Cancel",
    "CloseFlow",
    "Count",
    "Deliver",
    "EditView",
    "OpenFlow",
    "RefuseCaller",
    "ReturnToCaller",
    "Send",
]
