"""Expected time until a request that is placed now is answered.

Load patterns: a data centre at its peak that sends no flow elsewhere until all its
hosts are busy, and then sends every flow to the host that reported last; hosts of
different speed, where the one with the shorter queue is not the sooner one; a service
whose hosts are all full, whose packets cross data centres only to be refused there.

The expected time is the wait at the host, the work on the request and the round trips
of the opening and of the request. Reports are out of date by the time that other fronts
may have placed flows unseen. Hosts whose times differ by less are chosen by the hash of
flow and front, the sooner the more often, so that fronts with the same reports choose
different hosts and the choice changes without a step.
"""

from __future__ import annotations

import math
import statistics
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .messages import TIMED_PROTOCOL
from .placement import COLD_FACTOR

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .placement import Host

COLD_SLOWDOWN: Final = 1.6
"""Service time of a host in its cold start, relative to later."""
REPORT_LIFETIME_S: Final = 1.2
"""Age of a report above which the wait at its host is unknown."""
DEFAULT_SERVICE_S: Final = 0.025
"""Service time of a route that no host has reported yet."""
OPENING_ROUND_TRIPS: Final = 2
"""Round trips until a host has the request: the opening packet's and its own."""
CROSSING_S: Final = 0.004
"""Delay that counts as much as the charge for an answer between data centres."""
MIN_UNCERTAINTY: Final = 0.15
"""Share of the service time below which a difference is not significant: the error of
a median of a few dozen samples."""
MAX_BLIND_S: Final = 0.05
"""Age of a report from which on it gets no more uncertain, since gates report each
change of load at once."""
TYPICAL_LIFETIME_S: Final = 0.5
"""Time between two computations of the peers' median; gates report as often."""
MAX_TYPICAL: Final = 256


@dataclass(frozen=True, slots=True)
class NewFlow:
    """A flow to be placed.

    Attributes
    ----------
    key : bytes
        Key of the flow.
    service : str
        Service that the flow goes to.
    route_tag : int
        Tag of its route.
    has_waited : bool
        Whether a busy host has declined it, which may have been after a wait.
    """

    key: bytes
    service: str
    route_tag: int
    has_waited: bool = False


class DelayEstimator:
    """Estimates delays at hosts and chooses by them, for one front.

    Parameters
    ----------
    ip, data_centre : str
        Address and data centre of the front.
    """

    def __init__(self, ip: str, data_centre: str) -> None:
        self._seed = zlib.crc32(ip.encode())
        self._data_centre = data_centre
        self._typical: dict[tuple[str, int], tuple[float, float]] = {}

    def get_typical_service_s(
        self, peers: Iterable[Host], flow: NewFlow, now: float
    ) -> float:
        """Return the median service time of a route at its hosts.

        Parameters
        ----------
        peers : iterable of Host
            All hosts of the service.
        flow : NewFlow
            Flow of the route.
        now : float
            Time, in seconds.

        Returns
        -------
        float
            Time in seconds; the default while no host has reported it.
        """
        key = (flow.service, flow.route_tag)
        median_s, until = self._typical.get(key, (DEFAULT_SERVICE_S, -math.inf))
        if now >= until:
            median_s = _compute_median(peers, flow.route_tag)
            if len(self._typical) >= MAX_TYPICAL:
                self._typical.clear()
            self._typical[key] = (median_s, now + TYPICAL_LIFETIME_S)
        return median_s

    def can_answer(
        self,
        host: Host,
        flow: NewFlow,
        typical_s: float,
        left_s: float,
        now: float,
    ) -> bool:
        """Return whether a host may answer a request in the time that is left.

        Where the wait is unknown it may, but a flow that has waited already goes only
        to a free slot: it would outlive its caller's attempt in one queue after
        another, and then take a slot from a flow that is in time.
        """
        if not is_wait_known(host, now):
            return not flow.has_waited or host.estimate_queue(now) < 1.0
        service_s = host.service_times.get(flow.route_tag, typical_s)
        return self.estimate_soonest(host, service_s, now) <= left_s

    def estimate_soonest(self, host: Host, service_s: float, now: float) -> float:
        """Return the time until an answer, without the weights of the choice.

        Other fronts are expected to keep a busy host as busy as it was reported.
        """
        wait_s = estimate_wait(host, service_s, now)
        load = (host.in_flight + len(host.unreported)) / host.slots
        unseen_s = min(1.0, load) * _get_blind_time(host, now)
        work_s = service_s * COLD_SLOWDOWN if now < host.cold_until else service_s
        return wait_s + unseen_s + work_s + _get_travel(host)

    def estimate(self, host: Host, service_s: float, now: float) -> float:
        """Return the expected time until an answer, as the choice compares it.

        Parameters
        ----------
        host : Host
            The host.
        service_s : float
            Service time of the route there, in seconds.
        now : float
            Time, in seconds.

        Returns
        -------
        float
            Time in seconds. A cold host's wait and work are weighted, and another data
            centre counts as farther than it is.
        """
        delay_s = estimate_wait(host, service_s, now)
        if now < host.cold_until:
            delay_s = delay_s * COLD_FACTOR + service_s * COLD_SLOWDOWN
        else:
            delay_s += service_s
        if host.data_centre != self._data_centre:
            delay_s += CROSSING_S
        return delay_s + _get_travel(host)

    def choose(
        self,
        hosts: Sequence[Host],
        flow: NewFlow,
        typical_s: float,
        now: float,
    ) -> tuple[Host, float]:
        """Choose the host with the least expected time.

        Parameters
        ----------
        hosts : sequence of Host
            Usable hosts, at least one.
        flow : NewFlow
            The flow.
        typical_s : float
            Median service time of the route at all hosts, in seconds.
        now : float
            Time, in seconds.

        Returns
        -------
        Host, float
            The host and the expected time there, in seconds.
        """
        tag = flow.route_tag
        times = [
            self.estimate(host, host.service_times.get(tag, typical_s), now)
            for host in hosts
        ]
        least_s = min(times)
        soonest = hosts[times.index(least_s)]
        uncertainty_s = max(
            MIN_UNCERTAINTY * typical_s,
            _compute_utilisation(hosts) * _get_blind_time(soonest, now),
        )
        point = zlib.crc32(flow.key, self._seed)
        best, best_rank, best_s = soonest, math.inf, least_s
        for host, delay_s in zip(hosts, times, strict=True):
            excess = (delay_s - least_s) / uncertainty_s
            if excess >= 1.0:
                continue
            rank = excess + _draw(point, host.seed)
            if rank < best_rank:
                best, best_rank, best_s = host, rank, delay_s
        return best, best_s


