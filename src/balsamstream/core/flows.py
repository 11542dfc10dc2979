"""Table of the flows that a host holds; it is authoritative for them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .identity import Address, FlowKey


@dataclass(slots=True)
class Flow:
    """A flow held by this host.

    Parameters
    ----------
    caller : Address
        Where answers go.
    via : Address
        Balancer that the last datagram entered through.
    last_used_at : float
        Time of the last datagram of either side, in seconds.
    """

    caller: Address
    via: Address
    last_used_at: float


class FlowTable:
    """Held flows, the one that has been idle longest first."""

    def __init__(self) -> None:
        self._flows: OrderedDict[FlowKey, Flow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, key: FlowKey) -> bool:
        return key in self._flows

    def __iter__(self) -> Iterator[FlowKey]:
        return iter(self._flows)

    def find(self, key: FlowKey) -> Flow | None:
        """Return a held flow, or None if it is not held here."""
        return self._flows.get(key)

    def record_caller_packet(
        self, key: FlowKey, caller: Address, via: Address, now: float
    ) -> None:
        """Record a caller's datagram; open its flow if it is new."""
        flow = self._flows.get(key)
        if flow is None:
            self._flows[key] = Flow(caller, via, now)
            return
        flow.via = via
        flow.last_used_at = now
        self._flows.move_to_end(key)

    def record_host_packet(self, key: FlowKey, now: float) -> Flow | None:
        """Record a backend server's datagram; return its flow, or None if not held."""
        flow = self._flows.get(key)
        if flow is None:
            return None
        flow.last_used_at = now
        self._flows.move_to_end(key)
        return flow

    def close(self, key: FlowKey) -> None:
        """Remove a flow."""
        self._flows.pop(key, None)

    def list_idle(self, now: float, idle_s: float) -> list[FlowKey]:
        """Return the flows without a datagram for ``idle_s`` seconds."""
        idle: list[FlowKey] = []
        for key, flow in self._flows.items():
            if flow.last_used_at > now - idle_s:
                break
            idle.append(key)
        return idle


__all__ = ["Flow", "FlowTable"]
