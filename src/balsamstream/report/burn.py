"""What a daemon serves at ``GET /burn``, as data classes.

Each event is counted by one daemon only: an agent counts the answers of its
backend server, the flows that broke on it and its own refusals; a balancer counts
the refusals that it makes itself. So the pages of all daemons add up.
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
    """Counts of one service over 10 seconds.

    Attributes
    ----------
    start_s : int
        Start in seconds of Unix time, a multiple of 10.
    answered : int
        Requests that were answered.
    in_time : int
        Those answered within the latency objective.
    refused_not_run : int
        Requests refused without having run.
    may_have_run : int
        Requests without an answer that may have run.
    broken_flows : int
        Flows lost for another reason than their end or their data centre out.
    latency : tuple of int
        Answers by latency: one count for each bound of `LATENCY_BOUNDS_MS` and
        one for those above the last.
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
        """Requests whose outcome is known."""
        return self.answered + self.refused_not_run + self.may_have_run

    @property
    def bad(self) -> int:
        """Requests that count against the error budget."""
        return self.requests - self.in_time


@dataclass(frozen=True, slots=True)
class HostLoad:
    """What a host holds at the moment.

    Attributes
    ----------
    name : str
        Name of the host.
    slots : int
        Its slots.
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
    """What a daemon has counted for a service.

    Attributes
    ----------
    service, profile : str
        Names of the service and of the profile that it picked.
    availability : float
        Objective: share of requests answered in time.
    latency_ms : int
        Objective: an answer within so many milliseconds is in time.
    slots : tuple of BurnSlot
        The last hour in the order of time; slots without events are left out.
    hosts : tuple of HostLoad
        Hosts that the daemon speaks for.
    """

    service: str
    profile: str
    availability: float
    latency_ms: int
    slots: tuple[BurnSlot, ...] = ()
    hosts: tuple[HostLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class BurnPage:
    """The whole page of one daemon.

    Attributes
    ----------
    daemon : str
        Name of the host or balancer.
    data_centre : str
        Its data centre.
    now_s : float
        When the page was made, in seconds of Unix time.
    services : tuple of ServiceBurn
        One for each service.
    dropped_slots : int
        Slots of the last hour dropped to bound the memory.
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
