"""Probes for flows that a host holds from before its gate started.

Load pattern: gates restart under load, or all at once, while their hosts keep running.
Only the host knows which flows it held before. The gate forwards the callers' own
packets to it as probes and distinguishes its responses from those for an earlier flow
with the same addresses and ports.
"""

from __future__ import annotations

import enum
from typing import Final

from balsamstream.platform import packets

FLOW_LIFETIME_S: Final = 60.0
"""Older flows may be discarded, so a gate that has run for longer has seen every flow
open."""
PROBE_TIMEOUT_S: Final = 3.0
"""Time that a host has to respond to a probe."""


class ProbeResult(enum.Enum):
    """What a host's packet reveals about a probed flow."""

    HELD = enum.auto()
    NOT_HELD = enum.auto()
    AMBIGUOUS = enum.auto()


class HostProbes:
    """Pending probes of one host, and whether probes are still needed.

    Parameters
    ----------
    now : float
        Start of the gate, in seconds.

    Attributes
    ----------
    has_seen_all_flows : bool
        Whether the gate has seen every flow of the host open, so that no probe is
        needed.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._probes: dict[bytes, tuple[str, float]] = {}
        self.has_seen_all_flows = False

    def start(self, flow: bytes, front: str, now: float) -> None:
        """Record that the host is probed for a flow on behalf of a front."""
        self._probes[flow] = (front, now)

    def get_front(self, flow: bytes) -> str:
        """Return the front that a flow is probed for, empty if there is no probe."""
        return self._probes.get(flow, ("", 0.0))[0]

    def drain(self) -> list[tuple[bytes, str]]:
        """Remove all probes; return the flow and the searching front of each."""
        probes = [(flow, front) for flow, (front, _) in self._probes.items()]
        self._probes.clear()
        return probes

    def end(self, flow: bytes) -> None:
        """Discard the probe for a flow."""
        self._probes.pop(flow, None)

    def handle_response(self, flow: bytes, packet: bytes) -> ProbeResult:
        """Read from a host's packet whether the host holds the probed flow.

        A reset or an empty packet may belong to an earlier flow with the same addresses
        and ports.
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
        """Discard probes without a response, and stop probing after the lifetime."""
        if now - self._started_at > FLOW_LIFETIME_S:
            self.has_seen_all_flows = True
        for flow, (_, probed_at) in list(self._probes.items()):
            if now - probed_at > PROBE_TIMEOUT_S:
                del self._probes[flow]


__all__ = ["FLOW_LIFETIME_S", "PROBE_TIMEOUT_S", "HostProbes", "ProbeResult"]
