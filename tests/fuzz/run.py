"""Search for faults for a given time: ``python -m tests.fuzz.run --seconds 60``."""

from __future__ import annotations

import argparse
import random
import sys
import time
from typing import TYPE_CHECKING, Final

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.machine import FaultMachine, PlannedMachine

if TYPE_CHECKING:
    from hypothesis.stateful import RuleBasedStateMachine

EXAMPLES_PER_ROUND: Final = 20
STEPS: Final = 40
MACHINES: Final = (FaultMachine, PlannedMachine)


def run_round(
    machine: type[RuleBasedStateMachine], seed: int, shrinks: bool = True
) -> None:
    """Search with one seed; a fault is raised with the steps that lead to it."""
    phases = [Phase.generate, Phase.shrink] if shrinks else [Phase.generate]
    limits = settings(
        phases=phases,
        max_examples=EXAMPLES_PER_ROUND,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    run_state_machine_as_test(seeded, settings=limits)


def run() -> int:
    """Search until the time is up or a fault is found."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument(
        "--seed", type=int, default=random.SystemRandom().getrandbits(31)
    )
    parser.add_argument("--machine", default="")
    parser.add_argument("--no-shrink", action="store_true")
    options = parser.parse_args()
    print(f"seed {options.seed}", flush=True)
    started_at = time.monotonic()
    rounds = 0
    while time.monotonic() - started_at < options.seconds:
        for machine in MACHINES:
            if options.machine and machine.__name__ != options.machine:
                continue
            seed = options.seed + rounds
            print(f"{machine.__name__} with seed {seed}", flush=True)
            run_round(machine, seed, not options.no_shrink)
        rounds += 1
    print(f"{rounds} rounds of {EXAMPLES_PER_ROUND} examples, no fault found")
    return 0


if __name__ == "__main__":
    sys.exit(run())
