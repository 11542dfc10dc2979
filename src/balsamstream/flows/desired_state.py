"""What operators want: routes, the services behind them, and zones taken out."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's new flows that a service gets.

    Attributes
    ----------
    service : str
        The service.
    weight : float
        Its part, relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One address and port that callers open flows to.

    Attributes
    ----------
    name : str
        Name.
    shares : tuple of Share
        The services that new flows go to.
    priority : int
        Rank under overload; 0 is served longest.
    repeatable : bool
        Whether its requests may run more than once.
    deadline_s : float
        Time after which a caller gives a request up, in seconds.
    objective_s : float
        Time within which a request is to be answered, in seconds.
    """

    name: str
    shares: tuple[Share, ...]
    priority: int
    repeatable: bool
    deadline_s: float
    objective_s: float

    def choose_service(self, flow: bytes) -> str:
        """Choose the service of a flow by weight; every copy gets the same one."""
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
    """What holds for the hosts of a service.

    Attributes
    ----------
    connections : int
        Flows that a host holds.
    cold_s : float
        How long a host is cold after its start, in seconds.
    cold_per_s : float
        Requests a second that a cold host bears; 0 for no such bound.
    """

    max_flows: int
    cold_s: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of what operators want.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes : dict of bytes to Route
        By address and port as packets carry them.
    services : dict of str to ServiceRules
        By name.
    flow_idle_s : float
        A flow without a packet for so many seconds may be forgotten.
    """

    version: int
    routes: dict[bytes, Route]
    services: dict[str, ServiceRules]
    flow_idle_s: float


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The data centres that operators have taken out.

    Attributes
    ----------
    revision : int
        The store's revision at which this was so.
    data_centres : frozenset of str
        Their names.
    """

    revision: int = 0
    data_centres: frozenset[str] = field(default_factory=frozenset)


__all__ = ["DesiredState", "Evacuations", "Route", "ServiceRules", "Share"]
