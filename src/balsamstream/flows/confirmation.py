"""Time after which a caller that has not confirmed a new flow has given up.

Load pattern: after an outage, openings have waited for so long that the callers of many
have given up. The host answers such an opening, and no request follows; until that is
noticed, a slot is kept for it.

Source: the retransmission timer of TCP (RFC 6298).
"""

from __future__ import annotations

from typing import Final

MAX_TIMEOUT_S: Final = 0.1
MIN_TIMEOUT_S: Final = 0.01
"""Covers the jitter of callers whose round trips hardly vary."""
MEAN_GAIN: Final = 1 / 8
DEVIATION_GAIN: Final = 1 / 4
DEVIATIONS: Final = 4.0


class ConfirmationTimer:
    """Learns how long callers take to confirm their flows.

    Attributes
    ----------
    timeout_s : float
        Time from the host's answer after which a flow is not expected to be used.
    """

    def __init__(self) -> None:
        self.timeout_s = MAX_TIMEOUT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def add(self, sample_s: float) -> None:
        """Add the time that one caller has taken."""
        if self._mean_s is None:
            self._mean_s = sample_s
            self._deviation_s = sample_s / 2
        else:
            error_s = sample_s - self._mean_s
            self._mean_s += MEAN_GAIN * error_s
            self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        timeout_s = self._mean_s + DEVIATIONS * self._deviation_s
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))


__all__ = ["MAX_TIMEOUT_S", "MIN_TIMEOUT_S", "ConfirmationTimer"]
