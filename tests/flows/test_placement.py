"""Simulated loads that fronts place on hosts, each with its own stale view."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.placement import Host, choose_host
from balsamstream.flows.reporter import LOAD_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    Place = Callable[[list[Host], str, float], Host | None]

DATA_CENTRES = ("medina", "sakiet", "thyna")
HOSTS = 9
SLOTS = 2
FRONTS = 6
SERVICE_TIME_S = 0.025
LINK_DELAY_S = 0.0015
"""Delay from a gate to a front in another data centre, in seconds."""
DURATION_S = 20.0
SEED = 4


@dataclass
class Server:
    """Slots and requests of one simulated host."""

    slow: float = 1.0
    slots: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    ends: list[float] = field(default_factory=list)

    def process(self, now: float, work_s: float) -> float:
        """Process a request; return its wait for a slot, in seconds."""
        free_at = heapq.heappop(self.slots)
        started_at = max(now, free_at)
        end = started_at + work_s * self.slow
        heapq.heappush(self.slots, end)
        heapq.heappush(self.ends, end)
        return started_at - now

    def count_in_flight(self, now: float) -> int:
        """Return the number of requests that wait or are processed."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)


@dataclass
class Result:
    """Statistics of a simulated load."""

    waits: list[float] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    in_own_data_centre: int = 0
    by_host: dict[str, int] = field(default_factory=dict)

    def record(
        self, host: Host, data_centre: str, wait_s: float, work_s: float
    ) -> None:
        """Record one request."""
        self.waits.append(wait_s)
        self.times.append(wait_s + work_s)
        self.in_own_data_centre += host.data_centre == data_centre
        self.by_host[host.ip] = self.by_host.get(host.ip, 0) + 1

    def get_quantile(self, share: float) -> float:
        """Return a quantile of the times from arrival to answer, in seconds."""
        return sorted(self.times)[int(share * len(self.times))]


def place_by_load(hosts: list[Host], data_centre: str, now: float) -> Host | None:
    return choose_host(hosts, data_centre, (), (), now)


def place_randomly(hosts: list[Host], _data_centre: str, _now: float) -> Host | None:
    return random.choice(hosts)


class Replay:
    """Simulates arrivals at all fronts, each with its own view of every host.

    Gates report a changed load at once, limited by the minimum interval.
    """

    def __init__(self, place: Place, slow: dict[int, float]) -> None:
        self._place = place
        self._servers = [Server(slow.get(number, 1.0)) for number in range(HOSTS)]
        self._views = [
            [build_host(number) for number in range(HOSTS)] for _ in range(FRONTS)
        ]
        self._reported_at = [-1.0] * HOSTS
        self._is_report_due = [False] * HOSTS
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run(self, per_s: float) -> Result:
        """Run the simulation with a rate of requests and return its statistics."""
        for number in range(HOSTS):
            self._deliver(number, 0, 0.0)
        self.schedule(0.0, lambda now: self._arrive(per_s, now))
        now = 0.0
        while now < DURATION_S:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.result

    def _arrive(self, per_s: float, now: float) -> None:
        self.schedule(
            now + random.expovariate(per_s), lambda then: self._arrive(per_s, then)
        )
        front = random.randrange(FRONTS)
        data_centre = DATA_CENTRES[front % len(DATA_CENTRES)]
        host = self._place(self._views[front], data_centre, now)
        assert host is not None
        host.record_placement(now)
        work_s = random.uniform(0.5, 1.5) * SERVICE_TIME_S
        number = int(host.ip)
        server = self._servers[number]
        wait = server.process(now, work_s)
        self.result.record(host, data_centre, wait, work_s * server.slow)
        self._schedule_report(number, now)
        self.schedule(
            now + wait + work_s * server.slow,
            lambda then: self._schedule_report(number, then),
        )

    def _schedule_report(self, number: int, now: float) -> None:
        if self._is_report_due[number]:
            return
        self._is_report_due[number] = True
        due = max(now, self._reported_at[number] + LOAD_INTERVAL_S)
        self.schedule(due, lambda then: self._send_report(number, then))

    def _send_report(self, number: int, now: float) -> None:
        self._is_report_due[number] = False
        self._reported_at[number] = now
        in_flight = self._servers[number].count_in_flight(now)
        self.schedule(
            now + LINK_DELAY_S, lambda then: self._deliver(number, in_flight, then)
        )

    def _deliver(self, number: int, in_flight: int, now: float) -> None:
        for view in self._views:
            view[number].record_load(in_flight, in_flight, now)


def replay(
    place: Place, utilisation: float, slow: dict[int, float] | None = None
) -> Result:
    """Simulate a load that keeps a share of all slots busy."""
    random.seed(SEED)
    return Replay(place, slow or {}).run(utilisation * HOSTS * SLOTS / SERVICE_TIME_S)


def build_host(number: int) -> Host:
    return Host(
        str(number),
        (str(number), 7_720),
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        state=HostState.READY,
        slots=SLOTS,
    )


def test_requests_seldom_wait_at_the_load_of_a_busy_day() -> None:
    by_load = replay(place_by_load, 0.6)
    randomly = replay(place_randomly, 0.6)
    waiting = sum(wait > 0.0 for wait in by_load.waits) / len(by_load.waits)
    assert waiting <= 0.2
    assert sum(by_load.waits) <= sum(randomly.waits) / 2.0


def test_load_is_balanced_over_hosts() -> None:
    # The users weight imbalance most, so no host may get far more than the mean.
    counts = replay(place_by_load, 0.6).by_host.values()
    assert max(counts) <= 1.25 * sum(counts) / HOSTS


def test_flows_stay_in_their_data_centre_while_it_has_capacity() -> None:
    result = replay(place_by_load, 0.2)
    assert result.in_own_data_centre >= 0.9 * len(result.times)


def test_slow_host_gets_fewer_flows_and_delays_few() -> None:
    # One host in nine is five times slower and does not report it.
    by_load = replay(place_by_load, 0.5, {4: 5.0})
    randomly = replay(place_randomly, 0.5, {4: 5.0})
    share = by_load.by_host["4"] / len(by_load.times)
    assert share <= 0.5 / HOSTS
    assert by_load.get_quantile(0.95) <= 0.1
    assert randomly.get_quantile(0.95) >= 0.25
