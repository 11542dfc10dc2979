"""Replays of loads that fronts place on hosts, each front with its own late reports."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from balsamstream.flows.choice import HostChooser
from balsamstream.flows.delay import NewFlow
from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.load_policy import LoadPolicy
from balsamstream.flows.messages import RouteReport
from balsamstream.flows.placement import Host
from balsamstream.flows.reporter import LOAD_INTERVAL_S, REPORT_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Rate = Callable[[str, float], float]

FORMER: Final = LoadPolicy()
BY_DELAY: Final = LoadPolicy(by_delay=True)
BY_DEADLINE: Final = LoadPolicy(by_delay=True, by_deadline=True)
ROUTE_TAG: Final = 7
SERVICE: Final = "comptoir"
LOCAL_DELAY_S: Final = 0.0003
SAMPLES: Final = 32


@dataclass(frozen=True)
class Site:
    """Deployment and load to replay.

    Attributes
    ----------
    hosts : dict of str to list of float
        Factors by which the hosts of each data centre are slower.
    rate : callable
        Requests per second from a data centre at a time.
    fronts : int
        Fronts in each data centre.
    slots : int
        Requests that a host processes at once.
    work_s : float
        Mean work on a request, in seconds.
    link_s : float
        Delay between data centres, one way, in seconds.
    late : dict of str to float
        Additional delay of reports to the fronts of a data centre, in seconds.
    rare : frozenset of str
        Data centres whose fronts get a report twice a second only.
    deadline_s : float
        Deadline of the route, in seconds.
    duration_s : float
        Length of the replay, in seconds.
    """

    hosts: dict[str, list[float]]
    rate: Rate
    fronts: int = 2
    slots: int = 1
    work_s: float = 0.025
    link_s: float = 0.0039
    late: dict[str, float] = field(default_factory=dict)
    rare: frozenset[str] = frozenset()
    deadline_s: float = math.inf
    duration_s: float = 8.0


@dataclass
class Server:
    """One host and its gate."""

    data_centre: str
    slow: float
    slots: list[float]
    ends: list[float] = field(default_factory=list)
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    reported_at: float = -1.0
    is_report_due: bool = False

    def estimate_wait(self, now: float) -> float:
        """Return the expected wait of a new request, as a gate reports it."""
        if not self.samples:
            return 0.0
        mean_s = sum(self.samples) / len(self.samples)
        return self.count_in_flight(now) * mean_s / len(self.slots)

    def process(self, now: float, work_s: float) -> float:
        """Process a request; return the time at which it is answered."""
        started_at = max(now, heapq.heappop(self.slots))
        end = started_at + work_s * self.slow
        heapq.heappush(self.slots, end)
        heapq.heappush(self.ends, end)
        self.samples.append(work_s * self.slow)
        return end

    def count_in_flight(self, now: float) -> int:
        """Return the number of requests that wait or are processed."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)


@dataclass
class View:
    """A front and what it knows of the hosts."""

    data_centre: str
    late_s: float
    chooser: HostChooser
    hosts: list[Host]


@dataclass
class Result:
    """Statistics of a replay.

    Attributes
    ----------
    times : list of float
        Times from arrival at a front to the answer there, in seconds.
    placed : list of tuple
        Time, data centre of the front and number of the host of each placement.
    sent_away : list of tuple
        Time, data centre and whether another one was chosen, of each placement.
    declined : list of bool
        Whether another data centre declined the request, of each declined one.
    refused, admitted : int
        Requests that fronts refused and that hosts admitted.
    """

    times: list[float] = field(default_factory=list)
    placed: list[tuple[float, str, int]] = field(default_factory=list)
    sent_away: list[tuple[float, str, bool]] = field(default_factory=list)
    declined: list[bool] = field(default_factory=list)
    refused: int = 0
    admitted: int = 0

    def get_quantile(self, share: float) -> float:
        """Return a quantile of the times, in seconds."""
        return sorted(self.times)[int(share * len(self.times))]

    def get_mean(self) -> float:
        """Return the mean of the times, in seconds."""
        return statistics.fmean(self.times)

    def get_share_away(
        self, data_centre: str, start: float = 0.0, end: float = math.inf
    ) -> float:
        """Return the share of flows of a data centre that it sent to others."""
        away = [
            is_away
            for at, front, is_away in self.sent_away
            if front == data_centre and start <= at < end
        ]
        return sum(away) / len(away)


