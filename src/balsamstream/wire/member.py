"""Names, versions and views as thrift structures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamstream.core.identity import Address, ProcessRef
from balsamstream.core.routing import RoutingVersion
from balsamstream.core.view import Member, MemberState, View, Voter, VoterSet

from .generated.control import ttypes

if TYPE_CHECKING:
    from .structure import Structure


def write_ref(ref: ProcessRef) -> Structure:
    """Write the name of one run of a process."""
    return ttypes.Ref(ref.name, ref.incarnation)


def read_ref(struct: Structure) -> ProcessRef:
    """Read the name of one run of a process."""
    struct.validate()
    return ProcessRef(struct.name, struct.incarnation)


def write_version(version: RoutingVersion) -> Structure:
    """Write a routing version."""
    return ttypes.Version(version.view, version.data_centres)


def read_version(struct: Structure) -> RoutingVersion:
    """Read a routing version."""
    struct.validate()
    return RoutingVersion(struct.view, struct.data_centres)


def write_view(view: View) -> Structure:
    """Write a view with its members and voter sets."""
    return ttypes.View(
        view.service,
        view.number,
        [_write_member(member) for member in view.members],
        [_write_voter_set(voter_set) for voter_set in view.voter_sets],
    )


def read_view(struct: Structure) -> View:
    """Read a view with its members and voter sets."""
    struct.validate()
    return View(
        struct.service_name,
        struct.number,
        tuple(_read_member(member) for member in struct.members),
        tuple(_read_voter_set(voter_set) for voter_set in struct.voter_sets),
    )


def _write_address(address: Address) -> Structure:
    return ttypes.Address(address.ip, address.port)


def _read_address(struct: Structure) -> Address:
    struct.validate()
    return Address(struct.ip, struct.port)


def _write_member(member: Member) -> Structure:
    return ttypes.Member(
        write_ref(member.ref),
        _write_address(member.address),
        member.data_centre,
        member.slots,
        member.state.value,
    )


def _read_member(struct: Structure) -> Member:
    struct.validate()
    return Member(
        read_ref(struct.ref),
        _read_address(struct.address),
        struct.data_centre,
        struct.slots,
        MemberState(struct.state),
    )


def _write_voter(voter: Voter) -> Structure:
    return ttypes.Voter(
        write_ref(voter.ref), _write_address(voter.address), voter.data_centre
    )


def _read_voter(struct: Structure) -> Voter:
    struct.validate()
    return Voter(
        read_ref(struct.ref), _read_address(struct.address), struct.data_centre
    )


def _write_voter_set(voter_set: VoterSet) -> Structure:
    return ttypes.VoterSet(
        voter_set.epoch,
        [_write_voter(voter) for voter in voter_set.voters],
        voter_set.quarantine_s,
    )


def _read_voter_set(struct: Structure) -> VoterSet:
    struct.validate()
    return VoterSet(
        struct.epoch,
        tuple(_read_voter(voter) for voter in struct.voters),
        struct.quarantine_s,
    )


__all__ = [
    "read_ref",
    "read_version",
    "read_view",
    "write_ref",
    "write_version",
    "write_view",
]
