"""Takes data centres out of service and puts them back in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..config import DataCentreState, Kind
from .fleet import list_hosts, read_balancer_data_centre
from .outcome import ExitCode, Fault, Output, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..objectapi import PlatformClient, StoredObject
    from .outcome import Outcome


async def set_data_centre_state(
    client: PlatformClient, name: str, state: DataCentreState
) -> Outcome:
    """Set the state of a data centre that is declared or has hosts or balancers.

    The write replaces the version that was read: if another operator changes the
    data centre in the meantime, it fails and the error names that operator.
    """
    listed = await client.list_all()
    if not isinstance(listed, Success):
        subject = f"datacentre {name}"
        return Failure(build_platform_fault(listed.failure(), subject))
    objects = listed.unwrap().objects
    known = _list_known_names(objects)
    if name not in known:
        names = ", ".join(sorted(known)) or "none"
        line = f"there is no data centre {name}, known are: {names}"
        return Failure(Fault(ExitCode.MISSING, (line,)))
    stored = _find_stored(objects, name)
    old_state = stored.spec.get("state") if stored else DataCentreState.IN.value
    if stored is None or old_state != state.value:
        spec = {"state": state.value}
        result = await client.write(Kind.DATA_CENTRE, name, stored, spec)
        if not isinstance(result, Success):
            subject = f"datacentre {name}"
            return Failure(build_platform_fault(result.failure(), subject))
    changed = old_state != state.value
    value = {"name": name, "state": state.value, "changed": changed}
    verb = "is now" if changed else "was already"
    return Success(Output(value, lines=(f"data centre {name} {verb} {state.value}",)))


def _find_stored(objects: Iterable[StoredObject], name: str) -> StoredObject | None:
    for item in objects:
        if item.kind is Kind.DATA_CENTRE and item.name == name:
            return item
    return None


def _list_known_names(objects: Iterable[StoredObject]) -> set[str]:
    items = tuple(objects)
    names = {item.name for item in items if item.kind is Kind.DATA_CENTRE}
    names.update(host.data_centre for host in list_hosts(items))
    names.update(read_balancer_data_centre(i) for i in items if i.kind is Kind.BALANCER)
    return names - {""}


__all__ = ["set_data_centre_state"]
