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
    """What the edge found in a caller's datagram."""

    NONE = 0
    REPEATABLE = 1
    NON_REPEATABLE = 2


class PacketFlag(IntFlag):
    """How a packet was passed on."""

    NONE = 0
    PLACED = 1
    """The bucket's owner chose the receiver to hold this flow."""
    ACTING = 2
    """The balancer cannot reach the bucket's owner; the receiver stands in."""


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
        Balancer the datagram entered by.
    version : RoutingVersion
        Routing that the sender used.
    kind : RequestKind
        Whether a request is inside and may be repeated.
    request : RequestKey
        Key of that request, or ``NO_REQUEST``.
    deadline_ms : int
        Time left for the request, in milliseconds.
    hops : int
        How often agents have passed the packet on.
    flags : PacketFlag
        How the packet was passed on.
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
    """An agent's verdict on a request that it gives no answer to.

    Parameters
    ----------
    verdict : NotRun or MayHaveRun
        What the caller is told.
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
class ReportRequest:
    """The owner of some buckets asks a member which of their flows it holds.

    Parameters
    ----------
    after : int
        Only flow keys above this one; -1 for the first part.
    """

    service: str
    version: RoutingVersion
    owner: ProcessRef
    after: int


@dataclass(frozen=True, slots=True)
class ReportReply:
    """Part of the flows that a member holds for an owner, in rising order.

    Parameters
    ----------
    version : RoutingVersion
        The asked one; zero where a host tells unasked what it placed for an owner.
    after : int
        Key that the asker named.
    more : bool
        Flows are left; ask again after the last key.
    """

    service: str
    version: RoutingVersion
    holder: ProcessRef
    after: int
    more: bool
    flows: tuple[FlowKey, ...]


@dataclass(frozen=True, slots=True)
class HolderRequest:
    """Asks a member whether it holds one flow."""

    service: str
    flow: FlowKey


@dataclass(frozen=True, slots=True)
class HolderReply:
    """Whether a member holds, or knows the holder of, one flow."""

    service: str
    flow: FlowKey
    member: ProcessRef
    holder: str | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a host carries and what it bears now."""

    service: str
    host: str
    flows: int
    flow_limit: int
    in_flight: int
    in_flight_limit: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether a process runs."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """A process runs, in this incarnation."""

    number: int
    ref: ProcessRef


@dataclass(frozen=True, slots=True)
class TakeoverRequest:
    """A new agent of a host asks the one it replaces for its flows.

    Parameters
    ----------
    successor : ProcessRef
        The new agent; its name is the old one's too.
    after : int
        All flows up to this key have been taken over; -1 begins a pass.
    """

    service: str
    successor: ProcessRef
    after: int


@dataclass(frozen=True, slots=True)
class HeldFlow:
    """What a new agent needs to go on with a flow."""

    flow: FlowKey
    caller: Address
    via: Address


@dataclass(frozen=True, slots=True)
class TakeoverPart:
    """Flows that the old agent has closed and the new one goes on with.

    Parameters
    ----------
    after : int
        Key that the asker named.
    left : int
        Flows that the old agent still holds, busy ones included.
    share : float
        Share of the full limits that the host bears, from 0 to 1.
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
    """What a voter says to a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    SEALED = "sealed"
    """The voter votes in a later epoch only, or in none."""
    INACTIVE = "inactive"
    """The voter has not yet gathered the claims of earlier epochs."""
    FULL = "full"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A process asks to be the only one that may run a request."""

    service: str
    epoch: int
    request: RequestKey
    claimant: ProcessRef


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A voter's answer; ``holder`` is the recorded claimant."""

    service: str
    epoch: int
    request: RequestKey
    claimant: ProcessRef
    voter: ProcessRef
    outcome: ClaimOutcome
    holder: ProcessRef = NOBODY


@dataclass(frozen=True, slots=True)
class SealRequest:
    """A voter of a new epoch asks for the claims of earlier ones."""

    service: str
    epoch: int
    asker: ProcessRef
    page: int


@dataclass(frozen=True, slots=True)
class SealReply:
    """A voter grants nothing more below an epoch; a page of its claims.

    Parameters
    ----------
    active_epoch : int
        Epoch the voter grants in, or zero.
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
    """Asks for all objects later than a version; an agent names its service."""

    have: int
    service: str = ""


@dataclass(frozen=True, slots=True)
class Changes:
    """Objects of versions above ``since`` up to ``up_to``.

    Parameters
    ----------
    since, up_to : int
        Platform versions that the objects lie between.
    full : bool
        The sender holds nothing besides these objects, so what is missing was deleted.
    more : bool
        Later objects are left; ask again with what is then held.
    objects : tuple of ConfigObject
        Oldest first.
    service : str
        The one service the objects were chosen for; empty for all.
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
    | ReportRequest
    | ReportReply
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
    "ReportRequest",
    "ReportReply",
    "RequestKind",
    "SealRequest",
    "SealReply",
    "TakeoverRequest",
    "TakeoverPart",
]
