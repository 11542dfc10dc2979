"""Messages between balancers and agents."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, IntFlag
from typing import TYPE_CHECKING, Any

from .identity import NOBODY, Address, FlowKey, RequestKey

if TYPE_CHECKING:
    from .identity import ProcessRef
    from .routing import RoutingVersion
    from .verdict import MayHaveRun, NotRun


class RequestKind(IntEnum):
    """Kind of request in a caller's datagram, as the edge classified it."""

    NONE = 0
    REPEATABLE = 1
    NON_REPEATABLE = 2


class PacketFlag(IntFlag):
    """How a packet was forwarded."""

    NONE = 0
    PLACED = 1
    """The bucket's owner chose the receiver to hold this flow."""
    ACTING = 2
    """The balancer cannot reach the bucket's owner; the receiver acts as owner."""


# --- the packet path ---------------------------------------------------------------


@dataclass(slots=True)
class Packet:
    """A caller's datagram on its way to a host.

    Parameters
    ----------
    service : int
        64-bit hash of the service's name.
    flow : FlowKey
        Flow of the datagram.
    caller : Address
        Where answers go.
    via : Address
        Balancer that the datagram entered through.
    version : RoutingVersion
        Routing that the sender used.
    kind : RequestKind
        Whether the datagram contains a request, and whether it may be repeated.
    request : RequestKey
        Key of that request, or ``NO_REQUEST``.
    deadline_ms : int
        Time left for the request, in milliseconds.
    hops : int
        Number of times that agents have forwarded the packet.
    flags : PacketFlag
        How the packet was forwarded.
    payload : bytes
        The datagram itself.
    """

    service: int
    flow: FlowKey
    caller: Address
    via: Address
    version: RoutingVersion
    kind: RequestKind
    request: RequestKey
    deadline_ms: int
    payload: bytes
    hops: int = 0
    flags: PacketFlag = PacketFlag.NONE


@dataclass(slots=True)
class Answer:
    """A backend server's datagram on its way to a caller."""

    service: int
    flow: FlowKey
    caller: Address
    version: RoutingVersion
    payload: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """An agent's refusal of a request that gets no answer from the backend server.

    Parameters
    ----------
    verdict : NotRun or MayHaveRun
        Whether the request may have run.
    head : bytes
        First bytes of the refused datagram, from which the edge builds the answer.
    """

    service: int
    flow: FlowKey
    caller: Address
    version: RoutingVersion
    verdict: NotRun | MayHaveRun
    head: bytes


# --- membership and flows ----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HeldFlowsRequest:
    """Request of a bucket owner for the flows of its buckets that a member holds.

    Parameters
    ----------
    after : int
        Only flow keys above this one are requested; -1 for the first part.
    """

    service: str
    version: RoutingVersion
    owner: ProcessRef
    after: int


@dataclass(frozen=True, slots=True)
class HeldFlowsReply:
    """Part of the flows that a member holds in an owner's buckets, in rising order.

    Parameters
    ----------
    version : RoutingVersion
        Version of the request; zero in an unsolicited report.
    after : int
        Key named in the request.
    more : bool
        Whether flows are left; the next request names the last key of this part.
    """

    service: str
    version: RoutingVersion
    holder: ProcessRef
    after: int
    more: bool
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class HolderRequest:
    """Request to a member for the holder of one flow."""

    service: str
    flow: FlowKey


@dataclass(frozen=True, slots=True)
class HolderReply:
    """Name of the host that holds a flow, or None if the member does not know it."""

    service: str
    flow: FlowKey
    member: ProcessRef
    holder: str | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's flows and requests in flight, and its present limits."""

    service: str
    host: str
    flows: int
    flow_limit: int
    in_flight: int
    in_flight_limit: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Request for a sign of life."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a ping, with the incarnation of the process."""

    number: int
    ref: ProcessRef


@dataclass(frozen=True, slots=True)
class TakeoverRequest:
    """Request of a host's new agent for the flows of the agent that it replaces.

    Parameters
    ----------
    successor : ProcessRef
        The new agent, which has the same name as the old one.
    after : int
        All flows up to this key have been taken over; -1 starts another pass.
    """

    service: str
    successor: ProcessRef
    after: int


