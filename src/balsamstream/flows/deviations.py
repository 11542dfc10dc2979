"""Differences of a host's answers from those of its peers, route by route.

Load pattern: a host that fails, answers short, or is several times slower or faster
than its peers. Rare long requests, answers of varying size, and a fault that all hosts
share are no deviation of any host.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .messages import RouteReport
    from .placement import Host

MIN_ANSWERS: Final = 8
"""Requests on a route below which a host is not compared."""
MIN_PEERS: Final = 4
MAX_FAILURE_RATE: Final = 0.25
FAILURE_DEVIATIONS: Final = 2.5
MIN_CERTAIN_FAILURE_RATE: Final = 0.1
"""Rate that remains after subtracting `FAILURE_DEVIATIONS` standard deviations. Where
3 % of the requests are too long for the objective, 3 of 11 requests fail in 0.4 % of
all windows, and 5 of 16 in 0.005 %."""
MAX_FAILURE_RATIO: Final = 4.0
"""Failure rate relative to the peers' median; all hosts fail alike under overload."""
MIN_BYTES_RATIO: Final = 0.25
"""Lower quartile of bytes relative to the peers' median quartile. Healthy hosts come to
a third of it where few small answers of varying size are compared."""
MAX_TIME_RATIO: Final = 3.0
"""Service time relative to the peers' median, and the inverse of the least ratio."""
MIN_TIME_DIFFERENCE_MS: Final = 2.0
"""Difference of service times that timers and the scheduler of a gate may cause."""
MIN_SPREADS: Final = 5.0
"""Distance from the peers' median, relative to the median distance of all hosts (both
of logarithms). Without this bound, 5 % of the healthy hosts with 8 answers deviate on a
route whose answers vary in size by a factor of 20."""
MIN_FIGURE: Final = 0.01
"""Bytes or milliseconds below which figures are not told apart."""
MAX_SEVERITY: Final = 4.0


@dataclass(frozen=True, slots=True)
class Deviation:
    """Difference of a host from its peers.

    Attributes
    ----------
    criterion : str
        ``failures``, ``bytes``, ``slow`` or ``fast``.
    route_tag : int
        Tag of the route.
    value, peers : float
        Figure of the host and median of its peers: share of failures, bytes or
        milliseconds.
    severity : float
        How far the figure is beyond the bound, 1 to `MAX_SEVERITY`.
    requests : int
        Requests of the host that the figure is based on.
    """

    criterion: str
    route_tag: int
    value: float
    peers: float
    severity: float
    requests: int


def find_deviations(hosts: Iterable[Host]) -> dict[str, tuple[Host, Deviation]]:
    """Find the worst deviation of each host of a service from its peers.

    Parameters
    ----------
    hosts : iterable of Host
        Hosts of one service with recent reports.

    Returns
    -------
    dict of str to tuple of Host and Deviation
        Hosts that deviate on any route, by address.
    """
    by_route: defaultdict[int, list[tuple[Host, RouteReport]]] = defaultdict(list)
    for host in hosts:
        for report in host.routes:
            by_route[report.route_tag].append((host, report))
    found: dict[str, tuple[Host, Deviation]] = {}
    for reports in by_route.values():
        for host, deviation in _compare_route(reports):
            worst = found.get(host.ip)
            if worst is None or worst[1].severity < deviation.severity:
                found[host.ip] = (host, deviation)
    return found


def _compare_route(
    reports: list[tuple[Host, RouteReport]],
) -> Iterator[tuple[Host, Deviation]]:
    served = [
        each for each in reports if each[1].answers + each[1].failures >= MIN_ANSWERS
    ]
    failed = _compare(served, _get_failure_rate, _check_failures)
    for host, deviation in failed:
        if _is_certain(deviation.value, deviation.requests):
            yield host, deviation
    answered = [each for each in served if each[1].answers >= MIN_ANSWERS]
    for get_value, check in (
        (_get_bytes, _check_bytes),
        (_get_service_ms, _check_time),
    ):
        spread = MIN_SPREADS * _compute_spread(
            [get_value(each) for _, each in answered]
        )
        for host, deviation in _compare(answered, get_value, check):
            if _get_distance(deviation.value, deviation.peers) > spread:
                yield host, deviation


def _compare(
    reports: list[tuple[Host, RouteReport]],
    get_value: Callable[[RouteReport], float],
    check: Callable[[float, float], tuple[str, float] | None],
) -> Iterator[tuple[Host, Deviation]]:
    """Iterate over the hosts whose figure fails a check against their peers' median."""
    if len(reports) <= MIN_PEERS:
        return
    ordered = sorted(get_value(report) for _, report in reports)
    for host, report in reports:
        value = get_value(report)
        peers = compute_peer_median(ordered, value)
        failed = check(value, peers)
        if failed is None:
            continue
        criterion, ratio = failed
        severity = min(MAX_SEVERITY, ratio)
        requests = report.answers + report.failures
        tag = report.route_tag
        yield host, Deviation(criterion, tag, value, peers, severity, requests)


def compute_peer_median(ordered: list[float], value: float) -> float:
    """Return the median of sorted figures without one occurrence of a given one."""
    position = bisect_left(ordered, value)
    peers = len(ordered) - 1
    middle = (_get_peer(ordered, position, index) for index in _get_middle(peers))
    return sum(middle) / 2.0


def _is_certain(rate: float, requests: int) -> bool:
    """Return whether a failure rate is high beyond what few requests show by chance."""
    deviation = math.sqrt(rate * (1.0 - rate) / requests)
    return rate - FAILURE_DEVIATIONS * deviation > MIN_CERTAIN_FAILURE_RATE


def _compute_spread(values: list[float]) -> float:
    """Return the median distance of figures from their median."""
    if not values:
        return 0.0
    median = sorted(values)[len(values) // 2]
    return sorted(_get_distance(each, median) for each in values)[len(values) // 2]


def _get_distance(value: float, other: float) -> float:
    """Return the distance of the logarithms of two figures."""
    return abs(math.log(max(value, MIN_FIGURE) / max(other, MIN_FIGURE)))


def _get_peer(ordered: list[float], position: int, index: int) -> float:
    return ordered[index if index < position else index + 1]


def _get_middle(count: int) -> tuple[int, int]:
    return (count - 1) // 2, count // 2


def _get_failure_rate(report: RouteReport) -> float:
    return report.failures / (report.answers + report.failures)


def _get_bytes(report: RouteReport) -> float:
    return float(report.answer_bytes)


def _get_service_ms(report: RouteReport) -> float:
    return report.service_ms


def _check_failures(rate: float, peers: float) -> tuple[str, float] | None:
    if rate <= MAX_FAILURE_RATE or rate <= MAX_FAILURE_RATIO * peers:
        return None
    return "failures", rate / MAX_FAILURE_RATE


def _check_bytes(size: float, peers: float) -> tuple[str, float] | None:
    if size >= MIN_BYTES_RATIO * peers:
        return None
    return "bytes", MIN_BYTES_RATIO * peers / max(size, 1.0)


def _check_time(time_ms: float, peers_ms: float) -> tuple[str, float] | None:
    if abs(time_ms - peers_ms) < MIN_TIME_DIFFERENCE_MS:
        return None
    if time_ms > MAX_TIME_RATIO * peers_ms:
        return "slow", time_ms / max(MAX_TIME_RATIO * peers_ms, 0.01)
    if time_ms * MAX_TIME_RATIO < peers_ms:
        return "fast", peers_ms / max(MAX_TIME_RATIO * time_ms, 0.01)
    return None


__all__ = ["Deviation", "compute_peer_median", "find_deviations"]
