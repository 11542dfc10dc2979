"""Membership of one service and the voters on claims of its requests."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .identity import Address, ProcessRef

VOTERS_WANTED: Final = 3
MAX_VOTER_SETS: Final = 6


class MemberState(Enum):
    """Which packets a member may receive."""

    ACTIVE = "active"
    DRAINING = "draining"
    """An operator drains the host; it keeps its flows and gets no new ones."""
    LEAVING = "leaving"
    """The host stops gracefully; it keeps its flows and gets no new ones."""
    DOWN = "down"
    """The other hosts have received nothing from it within their timeout."""


@dataclass(frozen=True, slots=True)
class Member:
    """One host of a service.

    Parameters
    ----------
    ref : ProcessRef
        The agent's name and incarnation.
    address : Address
        Address on which the agent receives messages.
    data_centre : str
        Name of the host's data centre.
    slots : int
        Weight of the host: its capacity relative to other hosts.
    state : MemberState
        Whether the host may get new flows, only its own flows, or nothing.
    is_drained : bool
        An operator drained the host. Kept while the host is down and across its
        restarts, until it is undrained or leaves.
    """

    ref: ProcessRef
    address: Address
    data_centre: str
    slots: int
    state: MemberState = MemberState.ACTIVE
    is_drained: bool = False


@dataclass(frozen=True, slots=True)
class Voter:
    """A process that records claims; only this incarnation of it has a vote."""

    ref: ProcessRef
    address: Address
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The voters of one epoch.

    Parameters
    ----------
    epoch : int
        Rises with each voter set of a service.
    voters : tuple of Voter
        A majority of them decides on a claim.
    quarantine_s : float
        Time before the voters grant claims, in seconds; above zero only if an
        operator replaced voters that were unreachable.
    """

    epoch: int
    voters: tuple[Voter, ...]
    quarantine_s: float = 0.0

    @property
    def majority(self) -> int:
        """Number of votes that decides on a claim."""
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class View:
    """One version of the membership of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    number : int
        Rises by one with each change.
    members : tuple of Member
        All hosts of the service, sorted by name.
    voter_sets : tuple of VoterSet
        Newest last; an older set stays until its claims have been handed over.
    """

    service: str
    number: int
    members: tuple[Member, ...] = ()
    voter_sets: tuple[VoterSet, ...] = ()

    def find_member(self, name: str) -> Member | None:
        """Return the member of a name, or None if it is not listed."""
        for member in self.members:
            if member.ref.name == name:
                return member
        return None


@dataclass(frozen=True, slots=True)
class Join:
    """Add a host, or replace the entry of a restarted one by its new incarnation."""

    member: Member


@dataclass(frozen=True, slots=True)
class SetState:
    """Set the state of a member, if the view lists this incarnation."""

    ref: ProcessRef
    state: MemberState


@dataclass(frozen=True, slots=True)
class Return:
    """Undo that a member was marked down, if the view lists this incarnation."""

    ref: ProcessRef


@dataclass(frozen=True, slots=True)
class Leave:
    """Remove a member that has finished its work."""

    ref: ProcessRef


