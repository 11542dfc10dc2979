"""Work ahead of a new request at one host, and the expected wait.

Load pattern: most requests arrive on open flows and pass no admission control, so at a
busy host they take slots that waiting opening packets were expected to get.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from balsamstream.platform import packets

from .service_time import ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Mapping

RATE_WINDOW_S: Final = 2.0
MIN_OPENING_SHARE: Final = 0.2
"""Share of the slots that openings are expected to get at least. The learned rate of 30
requests a second varies by an eighth between windows, which must not let the expected
wait grow without bound near saturation."""
MAX_ROUTES: Final = 256


@dataclass(slots=True)
class Forecast:
    """Expected progress of one host.

    Attributes
    ----------
    in_flight_s : float
        Time until the host can begin a request that is dispatched to it now, in
        seconds.
    opening_slots : float
        Slots that requests on open flows leave to opening packets that wait.
    """

    in_flight_s: float
    opening_slots: float

    def compute_start_s(self, work_s: float) -> float:
        """Return the time until the host begins a request behind waiting work."""
        return self.in_flight_s + work_s / self.opening_slots


@dataclass(slots=True, eq=False)
class RouteWork:
    """Requests of one route.

    Attributes
    ----------
    key : bytes
        Address and port of the route.
    in_flight : int
        Requests and openings that the host has not begun to answer.
    arrivals : int
        Requests on open flows since the current window of the rate began.
    """

    key: bytes
    in_flight: int = 0
    arrivals: int = 0


class HostWork:
    """Requests in flight by route, and the learned times and rates of one host.

    Attributes
    ----------
    times : ServiceTimes
        Learned service times.
    """

    def __init__(self) -> None:
        self.times = ServiceTimes()
        self._slots = 1
        self._routes: dict[bytes, RouteWork] = {}
        self._window_began_at: float | None = None
        self._previous_slots = 0.0

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the host processes at once."""
        self._slots = max(1, slots)
        self.times.set_slots(slots)

    def get_route(self, flow: bytes) -> RouteWork:
        """Return the work of the route of a flow key."""
        key = packets.get_flow_route(flow)
        route = self._routes.get(key)
        if route is not None:
            return route
        if len(self._routes) >= MAX_ROUTES:
            # All further routes count as one.
            return self._routes.setdefault(b"", RouteWork(b""))
        route = self._routes[key] = RouteWork(key)
        return route

    def clear(self) -> None:
        """Discard all requests and what was learned, as the host has restarted."""
        self.times.clear()
        self._routes.clear()
        self._window_began_at = None
        self._previous_slots = 0.0

    def forecast(self, now: float) -> Forecast | None:
        """Return the expected progress, or None while nothing has been learned."""
        if not self.times.is_known(now):
            return None
        count = 0
        work_s = open_work_s = 0.0
        for route in self._routes.values():
            if not route.in_flight and not route.arrivals:
                continue
            mean_s = self.times.estimate_mean_s(route.key, now) or 0.0
            count += route.in_flight
            work_s += route.in_flight * mean_s
            open_work_s += route.arrivals * mean_s
        in_flight_s = 0.0
        if count >= self._slots:
            # The first of the running requests ends after its part of the work.
            ahead = (count - self._slots + 1) / count
            in_flight_s = work_s * ahead / self._slots
        least = self._slots * MIN_OPENING_SHARE
        open_slots = self._compute_open_slots(open_work_s, now)
        return Forecast(in_flight_s, max(least, self._slots - open_slots))

    def compute_wait_s(self, waiting: Mapping[bytes, int], now: float) -> float | None:
        """Return the expected time until the host begins one more request.

        Parameters
        ----------
        waiting : mapping of bytes to int
            Number of opening packets that wait, by route.
        now : float
            Time, in seconds.

        Returns
        -------
        float or None
            Time in seconds, or None while nothing has been learned.
        """
        forecast = self.forecast(now)
        if forecast is None:
            return None
        if not waiting:
            return forecast.in_flight_s
        work_s = 0.0
        for route, count in waiting.items():
            if count:
                work_s += count * (self.times.estimate_mean_s(route, now) or 0.0)
        return forecast.compute_start_s(work_s)

    def _compute_open_slots(self, work_s: float, now: float) -> float:
        """Return the slots that requests on open flows have taken lately.

        Parameters
        ----------
        work_s : float
            Work of those that have arrived in the current window, in seconds.
        now : float
            Time, in seconds.
        """
        if self._window_began_at is None:
            self._window_began_at = now
        elapsed_s = now - self._window_began_at
        if elapsed_s < RATE_WINDOW_S:
            before_s = self._previous_slots * (RATE_WINDOW_S - elapsed_s)
            return (before_s + work_s) / RATE_WINDOW_S
        self._window_began_at = now
        self._previous_slots = work_s / elapsed_s
        for route in self._routes.values():
            route.arrivals = 0
        return self._previous_slots


__all__ = ["Forecast", "HostWork", "RouteWork"]
