"""Reduced use of hosts whose answers differ from those of their peers.

Load pattern: a host that fails in 1 ms among ten that answer in 20 ms is always the
least loaded and attracts the most new flows. The same holds, less strongly, for a host
that fails half of its requests, or resets everything although it reports that it is
ready; a host that is five times slower delays whatever is placed on it. Rare long
requests, or a fault that all hosts share, must not reduce the use of any host.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .deviations import find_deviations
from .heartbeat import HostState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from .deviations import Deviation
    from .events import Events
    from .messages import Report
    from .placement import Host

MAX_REDUCED_SHARE: Final = 1.0 / 3.0
DISPLACEMENT_RATIO: Final = 1.5
"""Severity relative to that of a reduced host above which the places are exchanged; a
lower ratio would exchange hosts with the same fault time and again."""
EVALUATION_INTERVAL_S: Final = 0.5
MIN_EVALUATION_INTERVAL_S: Final = 0.25
REPORT_ROUND_S: Final = 0.1
"""Time from the first report of a round until the others have arrived."""
EVIDENCE_TIMEOUT_S: Final = 3.0
"""Age of a report above which it is no evidence."""
EJECTION_S: Final = 2.0
MAX_EJECTION_S: Final = 16.0
QUARTER_S: Final = 2.0
HISTORY_S: Final = 60.0
"""Time for which an ejection lengthens the next one."""
PROBE_INTERVAL_S: Final = 1.0
RESTART_MARGIN_S: Final = 0.5
"""Shift of the end of a cold start that delayed messages may cause."""
_HASHES: Final = 1 << 32


class Use(enum.Enum):
    """Level at which a host is used for new flows."""

    FULL = "full"
    QUARTER = "quarter"
    """One flow of four, by hash."""
    PROBE = "probe"
    """One flow a second."""


QUARTER_SHARE: Final = 0.25


def is_in_quarter(flow: bytes, ip: str) -> bool:
    """Return whether a flow is among the quarter that a host may be chosen for."""
    return zlib.crc32(ip.encode(), zlib.crc32(flow)) < QUARTER_SHARE * _HASHES


@dataclass(slots=True)
class _Record:
    """Level of one host, the time until which it applies, and recent ejections."""

    host: Host
    reported_at: float = -1e9
    until: float = 0.0
    severity: float = 0.0
    ejected_at: deque[float] = field(default_factory=deque)

    def compute_ejection_s(self, now: float) -> float:
        """Return the length of the next ejection, in seconds."""
        while self.ejected_at and now - self.ejected_at[0] > HISTORY_S:
            self.ejected_at.popleft()
        doublings = min(len(self.ejected_at), 8)
        return min(MAX_EJECTION_S, EJECTION_S * 2.0**doublings)


class OutlierDetector:
    """Sets the level of use of each host from the answers that the gates report.

    Parameters
    ----------
    events : Events
        Logs each change of a level.
    name_route : callable
        Returns the name of a route from its tag.
    now : float
        Time, in seconds.
    """

    def __init__(
        self, events: Events, name_route: Callable[[int], str], now: float
    ) -> None:
        self._events = events
        self._name_route = name_route
        self._records: dict[str, _Record] = {}
        self._evaluated_at = -math.inf
        self._due = now + EVALUATION_INTERVAL_S

    def handle_report(self, host: Host, report: Report, now: float) -> None:
        """Note a report that is about to be adopted as the state of a host."""
        if _is_of_new_incarnation(host, report, now):
            self.forget(host)
        self._get_record(host).reported_at = now
        soon = max(now + REPORT_ROUND_S, self._evaluated_at + MIN_EVALUATION_INTERVAL_S)
        self._due = min(self._due, soon)

    def forget(self, host: Host) -> None:
        """Return a host to full use, as another incarnation of it has started."""
        self._records.pop(host.ip, None)
        if host.use is Use.FULL:
            return
        self._log(host, Use.FULL, "new incarnation")
        host.use = Use.FULL

    def tick(
        self, hosts: Iterable[Host], now: float, evacuated: Collection[str] = ()
    ) -> None:
        """Evaluate all hosts if that is due."""
        if now < self._due:
            return
        self._due = now + EVALUATION_INTERVAL_S
        self._evaluated_at = now
        self.evaluate(hosts, now, evacuated)

    def evaluate(
        self, hosts: Iterable[Host], now: float, evacuated: Collection[str] = ()
    ) -> None:
        """Set the level of each host from the last reports.

        Parameters
        ----------
        hosts : iterable of Host
            Hosts of all services.
        now : float
            Time, in seconds.
        evacuated : collection of str
            Data centres that get no new flows; their hosts are not counted as ready.
        """
        by_service: defaultdict[str, list[Host]] = defaultdict(list)
        records = {}
        for host in hosts:
            record = records[host.ip] = self._get_record(host)
            self._continue_ramp(record, now)
            is_usable = host.state is HostState.READY and host.is_alive(now)
            if is_usable and host.data_centre not in evacuated:
                by_service[host.service].append(host)
        self._records = records
        for ready in by_service.values():
            self._evaluate_service(ready, now)

    def _get_record(self, host: Host) -> _Record:
        record = self._records.get(host.ip)
        if record is None or record.host is not host:
            record = self._records[host.ip] = _Record(host)
        return record

    # Recovery.

    def _continue_ramp(self, record: _Record, now: float) -> None:
        """Return a host to the next level once its time at the present one is over."""
        host = record.host
        if host.use is Use.FULL or now < record.until:
            return
        if host.use is Use.PROBE:
            record.until = now + QUARTER_S
            self._set_use(host, Use.QUARTER, "time is over")
            return
        self._set_use(host, Use.FULL, "time is over")

    # Comparison with the peers.

    def _evaluate_service(self, ready: list[Host], now: float) -> None:
        limit = int(len(ready) * MAX_REDUCED_SHARE)
        reduced = [host for host in ready if host.use is not Use.FULL]
        self._restore_above_limit(reduced, limit)
        fresh = [
            host
            for host in ready
            if now - self._records[host.ip].reported_at <= EVIDENCE_TIMEOUT_S
        ]
        found = find_deviations(fresh)
        worst_first = sorted(found.values(), key=lambda each: -each[1].severity)
        for host, deviation in worst_first:
            self._reduce(host, deviation, reduced, limit, now)

    def _restore_above_limit(self, reduced: list[Host], limit: int) -> None:
        """Restore the mildest cases while more than the allowed share is reduced."""
        while len(reduced) > limit:
            self._restore_mildest(reduced, "too many")

    def _restore_mildest(self, reduced: list[Host], reason: str) -> None:
        mildest = min(reduced, key=lambda host: self._records[host.ip].severity)
        reduced.remove(mildest)
        self._set_use(mildest, Use.FULL, reason)

    def _reduce(
        self,
        host: Host,
        deviation: Deviation,
        reduced: list[Host],
        limit: int,
        now: float,
    ) -> None:
        """Eject a host that deviates, unless too many are at a reduced level."""
        record = self._records[host.ip]
        if host.use is Use.PROBE:
            record.severity = deviation.severity
            return
        if host.use is Use.FULL:
            if not self._make_room(deviation, reduced, limit):
                self._events.count("outliers.spared")
                return
            reduced.append(host)
        ejection_s = record.compute_ejection_s(now)
        record.ejected_at.append(now)
        record.until = now + ejection_s
        record.severity = deviation.severity
        host.probe_due = now + PROBE_INTERVAL_S
        self._events.count("outliers.ejected")
        self._set_use(
            host,
            Use.PROBE,
            deviation.criterion,
            route=self._name_route(deviation.route_tag),
            value=round(deviation.value, 3),
            peers=round(deviation.peers, 3),
            requests=deviation.requests,
            ejection_s=ejection_s,
            reduced=len(reduced),
            limit=limit,
        )

    def _make_room(self, deviation: Deviation, reduced: list[Host], limit: int) -> bool:
        """Restore a milder case if needed; tell whether one more may be reduced."""
        if len(reduced) < limit:
            return True
        if not reduced:
            return False
        mildest = min(self._records[host.ip].severity for host in reduced)
        if deviation.severity <= mildest * DISPLACEMENT_RATIO:
            return False
        self._restore_mildest(reduced, "a worse host")
        return True

    def _set_use(self, host: Host, use: Use, reason: str, **evidence: object) -> None:
        self._log(host, use, reason, **evidence)
        host.use = use

    def _log(self, host: Host, use: Use, reason: str, **evidence: object) -> None:
        self._events.emit(
            "host_use",
            host=host.ip,
            service=host.service,
            use=use.value,
            before=host.use.value,
            reason=reason,
            **evidence,
        )


def _is_of_new_incarnation(host: Host, report: Report, now: float) -> bool:
    """Return whether a report shows that a host was replaced or has restarted."""
    if host.name and host.name != report.host:
        return True
    if report.cold_left_s <= 0.0 or now < host.cold_until:
        # A host that always reports a cold start must not escape the comparison.
        return False
    return now + report.cold_left_s > host.cold_until + RESTART_MARGIN_S


__all__ = ["OutlierDetector", "Use", "is_in_quarter"]
