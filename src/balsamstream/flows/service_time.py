"""Service times of the routes of one host, learned from its answers.

Load pattern: a burst of one kind of request, or sustained overload, at a host whose
routes need different times. Queue lengths do not tell whether an opening packet that
waits can still be served before its deadline; the time that each request takes does.
3 % of the requests taking seven times as long must not change the decisions.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from typing import Final

MAX_SAMPLES: Final = 32
MAX_SAMPLE_AGE_S: Final = 10.0
MIN_SAMPLE_INTERVAL_S: Final = 0.01
"""Time between two samples of a route. Of a slot that is always busy, every request of
10 ms or more is learned; learning costs more than passing a packet."""
MAX_ROUTES: Final = 16
MAX_MEDIANS: Final = 3.0
"""Multiple of the median that a sample counts as at most in the mean, so that a rare
long request changes the mean of 32 samples by less than a tenth."""
MAX_ANSWERS: Final = 1_024
"""Answer times that are kept; bounds the memory at a host with very many slots."""


class RouteTimes:
    """Latest service times of one route, in the order of arrival and sorted."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._sorted: list[float] = []
        self._mean_s: float | None = None
        self._due = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the minimum time since the last sample has passed."""
        return now >= self._due

    def add(self, service_s: float, now: float) -> None:
        """Add a service time, in seconds."""
        if len(self._samples) >= MAX_SAMPLES:
            self._remove_oldest()
        self._due = now + MIN_SAMPLE_INTERVAL_S
        self._samples.append((now, service_s))
        insort(self._sorted, service_s)
        self._mean_s = None

    def compute_mean_s(self, now: float) -> float | None:
        """Return the mean of the bounded samples, or None without samples."""
        self._expire(now)
        if self._mean_s is None and self._sorted:
            limit_s = self._get_middle_s() * MAX_MEDIANS
            usual = bisect_right(self._sorted, limit_s)
            total_s = sum(self._sorted[:usual])
            total_s += (len(self._sorted) - usual) * limit_s
            self._mean_s = total_s / len(self._sorted)
        return self._mean_s

    def get_median_s(self, now: float) -> float | None:
        """Return the median, or None without samples."""
        self._expire(now)
        return self._get_middle_s() if self._sorted else None

    def _get_middle_s(self) -> float:
        count = len(self._sorted)
        return (self._sorted[(count - 1) // 2] + self._sorted[count // 2]) / 2

    def _expire(self, now: float) -> None:
        while self._samples and now - self._samples[0][0] > MAX_SAMPLE_AGE_S:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        _, service_s = self._samples.popleft()
        del self._sorted[bisect_right(self._sorted, service_s) - 1]
        self._mean_s = None


class ServiceTimes:
    """Service times of the routes with the latest answers of one host.

    A request is in service from its last byte, or from the moment at which a slot
    became free if that is later, to the first byte of its answer.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, RouteTimes] = {}
        self._answered_at: deque[float] = deque(maxlen=1)

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the host processes at once."""
        kept = max(1, min(slots, MAX_ANSWERS))
        if kept != self._answered_at.maxlen:
            self._answered_at = deque(self._answered_at, maxlen=kept)

    def record_answer(
        self, route: bytes, request_at: float, now: float
    ) -> float | None:
        """Learn from an answer, unless another one was learned from just before.

        Parameters
        ----------
        route : bytes
            Address and port of the route.
        request_at : float
            Time at which the last byte of the request arrived, in seconds.
        now : float
            Time of the first byte of the answer, in seconds.

        Returns
        -------
        float or None
            Service time in seconds, or None if it was not learned.
        """
        answered_at = self._answered_at
        slot_free_at = 0.0
        if len(answered_at) == answered_at.maxlen:
            slot_free_at = answered_at[0]
        answered_at.append(now)
        times = self._routes.get(route)
        if times is not None and not times.is_due(now):
            return None
        service_s = now - max(request_at, slot_free_at)
        self._add(route, service_s, now)
        return service_s

    def record_failure(self, now: float) -> None:
        """Record that a slot became free without an answer."""
        self._answered_at.append(now)

    def estimate_mean_s(self, route: bytes, now: float) -> float | None:
        """Return the mean service time of a route, in seconds.

        A route without samples counts as the mean of the others; None if no route has
        samples.
        """
        times = self._routes.get(route)
        mean_s = None if times is None else times.compute_mean_s(now)
        if mean_s is not None:
            return mean_s
        return self._average_routes(now)

    def is_known(self, now: float) -> bool:
        """Return whether any route has samples."""
        # The route with the latest sample comes last.
        for times in reversed(self._routes.values()):
            return times.compute_mean_s(now) is not None
        return False

    def get_median_s(self, route: bytes, now: float) -> float | None:
        """Return the median service time of a route, or None without samples."""
        times = self._routes.get(route)
        return None if times is None else times.get_median_s(now)

    def clear(self) -> None:
        """Discard what was learned, as the host has restarted."""
        self._routes.clear()
        self._answered_at.clear()

    def _add(self, route: bytes, service_s: float, now: float) -> None:
        times = self._routes.pop(route, None) or RouteTimes()
        self._routes[route] = times
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        times.add(service_s, now)

    def _average_routes(self, now: float) -> float | None:
        means = [times.compute_mean_s(now) for times in self._routes.values()]
        known = [mean for mean in means if mean is not None]
        return sum(known) / len(known) if known else None


__all__ = ["MAX_ROUTES", "MAX_SAMPLES", "MAX_SAMPLE_AGE_S", "ServiceTimes"]
