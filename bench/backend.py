"""Simulated backend server: a few workers, a queue and a cold start."""

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
COLD_SLOWDOWN: Final = 4.0
"""Factor by which a request takes longer right after the start."""

CRASH_FACTOR: Final = 2.0
"""The server crashes when more than this multiple of its capacity is in flight."""

RESTART_S: Final = 1.0
"""Time without an open port after a crash."""


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """Size and speed of a backend server.

    Parameters
    ----------
    slots : int
        Number of workers.
    mean_s : float
        Mean time of a request, exponentially distributed.
    warm_capacity : int
        Capacity in requests in flight when warm.
    """

    name: str
    data_centre: str
    slots: int
    mean_s: float
    warm_capacity: int


class BackendServer:
    """Processes requests; has a low capacity while cold and crashes on overload."""

    def __init__(
        self, config: BackendConfig, queue: EventQueue, random: Random, warm: bool
    ) -> None:
        self.config = config
        self.runs = 0
        self.crashes = 0
        self.in_flight = 0
        self.max_load_ratio = 0.0
        self.max_in_flight = 0
        self.down_until = 0.0
        self.is_failing = False
        self.requests_received = 0
        self.last_received_at = 0.0
        self.started_at = queue.now - (COLD_S if warm else 0.0)
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
    def capacity(self) -> float:
        """Requests in flight that the server can sustain at its current warmth."""
        share = COLD_SHARE + (1.0 - COLD_SHARE) * self._warm_share
        return max(1.0, share * self.config.warm_capacity)

    @property
    def _warm_share(self) -> float:
        return min(1.0, (self._queue.now - self.started_at) / COLD_S)

    @property
    def _slowdown(self) -> float:
        return 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - self._warm_share)

    def restart(self) -> None:
        """Drop all flows and requests and start cold."""
        self.runs += 1
        self.started_at = self._queue.now
        self.flows.clear()
        self._waiting.clear()
        self._busy = 0
        self.in_flight = 0

    def handle_request(self, flow: int, reply: Callable[[], None]) -> None:
        """Process or queue a request; call ``reply`` when it is done."""
        self.requests_received += 1
        self.last_received_at = self._queue.now
        self.flows.add(flow)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        ratio = self.in_flight / self.capacity
        self.max_load_ratio = max(self.max_load_ratio, ratio)
        if ratio > CRASH_FACTOR:
            self.crashes += 1
            self.down_until = self._queue.now + RESTART_S
            self.restart()
            return
        if self._busy < self.config.slots:
            self._start_request(reply)
            return
        self._waiting.append(reply)

    def _start_request(self, reply: Callable[[], None]) -> None:
        self._busy += 1
        mean_s = self.config.mean_s * self._slowdown
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
            self._start_request(self._waiting.popleft())


__all__ = ["BackendConfig", "BackendServer"]
