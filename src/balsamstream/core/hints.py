"""Hints: flows held by another host than their bucket's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identity import Address, FlowKey


class Hints:
    """A bounded cache from flows to the addresses of their hosts.

    A flow moves from the older half to the newer one when it is used. A full newer
    half becomes the older one, and the flows left in the former older half are
    evicted.

    Parameters
    ----------
    max_hints : int
        Upper bound of the number of flows.
    """

    __slots__ = ("_half_size", "_newer", "_older")

    def __init__(self, max_hints: int) -> None:
        self._half_size = max(1, max_hints // 2)
        self._newer: dict[FlowKey, Address] = {}
        self._older: dict[FlowKey, Address] = {}

    def __len__(self) -> int:
        return len(self._newer) + sum(flow not in self._newer for flow in self._older)

    def find(self, flow: FlowKey) -> Address | None:
        """Return the recorded host of a flow, or None if there is none."""
        host = self._newer.get(flow)
        if host is not None or not self._older:
            return host
        host = self._older.get(flow)
        if host is not None:
            self.record(flow, host)
        return host

    def record(self, flow: FlowKey, host: Address) -> None:
        """Record the host that holds a flow."""
        newer = self._newer
        newer[flow] = host
        if len(newer) > self._half_size:
            self._older = newer
            self._newer = {}

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow."""
        self._newer.pop(flow, None)
        if self._older:
            self._older.pop(flow, None)


__all__ = ["Hints"]
