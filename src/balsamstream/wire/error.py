"""Errors of the wire formats."""

from __future__ import annotations


class MalformedMessage(ValueError):  # noqa: N818
    """The bytes are not a valid message, or a message exceeds a size limit.

    Parameters
    ----------
    reason : str
        Short name for logs and counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


__all__ = ["MalformedMessage"]
