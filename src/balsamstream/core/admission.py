"""Admission control of one host: limits start low and rise with answers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from ..config.objects import WorkClass

if TYPE_CHECKING:
    from ..config.objects import Profile
    from .identity import FlowKey, RequestKey

FAILURES_TO_HALVE: Final = 3
"""Failures in a row that halve the limits."""

FAILURES_TO_RESTART: Final = 6
"""Failures in a row that count as an unannounced restart."""

REFUSAL_FACTOR: Final = 0.8
"""Factor on the limits after an interval in which the backend server refused work."""

RESERVE_PER_CLASS: Final = 0.1
"""Share of the limit kept for each class of work that is shed later."""

MAX_PENDING: Final = 100_000
SLOW_FACTOR: Final = 2.5
SLOW_MARGIN_S: Final = 0.005
LATENCY_WEIGHT: Final = 0.05
SLOW_LATENCY_WEIGHT: Final = 0.01
WARMUP_ANSWERS: Final = 32
SLOW_WINDOW_ANSWERS: Final = 8
SLOW_ANSWERS: Final = 7
"""Slow answers among the last ``SLOW_WINDOW_ANSWERS`` that show a cold start."""

IN_FLIGHT_MEAN_S: Final = 0.5
"""Time over which the requests in flight are averaged for load reports."""


class Health(Enum):
    """Health of the backend server, derived from its latest answers."""

    SOUND = "sound"
    FAILING = "failing"
    RESTARTED = "restarted"


@dataclass(frozen=True, slots=True)
class _InFlight:
    """When a request was delivered, and how many were in flight with it."""

    started_at: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Present limits of the host."""

    flows: int
    in_flight: int


