"""Desired state that operators set: routes, rules of services, and evacuations."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's new flows that one service gets.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Address and port that callers open flows to.

    Attributes
    ----------
    name : str
        Name that operators gave the route.
    shares : tuple of Share
        Services that new flows go to.
    priority : int
        Priority under overload; 0 is the most urgent.
    repeatable : bool
        Whether requests may run more than once.
    deadline_s : float
        Time after which a caller gives up a request, in seconds.
    objective_s : float
        Target latency of a request, in seconds.
    """

    name: str
    shares: tuple[Share, ...]
    priority: int
    repeatable: bool
    deadline_s: float
    objective_s: float

    def choose_service(self, flow: bytes) -> str:
        """Choose a service by weight from the hash of a flow, the same one each time.

        Thus all copies of an opening packet get the same service, at every front.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = zlib.crc32(flow) / 2**32 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Limits for the hosts of a service.

    Attributes
    ----------
    max_flows : int
        Bound of the flows that a host holds; 0 for no bound.
    cold_s : float
        Length of the cold start, in seconds.
    cold_per_s : float
        Requests a second that a cold host can handle, which limits its new flows; 0 for
        no limit.
    """

    max_flows: int
    cold_s: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the routes and services that operators set.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes : dict of bytes to Route
        Routes by address and port, as encoded in packets.
    services : dict of str to ServiceRules
        Rules of services, by name.
    flow_idle_s : float
        Time without a packet after which a flow may be discarded, in seconds.
    """

    version: int
    routes: dict[bytes, Route]
    services: dict[str, ServiceRules]
    flow_idle_s: float


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Set of data centres that operators have taken out, at one revision.

    Attributes
    ----------
    era : int
        Era of the store; rises when the store is restored from a copy, after which its
        revisions are given out again.
    revision : int
        Revision of the store that the set was read at.
    data_centres : frozenset of str
        Names of the evacuated data centres.
    """

    era: int = 0
    revision: int = 0
    data_centres: frozenset[str] = field(default_factory=frozenset)

    def is_newer_than(self, other: Evacuations) -> bool:
        """Return whether this set was read after another one."""
        return (self.era, self.revision) > (other.era, other.revision)


__all__ = ["DesiredState", "Evacuations", "Route", "ServiceRules", "Share"]
