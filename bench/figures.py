"""Statistics of samples."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Spread:
    """Evenness of a distribution over hosts.

    Parameters
    ----------
    peak_over_mean : float
        Largest value over the mean.
    variation : float
        Coefficient of variation.
    """

    peak_over_mean: float
    variation: float


def measure_spread(values: Sequence[float]) -> Spread:
    """Compute the spread of one value for each host."""
    mean = statistics.fmean(values)
    if mean == 0:
        return Spread(0.0, 0.0)
    peak = max(values) / mean
    return Spread(round(peak, 3), round(statistics.pstdev(values) / mean, 4))


def compute_percentile(values: Sequence[float], share: float) -> float:
    """Return the value that a share of the values does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


__all__ = ["Spread", "measure_spread", "compute_percentile"]
