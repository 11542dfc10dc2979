"""Data classes of what operators declare."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from .address import Address


class Repeatability(enum.Enum):
    """How it is known whether a request may be repeated."""

    BY_METHOD = "by-method"
    REPEATABLE = "repeatable"
    NON_REPEATABLE = "non-repeatable"


class WorkClass(enum.Enum):
    """Classes of work that are shed separately."""

    NEW_FLOW = "new-flow"
    REPEATABLE = "repeatable"
    NON_REPEATABLE = "non-repeatable"


class Protocol(enum.Enum):
    """What the datagrams of a service carry."""

    COAP = "coap"
    OPAQUE = "opaque"


class DataCentreState(enum.Enum):
    """Whether a data centre takes part."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How the limits of a host that has just started rise.

    Attributes
    ----------
    initial_share : float
        Share of the full limits at the start, above 0 and up to 1.
    hold_s : float
        How long the limits stay there from the first answer on, in seconds.
    ramp_s : float
        Shortest time to the full limits, in seconds.
    """

    initial_share: float = 0.05
    hold_s: float = 5.0
    ramp_s: float = 10.0


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Range that the time to come back is drawn from.

    Attributes
    ----------
    least, most : float
        Bounds in seconds.
    """

    least: float = 1.0
    most: float = 4.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    Attributes
    ----------
    availability : float
        Share of requests that shall be answered in time, below 1.
    latency_ms : int
        An answer within so many milliseconds counts as in time.
    """

    availability: float = 0.999
    latency_ms: int = 100


@dataclass(frozen=True, slots=True)
class Profile:
    """How the traffic of the services that name the profile is treated.

    Attributes
    ----------
    name : str
        Name of the profile.
    requests : Repeatability
        How it is known whether a request may be repeated.
    deadline_ms : int
        Whole time of a request from the edge, in milliseconds.
    flow_idle_s : float
        A flow without packets for so many seconds is forgotten.
    flows_per_slot : int
        Open flows that a host bears for each of its slots.
    in_flight_per_slot : int
        Requests in flight that a host bears for each of its slots.
    choices : int
        Hosts compared by load for a new flow, 1 to 4.
    cold_start : ColdStart
        How the limits of a host that has just started rise.
    drain_s : float
        Longest time that a draining host keeps its flows, in seconds.
    retry_budget : float
        Relays after a refusal, as a share of new work, 0 to 1.
    shed : tuple of WorkClass
        Classes of work, the first to be refused first.
    retry_after_s : RetryAfter
        Range that the time to come back is drawn from.
    objectives : Objectives
        Service-level objectives.
    """

    name: str
    requests: Repeatability = Repeatability.BY_METHOD
    deadline_ms: int = 2_000
    flow_idle_s: float = 900.0
    flows_per_slot: int = 1_000
    in_flight_per_slot: int = 32
    choices: int = 2
    cold_start: ColdStart = field(default_factory=ColdStart)
    drain_s: float = 60.0
    retry_budget: float = 0.1
    shed: tuple[WorkClass, ...] = (
        WorkClass.NEW_FLOW,
        WorkClass.REPEATABLE,
        WorkClass.NON_REPEATABLE,
    )
    retry_after_s: RetryAfter = field(default_factory=RetryAfter)
    objectives: Objectives = field(default_factory=Objectives)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as its operators declare it.

    Attributes
    ----------
    name : str
        Name of the service.
    address : Address
        Where callers send their datagrams.
    profile : str
        Name of the profile that its traffic is treated by.
    protocol : Protocol
        What its datagrams carry.
    """

    name: str
    address: Address
    profile: str
    protocol: Protocol = Protocol.COAP


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre's state as operators set it.

    Attributes
    ----------
    name : str
        Name of the data centre.
    state : DataCentreState
        Whether it takes part.
    """

    name: str
    state: DataCentreState = DataCentreState.IN


ConfigObject: TypeAlias = Profile | ServiceSpec | DataCentre

__all__ = [
    "ColdStart",
    "ConfigObject",
    "DataCentre",
    "DataCentreState",
    "Objectives",
    "Profile",
    "Protocol",
    "Repeatability",
    "RetryAfter",
    "ServiceSpec",
    "WorkClass",
]
