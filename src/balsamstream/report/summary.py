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


def build_burn_row(item: Assessment) -> tuple[str, ...]:
    """Build the row of a service for the columns `BURN_COLUMNS`."""
    return (
        item.burn.service,
        item.burn.profile,
        format_objective(item.burn.availability, item.burn.latency_ms),
        item.state.value,
        format_budget(item.budget_left),
        format_rate(item.short_rate),
        format_rate(item.long_rate),
    )


def build_outcome_row(item: Assessment) -> tuple[str, ...]:
    """Build the row of a service for the columns `OUTCOME_COLUMNS`."""
    total = item.total
    return (
        item.burn.service,
        f"{total.requests}",
        f"{total.answered - total.in_time}",
        f"{total.refused_not_run}",
        f"{total.may_have_run}",
        f"{total.broken_flows}",
        format_latency(item.median_ms),
        format_latency(item.tail_ms),
        format_ratio(item.flow_imbalance),
        format_ratio(item.work_imbalance),
    )


def build_json_object(item: Assessment) -> dict[str, Any]:
    """Build the JSON object of a service."""
    total = item.total
    return {
        "service": item.burn.service,
        "profile": item.burn.profile,
        "objectives": {
            "availability": item.burn.availability,
            "latency_ms": item.burn.latency_ms,
        },
        "state": item.state.name.lower(),
        "budget_left": item.budget_left,
        "burn_rate": {"5m": item.short_rate, "1h": item.long_rate},
        "requests": total.requests,
        "answered": total.answered,
        "answered_in_time": total.in_time,
        "refused_not_run": total.refused_not_run,
        "may_have_run": total.may_have_run,
        "broken_flows": total.broken_flows,
        "median_ms": _build_bound(item.median_ms),
        "tail_ms": _build_bound(item.tail_ms),
        "flow_imbalance": item.flow_imbalance,
        "work_imbalance": item.work_imbalance,
        "hosts": [dataclasses.asdict(host) for host in item.burn.hosts],
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
