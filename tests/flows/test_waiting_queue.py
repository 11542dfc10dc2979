"""Simulated loads in which opening packets wait."""

from __future__ import annotations

import heapq
from collections import deque
from typing import Protocol

import pytest

from balsamstream.flows.waiting_queue import (
    MAX_WAIT_S,
    MAX_WAITING,
    Opening,
    WaitingQueue,
    has_capacity,
)

SLOTS = 9
WORK_S = 0.088
"""Time of a request on a host that has just started, in seconds."""
OBJECTIVE_S = 0.25
STEP_S = 0.001


class Queue(Protocol):
    """Interface of the queues that are compared."""

    def __len__(self) -> int: ...

    def add(self, opening: Opening) -> object:
        """Add a packet."""

    def pop(self) -> Opening | None:
        """Remove and return the next packet."""

    def pop_expired(self, now: float) -> list[Opening]:
        """Remove and return the packets that have waited for too long."""


class Fifo:
    """FIFO queue without a bound of the wait: the baseline."""

    def __init__(self) -> None:
        self._queue: deque[Opening] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, opening: Opening) -> None:
        """Add a packet."""
        self._queue.append(opening)

    def pop(self) -> Opening | None:
        """Remove and return the oldest packet."""
        return self._queue.popleft() if self._queue else None

    def pop_expired(self, _now: float) -> list[Opening]:
        """Expire nothing."""
        return []


def build_opening(number: int, arrived_at: float, priority: int = 1) -> Opening:
    return Opening(b"%12d" % number, b"", "10.1.0.1", priority, arrived_at)


def replay_return(queue: Queue, backlog: int, per_s: float, length_s: float) -> int:
    """Simulate a backlog and a stream; return the number of requests in time."""
    arrivals = [build_opening(n, 0.0) for n in range(backlog)]
    arrivals += [
        build_opening(backlog + n, n / per_s) for n in range(int(per_s * length_s))
    ]
    pending = deque(arrivals)
    running: list[float] = []
    in_time = 0
    for step in range(int(length_s / STEP_S)):
        now = step * STEP_S
        while running and running[0] <= now:
            heapq.heappop(running)
        while pending and pending[0].arrived_at <= now:
            queue.add(pending.popleft())
        queue.pop_expired(now)
        while len(running) < SLOTS and len(queue):
            opening = queue.pop()
            assert opening is not None
            heapq.heappush(running, now + WORK_S)
            in_time += now + WORK_S - opening.arrived_at <= OBJECTIVE_S
    return in_time


def test_new_requests_are_in_time_while_a_backlog_waits() -> None:
    # 120 retries at once on one cold host, with a stream of 80 % of its capacity.
    per_s = 0.8 * SLOTS / WORK_S
    newest_first = replay_return(WaitingQueue(), 120, per_s, 3.0)
    oldest_first = replay_return(Fifo(), 120, per_s, 3.0)
    assert newest_first >= 0.95 * 3.0 * per_s
    assert oldest_first <= 0.25 * 3.0 * per_s


def test_order_does_not_matter_without_overload() -> None:
    per_s = 0.5 * SLOTS / WORK_S
    assert replay_return(WaitingQueue(), 0, per_s, 3.0) == replay_return(
        Fifo(), 0, per_s, 3.0
    )


def test_more_urgent_routes_go_first() -> None:
    waiting = WaitingQueue()
    for number, priority in enumerate((2, 0, 1, 0, 2)):
        waiting.add(build_opening(number, float(number), priority))
    taken = [waiting.pop() for _ in range(5)]
    assert [each.priority for each in taken if each] == [0, 0, 1, 2, 2]
    assert [each.arrived_at for each in taken if each] == [3.0, 1.0, 2.0, 4.0, 0.0]


def test_wait_ends_before_the_attempt_of_the_caller() -> None:
    waiting = WaitingQueue()
    waiting.add(build_opening(1, 0.0))
    waiting.add(build_opening(2, 0.3))
    assert not waiting.pop_expired(MAX_WAIT_S)
    assert [each.arrived_at for each in waiting.pop_expired(MAX_WAIT_S + 0.1)] == [0.0]
    assert len(waiting) == 1


def test_queue_length_is_bounded() -> None:
    waiting = WaitingQueue()
    displaced = [waiting.add(build_opening(n, float(n))) for n in range(MAX_WAITING)]
    assert displaced == [None] * MAX_WAITING
    gone = waiting.add(build_opening(MAX_WAITING, 1e6))
    assert gone is not None
    assert gone.arrived_at == 0.0


@pytest.mark.parametrize(("in_flight", "expected"), [(0, True), (3, True), (4, False)])
def test_host_has_capacity_up_to_the_overcommit(in_flight: int, expected: bool) -> None:
    assert has_capacity(in_flight, 2) is expected
