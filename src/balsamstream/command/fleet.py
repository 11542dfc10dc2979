"""Reads the hosts and balancers of the fleet from the objects of the daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..config import Kind
from ..core.identity import ProcessRef, parse_address
from ..core.view import Voter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..objectapi import StoredObject


@dataclass(frozen=True, slots=True)
class Host:
    """A member of a service's view.

    Attributes
    ----------
    service : str
        Name of the service.
    name, data_centre, address, state : str
        Fields of the member in the view; all but the name are empty if missing.
    slots : int
        Capacity slots of the host.
    incarnation : int
        Number drawn at each start of the host's agent.
    """

    service: str
    name: str
    data_centre: str
    address: str
    state: str
    slots: int
    incarnation: int


class _Model(BaseModel):
    # Daemons of later releases may write additional fields.
    model_config = ConfigDict(extra="ignore")


class _MemberModel(_Model):
    name: str
    incarnation: int = 0
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    state: str = ""


class _ViewModel(_Model):
    number: int = 0
    members: list[_MemberModel] = Field(default_factory=list)


class _BalancerModel(_Model):
    incarnation: int = 0
    address: str = ""
    data_centre: str = ""


def list_hosts(views: Iterable[StoredObject]) -> list[Host]:
    """List the members of all views, skipping views that cannot be parsed."""
    hosts: list[Host] = []
    for view in views:
        if view.kind is not Kind.VIEW:
            continue
        try:
            model = _ViewModel.model_validate(view.spec)
        except ValidationError:
            continue
        for member in model.members:
            hosts.append(
                Host(
                    view.name,
                    member.name,
                    member.data_centre,
                    member.address,
                    member.state,
                    member.slots,
                    member.incarnation,
                )
            )
    return hosts


def read_balancer_data_centre(stored: StoredObject) -> str:
    """Read the data centre of a balancer, empty if unknown."""
    try:
        return _BalancerModel.model_validate(stored.spec).data_centre
    except ValidationError:
        return ""


def list_spare_voters(objects: Iterable[StoredObject]) -> tuple[Voter, ...]:
    """List the balancers as spare voters, skipping those that cannot be parsed."""
    voters: list[Voter] = []
    for item in objects:
        if item.kind is not Kind.BALANCER:
            continue
        try:
            model = _BalancerModel.model_validate(item.spec)
            address = parse_address(model.address)
        except ValueError:
            continue
        ref = ProcessRef(item.name, model.incarnation)
        voters.append(Voter(ref, address, model.data_centre))
    return tuple(voters)


__all__ = ["Host", "list_hosts", "list_spare_voters", "read_balancer_data_centre"]
