"""Simulated fronts, gates, hosts and callers for the loads that outliers cause."""

from __future__ import annotations

import heapq
import itertools
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from balsamstream.flows.answer_record import AnswerRecord
from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.messages import Report
from balsamstream.flows.outliers import OutlierDetector, Use
from balsamstream.flows.placement import Host, choose_host
from balsamstream.flows.reporter import LOAD_INTERVAL_S

from .deployment import RecordedEvents

DATA_CENTRES = ("medina", "sakiet", "thyna", "gremda")
FRONTS = 4
WORK_S = 0.02
OBJECTIVE_S = 0.25
MAX_QUEUE = 8
"""Requests that wait at a host before it sheds."""
MAX_RETRIES = 2
LINK_DELAY_S = 0.0039
REPORT_INTERVAL_S = 0.5
TICK_S = 0.05


@dataclass(frozen=True)
class Outcome:
    """What a host does with one request.

    Attributes
    ----------
    work_s : float
        Time for which the request takes a slot, in seconds.
    answer_bytes : int
        Payload of the answer; 0 if the host resets the flow instead.
    is_good : bool
        Whether the answer is the right one.
    """

    work_s: float
    answer_bytes: int
    is_good: bool


Behaviour: TypeAlias = Callable[[random.Random, float], Outcome]


def answer(rng: random.Random, _now: float) -> Outcome:
    return Outcome(rng.uniform(0.5, 1.5) * WORK_S, rng.randint(400, 600), True)


def answer_slowly(rng: random.Random, now: float) -> Outcome:
    return Outcome(5.0 * answer(rng, now).work_s, rng.randint(400, 600), True)


def answer_with_long_ones(rng: random.Random, now: float) -> Outcome:
    factor = 7.0 if rng.random() < 0.03 else 1.0
    return Outcome(factor * answer(rng, now).work_s, rng.randint(400, 600), True)


def fail_fast(_rng: random.Random, _now: float) -> Outcome:
    return Outcome(0.001, 0, False)


def answer_errors(_rng: random.Random, _now: float) -> Outcome:
    return Outcome(0.001, 60, False)


def fail_half(rng: random.Random, now: float) -> Outcome:
    return fail_fast(rng, now) if rng.random() < 0.5 else answer(rng, now)


def reset_all(_rng: random.Random, _now: float) -> Outcome:
    return Outcome(0.0, 0, False)


def flap(period_s: float, phase_s: float) -> Behaviour:
    """Build the behaviour of a host that fails for every other period."""

    def behave(rng: random.Random, now: float) -> Outcome:
        is_failing = int((now + phase_s) / period_s) % 2 == 1
        return fail_fast(rng, now) if is_failing else answer(rng, now)

    return behave


