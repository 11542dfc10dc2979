"""Numbers of the report as text."""

from __future__ import annotations

import math
from typing import Final

UNKNOWN: Final = "-"


def write_rate(rate: float | None) -> str:
    """Write a burn rate, such as ``2.5x``."""
    if rate is None:
        return UNKNOWN
    return f"{rate:.1f}x" if rate < 100 else f"{rate:.0f}x"


def write_budget(share: float | None) -> str:
    """Write what is left of a budget in percent."""
    if share is None:
        return UNKNOWN
    if share <= 0:
        return "none"
    return f"{share * 100:.0f}%"


def write_objective(availability: float, latency_ms: int) -> str:
    """Write the objectives of a profile."""
    return f"{availability * 100:.6g}% within {latency_ms} ms"


def write_latency(bound_ms: float | None) -> str:
    """Write the bound of a latency."""
    if bound_ms is None:
        return UNKNOWN
    if math.isinf(bound_ms):
        return "above 10 s"
    if bound_ms >= 1_000:
        return f"≤ {bound_ms / 1_000:g} s"
    return f"≤ {bound_ms:g} ms"


def write_ratio(ratio: float | None) -> str:
    """Write a ratio, such as an imbalance."""
    if ratio is None:
        return UNKNOWN
    return f"{ratio:.2f}"


__all__ = [
    "UNKNOWN",
    "write_budget",
    "write_latency",
    "write_objective",
    "write_rate",
    "write_ratio",
]
