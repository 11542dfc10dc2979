"""Recent answers of one host, route by route.

Load pattern: a host that fails faster than its peers answer, is several times slower,
or resets everything although its heartbeats say that it is ready. A gate sees each
request and its answer, so it reports counts, times, sizes and failures to the fronts,
which compare hosts with each other.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import islice
from typing import Final, NamedTuple

from balsamstream.platform import packets

from .messages import MS_PER_S, RouteReport, compute_route_tag

WINDOW_S: Final = 5.0
"""Age up to which answers are reported."""
MAX_ROUTES: Final = 16
REPORTED_ROUTES: Final = 8
MAX_ROUTE_REPORTS_PER_S: Final = 50
"""Routes reported a second to all fronts together; each takes 20 bytes, and the control
traffic of a node is bounded by 2 KB/s."""
REPORTS_PER_S: Final = 2
"""Reports a second to each front, which sends hellos at this rate."""
MAX_SAMPLES: Final = 512
"""Answers kept for one route; a host answers up to 100 requests a second."""
MAX_PENDING: Final = 1_024
"""Unanswered requests that are followed at a time."""
MAX_PENDING_S: Final = 5.0
"""Time after which an unanswered request is no longer followed."""
DEFAULT_OBJECTIVE_S: Final = 1.0
"""Objective of a route of which no front has stated one."""
REUSE_S: Final = 0.2
"""Age up to which a built report is sent to further fronts."""


class _Sample(NamedTuple):
    """Outcome of one request; the time and the bytes are 0 for a failure."""

    ended_at: float
    service_s: float
    answer_bytes: int
    is_failure: bool


@dataclass(slots=True)
class _Request:
    """Unanswered request: its last data packet, and when a slot became free for it."""

    arrived_at: float
    slot_free_at: float | None

    def get_start(self) -> float | None:
        """Return when the host could begin with it, or None if all slots are taken."""
        if self.slot_free_at is None:
            return None
        return max(self.arrived_at, self.slot_free_at)


@dataclass(slots=True)
class _RouteRecord:
    """Recent outcomes of one route, and its objective as fronts have stated it."""

    samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    objective_s: float = DEFAULT_OBJECTIVE_S
    stated_at: float = -1e9

    def learn_objective(self, left_s: float, now: float) -> None:
        """Learn the objective from the time left, which is less after a retry."""
        if left_s >= self.objective_s or now - self.stated_at > WINDOW_S:
            self.objective_s = left_s
            self.stated_at = now

    def expire(self, now: float) -> None:
        """Discard outcomes that are older than the window."""
        samples = self.samples
        while samples and now - samples[0].ended_at > WINDOW_S:
            samples.popleft()

    def build_report(self, route: bytes) -> RouteReport:
        """Summarise the outcomes."""
        answered = [sample for sample in self.samples if not sample.is_failure]
        times = sorted(sample.service_s for sample in answered)
        sizes = sorted(sample.answer_bytes for sample in answered)
        count = len(answered)
        return RouteReport(
            route_tag=compute_route_tag(route),
            answers=count,
            # The lower one of two medians: 4 of 8 requests are long ones now and then.
            service_ms=round(times[(count - 1) // 2] * MS_PER_S, 2) if count else 0.0,
            answer_bytes=sizes[count // 4] if count else 0,
            failures=len(self.samples) - count,
        )


class AnswerRecord:
    """Follows the requests at one host and summarises their outcomes by route.

    Requests are assumed to get slots in the order of their arrival: the first `slots`
    unanswered ones are being processed, and a slot becomes free with each answer.

    Attributes
    ----------
    slots : int
        Requests that the host processes at once.
    """

    def __init__(self) -> None:
        self.slots = 1
        self._pending: dict[bytes, _Request] = {}
        self._routes: dict[bytes, _RouteRecord] = {}
        self._reports: list[RouteReport] = []
        self._built_at = -1e9

    def clear(self) -> None:
        """Discard everything, as another incarnation of the host has started."""
        self._pending.clear()
        self._routes.clear()
        self._reports = []
        self._built_at = -1e9

    def learn_objective(self, flow: bytes, left_s: float, now: float) -> None:
        """Learn a route's objective from the time that is left of it for a flow."""
        record = self._get_route(flow, now)
        if record is not None and left_s > 0.0:
            record.learn_objective(left_s, now)

    def record_request(self, flow: bytes, now: float) -> None:
        """Record a data packet of a request that goes to the host."""
        request = self._pending.get(flow)
        if request is not None:
            request.arrived_at = now
            return
        if len(self._pending) >= MAX_PENDING:
            return
        has_slot = len(self._pending) < self.slots
        self._pending[flow] = _Request(now, now if has_slot else None)

    def record_response(self, packet: bytes, now: float) -> None:
        """Record the first packet of an answer, or the end of an unanswered request."""
        flow = packets.get_host_packet_flow(packet)
        answer_bytes = packets.get_data_bytes(packet)
        if packets.get_flags(packet) & packets.RST:
            self.record_failure(flow, now)
        elif answer_bytes:
            self.record_answer(flow, answer_bytes, now)
        elif flow in self._pending:
            self.record_failure(flow, now)

    def record_answer(self, flow: bytes, answer_bytes: int, now: float) -> None:
        """Record an answer; one after the route's objective is a failure."""
        request = self._pending.pop(flow, None)
        self._assign_slots(now)
        if request is None:
            return
        start = request.get_start()
        # The host has not kept to the order of arrival if no slot was free.
        service_s = now - (request.arrived_at if start is None else start)
        record = self._get_route(flow, now)
        if record is None:
            return
        if service_s > record.objective_s:
            record.samples.append(_Sample(now, 0.0, 0, True))
            return
        record.samples.append(_Sample(now, service_s, answer_bytes, False))

    def record_failure(self, flow: bytes, now: float) -> None:
        """Record a request or an opening that the host has reset or left unanswered."""
        self._pending.pop(flow, None)
        self._assign_slots(now)
        record = self._get_route(flow, now)
        if record is not None:
            record.samples.append(_Sample(now, 0.0, 0, True))

    def record_given_up(self, flow: bytes, now: float) -> None:
        """Record that a caller has reset its flow; a failure only if overdue."""
        request = self._pending.get(flow)
        if request is None:
            return
        if self._is_overdue(flow, request, now):
            self.record_failure(flow, now)
            return
        self.drop(flow)

    def drop(self, flow: bytes) -> None:
        """Stop following the request of a flow that is no longer at the host."""
        self._pending.pop(flow, None)

    def handle_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the times of unanswered requests."""
        for request in self._pending.values():
            request.arrived_at += gap_s
            if request.slot_free_at is not None:
                request.slot_free_at += gap_s

    def build_reports(self, now: float, fronts: int = 1) -> list[RouteReport]:
        """Summarise the routes with the most requests in the window.

        Parameters
        ----------
        now : float
            Time, in seconds.
        fronts : int
            Fronts that get reports; the more there are, the fewer routes are reported.
        """
        if now - self._built_at >= REUSE_S:
            self._build(now)
        affordable = MAX_ROUTE_REPORTS_PER_S // (REPORTS_PER_S * max(1, fronts))
        return self._reports[: max(1, affordable)]

    def _build(self, now: float) -> None:
        self._expire(now)
        routes = [each for each in self._routes.items() if each[1].samples]
        routes.sort(key=lambda each: -len(each[1].samples))
        self._reports = [
            record.build_report(route) for route, record in routes[:REPORTED_ROUTES]
        ]
        self._built_at = now

    def _expire(self, now: float) -> None:
        self._assign_slots(now)
        for flow, request in list(self._pending.items()):
            if self._is_overdue(flow, request, now):
                self.record_failure(flow, now)
            elif now - request.arrived_at > MAX_PENDING_S:
                self.drop(flow)
        for record in self._routes.values():
            record.expire(now)

    def _is_overdue(self, flow: bytes, request: _Request, now: float) -> bool:
        start = request.get_start()
        if start is None or now - request.arrived_at > MAX_PENDING_S:
            return False
        record = self._routes.get(packets.get_flow_route(flow))
        objective_s = DEFAULT_OBJECTIVE_S if record is None else record.objective_s
        return now - start > objective_s

    def _assign_slots(self, now: float) -> None:
        for request in islice(self._pending.values(), self.slots):
            if request.slot_free_at is None:
                request.slot_free_at = now

    def _get_route(self, flow: bytes, now: float) -> _RouteRecord | None:
        """Return the record of a flow's route, or None if too many are in use."""
        route = packets.get_flow_route(flow)
        record = self._routes.get(route)
        if record is not None:
            return record
        if len(self._routes) >= MAX_ROUTES and not self._remove_unused(now):
            return None
        record = self._routes[route] = _RouteRecord()
        return record

    def _remove_unused(self, now: float) -> bool:
        for route, record in self._routes.items():
            record.expire(now)
            if not record.samples:
                del self._routes[route]
                return True
        return False


__all__ = ["AnswerRecord"]