@dataclass
class Server:
    """One host with one slot, and the record of its gate."""

    behave: Behaviour
    record: AnswerRecord = field(default_factory=AnswerRecord)
    free_at: float = 0.0
    ends: list[float] = field(default_factory=list)
    reported_at: float = -1.0
    is_report_due: bool = False

    def count_in_flight(self, now: float) -> int:
        """Return the number of requests that wait or are processed."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)


@dataclass
class Result:
    """Statistics of a replay.

    Attributes
    ----------
    requests, in_time, failed : int
        Requests that have ended, those answered rightly within the objective, and those
        that failed after all retries.
    by_host : list of int
        Flows placed on each host.
    most_reduced : int
        Most hosts at a reduced level at once, at any front.
    events : RecordedEvents
        Events of all fronts.
    """

    by_host: list[int]
    requests: int = 0
    in_time: int = 0
    failed: int = 0
    most_reduced: int = 0
    events: RecordedEvents = field(default_factory=RecordedEvents)

    def count(self, event: str) -> int:
        """Return how often an event occurred."""
        return self.events.names().count(event)

    def get_share_in_time(self) -> float:
        """Return the share of requests answered rightly within the objective."""
        return self.in_time / self.requests

    def get_share_of(self, number: int) -> float:
        """Return the share of all flows that were placed on a host."""
        return self.by_host[number] / sum(self.by_host)


@dataclass
class Attempt:
    """One request of a caller."""

    started_at: float
    retries: int = 0


class OutlierReplay:
    """Replays a load with one request per flow, with or without the detection."""

    def __init__(
        self,
        behaviours: list[Behaviour],
        *,
        detects: bool,
        seed: int,
        stated_objective_s: float | None = None,
    ) -> None:
        self._stated_objective_s = stated_objective_s
        self._rng = random.Random(seed)
        self._servers = [Server(behave) for behave in behaviours]
        self._views = [
            [_build_host(number) for number in range(len(behaviours))]
            for _ in range(FRONTS)
        ]
        self.result = Result([0] * len(behaviours))
        self._detectors = [
            OutlierDetector(self.result.events, str, 0.0) if detects else None
            for _ in range(FRONTS)
        ]
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(self, utilisation: float, duration_s: float) -> Result:
        """Replay a share of the capacity of healthy hosts for a time."""
        for front in range(FRONTS):
            self._schedule(0.1 * front, lambda now, at=front: self._report(at, now))
            self._schedule(0.01 * front, lambda now, at=front: self._tick(at, now))
        per_s = utilisation * len(self._servers) / WORK_S
        self._schedule(0.5, lambda now: self._arrive(per_s, now))
        now = 0.0
        while now < duration_s:
            now, _, action = heapq.heappop(self._queue)
            action(now)
        return self.result

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    # Callers.

    def _arrive(self, per_s: float, now: float) -> None:
        self._schedule(
            now + self._rng.expovariate(per_s), lambda at: self._arrive(per_s, at)
        )
        self._place(Attempt(now), now)

    def _place(self, attempt: Attempt, now: float) -> None:
        front = self._rng.randrange(FRONTS)
        number = next(self._numbers)
        flow = struct.pack(">H6sI", number % 65_536, b"route1", number // 65_536)
        view = self._views[front]
        host = choose_host(view, DATA_CENTRES[front], (), (), now, flow)
        assert host is not None
        host.record_placement(now)
        server_number = int(host.ip)
        self.result.by_host[server_number] += 1
        self._process(server_number, flow, attempt, now)

    def _end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        if outcome.is_good:
            self.result.requests += 1
            self.result.in_time += now - attempt.started_at <= OBJECTIVE_S
            return
        if outcome.answer_bytes or attempt.retries == MAX_RETRIES:
            self.result.requests += 1
            self.result.failed += 1
            return
        attempt.retries += 1
        self._place(attempt, now)

    # Hosts and gates.

    def _process(self, number: int, flow: bytes, attempt: Attempt, now: float) -> None:
        server = self._servers[number]
        if self._stated_objective_s is not None:
            server.record.learn_objective(flow, self._stated_objective_s, now)
        server.record.record_request(flow, now)
        outcome = server.behave(self._rng, now)
        if server.count_in_flight(now) > MAX_QUEUE:
            outcome = Outcome(0.0, 0, False)
            end = now
        else:
            end = server.free_at = max(now, server.free_at) + outcome.work_s
        heapq.heappush(server.ends, end)
        self._schedule_load(number, now)
        self._schedule(
            end, lambda at: self._respond(number, flow, attempt, outcome, at)
        )

    def _respond(
        self, number: int, flow: bytes, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        record = self._servers[number].record
        if outcome.answer_bytes:
            record.record_answer(flow, outcome.answer_bytes, now)
        else:
            record.record_failure(flow, now)
        self._schedule_load(number, now)
        self._end(attempt, outcome, now)

    def _schedule_load(self, number: int, now: float) -> None:
        server = self._servers[number]
        if server.is_report_due:
            return
        server.is_report_due = True
        due = max(now, server.reported_at + LOAD_INTERVAL_S)
        self._schedule(due, lambda at: self._send_load(number, at))

    def _send_load(self, number: int, now: float) -> None:
        server = self._servers[number]
        server.is_report_due = False
        server.reported_at = now
        in_flight = server.count_in_flight(now)
        self._schedule(
            now + LINK_DELAY_S, lambda at: self._deliver_load(number, in_flight, at)
        )

    def _deliver_load(self, number: int, in_flight: int, now: float) -> None:
        for view in self._views:
            view[number].record_load(in_flight, in_flight, now)

    # Fronts.

    def _report(self, front: int, now: float) -> None:
        """Deliver the full reports of all gates to one front."""
        self._schedule(now + REPORT_INTERVAL_S, lambda at: self._report(front, at))
        detector = self._detectors[front]
        for host, server in zip(self._views[front], self._servers, strict=True):
            in_flight = server.count_in_flight(now)
            report = build_report(host, server.record, in_flight, now)
            if detector is not None:
                detector.handle_report(host, report, now)
            host.name = report.host
            host.routes = report.routes
            host.record_load(in_flight, in_flight, now)

    def _tick(self, front: int, now: float) -> None:
        self._schedule(now + TICK_S, lambda at: self._tick(front, at))
        detector = self._detectors[front]
        if detector is None:
            return
        view = self._views[front]
        detector.tick(view, now)
        reduced = sum(host.use is not Use.FULL for host in view)
        self.result.most_reduced = max(self.result.most_reduced, reduced)


def build_report(
    host: Host, record: AnswerRecord, in_flight: int, now: float
) -> Report:
    """Build the report of a gate."""
    return Report(
        gate_incarnation=1,
        sequence=0,
        host=f"i-{host.ip}",
        service=host.service,
        data_centre=host.data_centre,
        state=HostState.READY,
        slots=1,
        cold_left_s=0.0,
        in_flight=in_flight,
        flows=in_flight,
        evacuations_era=1,
        evacuations_revision=1,
        seeks_hello=False,
        may_hold_flows=True,
        routes=record.build_reports(now),
    )


def _build_host(number: int) -> Host:
    return Host(
        str(number),
        (str(number), 7_720),
        service="comptoir",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        state=HostState.READY,
    )


def replay(
    behaviours: list[Behaviour],
    *,
    detects: bool,
    utilisation: float = 0.6,
    duration_s: float = 15.0,
    seed: int = 4,
    stated_objective_s: float | None = None,
) -> Result:
    """Replay a load on hosts of the given behaviours.

    Parameters
    ----------
    behaviours : list of Behaviour
        What each host does with a request.
    detects : bool
        Whether the fronts detect outliers.
    utilisation : float
        Share of the capacity of as many healthy hosts.
    duration_s : float
        Length of the replay, in seconds.
    seed : int
        Seed of all random numbers.
    stated_objective_s : float or None
        Objective that fronts state to the gates, in seconds; None if they do not.
    """
    run = OutlierReplay(
        behaviours, detects=detects, seed=seed, stated_objective_s=stated_objective_s
    )
    return run.run(utilisation, duration_s)


__all__ = [
    "Behaviour",
    "Outcome",
    "OutlierReplay",
    "Result",
    "answer",
    "answer_errors",
    "answer_slowly",
    "answer_with_long_ones",
    "build_report",
    "fail_fast",
    "fail_half",
    "flap",
    "replay",
    "reset_all",
]
