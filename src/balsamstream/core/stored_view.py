"""Conversion of views from and to the specs of their objects on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .identity import Address, ProcessRef, parse_address
from .view import Member, MemberState, View, Voter, VoterSet

if TYPE_CHECKING:
    from collections.abc import Mapping


def read_view(name: str, spec: Mapping[str, Any]) -> View:
    """Return the view in the spec of its object.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or of a wrong type.
    """
    members = tuple(_read_member(entry) for entry in spec.get("members", ()))
    sets = tuple(
        VoterSet(
            int(entry["epoch"]),
            tuple(_read_voter(voter) for voter in entry["voters"]),
            float(entry.get("quarantine_s", 0.0)),
        )
        for entry in spec.get("voter_sets", ())
    )
    return View(name, int(spec["number"]), members, sets)


def write_view(view: View) -> dict[str, Any]:
    """Return the spec of the object that stores a view."""
    return {
        "number": view.number,
        "members": [
            {
                **_write_process(member.ref, member.address, member.data_centre),
                "slots": member.slots,
                "state": member.state.value,
                **({"drained": True} if member.is_drained else {}),
            }
            for member in view.members
        ],
        "voter_sets": [
            {
                "epoch": voter_set.epoch,
                "quarantine_s": voter_set.quarantine_s,
                "voters": [
                    _write_process(voter.ref, voter.address, voter.data_centre)
                    for voter in voter_set.voters
                ],
            }
            for voter_set in view.voter_sets
        ],
    }


def _read_member(entry: Mapping[str, Any]) -> Member:
    return Member(
        ProcessRef(entry["name"], int(entry["incarnation"])),
        parse_address(entry["address"]),
        entry["data_centre"],
        int(entry["slots"]),
        MemberState(entry["state"]),
        bool(entry.get("drained", False)),
    )


def _read_voter(entry: Mapping[str, Any]) -> Voter:
    return Voter(
        ProcessRef(entry["name"], int(entry["incarnation"])),
        parse_address(entry["address"]),
        entry.get("data_centre", ""),
    )


def _write_process(
    ref: ProcessRef, address: Address, data_centre: str
) -> dict[str, Any]:
    return {
        "name": ref.name,
        "incarnation": ref.incarnation,
        "address": str(address),
        "data_centre": data_centre,
    }


__all__ = ["read_view", "write_view"]