class Replay:
    """Simulates arrivals, hosts and reports on a virtual clock."""

    def __init__(self, site: Site, policy: LoadPolicy, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._servers = [
            Server(data_centre, slow, [0.0] * site.slots)
            for data_centre, factors in site.hosts.items()
            for slow in factors
        ]
        self._views = [
            self._build_view(data_centre, number, policy)
            for data_centre in site.hosts
            for number in range(site.fronts)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def _build_view(self, data_centre: str, number: int, policy: LoadPolicy) -> View:
        hosts = []
        for index, server in enumerate(self._servers):
            host = build_host(f"10.0.0.{index}", server.data_centre, self._site.slots)
            delay = self._get_delay(data_centre, server.data_centre)
            if policy != FORMER:
                late_s = self._site.late.get(data_centre, 0.0)
                host.round_trip.min_s = 2.0 * delay + late_s
            hosts.append(host)
        chooser = HostChooser(policy, f"{data_centre}-{number}", data_centre)
        return View(data_centre, self._site.late.get(data_centre, 0.0), chooser, hosts)

    def _get_delay(self, first: str, second: str) -> float:
        return LOCAL_DELAY_S if first == second else self._site.link_s

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run(self) -> Result:
        """Run the replay and return its statistics."""
        for server in range(len(self._servers)):
            self._report_all(server, 0.0)
        for view in self._views:
            self._schedule_arrival(view, 0.0)
        now = 0.0
        while now < self._site.duration_s:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.result

    def _schedule_arrival(self, view: View, now: float) -> None:
        per_s = self._site.rate(view.data_centre, now) / self._site.fronts
        gap = self._random.expovariate(per_s)
        self.schedule(now + gap, lambda then: self._arrive(view, then))

    def _arrive(self, view: View, now: float) -> None:
        self._schedule_arrival(view, now)
        flow = NewFlow(self._random.randbytes(12), SERVICE, ROUTE_TAG)
        choice = view.chooser.choose(
            view.hosts, flow, (), (), self._site.deadline_s, now
        )
        if choice.host is None:
            self.result.refused += 1
            return
        choice.host.record_placement(now)
        number = view.hosts.index(choice.host)
        is_away = choice.host.data_centre != view.data_centre
        self.result.placed.append((now, view.data_centre, number))
        self.result.sent_away.append((now, view.data_centre, is_away))
        delay = self._get_delay(view.data_centre, choice.host.data_centre)
        self.schedule(
            now + delay, lambda then: self._process(view, number, then, now, delay)
        )

    def _process(
        self, view: View, number: int, now: float, arrived_at: float, delay: float
    ) -> None:
        server = self._servers[number]
        if now - arrived_at + server.estimate_wait(now) > self._site.deadline_s:
            self.result.declined.append(server.data_centre != view.data_centre)
            return
        self.result.admitted += 1
        work_s = self._random.uniform(0.5, 1.5) * self._site.work_s
        end = server.process(now, work_s)
        self.result.times.append(end - arrived_at + 3.0 * delay)
        self._schedule_report(number, now)
        self.schedule(end, lambda then: self._schedule_report(number, then))

    def _schedule_report(self, number: int, now: float) -> None:
        server = self._servers[number]
        if server.is_report_due:
            return
        server.is_report_due = True
        due = max(now, server.reported_at + LOAD_INTERVAL_S)
        self.schedule(due, lambda then: self._report(number, then))

    def _report(self, number: int, now: float, *, is_periodic: bool = False) -> None:
        server = self._servers[number]
        server.is_report_due = False
        server.reported_at = now
        in_flight, wait_s = server.count_in_flight(now), server.estimate_wait(now)
        for view in self._views:
            if view.data_centre in self._site.rare and not is_periodic:
                continue
            delay = self._get_delay(view.data_centre, server.data_centre) + view.late_s
            host = view.hosts[number]
            self.schedule(
                now + delay,
                lambda then, host=host: self._deliver(host, in_flight, wait_s, then),  # type: ignore[misc]
            )

    def _report_all(self, number: int, now: float) -> None:
        self._report(number, now, is_periodic=True)
        routes = build_routes(self._servers[number].samples)
        for view in self._views:
            view.hosts[number].record_routes(routes)
        self.schedule(
            now + REPORT_INTERVAL_S, lambda then: self._report_all(number, then)
        )

    def _deliver(self, host: Host, in_flight: int, wait_s: float, now: float) -> None:
        host.wait_s = wait_s
        host.record_load(in_flight, in_flight, now)


def replay(site: Site, policy: LoadPolicy, seed: int = 4) -> Result:
    """Replay a load with a policy at all fronts."""
    return Replay(site, policy, seed).run()


def build_host(
    ip: str, data_centre: str = "medina", slots: int = 1, now: float = 0.0
) -> Host:
    """Build a ready host that has just reported, with protocol 2."""
    return Host(
        ip,
        (ip, 7_720),
        service=SERVICE,
        data_centre=data_centre,
        state=HostState.READY,
        slots=slots,
        protocol=2,
        last_heard_at=now,
        reported_at=now,
    )


def build_routes(samples: Sequence[float]) -> list[RouteReport]:
    """Build the report of the answers on the one route."""
    if not samples:
        return []
    service_ms = statistics.median(samples) * 1_000.0
    return [RouteReport(ROUTE_TAG, len(samples), service_ms, 0, 0)]


def build_constant_rate(utilisation: float, site_hosts: int, work_s: float) -> Rate:
    """Return a constant rate that keeps a share of the hosts of a centre busy."""
    return lambda _data_centre, _now: utilisation * site_hosts / work_s


__all__ = [
    "BY_DEADLINE",
    "BY_DELAY",
    "FORMER",
    "ROUTE_TAG",
    "SERVICE",
    "Result",
    "Site",
    "build_constant_rate",
    "build_host",
    "build_routes",
    "replay",
]
