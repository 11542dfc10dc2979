"""Flows that a host may hold from before its gate began.

Load pattern: gates are stopped and started under load, or all at once, while their
hosts live on. Only a host knows what it held before; it is asked with the callers' own
packets, and its answer is told from those to an earlier flow with the same ends.
"""

from __future__ import annotations

import enum
from typing import Final

from balsamstream.platform import packets

FLOW_LIFETIME_S: Final = 60.0
"""Older flows may be discarded, so a gate that ran for so long has seen all begin."""
PROBE_TIMEOUT_S: Final = 1.0
"""How long a host may take to show that it holds a flow it was asked about."""


class ProbeResult(enum.Enum):
    """What a packet of a host says of a flow that it was asked about."""

    HELD = enum.auto()
    NOT_HELD = enum.auto()
    AMBIGUOUS = enum.auto()


class HostProbes:
    """What is known of the flows that began before the gate.

    Parameters
    ----------
    now : float
        When the gate began, in seconds.

    Attributes
    ----------
    has_seen_all_flows : bool
        Whether the gate has seen every flow of the host begin.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._probes: dict[bytes, tuple[str, float]] = {}
        self.has_seen_all_flows = False

    def clear(self) -> None:
        """Forget what an earlier incarnation of the host was asked."""
        self._probes.clear()

    def start(self, flow: bytes, front: str, now: float) -> None:
        """Note that the host is asked about a flow for a front."""
        self._probes[flow] = (front, now)

    def get_front(self, flow: bytes) -> str:
        """Return the front for which the host was asked, empty for none."""
        return self._probes.get(flow, ("", 0.0))[0]

    def end(self, flow: bytes) -> None:
        """Forget that the host was asked, as it has said that it knows nothing."""
        self._probes.pop(flow, None)

    def handle_response(self, flow: bytes, packet: bytes) -> ProbeResult:
        """Read from a host's packet whether it holds a flow.

        A reset or an empty packet may be about an earlier flow with the same ends.
        """
        flags = packets.get_flags(packet)
        if flags & packets.RST:
            self.end(flow)
            return ProbeResult.NOT_HELD
        if not packets.get_data_bytes(packet) and not flags & packets.FIN:
            return ProbeResult.AMBIGUOUS
        self.end(flow)
        return ProbeResult.HELD

    def expire(self, now: float) -> None:
        """Forget what the host has not answered."""
        if now - self._started_at > FLOW_LIFETIME_S:
            self.has_seen_all_flows = True
        for flow, (_, probed_at) in list(self._probes.items()):
            if now - probed_at > PROBE_TIMEOUT_S:
                del self._probes[flow]


__all__ = ["PROBE_TIMEOUT_S", "FLOW_LIFETIME_S", "ProbeResult", "HostProbes"]
