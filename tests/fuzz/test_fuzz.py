"""A short search for faults with fixed random draws."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from tests.fuzz.machine import FaultMachine, PlannedMachine

FIXED = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("machine", [FaultMachine, PlannedMachine])
def test_fixed_search_finds_no_fault(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(machine, settings=FIXED)
