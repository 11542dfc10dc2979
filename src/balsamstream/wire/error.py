"""Errors of the wire formats."""

from __future__ import annotations


class MalformedMessage(ValueError):  # noqa: N818
    """The bytes are no message of this format, or the message fits no datagram.

    Parameters
    ----------
    reason : str
        Short name for logs and counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


__all__ = ["MalformedMessage"]