def is_wait_known(host: Host, now: float) -> bool:
    """Return whether the host's gate has reported a wait that is recent enough.

    A gate without samples reports no wait, also if requests are in flight.
    """
    if host.protocol < TIMED_PROTOCOL or now - host.reported_at > REPORT_LIFETIME_S:
        return False
    return host.wait_s > 0.0 or host.in_flight == 0


def estimate_wait(host: Host, service_s: float, now: float) -> float:
    """Return the expected time until a host begins to work on a new request.

    Parameters
    ----------
    host : Host
        The host.
    service_s : float
        Service time of the route there, in seconds.
    now : float
        Time, in seconds.

    Returns
    -------
    float
        Time in seconds; from the requests in flight if the wait is not known.
    """
    placed_s = len(host.unreported) * service_s / host.slots
    if not is_wait_known(host, now):
        return host.in_flight * service_s / host.slots + placed_s
    return max(0.0, host.wait_s - (now - host.reported_at)) + placed_s


def _get_travel(host: Host) -> float:
    return OPENING_ROUND_TRIPS * (host.round_trip.min_s or 0.0)


def _get_blind_time(host: Host, now: float) -> float:
    """Return the time in which other fronts may have placed flows unseen."""
    age_s = max(0.0, now - host.reported_at)
    return min(age_s, MAX_BLIND_S) + (host.round_trip.min_s or 0.0)


def _compute_utilisation(hosts: Sequence[Host]) -> float:
    in_flight = sum(host.in_flight + len(host.unreported) for host in hosts)
    return min(1.0, in_flight / sum(host.slots for host in hosts))


def _compute_median(peers: Iterable[Host], route_tag: int) -> float:
    known = [
        host.service_times[route_tag]
        for host in peers
        if route_tag in host.service_times
    ]
    return statistics.median(known) if known else DEFAULT_SERVICE_S


_MASK: Final = 0xFFFF_FFFF_FFFF_FFFF


def _draw(point: int, seed: int) -> float:
    """Return a number from 0 to 1 for a flow and a host.

    A checksum alone would not do: those of all hosts differ by constants, so some hosts
    would be drawn more often.

    Source: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    """
    mixed = (point << 32 | seed) + 0x9E37_79B9_7F4A_7C15 & _MASK
    mixed = ((mixed ^ mixed >> 30) * 0xBF58_476D_1CE4_E5B9) & _MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D0_49BB_1331_11EB) & _MASK
    return (mixed ^ mixed >> 31) / 2.0**64


__all__ = ["DelayEstimator", "NewFlow", "estimate_wait", "is_wait_known"]
