"""Builds the rows and the JSON objects of the report."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Any, Final

from .formatting import (
    format_budget,
    format_latency,
    format_objective,
    format_rate,
    format_ratio,
)

if TYPE_CHECKING:
    from .assessment import Assessment

BURN_COLUMNS: Final = (
    "service",
    "profile",
    "objective",
    "state",
    "budget left",
    "burn 5 min",
    "burn 1 h",
)
OUTCOME_COLUMNS: Final = (
    "service",
    "requests",
    "late",
    "not run",
    "may have run",
    "broken flows",
    "median",
    "99%",
    "flows peak/mean",
    "in flight peak/mean",
)


def build_burn_row(assessment: Assessment) -> tuple[str, ...]:
    """Build the row of a service for the columns `BURN_COLUMNS`."""
    return (
        assessment.burn.service,
        assessment.burn.profile,
        format_objective(assessment.burn.availability, assessment.burn.latency_ms),
        assessment.state.value,
        format_budget(assessment.budget_left),
        format_rate(assessment.short_rate),
        format_rate(assessment.long_rate),
    )


def build_outcome_row(assessment: Assessment) -> tuple[str, ...]:
    """Build the row of a service for the columns `OUTCOME_COLUMNS`."""
    total = assessment.total
    return (
        assessment.burn.service,
        f"{total.requests}",
        f"{total.answered - total.in_time}",
        f"{total.refused_not_run}",
        f"{total.may_have_run}",
        f"{total.broken_flows}",
        format_latency(assessment.median_ms),
        format_latency(assessment.tail_ms),
        format_ratio(assessment.flow_imbalance),
        format_ratio(assessment.work_imbalance),
    )


def build_json_object(assessment: Assessment) -> dict[str, Any]:
    """Build the JSON object of a service."""
    total = assessment.total
    return {
        "service": assessment.burn.service,
        "profile": assessment.burn.profile,
        "objectives": {
            "availability": assessment.burn.availability,
            "latency_ms": assessment.burn.latency_ms,
        },
        "state": assessment.state.name.lower(),
        "budget_left": assessment.budget_left,
        "burn_rate": {"5m": assessment.short_rate, "1h": assessment.long_rate},
        "requests": total.requests,
        "answered": total.answered,
        "answered_in_time": total.in_time,
        "refused_not_run": total.refused_not_run,
        "may_have_run": total.may_have_run,
        "broken_flows": total.broken_flows,
        "median_ms": _build_bound(assessment.median_ms),
        "tail_ms": _build_bound(assessment.tail_ms),
        "flow_imbalance": assessment.flow_imbalance,
        "work_imbalance": assessment.work_imbalance,
        "hosts": [dataclasses.asdict(host) for host in assessment.burn.hosts],
    }


def _build_bound(bound_ms: float | None) -> float | None:
    # JSON has no infinity.
    if bound_ms is None or math.isinf(bound_ms):
        return None
    return bound_ms


__all__ = [
    "BURN_COLUMNS",
    "OUTCOME_COLUMNS",
    "build_burn_row",
    "build_json_object",
    "build_outcome_row",
]
