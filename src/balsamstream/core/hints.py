"""Flows that a balancer knows to be held away from their bucket's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identity import Address, FlowKey


class Hints:
    """A bounded table from flows to hosts; flows unused for long are forgotten.

    Flows move from the older half to the newer one when they are used. Once the newer
    half is full it becomes the older one, and what was left in that is dropped.

    Parameters
    ----------
    max_hints : int
        Bound of the table.
    """

    __slots__ = ("_half", "_newer", "_older")

    def __init__(self, max_hints: int) -> None:
        self._half = max(1, max_hints // 2)
        self._newer: dict[FlowKey, Address] = {}
        self._older: dict[FlowKey, Address] = {}

    def __len__(self) -> int:
        return len(self._newer) + sum(flow not in self._newer for flow in self._older)

    def find(self, flow: FlowKey) -> Address | None:
        """Return the host that holds a flow, as far as known."""
        host = self._newer.get(flow)
        if host is not None or not self._older:
            return host
        host = self._older.get(flow)
        if host is not None:
            self.record(flow, host)
        return host

    def record(self, flow: FlowKey, host: Address) -> None:
        """Note the host that holds a flow."""
        newer = self._newer
        newer[flow] = host
        if len(newer) > self._half:
            self._older = newer
            self._newer = {}

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self._newer.pop(flow, None)
        if self._older:
            self._older.pop(flow, None)


__all__ = ["Hints"]
