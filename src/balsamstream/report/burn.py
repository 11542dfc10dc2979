"""Data classes of the page that a daemon serves at ``GET /burn``.

Each event is counted by one daemon only, so that the pages of all daemons can be
added up: an agent counts the answers of its backend server, the flows that broke
on it and its own refusals; a balancer counts its own refusals.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

SLOT_S: Final = 10
HISTORY_S: Final = 3_600
LATENCY_BOUNDS_MS: Final = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1_000,
    2_000,
    5_000,
    10_000,
)


@dataclass(frozen=True, slots=True)
class BurnSlot:
    """Counts of one service in a time slot of 10 seconds.

    Attributes
    ----------
    start_s : int
        Start in seconds of Unix time, a multiple of 10.
    answered : int
        Requests that were answered.
    in_time : int
        Requests answered within the latency objective.
    refused_not_run : int
        Requests refused without having run.
    may_have_run : int
        Requests without an answer that may have run.
    broken_flows : int
        Flows lost for a reason other than their regular end or the evacuation of
        their data centre.
    latency : tuple of int
        Latency histogram of the answers: one count for each upper bound in
        `LATENCY_BOUNDS_MS` and one for latencies above the last.
    """

    start_s: int
    answered: int = 0
    in_time: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    broken_flows: int = 0
    latency: tuple[int, ...] = (0,) * (len(LATENCY_BOUNDS_MS) + 1)

    @property
    def requests(self) -> int:
        """Requests that have ended: answered, refused or possibly run."""
        return self.answered + self.refused_not_run + self.may_have_run

    @property
    def bad(self) -> int:
        """Requests that count against the error budget."""
        return self.requests - self.in_time


@dataclass(frozen=True, slots=True)
class HostLoad:
    """Current load of a host.

    Attributes
    ----------
    name : str
        Name of the host.
    slots : int
        Capacity slots of the host.
    flows : int
        Open flows.
    in_flight : int
        Requests in flight.
    """

    name: str
    slots: int
    flows: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Counts of one service by one daemon, or by several merged, and its objectives.

    Attributes
    ----------
    service, profile : str
        Names of the service and of its profile; the profile is empty, and the
        objectives are the defaults, as long as the daemon has not received it.
    availability : float
        Objective: share of requests answered in time.
    latency_ms : int
        Objective: longest latency of an answer in time, in milliseconds.
    slots : tuple of BurnSlot
        Time slots of the last hour, oldest first, without empty slots.
    hosts : tuple of HostLoad
        Hosts whose load the daemon reports; none for a balancer.
    """

    service: str
    profile: str
    availability: float
    latency_ms: int
    slots: tuple[BurnSlot, ...] = ()
    hosts: tuple[HostLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class BurnPage:
    """The page of one daemon.

    Attributes
    ----------
    daemon : str
        Name of the host or balancer.
    data_centre : str
        Data centre of the daemon.
    now_s : float
        Time at which the page was built, in seconds of Unix time.
    services : tuple of ServiceBurn
        Counts of each service.
    dropped_slots : int
        Time slots of the last hour that were dropped to limit memory.
    """

    daemon: str
    data_centre: str
    now_s: float
    services: tuple[ServiceBurn, ...] = ()
    dropped_slots: int = 0


__all__ = [
    "HISTORY_S",
    "LATENCY_BOUNDS_MS",
    "SLOT_S",
    "BurnPage",
    "BurnSlot",
    "HostLoad",
    "ServiceBurn",
]
