"""Deletes objects that are not in use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..config import Kind
from .fleet import list_hosts
from .outcome import (
    NOTHING_CHANGED,
    ExitCode,
    Fault,
    Output,
    build_platform_fault,
    format_subject,
)

if TYPE_CHECKING:
    from ..objectapi import PlatformClient, StoredObject
    from .outcome import Outcome


async def delete_object(client: PlatformClient, kind: Kind, name: str) -> Outcome:
    """Delete an object unless it is in use."""
    if kind is Kind.VIEW:
        line = "views are managed by the daemons, drain or stop the hosts instead"
        return Failure(Fault(ExitCode.USAGE, (line,)))
    match await client.get(kind, name):
        case Failure(error):
            subject = f"{kind.value.lower()} {name}"
            return Failure(build_platform_fault(error, subject))
        case Success(stored):
            deleted = await delete_if_unused(client, stored)
            value = {"kind": kind.value, "name": name, "action": "delete"}
            line = f"{format_subject(stored)} was deleted"
            return deleted.map(lambda _: Output(value, lines=(line,)))
    raise AssertionError("unreachable")


async def delete_if_unused(
    client: PlatformClient, stored: StoredObject
) -> Result[None, Fault]:
    """Delete a stored object unless it is in use.

    If it came into use during the deletion, it is restored.
    """
    subject = format_subject(stored)
    dependents = await _find_dependents(client, stored)
    if not isinstance(dependents, Success):
        return Failure(dependents.failure())
    if dependents.unwrap():
        return Failure(_build_in_use_fault(stored, dependents.unwrap()))
    result = await client.delete_with_retries(stored)
    if not isinstance(result, Success):
        return Failure(build_platform_fault(result.failure(), subject))
    # A service may have started to use it between the check and the deletion.
    late_dependents = (await _find_dependents(client, stored)).value_or([])
    if late_dependents:
        return Failure(await _restore(client, stored, late_dependents))
    return Success(None)


async def _find_dependents(
    client: PlatformClient, stored: StoredObject
) -> Result[list[str], Fault]:
    if stored.kind is Kind.PROFILE:
        kind = Kind.SERVICE
    elif stored.kind is Kind.DATA_CENTRE:
        kind = Kind.VIEW
    else:
        return Success([])
    match await client.list(kind):
        case Failure(error):
            return Failure(build_platform_fault(error, kind.plural))
        case Success(listing):
            return Success(_list_dependents(stored, listing.objects))
    raise AssertionError("unreachable")


def _list_dependents(
    stored: StoredObject, objects: tuple[StoredObject, ...]
) -> list[str]:
    if stored.kind is Kind.PROFILE:
        return [
            f"service {item.name}"
            for item in objects
            if item.spec.get("profile") == stored.name
        ]
    hosts = list_hosts(objects)
    return [f"host {host.name}" for host in hosts if host.data_centre == stored.name]


def _build_in_use_fault(stored: StoredObject, dependents: list[str]) -> Fault:
    line = f"{format_subject(stored)} is used by {', '.join(dependents)}"
    lines = (line, NOTHING_CHANGED)
    return Fault(ExitCode.IN_USE, lines, {"used_by": dependents})


async def _restore(
    client: PlatformClient, stored: StoredObject, dependents: list[str]
) -> Fault:
    subject = format_subject(stored)
    line = (
        f"{subject} is used by {', '.join(dependents)}, "
        "added while it was being deleted"
    )
    result = await client.write(stored.kind, stored.name, None, stored.spec)
    if isinstance(result, Success):
        lines = (line, "it has been restored")
        return Fault(ExitCode.IN_USE, lines, {"used_by": dependents})
    fault = build_platform_fault(result.failure(), subject)
    kept = (line, "it could not be restored", *fault.lines)
    return Fault(ExitCode.PARTIAL, kept, {"used_by": dependents})


__all__ = ["delete_if_unused", "delete_object"]
