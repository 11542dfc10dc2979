"""Slots of openings whose callers have given up."""

from __future__ import annotations

from balsamstream.flows.confirmation import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ConfirmationTimer,
)
from tests.flows.deployment import Caller, Deployment

FRONT = "10.1.0.1"
STEP_S = 0.01


def test_timeout_follows_the_round_trips_of_callers() -> None:
    timer = ConfirmationTimer()
    assert timer.timeout_s == MAX_TIMEOUT_S
    for _ in range(50):
        timer.add(0.002)
    assert timer.timeout_s == MIN_TIMEOUT_S
    for number in range(50):
        timer.add(0.02 + 0.01 * (number % 2))
    assert 0.03 < timer.timeout_s < MAX_TIMEOUT_S
    for _ in range(50):
        timer.add(1.0)
    assert timer.timeout_s == MAX_TIMEOUT_S


def test_opening_of_a_caller_that_has_given_up_frees_its_slot_soon() -> None:
    """Guards against slots that idle for callers whose deadline is over."""
    deployment = Deployment()
    deployment.add_gate("10.1.0.11", slots=1)
    deployment.add_front(FRONT)
    deployment.pass_time(1.0)
    for port in range(30):
        caller = Caller(deployment, 40_100 + port)
        caller.open(FRONT)
        caller.send_request(FRONT)
        caller.end(FRONT)
    for port in range(2):
        Caller(deployment, 40_200 + port).open(FRONT)
    waiting = Caller(deployment, 40_300)
    assert waiting.open(FRONT) == []
    before = len(deployment.to_callers)
    deployment.pass_time(MIN_TIMEOUT_S + 3 * STEP_S)
    assert len(deployment.to_callers) == before + 1