@dataclass(frozen=True, slots=True)
class TrimVoterSets:
    """Remove all voter sets before an epoch; their claims have been handed over."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ResetVoters:
    """Replace all voter sets; an operator asserts that the old voters are dead."""

    quarantine_s: float


ViewEdit = Join | SetState | Return | Leave | TrimVoterSets | ResetVoters


def edit_view(view: View, edit: ViewEdit, spare_voters: Sequence[Voter] = ()) -> View:
    """Apply one edit and replace the voters that it disqualifies.

    Parameters
    ----------
    view : View
        The view that the edit was decided on, or a later one.
    edit : ViewEdit
        Change to apply.
    spare_voters : sequence of Voter
        Balancers that may vote if the service has too few hosts.

    Returns
    -------
    View
        The next view, or the same object if nothing changes.
    """
    members = _edit_members(view.members, edit)
    sets = _edit_voter_sets(view.voter_sets, edit)
    sets = _repair_voters(sets, members, spare_voters, edit)
    if members == view.members and sets == view.voter_sets:
        return view
    return replace(view, number=view.number + 1, members=members, voter_sets=sets)


def _edit_members(members: tuple[Member, ...], edit: ViewEdit) -> tuple[Member, ...]:
    match edit:
        case Join(member):
            others = [known for known in members if known.ref.name != member.ref.name]
            joined = _keep_drained(member, members)
            return tuple(sorted([*others, joined], key=lambda known: known.ref))
        case SetState(ref, state):
            return tuple(
                _set_state(known, state) if known.ref == ref else known
                for known in members
            )
        case Return(ref):
            return tuple(
                _return_member(known) if known.ref == ref else known
                for known in members
            )
        case Leave(ref):
            return tuple(known for known in members if known.ref != ref)
        case _:
            return members


def _keep_drained(joined: Member, members: tuple[Member, ...]) -> Member:
    for known in members:
        if known.ref.name == joined.ref.name and known.is_drained:
            return replace(joined, state=MemberState.DRAINING, is_drained=True)
    return joined


def _set_state(member: Member, state: MemberState) -> Member:
    match state:
        case MemberState.ACTIVE | MemberState.DRAINING:
            drained = state is MemberState.DRAINING
            return replace(member, state=state, is_drained=drained)
        case _:
            return replace(member, state=state)


def _return_member(member: Member) -> Member:
    if member.state is not MemberState.DOWN:
        return member
    state = MemberState.DRAINING if member.is_drained else MemberState.ACTIVE
    return replace(member, state=state)


def _edit_voter_sets(
    sets: tuple[VoterSet, ...], edit: ViewEdit
) -> tuple[VoterSet, ...]:
    match edit:
        case TrimVoterSets(epoch):
            if sets and sets[-1].epoch == epoch:
                return sets[-1:]
            return sets
        case _:
            return sets


def _repair_voters(
    sets: tuple[VoterSet, ...],
    members: tuple[Member, ...],
    spares: Sequence[Voter],
    edit: ViewEdit,
) -> tuple[VoterSet, ...]:
    active = [
        Voter(member.ref, member.address, member.data_centre)
        for member in members
        if member.state is MemberState.ACTIVE
    ]
    current = sets[-1].voters if sets else ()
    new_voters = _choose_voters(current, active, spares)
    next_epoch = sets[-1].epoch + 1 if sets else 1
    match edit:
        case ResetVoters(quarantine_s):
            return (VoterSet(next_epoch, new_voters, quarantine_s),)
        case _:
            pass
    if not new_voters or set(new_voters) == set(current):
        return sets
    if len(sets) >= MAX_VOTER_SETS:
        return sets
    return (*sets, VoterSet(next_epoch, new_voters))


def _choose_voters(
    current: Iterable[Voter], active: Sequence[Voter], spares: Sequence[Voter]
) -> tuple[Voter, ...]:
    """Keep the current voters that are active hosts; fill up across data centres.

    Hosts are preferred to balancers: the other hosts of a service detect a dead host
    and mark it down in the view, which replaces it as a voter.
    """
    hosts = {voter.ref for voter in active}
    balancers = {voter.ref for voter in spares}
    chosen = [voter for voter in current if voter.ref in hosts]
    kept = [voter for voter in current if voter.ref in balancers]
    for pool in (active, kept, spares):
        for voter in _order_by_spread(pool, chosen):
            if len(chosen) >= VOTERS_WANTED:
                break
            if voter.ref in {known.ref for known in chosen}:
                continue
            chosen.append(voter)
    if len(chosen) % 2 == 0 and len(chosen) > 1:
        # An even set needs one vote more than a set with one voter less, but
        # tolerates no more failures.
        chosen.pop()
    return tuple(chosen)


def _order_by_spread(pool: Sequence[Voter], chosen: Sequence[Voter]) -> list[Voter]:
    """Return the pool ordered: voters in data centres without a chosen voter first."""
    used = {voter.data_centre for voter in chosen}
    first: list[Voter] = []
    rest: list[Voter] = []
    for voter in sorted(pool, key=lambda known: known.ref):
        if voter.data_centre in used:
            rest.append(voter)
            continue
        used.add(voter.data_centre)
        first.append(voter)
    return first + rest


__all__ = [
    "MAX_VOTER_SETS",
    "VOTERS_WANTED",
    "Join",
    "Leave",
    "Member",
    "MemberState",
    "ResetVoters",
    "Return",
    "SetState",
    "TrimVoterSets",
    "View",
    "ViewEdit",
    "Voter",
    "VoterSet",
    "edit_view",
]
