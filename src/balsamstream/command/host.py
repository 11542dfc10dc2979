"""Drains hosts and makes them active again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..config import Kind
from ..core.view import MemberState, SetState
from .fleet import Host, list_hosts
from .outcome import ExitCode, Fault, Output, build_platform_fault
from .view import edit_service_view

if TYPE_CHECKING:
    from ..core.view import View, ViewEdit
    from ..objectapi import PlatformClient, PlatformError, StoredObject
    from .outcome import Outcome


async def set_host_state(
    client: PlatformClient,
    name: str,
    state: MemberState,
    service: str | None = None,
) -> Outcome:
    """Set the state of a host in the view of its service.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    name : str
        Name of the host.
    state : MemberState
        Active or draining.
    service : str or None
        Service of the host, or None to search all services.
    """
    found = await _find_host(client, name, service)
    if not isinstance(found, Success):
        return Failure(found.failure())
    host = found.unwrap()
    result = await edit_service_view(
        client, host.service, lambda view: _build_edit(view, name, state)
    )
    return result.map(lambda changed: _build_output(host, state, changed))


def _build_edit(
    view: View, name: str, state: MemberState
) -> Result[ViewEdit | None, Fault]:
    member = view.find_member(name)
    if member is None or member.state in (MemberState.DOWN, MemberState.LEAVING):
        reason = "no longer in the view" if member is None else member.state.value
        line = f"host {name} is {reason}, only active or draining hosts can be changed"
        return Failure(Fault(ExitCode.CONFLICT, (line,)))
    if member.state is state:
        return Success(None)
    return Success(SetState(member.ref, state))


async def _find_host(
    client: PlatformClient, name: str, service: str | None
) -> Result[Host, Fault]:
    views = await _read_views(client, service)
    if not isinstance(views, Success):
        subject = f"view {service}" if service else "views"
        return Failure(build_platform_fault(views.failure(), subject))
    found = [host for host in list_hosts(views.unwrap()) if host.name == name]
    if not found:
        line = f"no view has a host {name}"
        return Failure(Fault(ExitCode.MISSING, (line,)))
    if len(found) > 1:
        services = ", ".join(host.service for host in found)
        line = f"host {name} exists in {services}: select one with --service"
        return Failure(Fault(ExitCode.USAGE, (line,)))
    return Success(found[0])


async def _read_views(
    client: PlatformClient, service: str | None
) -> Result[list[StoredObject], PlatformError]:
    if service is not None:
        return (await client.get(Kind.VIEW, service)).map(lambda view: [view])
    return (await client.list(Kind.VIEW)).map(lambda listing: list(listing.objects))


def _build_output(host: Host, state: MemberState, changed: bool) -> Output:
    value = {
        "name": host.name,
        "service": host.service,
        "state": state.value,
        "changed": changed,
    }
    verb = "is now" if changed else "was already"
    line = f"host {host.name} of service {host.service} {verb} {state.value}"
    return Output(value, lines=(line,))


__all__ = ["set_host_state"]
