"""Load limits and processing times of a backend server, warm and cold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

OVERLOAD_FACTOR: Final = 1.25
MIN_IN_FLIGHT: Final = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Slots, load limits and processing times of a backend server.

    Attributes
    ----------
    slots : int
        Requests processed at the same time.
    in_flight_per_slot : int
        Limit of requests in flight (processed or waiting) for each slot when warm.
    work_ms : float
        Processing time of a request when warm, in milliseconds.
    cold_s : float
        Length of a cold start, in seconds.
    cold_share : float
        Share of the warm load limit that holds during a cold start, 0 to 1.
    cold_slowdown : float
        Factor on the processing time during a cold start.
    fall_s : float
        Time without any answer after an overload crash, in seconds.
    """

    slots: int = 2
    in_flight_per_slot: int = 32
    work_ms: float = 5.0
    cold_s: float = 5.0
    cold_share: float = 0.05
    cold_slowdown: float = 4.0
    fall_s: float = 3.0


class Capacity:
    """Requests in flight, compared with the load limit.

    Parameters
    ----------
    limits : Limits
        Limits of the backend server.
    now : float
        Start of the backend server and of its cold start, in seconds.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.in_flight = 0
        self.cold_peak = 0
        self._cold_until = now + limits.cold_s

    def start_cold(self, now: float) -> None:
        """Drop all requests in flight and begin a cold start."""
        self.in_flight = 0
        self.cold_peak = 0
        self._cold_until = now + self.limits.cold_s

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is in a cold start."""
        return now < self._cold_until

    def compute_limit(self, now: float) -> float:
        """Compute the current limit of requests in flight."""
        full = float(self.limits.slots * self.limits.in_flight_per_slot)
        if not self.is_cold(now):
            return full
        return max(MIN_IN_FLIGHT, full * self.limits.cold_share)

    def compute_duration_s(self, now: float) -> float:
        """Compute the processing time of a request that starts now, in seconds."""
        duration_s = self.limits.work_ms / 1_000
        return (
            duration_s * self.limits.cold_slowdown if self.is_cold(now) else duration_s
        )

    def add_request(self, now: float) -> bool:
        """Add a request in flight.

        Returns
        -------
        bool
            Whether the load is at most `OVERLOAD_FACTOR` times the limit; the backend
            server crashes if it is not.
        """
        self.in_flight += 1
        return self.in_flight <= self.compute_limit(now) * OVERLOAD_FACTOR

    def update_cold_peak(self, now: float) -> bool:
        """Update the peak of a cold start; tell whether the load is a new peak."""
        if not self.is_cold(now) or self.in_flight <= self.cold_peak:
            return False
        self.cold_peak = self.in_flight
        return True

    def release(self) -> None:
        """Remove a finished request."""
        self.in_flight -= 1


__all__ = ["Capacity", "Limits"]
