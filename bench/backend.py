"""A backend server: a few workers, a queue, and a cold start."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .events import EventQueue

COLD_SHARE: Final = 0.05
COLD_S: Final = 10.0
COLD_SLOWNESS: Final = 4.0
"""A request takes so many times as long right after the start."""

FALL_FACTOR: Final = 2.0
"""Work in flight above this multiple of what it bears makes it fall over."""

RESTART_S: Final = 1.0
"""Time without an open port after a fall."""


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """Size and speed of a backend server.

    Parameters
    ----------
    slots : int
        Requests worked on at once.
    mean_s : float
        Mean time of a request, exponentially distributed.
    in_flight_full : int
        Requests in flight that it bears when warm.
    """

    name: str
    data_centre: str
    slots: int
    mean_s: float
    in_flight_full: int


class BackendServer:
    """Works on requests, bears little while cold and falls over above it."""

    def __init__(
        self, config: BackendConfig, queue: EventQueue, random: Random, warm: bool
    ) -> None:
        self.config = config
        self.runs = 0
        self.falls = 0
        self.in_flight = 0
        self.worst_ratio = 0.0
        self.worst_in_flight = 0
        self.down_until = 0.0
        self.is_failing = False
        self.given = 0
        self.last_given = 0.0
        self.started = queue.now - (COLD_S if warm else 0.0)
        self.flows: set[int] = set()
        self._queue = queue
        self._random = random
        self._waiting: deque[Callable[[], None]] = deque()
        self._busy = 0

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.config.name

    @property
    def is_up(self) -> bool:
        """Whether its port is open."""
        return self._queue.now >= self.down_until

    @property
    def bears(self) -> float:
        """Requests in flight that it bears now."""
        share = COLD_SHARE + (1.0 - COLD_SHARE) * self._warmth
        return max(1.0, share * self.config.in_flight_full)

    @property
    def _warmth(self) -> float:
        return min(1.0, (self._queue.now - self.started) / COLD_S)

    @property
    def _slowness(self) -> float:
        return 1.0 + (COLD_SLOWNESS - 1.0) * (1.0 - self._warmth)

    def restart(self) -> None:
        """Lose all flows and work and start cold."""
        self.runs += 1
        self.started = self._queue.now
        self.flows.clear()
        self._waiting.clear()
        self._busy = 0
        self.in_flight = 0

    def take(self, flow: int, reply: Callable[[], None]) -> None:
        """Take a request; the reply is called once it is done."""
        self.given += 1
        self.last_given = self._queue.now
        self.flows.add(flow)
        self.in_flight += 1
        self.worst_in_flight = max(self.worst_in_flight, self.in_flight)
        ratio = self.in_flight / self.bears
        self.worst_ratio = max(self.worst_ratio, ratio)
        if ratio > FALL_FACTOR:
            self.falls += 1
            self.down_until = self._queue.now + RESTART_S
            self.restart()
            return
        if self._busy < self.config.slots:
            self._work(reply)
            return
        self._waiting.append(reply)

    def _work(self, reply: Callable[[], None]) -> None:
        self._busy += 1
        mean_s = self.config.mean_s * self._slowness
        seconds = self._random.expovariate(1.0 / mean_s)
        self._queue.call_after(seconds, self._finish, self.runs, reply)

    def _finish(self, run: int, reply: Callable[[], None]) -> None:
        if run != self.runs:
            return
        self._busy -= 1
        self.in_flight -= 1
        if not self.is_failing:
            reply()
        if self._waiting:
            self._work(self._waiting.popleft())


__all__ = ["BackendConfig", "BackendServer"]
