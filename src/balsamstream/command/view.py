"""Edits the stored view of a service by the same rules as the daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..config import Kind
from ..core.stored_view import read_view, write_view
from ..core.view import View, ViewEdit, edit_view
from .fleet import list_spare_voters
from .outcome import ExitCode, Fault, build_platform_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..objectapi import PlatformClient, StoredObject


async def edit_service_view(
    client: PlatformClient,
    service: str,
    decide: Callable[[View], Result[ViewEdit | None, Fault]],
) -> Result[bool, Fault]:
    """Edit the view of a service, deciding again at each retry.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    service : str
        Name of the service.
    decide : callable
        Returns the edit for a view, None if none is needed, or a fault.

    Returns
    -------
    Result[bool, Fault]
        Whether the view was changed, or why it could not be changed.
    """
    balancers = await client.list(Kind.BALANCER)
    if not isinstance(balancers, Success):
        return Failure(build_platform_fault(balancers.failure(), "balancers"))
    spares = list_spare_voters(balancers.unwrap().objects)
    last_result: Result[bool, Fault] = Success(False)

    def build(stored: StoredObject | None) -> dict[str, Any] | None:
        nonlocal last_result
        view = _parse_view(service, stored)
        edit = view.bind(decide)
        last_result = edit.map(lambda found: found is not None)
        if not isinstance(edit, Success) or edit.unwrap() is None:
            return None
        return write_view(edit_view(view.unwrap(), edit.unwrap(), spares))

    result = await client.change(Kind.VIEW, service, build)
    if not isinstance(result, Success):
        return Failure(build_platform_fault(result.failure(), f"view {service}"))
    return last_result


def _parse_view(service: str, stored: StoredObject | None) -> Result[View, Fault]:
    if stored is None:
        fault = Fault(ExitCode.MISSING, (f"service {service} has no view",))
        return Failure(fault)
    try:
        return Success(read_view(service, stored.spec))
    except (KeyError, TypeError, ValueError) as error:
        line = f"cannot parse the view of service {service}: {error!r}"
        return Failure(Fault(ExitCode.INVALID, (line,)))


__all__ = ["edit_service_view"]
