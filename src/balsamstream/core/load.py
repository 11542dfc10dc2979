"""What is known of the load on the other hosts of a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .message import LoadReport

REPORT_LIFE_S: Final = 5.0
"""A host not heard of for so long is not chosen for new flows by load."""

HOSTS_HEARD_EACH_S: Final = 16


@dataclass(slots=True)
class _PeerLoad:
    report: LoadReport | None
    heard: float
    placed: int


class PeerLoads:
    """The latest load report of each host, and what was placed there since."""

    def __init__(self) -> None:
        self._peers: dict[str, _PeerLoad] = {}

    def expect(self, hosts: set[str], now: float) -> None:
        """Begin to wait for reports of hosts that are new, and forget all others."""
        for host in list(self._peers):
            if host not in hosts:
                del self._peers[host]
        for host in hosts:
            if host not in self._peers:
                self._peers[host] = _PeerLoad(None, now, 0)

    def excuse(self, now: float) -> None:
        """Blame no host for a time in which this process did not run."""
        for peer in self._peers.values():
            peer.heard = now

    def take(self, report: LoadReport, now: float) -> None:
        """Replace a host's report."""
        self._peers[report.host] = _PeerLoad(report, now, 0)

    def count_placed(self, host: str) -> None:
        """Add a flow placed there before its next report."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.placed += 1

    def is_silent(self, host: str, hosts: int, now: float) -> bool:
        """Tell whether a host that is expected to report does not.

        Parameters
        ----------
        hosts : int
            Hosts of the service; in a large one each is heard less often.
        """
        peer = self._peers.get(host)
        if peer is None:
            return False
        return now - peer.heard > REPORT_LIFE_S * max(1.0, hosts / HOSTS_HEARD_EACH_S)

    def estimate(self, host: str, now: float) -> float | None:
        """Return the host's load with one more flow; None if it is not known."""
        peer = self._peers.get(host)
        if peer is None or now - peer.heard > REPORT_LIFE_S:
            return None
        report = peer.report
        if report is None:
            return None
        return estimate_load(
            report.flows + peer.placed + 1,
            report.flow_limit,
            report.in_flight + peer.placed + 1,
            report.in_flight_limit,
        )


def estimate_load(
    flows: int, flow_limit: int, in_flight: int, in_flight_limit: int
) -> float:
    """Return the greater used share of the two limits; above 1 nothing fits."""
    return max(flows / max(1, flow_limit), in_flight / max(1, in_flight_limit))


__all__ = ["PeerLoads", "estimate_load"]