class Admission:
    """Limits of one backend server, derived from its answers alone.

    Parameters
    ----------
    profile : Profile
        Full limits for each slot and the cold start's ramp.
    slots : int
        Slots of the host.
    now : float
        Start of the ramp, in seconds.
    """

    def __init__(self, profile: Profile, slots: int, now: float) -> None:
        self.profile = profile
        self.slots = slots
        self.share = profile.cold_start.initial_share
        self.latency_s = 0.0
        self.mean_in_flight = 0.0
        self.health = Health.SOUND
        self._in_flight: dict[tuple[FlowKey, RequestKey], _InFlight] = {}
        self._order: deque[tuple[float, tuple[FlowKey, RequestKey]]] = deque()
        self._failures = 0
        self._answers = 0
        self._refusals = 0
        self._ticked_at = now
        self._hold_ends_at: float | None = None
        self._service_time_s = 0.0
        self._latency_samples = 0
        self._recent_slow: deque[bool] = deque(maxlen=SLOW_WINDOW_ANSWERS)

    @property
    def in_flight(self) -> int:
        """Requests delivered and not yet answered."""
        return len(self._in_flight)

    @property
    def limits(self) -> Limits:
        """Limits at the present share; at least one of each."""
        full_flows = self.slots * self.profile.flows_per_slot
        full_in_flight = self.slots * self.profile.in_flight_per_slot
        return Limits(
            max(1, int(self.share * full_flows)),
            max(1, int(self.share * full_in_flight)),
        )

    def can_open_flow(self, flows: int) -> bool:
        """Return whether one more flow may be opened."""
        return flows < self.limits.flows and self.can_start_request(WorkClass.NEW_FLOW)

    def can_start_request(self, work: WorkClass) -> bool:
        """Return whether one more request of a class may be delivered.

        The classes that the profile sheds first stop below the limit, which reserves
        capacity for those shed later.
        """
        position = self.profile.shed.index(work)
        reserve = RESERVE_PER_CLASS * (len(self.profile.shed) - 1 - position)
        limit = self.limits.in_flight
        return self.in_flight < max(1, int(limit * (1.0 - reserve)))

    def list_in_flight(self) -> list[tuple[FlowKey, RequestKey]]:
        """Return the requests in flight, oldest first."""
        return list(self._in_flight)

    def start_request(self, flow: FlowKey, request: RequestKey, now: float) -> None:
        """Record a request that goes to the backend server."""
        key = (flow, request)
        if key in self._in_flight or len(self._order) >= MAX_PENDING:
            return
        self._in_flight[key] = _InFlight(now, len(self._in_flight) + 1)
        self._order.append((now, key))

    def end_request(self, flow: FlowKey, request: RequestKey, now: float) -> float:
        """Record an answer; return its latency in seconds, or -1 if none was due."""
        delivered = self._in_flight.pop((flow, request), None)
        if delivered is None:
            return -1.0
        latency = now - delivered.started_at
        self._failures = 0
        self.health = Health.SOUND
        self._answers += 1
        if self._hold_ends_at is None:
            self._hold_ends_at = now + self.profile.cold_start.hold_s
        self._update_latency(latency, delivered.in_flight)
        return latency

    def drop_request(self, flow: FlowKey, request: RequestKey) -> None:
        """Forget a request that will get no answer."""
        self._in_flight.pop((flow, request), None)

    def expire_requests(self, now: float) -> list[tuple[FlowKey, RequestKey]]:
        """Return requests past the deadline and count them as failures."""
        deadline_s = self.profile.deadline_ms / 1000
        expired: list[tuple[FlowKey, RequestKey]] = []
        while self._order and self._order[0][0] <= now - deadline_s:
            started_at, key = self._order.popleft()
            found = self._in_flight.get(key)
            if found is None or found.started_at != started_at:
                continue
            del self._in_flight[key]
            expired.append(key)
            self.count_failure()
        return expired

    def count_failure(self) -> None:
        """Count a failed request, and lower the limits after several in a row."""
        self._failures += 1
        initial = self.profile.cold_start.initial_share
        if self._failures >= FAILURES_TO_RESTART:
            self.health = Health.RESTARTED
            self._start_cold()
            return
        if self._failures >= FAILURES_TO_HALVE:
            self.health = Health.FAILING
            self.share = max(initial, self.share / 2)

    def count_refusal(self) -> None:
        """Count a request that the backend server itself refused as overloaded."""
        self._refusals += 1

    def restart(self) -> None:
        """Reset to a cold start and forget all requests in flight.

        For a backend server that has restarted, or whose data centre returns.
        """
        self._start_cold()
        self._in_flight.clear()
        self._order.clear()
        self._failures = 0
        self.health = Health.SOUND

    def raise_share(self, share: float) -> None:
        """Raise the share to the one that this host's previous agent had reached."""
        self.share = max(self.share, min(1.0, share))

    def _start_cold(self) -> None:
        self.share = self.profile.cold_start.initial_share
        self._hold_ends_at = None
        self._recent_slow.clear()

    def tick(self, now: float) -> None:
        """Adjust the limits to the answers and refusals of the last interval."""
        elapsed = max(0.0, now - self._ticked_at)
        self._ticked_at = now
        weight = min(1.0, elapsed / IN_FLIGHT_MEAN_S)
        self.mean_in_flight += weight * (self.in_flight - self.mean_in_flight)
        answers, refusals = self._answers, self._refusals
        self._answers = 0
        self._refusals = 0
        if refusals > 0:
            initial = self.profile.cold_start.initial_share
            self.share = max(initial, self.share * REFUSAL_FACTOR)
            return
        if answers == 0 or self._failures > 0 or self.share >= 1.0:
            return
        if self._hold_ends_at is None or now < self._hold_ends_at:
            return
        cold = self.profile.cold_start
        rise = (1.0 - cold.initial_share) * min(elapsed, 1.0) / cold.ramp_s
        self.share = min(1.0, self.share + rise)

    def _update_latency(self, latency: float, in_flight: int) -> None:
        """Update the mean latency, and detect a cold start by answers that are slow.

        The latency is reduced to the time that one slot works on one request: waiting
        behind other requests lengthens an answer without any cold start.
        """
        concurrency = max(self.slots, in_flight, len(self._in_flight) + 1)
        service_time = latency * self.slots / concurrency
        self._latency_samples += 1
        if self._latency_samples <= WARMUP_ANSWERS:
            # A single answer may be far from the usual time: average the first ones.
            self.latency_s += (latency - self.latency_s) / self._latency_samples
            self._service_time_s += (
                service_time - self._service_time_s
            ) / self._latency_samples
            return
        self.latency_s += LATENCY_WEIGHT * (latency - self.latency_s)
        is_slow = service_time > SLOW_FACTOR * self._service_time_s + SLOW_MARGIN_S
        weight = SLOW_LATENCY_WEIGHT if is_slow else LATENCY_WEIGHT
        self._service_time_s += weight * (service_time - self._service_time_s)
        self._recent_slow.append(is_slow)
        if sum(self._recent_slow) >= SLOW_ANSWERS:
            self._start_cold()


__all__ = ["Admission", "Health", "Limits"]
