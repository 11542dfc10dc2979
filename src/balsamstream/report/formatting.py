"""Formats the numbers of the report."""

from __future__ import annotations

import math
from typing import Final

NO_VALUE: Final = "-"


def format_rate(rate: float | None) -> str:
    """Format a burn rate, such as ``2.5x``."""
    if rate is None:
        return NO_VALUE
    return f"{rate:.1f}x" if rate < 100 else f"{rate:.0f}x"


def format_budget(share: float | None) -> str:
    """Format the remaining share of an error budget in percent."""
    if share is None:
        return NO_VALUE
    if share <= 0:
        return "none"
    return f"{share * 100:.0f}%"


def format_objective(availability: float, latency_ms: int) -> str:
    """Format the objectives of a profile, such as ``99.9% within 100 ms``."""
    return f"{availability * 100:.6g}% within {latency_ms} ms"


def format_latency(bound_ms: float | None) -> str:
    """Format the upper bound of a latency, such as ``≤ 20 ms``."""
    if bound_ms is None:
        return NO_VALUE
    if math.isinf(bound_ms):
        # The last bound of LATENCY_BOUNDS_MS.
        return "above 10 s"
    if bound_ms >= 1_000:
        return f"≤ {bound_ms / 1_000:g} s"
    return f"≤ {bound_ms:g} ms"


def format_ratio(ratio: float | None) -> str:
    """Format a ratio with two decimals."""
    if ratio is None:
        return NO_VALUE
    return f"{ratio:.2f}"


__all__ = [
    "NO_VALUE",
    "format_budget",
    "format_latency",
    "format_objective",
    "format_rate",
    "format_ratio",
]
