"""How much work a backend server bears, warm and in a cold start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

OVERLOAD_FACTOR: Final = 1.25
MIN_IN_FLIGHT: Final = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a backend server is made for.

    Attributes
    ----------
    slots : int
        Requests worked on at once.
    in_flight_per_slot : int
        Requests at work or waiting that it bears for each slot when warm.
    work_ms : float
        Time that a request takes when warm.
    cold_s : float
        Length of a cold start.
    cold_share : float
        Share of its full load that it bears in a cold start.
    cold_slowdown : float
        Factor by which a request takes longer in a cold start.
    fall_s : float
        Time without any answer after it fell over.
    """

    slots: int = 2
    in_flight_per_slot: int = 32
    work_ms: float = 5.0
    cold_s: float = 5.0
    cold_share: float = 0.05
    cold_slowdown: float = 4.0
    fall_s: float = 3.0


class Capacity:
    """The work at hand against what is borne.

    Parameters
    ----------
    limits : Limits
        What the backend server is made for.
    now : float
        When it starts, cold.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.in_flight = 0
        self.cold_peak = 0
        self._cold_until = now + limits.cold_s

    def start_cold(self, now: float) -> None:
        """Drop all work and begin a cold start."""
        self.in_flight = 0
        self.cold_peak = 0
        self._cold_until = now + self.limits.cold_s

    def is_cold(self, now: float) -> bool:
        """Tell whether the cold start goes on."""
        return now < self._cold_until

    def compute_limit(self, now: float) -> float:
        """Compute how many requests in flight are borne now."""
        full = float(self.limits.slots * self.limits.in_flight_per_slot)
        if not self.is_cold(now):
            return full
        return max(MIN_IN_FLIGHT, full * self.limits.cold_share)

    def compute_duration_s(self, now: float) -> float:
        """Compute how long a request takes that begins now."""
        duration_s = self.limits.work_ms / 1_000
        return (
            duration_s * self.limits.cold_slowdown if self.is_cold(now) else duration_s
        )

    def add_request(self, now: float) -> bool:
        """Take one more request in flight.

        Returns
        -------
        bool
            Whether the load is borne; if not, the backend server falls over.
        """
        self.in_flight += 1
        return self.in_flight <= self.compute_limit(now) * OVERLOAD_FACTOR

    def update_cold_peak(self, now: float) -> bool:
        """Tell whether a cold start has more in flight than ever before."""
        if not self.is_cold(now) or self.in_flight <= self.cold_peak:
            return False
        self.cold_peak = self.in_flight
        return True

    def release(self) -> None:
        """Give a finished request back."""
        self.in_flight -= 1


__all__ = ["Capacity", "Limits"]
