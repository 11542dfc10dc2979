"""What is known of the load on the other hosts of a service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .message import LoadReport

REPORT_TIMEOUT_S: Final = 3.5
"""A host not heard of for so long is not chosen for new flows by load."""

REPORTS_PER_S: Final = 6
"""Hosts that each host sends its report to in one second, in turn."""

FULL: Final = math.inf
"""Load of a host that bears no more."""

LATENCY_ASSUMED_S: Final = 0.05
LATENCY_LEAST_S: Final = 0.01

ROUNDS_MISSED: Final = 3.5
"""A host is silent once so many of its reports are missing."""


@dataclass(slots=True)
class _PeerLoad:
    report: LoadReport | None
    heard: float
    placed: int = 0
    working: float = 0.0
    worked: float = 0.0

    def decay(self, now: float, latency_s: float) -> float:
        """Return how many of the placed flows' requests are likely still worked on."""
        self.working *= math.exp((self.worked - now) / latency_s)
        self.worked = now
        return self.working


class PeerLoads:
    """The latest load report of each host, and what was placed there since.

    Flows placed since count until the next report. Their requests count for about
    ``latency_s`` seconds only: short ones are long done before the next report.
    """

    def __init__(self) -> None:
        self.latency_s = LATENCY_ASSUMED_S
        self._peers: dict[str, _PeerLoad] = {}

    def track_hosts(self, hosts: set[str], now: float) -> None:
        """Begin to wait for reports of hosts that are new, and forget all others."""
        for host in list(self._peers):
            if host not in hosts:
                del self._peers[host]
        for host in hosts:
            if host not in self._peers:
                self._peers[host] = _PeerLoad(None, now)

    def reset_timeouts(self, now: float) -> None:
        """Blame no host for a time in which this process did not run."""
        for peer in self._peers.values():
            peer.heard = now

    def record_report(self, report: LoadReport, now: float) -> None:
        """Replace a host's report."""
        self._peers[report.host] = _PeerLoad(report, now)

    def count_placed(self, host: str, now: float) -> None:
        """Add a flow placed there before its next report."""
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.placed += 1
        peer.working = peer.decay(now, self.latency_s) + 1.0

    def set_latency(self, latency_s: float) -> None:
        """Take how long requests last here as the time that they last elsewhere."""
        self.latency_s = max(LATENCY_LEAST_S, latency_s)

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
        return now - peer.heard > compute_report_timeout(hosts - 1)

    def estimate(self, host: str, now: float) -> float | None:
        """Return the host's load; None if it is not known."""
        peer = self._peers.get(host)
        if peer is None or now - peer.heard > compute_report_timeout(len(self._peers)):
            return None
        report = peer.report
        if report is None:
            return None
        return estimate_load(
            report.flows + peer.placed,
            report.flow_limit,
            report.in_flight + round(peer.decay(now, self.latency_s)),
            report.in_flight_limit,
        )


def compute_report_timeout(peers: int) -> float:
    """Return how long a report counts where each host has so many peers."""
    rounds = -(-peers // REPORTS_PER_S)
    return max(REPORT_TIMEOUT_S, float(ROUNDS_MISSED * rounds))


def estimate_load(
    flows: int, flow_limit: int, in_flight: int, in_flight_limit: int
) -> float:
    """Return the mean used share of the two limits, or ``FULL`` if no more fits.

    The mean weighs both: the greater share alone would place short requests by flows
    that have long been idle. The flow to come does not count: with it, an idle host
    that bears one request would look half full and never get its limit raised.
    """
    if flows >= flow_limit or in_flight >= in_flight_limit:
        return FULL
    return (flows / flow_limit + in_flight / in_flight_limit) / 2


__all__ = ["FULL", "REPORTS_PER_S", "PeerLoads", "estimate_load"]
