"""Changes the state of a host or a data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from ..config import DataCentreState, Kind
from .fleet import Host, find_data_centre, list_hosts, set_member_state
from .outcome import ExitCode, Fault, Output, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..platform import PlatformClient, PlatformError, StoredObject
    from .outcome import Outcome

ACTIVE: Final = "active"
DRAINING: Final = "draining"


async def change_host(
    client: PlatformClient, name: str, state: str, service: str | None = None
) -> Outcome:
    """Change the state of a host in its service's view.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    name : str
        Name of the host.
    state : str
        ``active`` or ``draining``.
    service : str or None
        The host's service, None to look through all.
    """
    found = await _find_host(client, name, service)
    if not isinstance(found, Success):
        return Failure(found.failure())
    host = found.unwrap()
    reached: list[str] = []

    def set_state(view: StoredObject | None) -> dict[str, Any] | None:
        members = {item.name: item for item in list_hosts([view] if view else [])}
        current = members[name].state if name in members else ""
        reached.append(current)
        if view is None or current not in (ACTIVE, DRAINING) or current == state:
            return None
        return set_member_state(view.spec, name, state)

    result = await client.change(Kind.VIEW, host.service, set_state)
    if not isinstance(result, Success):
        subject = f"view {host.service}"
        return Failure(build_platform_fault(result.failure(), subject))
    if reached[-1] not in (ACTIVE, DRAINING):
        what = reached[-1] or "gone"
        line = f"host {name} is {what}, only an active or draining one can be changed"
        return Failure(Fault(ExitCode.CONFLICT, (line,)))
    return Success(_show_host(host, state, reached[-1] != state))


async def change_data_centre(
    client: PlatformClient, name: str, state: DataCentreState
) -> Outcome:
    """Change the state of a data centre, which has to be known."""
    listed = await client.list_all()
    if not isinstance(listed, Success):
        subject = f"datacentre {name}"
        return Failure(build_platform_fault(listed.failure(), subject))
    known = _list_data_centres(listed.unwrap().objects)
    if name not in known:
        names = ", ".join(sorted(known)) or "none"
        line = f"there is no data centre {name}, known are: {names}"
        return Failure(Fault(ExitCode.MISSING, (line,)))
    before: list[object] = []

    def set_state(stored: StoredObject | None) -> dict[str, Any] | None:
        held = stored.spec.get("state") if stored else DataCentreState.IN.value
        before.append(held)
        if stored is not None and held == state.value:
            return None
        return {"state": state.value}

    result = await client.change(Kind.DATA_CENTRE, name, set_state)
    if not isinstance(result, Success):
        subject = f"datacentre {name}"
        return Failure(build_platform_fault(result.failure(), subject))
    changed = before[-1] != state.value
    value = {"name": name, "state": state.value, "changed": changed}
    verb = "is now" if changed else "was already"
    return Success(Output(value, lines=(f"data centre {name} {verb} {state.value}",)))


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
        line = f"host {name} stands in {services}: choose by --service"
        return Failure(Fault(ExitCode.USAGE, (line,)))
    return Success(found[0])


async def _read_views(
    client: PlatformClient, service: str | None
) -> Result[list[StoredObject], PlatformError]:
    if service is not None:
        return (await client.get(Kind.VIEW, service)).map(lambda view: [view])
    return (await client.list(Kind.VIEW)).map(lambda listing: list(listing.objects))


def _list_data_centres(objects: Iterable[StoredObject]) -> set[str]:
    items = tuple(objects)
    names = {item.name for item in items if item.kind is Kind.DATA_CENTRE}
    names.update(host.data_centre for host in list_hosts(items))
    names.update(find_data_centre(i) for i in items if i.kind is Kind.BALANCER)
    return names - {""}


def _show_host(host: Host, state: str, changed: bool) -> Output:
    value = {
        "name": host.name,
        "service": host.service,
        "state": state,
        "changed": changed,
    }
    verb = "is now" if changed else "was already"
    line = f"host {host.name} of service {host.service} {verb} {state}"
    return Output(value, lines=(line,))


__all__ = ["ACTIVE", "DRAINING", "change_data_centre", "change_host"]
