"""Processes of the demo, and the durations of its steps."""

from __future__ import annotations

from typing import Any, Final

from standins.content import COMPTOIR, ETIQUETTES, FITTER, GUIDES
from standins.fleet import FleetPlan, HostPlan

DATA_CENTRES: Final = ("medina", "sakiet", "thyna")
COUNTER_HOSTS: Final = 5
FITTING_HOSTS: Final = 5
COUNTER: Final = "counter"
FITTING: Final = "fitting"

ADDED_BALANCER: Final = "balancer-4"
KILLED_BALANCER: Final = "balancer-1"
DRAINED_HOST: Final = "counter-1"
RESTARTED_HOST: Final = "fitting-2"
REMOVED_DATA_CENTRE: Final = "thyna"

COLD_S: Final = 5.0
WARM_UP_S: Final = 4.0
STEADY_S: Final = 5.0
FABRIC_DETECTS_S: Final = 1.0
BALANCERS_S: Final = 2.0
DRAIN_S: Final = 3.0
RESTART_S: Final = 3.0
OUT_S: Final = 6.5
BACK_S: Final = 4.0

PROFILE: Final[dict[str, Any]] = {
    "requests": "by-method",
    "deadline_ms": 2_000,
    "cold_start": {"initial_share": 0.05, "hold_s": COLD_S, "ramp_s": 3.0},
    "retry_after_s": {"least": 1.0, "most": 2.0},
}

LAST_PROFILE: Final[dict[str, Any]] = {**PROFILE, "drain_s": 1.0}

TIMING_OPTIONS: Final = (
    "--ack-timeout-s=0.4",
    "--max-retransmit=4",
    "--separate-s=5",
    "--silence-s=4",
)
REGIE_OPTIONS: Final = (
    "--boards=40",
    "--baskets=20",
    "--sheets=6",
    "--prefix=regie-",
    "--seed=1",
    *TIMING_OPTIONS,
)
ASSOCIATION_OPTIONS: Final = (
    "--fits=30",
    "--guides-readers=6",
    "--prefix=association-",
    "--seed=2",
    *TIMING_OPTIONS,
)


def build_plan() -> FleetPlan:
    """Build the plan: ten hosts of two services, and three balancers."""
    return FleetPlan(
        services={COUNTER: (COMPTOIR, ETIQUETTES), FITTING: (FITTER, GUIDES)},
        hosts=[
            *_spread_hosts(COUNTER, COUNTER_HOSTS),
            *_spread_hosts(FITTING, FITTING_HOSTS),
        ],
        balancers={
            f"balancer-{number}": data_centre
            for number, data_centre in enumerate(DATA_CENTRES, 1)
        },
        backend_options=[f"--cold-s={COLD_S}"],
    )


def _spread_hosts(service: str, count: int) -> list[HostPlan]:
    return [
        HostPlan(
            f"{service}-{number}", service, DATA_CENTRES[number % len(DATA_CENTRES)]
        )
        for number in range(1, count + 1)
    ]


__all__ = ["build_plan"]