@dataclass(frozen=True, slots=True)
class HeldFlow:
    """State that a new agent needs to continue a flow."""

    flow: FlowKey
    caller: Address
    via: Address


@dataclass(frozen=True, slots=True)
class TakeoverPart:
    """Flows that the old agent has closed and the new one continues.

    Parameters
    ----------
    after : int
        Key named in the request.
    left : int
        Flows that remain at the old agent, those with requests in flight included.
    share : float
        Present share of the full limits of admission, from 0 to 1.
    flows : tuple of HeldFlow
        In rising order of their keys.
    """

    service: str
    predecessor: ProcessRef
    after: int
    left: int
    share: float
    flows: tuple[HeldFlow, ...]


# --- claims ------------------------------------------------------------------------


class ClaimOutcome(Enum):
    """A voter's decision on a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    SEALED = "sealed"
    """The voter votes in a later epoch only, or in none."""
    INACTIVE = "inactive"
    """The voter has not yet collected the claims of earlier epochs."""
    FULL = "full"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request of a process to become the only one that may run a request."""

    service: str
    epoch: int
    request: RequestKey
    claimant: ProcessRef


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A voter's reply to a claim; ``holder`` is the recorded claimant."""

    service: str
    epoch: int
    request: RequestKey
    claimant: ProcessRef
    voter: ProcessRef
    outcome: ClaimOutcome
    holder: ProcessRef = NOBODY


@dataclass(frozen=True, slots=True)
class SealRequest:
    """Request of a new epoch's voter to seal earlier epochs and return their claims."""

    service: str
    epoch: int
    asker: ProcessRef
    page: int


@dataclass(frozen=True, slots=True)
class SealReply:
    """A page of a voter's claims; the voter grants no more claims below the epoch.

    Parameters
    ----------
    active_epoch : int
        Epoch that the voter grants claims in, or zero.
    claims : tuple
        Pairs of a request and its recorded claimant.
    """

    service: str
    epoch: int
    voter: ProcessRef
    active_epoch: int
    page: int
    pages: int
    claims: tuple[tuple[RequestKey, ProcessRef], ...]


# --- configuration -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ConfigObject:
    """One object of the platform; a deleted one has no spec."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None = field(hash=False)


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request for all objects later than a version; an agent names its service."""

    have: int
    service: str = ""


@dataclass(frozen=True, slots=True)
class Changes:
    """Objects of versions above ``since`` up to ``up_to``.

    Parameters
    ----------
    since, up_to : int
        Bounds of the objects' platform versions.
    full : bool
        Whether the sender has no other objects, so that a missing one was deleted.
    more : bool
        Whether later objects are left, for another request.
    objects : tuple of ConfigObject
        Oldest first.
    service : str
        The one service that the objects were selected for; empty for all.
    """

    since: int
    up_to: int
    full: bool
    more: bool
    objects: tuple[ConfigObject, ...]
    service: str = ""


Message = (
    Packet
    | Answer
    | Refusal
    | HeldFlowsRequest
    | HeldFlowsReply
    | HolderRequest
    | HolderReply
    | LoadReport
    | TakeoverRequest
    | TakeoverPart
    | Ping
    | Pong
    | ClaimRequest
    | ClaimReply
    | SealRequest
    | SealReply
    | ChangesRequest
    | Changes
)

__all__ = [
    "Answer",
    "Changes",
    "ChangesRequest",
    "ClaimRequest",
    "ClaimOutcome",
    "ClaimReply",
    "ConfigObject",
    "HeldFlow",
    "HolderRequest",
    "HolderReply",
    "LoadReport",
    "Message",
    "Packet",
    "PacketFlag",
    "Ping",
    "Pong",
    "Refusal",
    "HeldFlowsRequest",
    "HeldFlowsReply",
    "RequestKind",
    "SealRequest",
    "SealReply",
    "TakeoverRequest",
    "TakeoverPart",
]
