"""The two deployments at the sizes stated by their operators."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, Final

CONNECTIONS_PER_HOST: Final = 2_000
WITHIN_DATA_CENTRE_S: Final = 0.0002


@dataclass(frozen=True, slots=True)
class Deployment:
    """One service with its hosts, data centres and delays.

    Parameters
    ----------
    between_s, caller_s : float
        One-way delay between data centres and to callers, in seconds.
    profile : dict
        Spec of the service's profile.
    """

    service: str
    hosts: int
    slots: int
    data_centres: tuple[str, ...]
    between_s: float
    caller_s: float
    profile: dict[str, Any] = field(default_factory=dict)

    def change_profile(self, **settings: object) -> Deployment:
        """Return the same deployment with other settings in its profile."""
        return replace(self, profile={**self.profile, **settings})

    @property
    def connections(self) -> int:
        """Connections over all hosts."""
        return self.hosts * CONNECTIONS_PER_HOST

    def choose_data_centre(self, number: int) -> str:
        """Return the data centre of the host or balancer of that number."""
        return self.data_centres[number % len(self.data_centres)]


SFAX: Final = ("medina", "sakiet", "thyna")
KOREA: Final = ("seoul-a", "seoul-b", "daejeon")
BOARDS: Final[dict[str, Any]] = {"flows_per_slot": 2_000, "in_flight_per_slot": 32}
FITTINGS: Final[dict[str, Any]] = {
    "flows_per_slot": 2_000,
    "in_flight_per_slot": 8,
    "flow_idle_s": 30.0,
}

COMPTOIR: Final = Deployment("comptoir", 7, 2, SFAX, 0.0015, 0.001, BOARDS)
ETIQUETTES: Final = Deployment("etiquettes", 3, 2, SFAX, 0.0015, 0.001, BOARDS)
FITTER: Final = Deployment("fitter", 7, 5, KOREA, 0.001, 0.001, BOARDS)
GUIDES: Final = Deployment("guides", 3, 5, KOREA, 0.001, 0.001, BOARDS)
DEPLOYMENTS: Final = (COMPTOIR, ETIQUETTES, FITTER, GUIDES)

__all__ = [
    "COMPTOIR",
    "CONNECTIONS_PER_HOST",
    "DEPLOYMENTS",
    "ETIQUETTES",
    "FITTER",
    "GUIDES",
    "BOARDS",
    "FITTINGS",
    "WITHIN_DATA_CENTRE_S",
    "Deployment",
]
