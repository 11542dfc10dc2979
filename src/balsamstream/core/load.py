"""Load of the other hosts of a service, from their reports."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .message import LoadReport

REPORT_TIMEOUT_S: Final = 3.5
"""Shortest time without a report after which a host's load counts as unknown."""

REPORTS_PER_S: Final = 6
"""Reports that each host sends per second, to the other hosts in rotation."""

FULL: Final = math.inf
"""Load of a host that can accept no more work."""

DEFAULT_LATENCY_S: Final = 0.05
MIN_LATENCY_S: Final = 0.01

MISSED_ROUNDS: Final = 3.5
"""Rounds without a report from a host after which it counts as silent."""


@dataclass(slots=True)
class _PeerLoad:
    report: LoadReport | None
    last_heard_at: float
    placed: int = 0
    placed_in_flight: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float, latency_s: float) -> float:
        """Return how many of the placed flows' requests are likely still in flight."""
        self.placed_in_flight *= math.exp((self.decayed_at - now) / latency_s)
        self.decayed_at = now
        return self.placed_in_flight


class PeerLoads:
    """The latest load report of each host, and the flows placed there since.

    Flows placed since the report count until the next one. Their requests count for
    about ``latency_s`` seconds only: short ones end long before the next report.
    """

    def __init__(self) -> None:
        self.latency_s = DEFAULT_LATENCY_S
        self._peers: dict[str, _PeerLoad] = {}

    def track_hosts(self, hosts: set[str], now: float) -> None:
        """Expect reports from these hosts and forget all others."""
        for host in list(self._peers):
            if host not in hosts:
                del self._peers[host]
        for host in hosts:
            if host not in self._peers:
                self._peers[host] = _PeerLoad(None, now)

    def reset_timeouts(self, now: float) -> None:
        """Restart all hosts' timeouts after a time in which no report could arrive."""
        for peer in self._peers.values():
            peer.last_heard_at = now

    def record_report(self, report: LoadReport, now: float) -> None:
        """Replace a host's report."""
        self._peers[report.host] = _PeerLoad(report, now)

    def count_placed(self, host: str, now: float) -> None:
        """Count a flow placed on a host since its last report."""
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.placed += 1
        peer.placed_in_flight = peer.decay(now, self.latency_s) + 1.0

    def set_latency(self, latency_s: float) -> None:
        """Set the latency assumed for the other hosts to the one measured here."""
        self.latency_s = max(MIN_LATENCY_S, latency_s)

    def is_silent(self, host: str, hosts: int, now: float) -> bool:
        """Return whether the reports of a host are overdue.

        Parameters
        ----------
        hosts : int
            Number of hosts of the service; the more, the less often each one reports.
        """
        peer = self._peers.get(host)
        if peer is None:
            return False
        return now - peer.last_heard_at > compute_report_timeout(hosts - 1)

    def estimate(self, host: str, now: float) -> float | None:
        """Return the host's load, or None if it is not known."""
        peer = self._peers.get(host)
        if peer is None or now - peer.last_heard_at > compute_report_timeout(
            len(self._peers)
        ):
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
    """Return how long a report counts, in seconds.

    The more peers a host has, the less often it reports to each of them.
    """
    rounds = -(-peers // REPORTS_PER_S)
    return max(REPORT_TIMEOUT_S, float(MISSED_ROUNDS * rounds))


def estimate_load(
    flows: int, flow_limit: int, in_flight: int, in_flight_limit: int
) -> float:
    """Return the mean utilisation of the two limits, or ``FULL`` if one is reached.

    The mean weighs both: the greater share alone would place short requests by flows
    that have long been idle. The new flow does not count: with it, an idle host with
    a limit of one request would look half full and never have its limit raised.
    """
    if flows >= flow_limit or in_flight >= in_flight_limit:
        return FULL
    return (flows / flow_limit + in_flight / in_flight_limit) / 2


__all__ = ["FULL", "REPORTS_PER_S", "PeerLoads", "estimate_load"]
