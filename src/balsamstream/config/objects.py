"""Data classes of the objects that operators declare."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from .address import Address


class Repeatability(enum.Enum):
    """How to decide whether a request may be repeated."""

    BY_METHOD = "by-method"
    REPEATABLE = "repeatable"
    NON_REPEATABLE = "non-repeatable"


class WorkClass(enum.Enum):
    """Classes of work that are distinguished for load shedding."""

    NEW_FLOW = "new-flow"
    REPEATABLE = "repeatable"
    NON_REPEATABLE = "non-repeatable"


class Protocol(enum.Enum):
    """Application protocol of a service's datagrams."""

    COAP = "coap"
    OPAQUE = "opaque"


class DataCentreState(enum.Enum):
    """Whether a data centre is in service."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How the limits of a newly started host rise.

    Attributes
    ----------
    initial_share : float
        Share of the full limits at the start, above 0 and up to 1.
    hold_s : float
        Time that the limits stay at the initial share after the first answer, in
        seconds.
    ramp_s : float
        Minimum time from the end of the hold until the full limits are reached, in
        seconds.
    """

    initial_share: float = 0.05
    hold_s: float = 5.0
    ramp_s: float = 10.0


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Range from which the retry delay given to a refused caller is drawn.

    Attributes
    ----------
    least, most : float
        Lower and upper bound, in seconds.
    """

    least: float = 1.0
    most: float = 4.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    Attributes
    ----------
    availability : float
        Target share of requests that are answered in time, below 1.
    latency_ms : int
        Longest latency of an answer that counts as in time, in milliseconds.
    """

    availability: float = 0.999
    latency_ms: int = 100


@dataclass(frozen=True, slots=True)
class Profile:
    """Traffic policy shared by the services that refer to it.

    Attributes
    ----------
    name : str
        Name of the profile.
    requests : Repeatability
        How to decide whether a request may be repeated.
    deadline_ms : int
        Total time allowed for a request from its arrival at the edge, in
        milliseconds.
    flow_idle_s : float
        Idle timeout after which a flow is removed, in seconds.
    flows_per_slot : int
        Limit of open flows for each slot of a host.
    in_flight_per_slot : int
        Limit of requests in flight for each slot of a host.
    choices : int
        Number of hosts compared by load for a new flow, 1 to 4.
    cold_start : ColdStart
        How the limits of a newly started host rise.
    drain_s : float
        Longest time that a draining host keeps its flows, in seconds.
    retry_budget : float
        Retries after a refusal as a share of new work, 0 to 1.
    shed : tuple of WorkClass
        Order in which the classes of work are shed, first to last.
    retry_after_s : RetryAfter
        Range from which the retry delay given to a refused caller is drawn.
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
    """A service as declared by its operators.

    Attributes
    ----------
    name : str
        Name of the service.
    address : Address
        Address that callers send their datagrams to.
    profile : str
        Name of the profile that applies to its traffic.
    protocol : Protocol
        Application protocol of its datagrams.
    """

    name: str
    address: Address
    profile: str
    protocol: Protocol = Protocol.COAP


@dataclass(frozen=True, slots=True)
class DataCentre:
    """The state of a data centre as set by operators.

    Attributes
    ----------
    name : str
        Name of the data centre.
    state : DataCentreState
        Whether it is in service.
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
