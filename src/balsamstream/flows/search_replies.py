"""Replies of a gate to fronts on whether its host holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .messages import Kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import Events

_HELD: Final = bytes((Kind.HELD,))
_NOT_HELD: Final = bytes((Kind.NOT_HELD,))
_STRAY: Final = bytes((Kind.STRAY,))


class SearchReplies:
    """Sends and logs the replies of one gate.

    Parameters
    ----------
    send : callable
        Sends a message to a node.
    events : Events
        Logs denials.
    """

    def __init__(self, send: Callable[[str, bytes], None], events: Events) -> None:
        self._send = send
        self._events = events

    def send_held(self, flow: bytes, front: str) -> None:
        """Tell a searching front that the host holds a flow."""
        self._send(front, _HELD + flow)

    def send_not_held(self, flow: bytes, front: str, reason: str) -> None:
        """Tell a searching front that the host does not hold a flow."""
        self._events.emit_for_flow("not_held", flow, front=front, reason=reason)
        self._send(front, _NOT_HELD + flow)

    def send_stray(self, packet: bytes, flow: bytes, front: str, reason: str) -> None:
        """Return a forwarded packet whose flow the host does not hold."""
        self._events.emit_for_flow("stray", flow, front=front, reason=reason)
        self._send(front, _STRAY + packet)


__all__ = ["SearchReplies"]
