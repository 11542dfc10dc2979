"""Which decisions under load a node makes, from its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class LoadPolicy:
    """Decisions under load that are switched on.

    Attributes
    ----------
    by_deadline : bool
        Whether opening packets wait as long as the deadlines of their routes allow,
        with fair shares, rather than for a fixed time by strict priority.
    by_delay : bool
        Whether a host is chosen by the time that a request would take there rather than
        by its requests in flight.
    detects_outliers : bool
        Whether hosts whose answers differ from those of their peers get fewer flows.
    """

    by_deadline: bool = False
    by_delay: bool = False
    detects_outliers: bool = False

    @property
    def estimates_delays(self) -> bool:
        """Whether fronts estimate when a host would answer a new request."""
        return self.by_delay or self.by_deadline

    @property
    def records_answers(self) -> bool:
        """Whether gates report the recent answers of their hosts, route by route."""
        return self.estimates_delays or self.detects_outliers


DEFAULT_POLICY: Final = LoadPolicy()
"""Decisions of earlier releases."""


__all__ = ["DEFAULT_POLICY", "LoadPolicy"]
